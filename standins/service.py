"""Stand-in for a plain service with calls that must not be repeated.

Run it with ``python -m standins.service --port 8201``. It answers on every path.
"""

import asyncio
import os

from starlette.responses import JSONResponse
from starlette.routing import Route

from standins.common import Switches, abort, main, wait_while
from standins.recording import RecordingStandIn

__all__ = ["ServiceStandIn", "ServiceSwitches"]

METHODS = ["GET", "POST", "PUT", "PATCH", "DELETE"]


class ServiceSwitches(Switches, kw_only=True):
    """Faults of a plain service.

    Parameters
    ----------
    delay : float
        Seconds between the effect and the answer.
    silent_after_effect : int
        Number of next calls that take effect and are never answered.
    crash_before_effect, crash_after_effect : int
        Number of next calls whose connection is reset before or after the
        effect, together with all other connections.
    exit_after_effect : bool
        End the process after the next effect, without an answer.
    status : int
        HTTP status of the answers.
    """

    delay: float = 0.0
    silent_after_effect: int = 0
    crash_before_effect: int = 0
    crash_after_effect: int = 0
    exit_after_effect: bool = False
    status: int = 200


class ServiceStandIn(RecordingStandIn):
    """Service that counts how often each call took effect.

    Attributes
    ----------
    counts : dict of str to int
        Number of effects by ``Idempotency-Key``, or by ``X-Request-Id`` if
        there is no key.
    """

    switches_type = ServiceSwitches

    def __init__(self):
        super().__init__()
        self.counts = {}

    def routes(self):
        """Return the routes of the service."""
        return [
            *super().routes(),
            Route("/health", self.get_health),
            Route("/counts", self.get_counts),
            Route("/{path:path}", self.serve_call, methods=METHODS),
        ]

    async def get_health(self, request):
        """Answer the health check."""
        return JSONResponse({})

    async def get_counts(self, request):
        """Return how often each call took effect."""
        return JSONResponse(self.counts)

    async def serve_call(self, request):
        """Execute one call, with the active faults."""
        body = await request.body()
        headers = request.headers
        key = headers.get("idempotency-key") or headers.get("x-request-id", "none")
        if self.consume_fault("crash_before_effect"):
            return self.crash(request)
        self.counts[key] = self.counts.get(key, 0) + 1
        if self.switches.exit_after_effect:
            os._exit(1)
        if self.consume_fault("crash_after_effect"):
            return self.crash(request)
        if self.consume_fault("silent_after_effect"):
            await wait_while(request.scope, lambda: True)
            return abort(request)
        await asyncio.sleep(self.switches.delay)
        answer = {
            "path": request.url.path,
            "method": request.method,
            "bytes": len(body),
            "run": self.counts[key],
        }
        return JSONResponse(answer, status_code=self.switches.status)

    def consume_fault(self, switch):
        """Decrement a fault's count of remaining calls; return whether it applies."""
        left = getattr(self.switches, switch)
        setattr(self.switches, switch, max(left - 1, 0))
        return left > 0

    def crash(self, request):
        """Reset every connection, including that of the request."""
        self.drop_connections()
        return abort(request)


if __name__ == "__main__":
    main(
        lambda arguments: ServiceStandIn(),
        description="Stand-in for a plain service.",
    )
