"""Base class and headers that all engine clients share."""

import time

from skylarkpost.runtime.sessions import HttpSessions
from skylarkpost.targets.calls import Call

__all__ = [
    "QUERY_TIMEOUT_S",
    "SILENCE_TIMEOUT_S",
    "STATUS_OK",
    "EngineCalls",
    "order_headers",
]

QUERY_TIMEOUT_S = 1.0
SILENCE_TIMEOUT_S = 3.0
STATUS_OK = 200


class EngineCalls:
    """Builds calls to engines.

    Parameters
    ----------
    session_source : callable
        Returns the pooled `aiohttp.ClientSession`.
    clock : callable
        Returns the present time in seconds.
    silence : float
        Seconds without data after which a stream counts as broken.
    """

    def __init__(
        self, *, session_source, clock=time.monotonic, silence=SILENCE_TIMEOUT_S
    ):
        self.clock = clock
        self.silence = silence
        self.sessions = HttpSessions(session_source=session_source)

    async def close(self):
        """Close the connections for requests, orders and resumptions."""
        await self.sessions.close()

    def build_call(self, method, address, path, headers, body, timeout=QUERY_TIMEOUT_S):
        """Build a call; see `skylarkpost.targets.calls.Call`."""
        return Call(
            method=method,
            address=address,
            path=path,
            headers=headers,
            body=body,
            timeout=timeout,
        )


def order_headers(fencing_number, boot):
    """Return the headers of a request or order.

    Parameters
    ----------
    fencing_number : int or None
        Fencing number of the sender.
    boot : str or None
        Boot id of the engine run that may accept it.

    Returns
    -------
    dict of str to str
    """
    headers = {"Content-Type": "application/json"}
    if fencing_number is not None:
        headers["X-Fencing-Number"] = str(fencing_number)
    if boot is not None:
        headers["X-Target-Boot"] = boot
    return headers
