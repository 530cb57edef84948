"""HTTP client for inference engines."""

import aiohttp

from skylarkpost.targets.calls import (
    CONNECT_TIMEOUT_S,
    NOT_SENT_ERRORS,
    error_code,
    perform,
    read_bounded,
    request,
)
from skylarkpost.targets.engine_calls import STATUS_OK, order_headers
from skylarkpost.targets.engine_orders import EngineOrders
from skylarkpost.targets.engine_reports import EngineReports
from skylarkpost.targets.engine_stream import EngineStream
from skylarkpost.targets.outcomes import (
    Accepted,
    Answered,
    MayHaveRun,
    NotRun,
    OrderDone,
    StreamUnknown,
    TargetUnavailable,
)

__all__ = ["NOT_RUN_CODES", "EngineClient"]

STATUS_NOT_FOUND = 404

# Error codes that an engine returns before it executes anything.
NOT_RUN_CODES = frozenset(
    {
        "adapter-not-loaded",
        "full",
        "stale-fencing-number",
        "wrong-boot",
        "wrong-role",
    }
)


class EngineClient(EngineOrders, EngineReports):
    """Sends requests, orders and queries to engines.

    Requests, orders and resumptions use new connections, which are known to
    work. Queries use kept-alive connections until one of them stops responding.

    Parameters
    ----------
    session_source : callable
        Returns the pooled `aiohttp.ClientSession`.
    clock : callable
        Returns the present time in seconds.
    silence : float
        Seconds without data after which a stream counts as broken.

    Examples
    --------
    ::

        outcome = await engines.open_stream(
            "127.0.0.1:8101",
            path="/v1/completions",
            body=body,
            request_id="5f1c.1",
            fencing_number=17,
            boot="engine-1-34f7e8ec",
        )
        match outcome:
            case Accepted(stream=stream):
                ...
            case NotRun(code=code):  # may be sent again
                ...
            case MayHaveRun():  # may be resumed, or repeated if that is harmless
                ...
    """

    async def open_stream(
        self, address, *, path, body, request_id, fencing_number=None, boot=None
    ):
        """Send a request with a streamed answer.

        Parameters
        ----------
        address : str
            ``IP:PORT`` of the engine.
        path : str
            ``/v1/chat/completions`` or ``/v1/completions``.
        body : bytes
            JSON with ``stream`` set.
        request_id : str
            Request id and attempt, ``ID.ATTEMPT``.
        fencing_number : int or None
            Fencing number of the ticket.
        boot : str or None
            Boot id of the engine run that may accept the request.

        Returns
        -------
        Accepted or NotRun or MayHaveRun or Answered
            `Answered` is an error of the engine after which the request may
            have run; it may be passed to the caller.
        """
        headers = order_headers(fencing_number, boot)
        headers["X-Request-Id"] = request_id
        call = self.build_call("POST", address, path, headers, body)
        return await self._open(call)

    async def resume(self, address, *, request_id, after):
        """Resume a stream on a new connection.

        Parameters
        ----------
        address : str
            ``IP:PORT`` of the engine.
        request_id : str
            Request id and attempt, ``ID.ATTEMPT``.
        after : int
            Id of the last event received.

        Returns
        -------
        Accepted or StreamUnknown or TargetUnavailable
        """
        path = f"/v1/streams/{request_id}?after={after}"
        outcome = await self._open(self.build_call("GET", address, path, {}, None))
        match outcome:
            case Answered(status=status, body=answer) if status == STATUS_NOT_FOUND:
                return StreamUnknown(code=error_code(answer))
            case Answered(status=status):
                return TargetUnavailable(detail=f"status {status}")
            case NotRun(detail=detail) | MayHaveRun(detail=detail):
                return TargetUnavailable(detail=detail)
        return outcome

    async def complete(
        self,
        address,
        *,
        path,
        body,
        request_id,
        timeout,
        fencing_number=None,
        boot=None,
    ):
        """Send a request with a single, complete answer.

        Parameters
        ----------
        address, path, body, request_id, fencing_number, boot
            As for `open_stream`.
        timeout : float
            Timeout of the whole call, in seconds.

        Returns
        -------
        Answered or NotRun or MayHaveRun
        """
        headers = order_headers(fencing_number, boot)
        headers["X-Request-Id"] = request_id
        call = self.build_call("POST", address, path, headers, body, timeout)
        return _classify(await perform(self.sessions.fresh(), call))

    async def cancel(self, address, *, request_id):
        """Cancel a request.

        Parameters
        ----------
        address : str
            ``IP:PORT`` of the engine.
        request_id : str
            Request id and attempt, ``ID.ATTEMPT``.

        Returns
        -------
        OrderDone or TargetUnavailable
            `OrderDone` also if the engine does not know the request.
        """
        path = f"/v1/streams/{request_id}"
        call = self.build_call("DELETE", address, path, {}, None)
        match await perform(self.sessions.fresh(), call):
            case Answered(status=status) if status in (STATUS_OK, STATUS_NOT_FOUND):
                return OrderDone(boot=None)
            case Answered(status=status):
                return TargetUnavailable(detail=f"status {status}")
            case NotRun(detail=detail) | MayHaveRun(detail=detail):
                return TargetUnavailable(detail=detail)

    async def _open(self, call):
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_S, sock_read=self.silence
        )
        try:
            response = await request(self.sessions.fresh(), call, timeout=timeout)
        except NOT_SENT_ERRORS as error:
            return NotRun(code="not-connected", detail=str(error))
        except TimeoutError:
            return MayHaveRun(detail="no answer in time")
        except (aiohttp.ClientError, OSError) as error:
            return MayHaveRun(detail=f"connection lost: {error!r}")
        if response.status == STATUS_OK:
            stream = EngineStream(response=response)
            return Accepted(stream=stream, boot=response.headers.get("X-Target-Boot"))
        return await _read_error(response)


def _classify(outcome):
    if isinstance(outcome, Answered) and outcome.status != STATUS_OK:
        code = error_code(outcome.body)
        if code in NOT_RUN_CODES:
            return NotRun(code=code, detail=f"status {outcome.status}")
    return outcome


async def _read_error(response):
    try:
        body = await read_bounded(response)
    except (aiohttp.ClientError, OSError, TimeoutError) as error:
        return MayHaveRun(detail=f"status {response.status}: {error!r}")
    finally:
        response.close()
    if body is None:
        return MayHaveRun(detail=f"status {response.status}: the answer is too long")
    return _classify(Answered(status=response.status, body=body))
