"""Runs the command-line tool as ``python -m skylarkpost.cli``."""

from skylarkpost.cli.main import main

__all__ = []

main()
