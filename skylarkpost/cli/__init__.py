"""The operators' command-line tool ``skylarkpost``."""

from skylarkpost.cli.exit_codes import ExitCode
from skylarkpost.cli.main import main, run

__all__ = ["ExitCode", "main", "run"]
