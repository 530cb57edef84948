"""HTTP client for plain services."""

import time

from skylarkpost.runtime.sessions import HttpSessions
from skylarkpost.targets.calls import Call, perform
from skylarkpost.targets.outcomes import (
    Answered,
    MayHaveRun,
    NotRun,
    TargetUnavailable,
)
from skylarkpost.targets.reports import TargetHealth

__all__ = ["ServiceClient"]

HEALTH_TIMEOUT_S = 1.0
SERVER_ERRORS = range(500, 600)


class ServiceClient:
    """Calls plain services, each call on a new connection.

    A new connection is known to work. A kept-alive one may have stopped
    responding, and a call lost on it cannot be distinguished from one that ran.

    Parameters
    ----------
    session_source : callable
        Returns the pooled `aiohttp.ClientSession`.
    clock : callable
        Returns the present time in seconds.

    Examples
    --------
    ::

        outcome = await services.send(
            "127.0.0.1:8201",
            method="POST",
            path="/reserve?section=12",
            headers={"idempotency-key": key},
            body=b"{}",
            timeout=10.0,
        )
        match outcome:
            case Answered(status=status, headers=headers, body=body):
                ...
            case NotRun():  # may be sent elsewhere
                ...
            case MayHaveRun():  # is never sent again unless it may be repeated
                ...
    """

    def __init__(self, *, session_source, clock=time.monotonic):
        self.clock = clock
        self.sessions = HttpSessions(session_source=session_source)

    async def send(self, address, *, method, path, headers, body, timeout):
        """Perform one call.

        Parameters
        ----------
        address : str
            ``IP:PORT`` of the service.
        method : str
            HTTP method.
        path : str
            Path and query, already encoded.
        headers : dict of str to str
            Headers; they must not contain an API key.
        body : bytes or None
            Request body.
        timeout : float
            Timeout of the whole call, in seconds.

        Returns
        -------
        Answered or NotRun or MayHaveRun
        """
        call = Call(
            method=method,
            address=address,
            path=path,
            headers=headers,
            body=body,
            timeout=timeout,
        )
        return await perform(self.sessions.fresh(), call)

    async def health(self, address, *, timeout=HEALTH_TIMEOUT_S):
        """Check on a new connection whether a service answers.

        Parameters
        ----------
        address : str
            ``IP:PORT`` of the service.
        timeout : float
            Timeout of the whole call, in seconds.

        Returns
        -------
        TargetHealth or TargetUnavailable
        """
        requested_at = self.clock()
        outcome = await self.send(
            address,
            method="GET",
            path="/health",
            headers={},
            body=None,
            timeout=timeout,
        )
        match outcome:
            case NotRun(detail=detail) | MayHaveRun(detail=detail):
                return TargetUnavailable(detail=detail)
            case Answered(status=status) if status in SERVER_ERRORS:
                return TargetUnavailable(detail=f"status {status}")
        return TargetHealth(None, None, requested_at, self.clock())

    async def close(self):
        """Close the connections."""
        await self.sessions.close()
