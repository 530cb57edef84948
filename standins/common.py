"""Base class of all stand-ins: fault switches, connection faults and serving."""

import argparse
import asyncio
import contextlib
import socket

import msgspec
import uvicorn
from starlette.applications import Starlette
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

__all__ = ["StandIn", "Switches", "abort", "main", "serving", "wait_while"]

HOST = "127.0.0.1"
POLL_INTERVAL_S = 0.02
SHUTDOWN_TIMEOUT_S = 1


class Switches(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Faults that a stand-in can simulate, changed by ``POST /switches``.

    Parameters
    ----------
    silent : bool
        Accept requests and never answer them.
    cut_ports : list of int
        Like `silent`, only for requests received on these ports.
    """

    silent: bool = False
    cut_ports: list[int] = []


class StandIn:
    """HTTP server whose faults are controlled by switches.

    Attributes
    ----------
    switches : Switches
        Active faults.
    transports : set of asyncio.Transport
        Open connections that have carried a request.
    silenced : set of asyncio.Transport
        Connections that are open and answer nothing any more.
    """

    switches_type = Switches

    def __init__(self):
        self.switches = self.switches_type()
        self.transports = set()
        self.silenced = set()
        switch_routes = [
            Route("/switches", self.get_switches, methods=["GET"]),
            Route("/switches", self.post_switches, methods=["POST"]),
        ]
        self.starlette = Starlette(routes=[*switch_routes, *self.routes()])

    def routes(self):
        """Return the routes besides ``/switches``."""
        return []

    async def start(self):
        """Start background work, once the event loop runs."""

    async def stop(self):
        """Stop background work."""

    async def __call__(self, scope, receive, send):
        """Serve one request (ASGI)."""
        if scope["type"] != "http":
            return
        # uvicorn passes a bound method whose object holds the transport.
        transport = send.__self__.transport
        scope["transport"] = transport
        self.transports = {t for t in self.transports if not t.is_closing()}
        self.transports.add(transport)
        if scope["path"] != "/switches":
            await wait_while(scope, lambda: self.is_cut(scope))

        async def send_unless_silenced(message):
            await wait_while(scope, lambda: transport in self.silenced)
            await send(message)

        await self.starlette(scope, receive, send_unless_silenced)

    def is_cut(self, scope):
        """Return whether a request currently gets no answer."""
        return self.switches.silent or scope["server"][1] in self.switches.cut_ports

    async def get_switches(self, request):
        """Return the current switches."""
        return JSONResponse(msgspec.to_builtins(self.switches))

    async def post_switches(self, request):
        """Change some of the switches."""
        merged = msgspec.to_builtins(self.switches) | await request.json()
        try:
            self.switches = msgspec.convert(merged, self.switches_type)
        except msgspec.ValidationError as error:
            return JSONResponse({"error": str(error)}, status_code=400)
        # Connection faults do not apply to the connection that set them.
        self.transports.discard(request.scope["transport"])
        self.on_switches_changed()
        return await self.get_switches(request)

    def on_switches_changed(self):
        """Apply switches that need an action when they change."""

    def silence_connections(self):
        """Answer nothing on the open connections any more; new ones work."""
        self.silenced |= self.transports

    def drop_connections(self):
        """Reset every connection."""
        for transport in self.transports:
            transport.abort()
        self.transports = set()


def abort(request):
    """Reset the connection of a request without answering.

    Returns
    -------
    starlette.responses.Response
        Placeholder that the handler must return; it is never sent.
    """
    request.scope["transport"].abort()
    return Response(status_code=500)


async def wait_while(scope, condition):
    """Wait as long as a condition is true and the connection is open."""
    while condition() and not scope["transport"].is_closing():
        await asyncio.sleep(POLL_INTERVAL_S)


def main(build, *, description, add_arguments=None):
    """Run a stand-in as a separate process until it is terminated.

    Parameters
    ----------
    build : callable
        ``build(arguments)`` returns the `StandIn`.
    description : str
        Shown by ``--help``.
    add_arguments : callable or None
        Adds further arguments to the parser.
    """
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--host", default=HOST)
    parser.add_argument("--port", type=int, action="append", required=True)
    if add_arguments is not None:
        add_arguments(parser)
    arguments = parser.parse_args()
    stand_in = build(arguments)
    asyncio.run(_serve_process(stand_in, arguments.host, arguments.port))


@contextlib.asynccontextmanager
async def serving(stand_in, *, ports=(0,)):
    """Serve a stand-in inside this process.

    Parameters
    ----------
    stand_in : StandIn
        Stand-in to serve.
    ports : sequence of int
        Ports to listen on; 0 selects any free port.

    Yields
    ------
    list of str
        One ``http://IP:PORT`` for each port.
    """
    server, sockets = _build_server(stand_in, HOST, ports)
    addresses = [f"http://{HOST}:{s.getsockname()[1]}" for s in sockets]
    await stand_in.start()
    with contextlib.ExitStack() as stack:
        # Keep uvicorn from replacing the test's signal handlers.
        server.capture_signals = contextlib.nullcontext
        stack.callback(lambda: [s.close() for s in sockets])
        task = asyncio.create_task(server.serve(sockets=sockets))
        while not server.started:
            await asyncio.sleep(POLL_INTERVAL_S / 4)
        try:
            yield addresses
        finally:
            await stand_in.stop()
            stand_in.drop_connections()
            server.should_exit = True
            await task


async def _serve_process(stand_in, host, ports):
    server, sockets = _build_server(stand_in, host, ports)
    await stand_in.start()
    await server.serve(sockets=sockets)
    await stand_in.stop()


def _build_server(stand_in, host, ports):
    sockets = []
    for port in ports:
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, port))
        sockets.append(listener)
    config = uvicorn.Config(
        stand_in,
        loop="asyncio",
        lifespan="off",
        log_level="error",
        access_log=False,
        timeout_graceful_shutdown=SHUTDOWN_TIMEOUT_S,
    )
    return uvicorn.Server(config), sockets
