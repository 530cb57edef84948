"""Stand-ins that record the requests they receive, for tests to search."""

from collections import deque

from starlette.responses import JSONResponse
from starlette.routing import Route

from standins.common import StandIn

__all__ = ["RecordingStandIn"]

MAX_RECORDED = 20_000
UNRECORDED_PATHS = frozenset({"/switches", "/seen", "/violations", "/counts"})


class RecordingStandIn(StandIn):
    """Stand-in that records path, query, headers and body of each request.

    ``GET /seen?contains=TEXT`` returns how many requests contained a text.
    """

    def __init__(self):
        super().__init__()
        self.seen = deque(maxlen=MAX_RECORDED)

    def routes(self):
        """Return the search route."""
        return [Route("/seen", self.get_seen, methods=["GET"])]

    async def __call__(self, scope, receive, send):
        """Serve and record one request (ASGI)."""
        if scope["type"] != "http" or scope["path"] in UNRECORDED_PATHS:
            await super().__call__(scope, receive, send)
            return
        entry = bytearray(scope["raw_path"] + b"?" + scope["query_string"])
        for name, value in scope["headers"]:
            entry += b"\n" + name + b": " + value
        entry += b"\n\n"
        self.seen.append(entry)

        async def receive_and_record():
            message = await receive()
            entry.extend(message.get("body", b""))
            return message

        await super().__call__(scope, receive_and_record, send)

    async def get_seen(self, request):
        """Count the requests that contained a text."""
        wanted = request.query_params["contains"].encode()
        count = sum(wanted in entry for entry in self.seen)
        return JSONResponse({"count": count, "requests": len(self.seen)})
