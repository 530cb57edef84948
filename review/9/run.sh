#!/bin/sh
cd "$(dirname "$0")/../.."
export PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="target/deps:.:review/rig-2"
exec python3 review/9/case.py
