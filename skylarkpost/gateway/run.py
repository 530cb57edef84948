"""Runs one gateway instance with the settings of a file."""

import asyncio
import importlib
import logging
import signal
import sys

from skylarkpost.eventlog import BoundedHandler, configure_logging, log_event
from skylarkpost.gateway.instance import GatewayInstance
from skylarkpost.gateway.services import GatewayServices
from skylarkpost.platform import StoreClient
from skylarkpost.runtime import EXIT_BAD_SETTINGS, handle_loop_error
from skylarkpost.settings import load_settings
from skylarkpost.settings.gateway import GatewaySettings

__all__ = ["import_parts", "run_gateway", "serve"]

logger = logging.getLogger(__name__)

PARTS = (
    "skylarkpost.gateway.configuration",
    "skylarkpost.gateway.crash_suspects",
    "skylarkpost.gateway.directory",
    "skylarkpost.gateway.filters",
    "skylarkpost.gateway.fleet",
    "skylarkpost.gateway.forward",
    "skylarkpost.gateway.quota",
    "skylarkpost.gateway.stewardship",
    "skylarkpost.gateway.stream_versions",
    "skylarkpost.gateway.target_limits",
    "skylarkpost.gateway.target_signals",
    "skylarkpost.gateway.warm_ups",
    "skylarkpost.membership.controller",
    "skylarkpost.placement.filter",
)


def run_gateway(path):
    """Run one instance until it has stopped; exit if its settings are invalid.

    Parameters
    ----------
    path : pathlib.Path
        The instance's settings file.
    """
    settings = load_settings(path, schema=GatewaySettings)
    if isinstance(settings, list):
        for fault in settings:
            print(fault, file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    configure_logging(
        instance=settings.instance.id,
        level=settings.log.level,
        handler=BoundedHandler(),
    )
    asyncio.run(serve(settings, path))


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
