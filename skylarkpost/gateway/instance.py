"""Starts the controllers and servers of a gateway instance, and stops them in order."""

import asyncio
import logging
import socket

import grpc

from skylarkpost.controllers import GATEWAY, build_controllers
from skylarkpost.eventlog import log_event
from skylarkpost.filters import FilterChain, build_filters, refuse_all
from skylarkpost.gateway.app import GatewayApp
from skylarkpost.gateway.shutdown import refuse_unfinishable
from skylarkpost.routing import CallerBounds
from skylarkpost.transport import CallerConnection, PlainResponse
from skylarkpost.transport.connection_account import (
    ConnectionAccount,
    TurnQueue,
    limits_of_machine,
)

__all__ = ["GatewayInstance"]

logger = logging.getLogger(__name__)

# After an outage, all callers of a data centre may connect at once.
LISTEN_BACKLOG = 2048
# Connections that are accepted in one turn of the event loop.
ACCEPTED_AT_ONCE = 64
# The load balancer probes once a second and removes an instance after two failures.
NOTICE_S = 2.6
# Reserved before the process is killed, for stopping controllers and servers.
CLOSE_MARGIN_S = 0.7
DRAIN_POLL_S = 0.05
# For the answers to requests that are ended with the grace; a part of the margin.
LAST_ANSWERS_S = 0.2
PEER_SERVER_GRACE_S = 0.2
# A fraction of the shortest time for which idle connections are kept.
EXPIRY_CHECK_INTERVAL_S = 0.25


class GatewayInstance:
    """One running gateway instance.

    Parameters
    ----------
    services : GatewayServices
        The instance's services, with their clients already set.

    Attributes
    ----------
    notice : float
        Seconds in a shutdown between reporting not ready and refusing requests.
    """

    def __init__(self, *, services):
        self.services = services
        self.stop_requested = asyncio.Event()
        self.peer_server = grpc.aio.server()
        build_controllers(services=services, front_end=GATEWAY)
        chain = FilterChain(
            filters=build_filters(services=services, front_end=GATEWAY),
            clock=services.clock,
        )
        self.app = GatewayApp(services=services, chain=chain)
        self.connections = set()
        self.internal_connections = set()
        self.listeners = []
        self.is_listening = False
        self.is_ready_logged = False
        self.notice = NOTICE_S

    async def run(self):
        """Serve until `stop_requested` is set, then drain and stop."""
        await self._start()
        expiry = asyncio.create_task(self._expire_connections())
        await self.stop_requested.wait()
        stop_at = self.services.clock() + self.services.settings.bounds.grace_s
        await self._drain(stop_at - CLOSE_MARGIN_S)
        expiry.cancel()
        await self._stop()

    def is_ready(self):
        """Return whether the instance should get new connections.

        Returns
        -------
        bool
        """
        all_controllers = self.services.controllers.values()
        ready = self.is_listening and not self.services.draining
        ready = ready and all(controller.is_ready() for controller in all_controllers)
        if ready and not self.is_ready_logged:
            self.is_ready_logged = True
            log_event(logger, "instance-ready")
        return ready

    async def _start(self):
        services = self.services
        settings = services.settings.instance
        log_event(
            logger,
            "instance-started",
            boot=services.boot,
            data_centre=services.data_centre,
            front=settings.front_address,
            peers=settings.peer_address,
        )
        for controller in services.controllers.values():
            controller.add_to_server(self.peer_server)
        self.peer_server.add_insecure_port(settings.peer_address)
        await self.peer_server.start()
        for controller in services.controllers.values():
            await controller.start()
        await self._listen(settings.ready_address, self._answer_ready, is_internal=True)
        await self._listen(
            settings.metrics_address, self._answer_metrics, is_internal=True
        )
        await self._listen(settings.front_address, self.app.handle)
        self.is_listening = True

    async def _listen(self, address, handler, *, is_internal=False):
        host, _, port = address.rpartition(":")
        connections = self.internal_connections if is_internal else self.connections
        bounds = CallerBounds if is_internal else self._bounds

        account = turns = None
        if not is_internal:
            process = self.services.settings.process
            limits = limits_of_machine(
                memory_mb=process.memory_mb, descriptors=process.descriptors
            )
            account = ConnectionAccount(limits=limits)
            turns = TurnQueue()
            self.account = account
            log_event(logger, "caller-limits", **limits._asdict())

        def make_connection():
            return CallerConnection(
                handler=handler,
                bounds=bounds,
                clock=self.services.clock,
                connections=connections,
                is_closing=lambda: self.services.draining and not is_internal,
                account=account,
                turns=turns,
            )

        sock = socket.create_server((host, int(port)), backlog=LISTEN_BACKLOG)
        sock.setblocking(False)
        server = await asyncio.get_running_loop().create_server(
            make_connection, sock=sock, backlog=ACCEPTED_AT_ONCE
        )
        # asyncio takes the backlog for the number of connections that it accepts at
        # once, too.
        sock.listen(LISTEN_BACKLOG)
        self.listeners.append((server, is_internal))

    def _bounds(self):
        return self.services.controllers["config"].bounds

    async def _answer_ready(self, request):
        return PlainResponse(200 if self.is_ready() else 503)

    async def _answer_metrics(self, request):
        body, headers = self.services.metrics.render()
        return PlainResponse(200, tuple(headers.items()), body)

    async def _drain(self, deadline):
        services = self.services
        log_event(logger, "shutdown-started", open_requests=len(services.exchanges))
        services.draining = True
        services.grace.stop_at = deadline
        noticed_at = services.clock() + self.notice
        refused = 0
        while True:
            now = services.clock()
            refused += refuse_unfinishable(
                services.exchanges.values(), services.grace, now
            )
            services.leaving = now >= noticed_at
            if services.leaving:
                for connection in list(self.connections):
                    connection.close_when_idle()
                if not self.connections:
                    break
            if now >= deadline:
                break
            await asyncio.sleep(DRAIN_POLL_S)
        services.leaving = True
        cut = refuse_all(services.exchanges.values())
        if cut:
            await asyncio.sleep(LAST_ANSWERS_S)
        log_event(
            logger,
            "requests-ended",
            refused=refused,
            cut=cut,
            left_open=len(services.exchanges),
        )

    async def _stop(self):
        for controller in reversed(self.services.controllers.values()):
            await controller.stop()
        for server, _ in self.listeners:
            server.close()
        await self.peer_server.stop(PEER_SERVER_GRACE_S)
        await self.services.close()
        log_event(logger, "instance-stopped")

    async def _expire_connections(self):
        while True:
            await asyncio.sleep(EXPIRY_CHECK_INTERVAL_S)
            self.services.pool.expire()
