"""Entry point of the daemon ``skylarkpostd``."""

import asyncio
import pathlib
import signal
import sys
from dataclasses import dataclass
from typing import Annotated

import cappa

from skylarkpost.daemon.components import import_components
from skylarkpost.daemon.instance import Instance
from skylarkpost.daemon.services import Services
from skylarkpost.eventlog import configure_logging
from skylarkpost.log import LogClient
from skylarkpost.runtime import EXIT_BAD_SETTINGS, handle_loop_error
from skylarkpost.settings import load_settings

__all__ = ["DaemonCommand", "main"]


@dataclass(kw_only=True)
class DaemonCommand:
    """Run one instance of skylarkpost.

    Parameters
    ----------
    settings : pathlib.Path
        The instance's settings file.
    """

    settings: Annotated[
        pathlib.Path, cappa.Arg(long=True, help="The instance's settings file (TOML).")
    ]


def main():
    """Run the daemon until it has stopped."""
    command = cappa.parse(DaemonCommand)
    settings = load_settings(command.settings)
    if isinstance(settings, list):
        for fault in settings:
            print(fault, file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    configure_logging(instance=settings.instance.id, level=settings.log.level)
    asyncio.run(serve(settings))


async def serve(settings):
    """Run one instance until the process receives SIGTERM or SIGINT.

    Parameters
    ----------
    settings : skylarkpost.settings.Settings
        The validated settings.
    """
    import_components()
    services = Services(settings=settings, seed=None)
    services.open_http()
    services.log = LogClient(
        base_url=settings.platform.log_url, session_source=lambda: services.http
    )
    instance = Instance(services=services)
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(handle_loop_error)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, instance.stop_requested.set)
    await instance.run()


if __name__ == "__main__":
    main()
