"""Starts an instance and shuts it down without cutting open requests."""

import asyncio
import contextlib
import logging
import socket

import grpc
import uvicorn

from skylarkpost.controllers import build_controllers
from skylarkpost.eventlog import log_event
from skylarkpost.filters import FilterChain, build_filters, refuse_all
from skylarkpost.frontend import build_app
from skylarkpost.frontend.protocol import BoundedHttpProtocol
from skylarkpost.transport.connection_account import limits_of_machine

__all__ = ["Instance"]

logger = logging.getLogger(__name__)

PEER_SERVER_GRACE_S = 1.0
DRAIN_POLL_S = 0.05
# For the answers to requests that are ended when the time to drain is over.
LAST_ANSWERS_S = 0.2
LISTEN_BACKLOG = 2048
KEEP_ALIVE_S = 75


class HttpServer(uvicorn.Server):
    """A uvicorn server that installs no signal handlers."""

    @contextlib.contextmanager
    def capture_signals(self):
        """Install nothing: the daemon handles signals."""
        yield


class Instance:
    """One running instance.

    Parameters
    ----------
    services : skylarkpost.daemon.Services
        Shared state, with its clients already set.
    """

    def __init__(self, *, services):
        self.services = services
        self.stop_requested = asyncio.Event()
        self.peer_server = grpc.aio.server()
        build_controllers(services=services)
        chain = FilterChain(
            filters=build_filters(services=services), clock=services.clock
        )
        self.app = build_app(services=services, chain=chain)
        self.http_server = HttpServer(
            uvicorn.Config(
                self.app,
                loop="asyncio",
                # Refuses a request with both Content-Length and Transfer-Encoding, which
                # h11 would serve.
                http=BoundedHttpProtocol.configured(
                    most_connections=_most_connections(services.settings.process)
                ),
                lifespan="off",
                log_config=None,
                access_log=False,
                server_header=False,
                date_header=False,
                timeout_keep_alive=KEEP_ALIVE_S,
            )
        )

    async def run(self):
        """Serve until `stop_requested` is set, then shut down gracefully."""
        http_task = await self._start()
        stop_task = asyncio.create_task(self.stop_requested.wait())
        await asyncio.wait({http_task, stop_task}, return_when="FIRST_COMPLETED")
        await self._leave()
        await self._stop(http_task)

    async def _start(self):
        settings = self.services.settings.instance
        for controller in self.services.controllers.values():
            controller.add_to_server(self.peer_server)
        self.peer_server.add_insecure_port(self.services.peer_address)
        await self.peer_server.start()
        for controller in self.services.controllers.values():
            await controller.start()
        listener = _listen(str(settings.address), settings.http_port)
        task = asyncio.create_task(self.http_server.serve(sockets=[listener]))
        log_event(
            logger,
            "instance-started",
            boot=self.services.boot,
            data_centre=self.services.data_centre,
            http_port=settings.http_port,
            peer_port=settings.peer_port,
        )
        return task

    async def _leave(self):
        services = self.services
        log_event(logger, "shutdown-started", open_requests=len(services.exchanges))
        services.draining = True
        await asyncio.sleep(services.settings.shutdown.notice)
        services.leaving = True
        for controller in reversed(services.controllers.values()):
            await controller.leave()
        deadline = services.clock() + services.settings.shutdown.drain
        while services.exchanges and services.clock() < deadline:
            await asyncio.sleep(DRAIN_POLL_S)
        cut = refuse_all(services.exchanges.values())
        if cut:
            await asyncio.sleep(LAST_ANSWERS_S)
        log_event(logger, "requests-ended", cut=cut, left_open=len(services.exchanges))

    async def _stop(self, http_task):
        self.http_server.should_exit = True
        await http_task
        for controller in reversed(self.services.controllers.values()):
            await controller.stop()
        await self.peer_server.stop(PEER_SERVER_GRACE_S)
        await self.services.close()
        log_event(logger, "instance-stopped")


def _listen(address, port):
    family = socket.AF_INET6 if ":" in address else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((address, port))
    listener.listen(LISTEN_BACKLOG)
    listener.setblocking(False)
    return listener


def _most_connections(process):
    limits = limits_of_machine(
        memory_mb=process.memory_mb, descriptors=process.descriptors
    )
    return limits.connections
