"""Command that runs one gateway instance."""

import asyncio
import importlib
import logging
import pathlib
import signal
import sys
from dataclasses import dataclass
from typing import Annotated

if __name__ == "__main__":
    # A SIGHUP during the imports must not end the process; the settings are read
    # after the imports anyway.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

import cappa

from skylarkpost.daemon.main import EXIT_BAD_SETTINGS, handle_loop_error
from skylarkpost.eventlog import BoundedHandler, configure_logging, log_event
from skylarkpost.gateway.instance import GatewayInstance
from skylarkpost.gateway.services import GatewayServices
from skylarkpost.platform import StoreClient
from skylarkpost.settings import load_settings
from skylarkpost.settings.gateway import GatewaySettings

__all__ = ["GatewayCommand", "import_parts", "main"]

logger = logging.getLogger(__name__)

PARTS = (
    "skylarkpost.gateway.configuration",
    "skylarkpost.gateway.directory",
    "skylarkpost.gateway.filters",
    "skylarkpost.gateway.fleet",
    "skylarkpost.gateway.forward",
    "skylarkpost.gateway.quota",
    "skylarkpost.gateway.stewardship",
    "skylarkpost.membership.controller",
    "skylarkpost.placement.filter",
)


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
    command = cappa.parse(GatewayCommand)
    settings = load_settings(command.settings, schema=GatewaySettings)
    if isinstance(settings, list):
        for fault in settings:
            print(fault, file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    configure_logging(
        instance=settings.instance.id,
        level=settings.log.level,
        handler=BoundedHandler(),
    )
    asyncio.run(serve(settings, command.settings))


def import_parts():
    """Import the modules whose decorators register controllers and filters."""
    for name in PARTS:
        importlib.import_module(name)


async def serve(settings, path):
    """Run one instance until the process receives a signal to stop.

    Parameters
    ----------
    settings : GatewaySettings
        The checked settings.
    path : pathlib.Path
        File that the settings were read from.
    """
    import_parts()
    store = StoreClient(address=settings.store.address)
    services = GatewayServices(settings=settings, store=store, seed=None)
    instance = GatewayInstance(services=services)
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(handle_loop_error)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, instance.stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, _reload, services, path)
    await instance.run()


def _reload(services, path):
    """Reload the settings; if they are invalid, keep the present ones."""
    settings = load_settings(path, schema=GatewaySettings)
    if isinstance(settings, list):
        for fault in settings:
            log_event(logger, "settings-fault", level=logging.ERROR, detail=str(fault))
        return
    services.settings = settings
    log_event(logger, "settings-reloaded", seeds=len(settings.instance.seeds))


if __name__ == "__main__":
    main()
