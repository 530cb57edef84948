"""Runs the tool with ``python -m skylarkpost.cli``."""

from skylarkpost.cli.main import main

__all__ = []

main()
