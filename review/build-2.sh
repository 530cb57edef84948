#!/bin/sh
# Builds what the scripts of the second review start: the build line of the deploy file
# installs the libraries; the stand-ins are Python and need to be importable only.
set -eu
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="target/deps:." python3 -c "
import standins.common, standins.gateway_configuration, standins.gateway_target
import standins.store, skylarkpost.gateway
"
