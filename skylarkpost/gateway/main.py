"""Command that runs one gateway instance."""

import pathlib
import signal
from dataclasses import dataclass
from typing import Annotated

if __name__ == "__main__":
    # A SIGHUP during the imports must not end the process; the settings are read
    # after the imports anyway.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

import cappa

from skylarkpost.gateway.run import run_gateway

__all__ = ["GatewayCommand", "main"]


@dataclass(kw_only=True)
class GatewayCommand:
    """Run one gateway instance of skylarkpost.

    Parameters
    ----------
    settings : pathlib.Path
        The instance's settings file.
    """

    settings: Annotated[
        pathlib.Path, cappa.Arg(long=True, help="The instance's settings file (TOML).")
    ]


def main():
    """Run the instance until it has stopped."""
    run_gateway(cappa.parse(GatewayCommand).settings)


if __name__ == "__main__":
    main()
