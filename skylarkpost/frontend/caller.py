"""ASGI endpoint that serves callers' requests through the filter chain."""

import asyncio
import logging
import uuid

from starlette.requests import ClientDisconnect, Request

from skylarkpost.eventlog import log_event
from skylarkpost.filters import Exchange
from skylarkpost.frontend.credentials import extract_credentials
from skylarkpost.frontend.history import RequestHistory, RequestSummary
from skylarkpost.frontend.responses import refusal_response, relayed_response
from skylarkpost.outcomes import Reason, Refused, RunState
from skylarkpost.transport.connection_account import (
    ConnectionAccount,
    limits_of_machine,
)

__all__ = ["CallerEndpoint"]

logger = logging.getLogger(__name__)

HISTORY_LIMIT = 5000
BODY_TIMEOUT_S = 15.0
SEND_TIMEOUT_S = 20.0
NO_ROOM_RETRY_AFTER_S = 1.0
# The body of a request that is served is also held, parsed and encoded, for its target.
IN_SERVICE_COPIES = 3


class BodyReceipt:
    """The body of one request while it is received and served.

    Parameters
    ----------
    timeout : asyncio.Timeout
        Ends the receipt.

    Attributes
    ----------
    is_closed_for_room : bool
        Whether the receipt was ended since others need the room.
    """

    def __init__(self, *, timeout):
        self.timeout = timeout
        self.is_closed_for_room = False

    def close_for_room(self):
        """End the receipt, unless that has been done."""
        if self.is_closed_for_room:
            return
        self.is_closed_for_room = True
        self.timeout.reschedule(asyncio.get_running_loop().time())


class CallerEndpoint:
    """ASGI application for all requests that go through the filter chain.

    Parameters
    ----------
    services : skylarkpost.daemon.Services
        Objects shared by all components of the instance.
    chain : skylarkpost.filters.FilterChain
        The filters that process each request.
    """

    def __init__(self, *, services, chain):
        self.services = services
        self.chain = chain
        self.history = RequestHistory(limit=HISTORY_LIMIT)
        process = services.settings.process
        self.account = ConnectionAccount(
            limits=limits_of_machine(
                memory_mb=process.memory_mb, descriptors=process.descriptors
            )
        )

    async def __call__(self, scope, receive, send):
        """Serve one request. See the ASGI specification."""
        request = Request(scope, receive)
        request_id = uuid.uuid4().hex
        receipt = BodyReceipt(timeout=asyncio.timeout(BODY_TIMEOUT_S))
        try:
            body = await self._read_body(request, receipt)
            if isinstance(body, Refused):
                response = refusal_response(body, request_id=request_id)
                if receipt.is_closed_for_room:
                    # The rest of the body isn't read.
                    response.headers["connection"] = "close"
                await response(scope, receive, send)
                return
            self._hold(receipt, IN_SERVICE_COPIES * len(body), may_be_closed=False)
            exchange = self._open_exchange(request, request_id, body)
            self.services.exchanges[request_id] = exchange
            try:
                await self._serve(exchange, scope, receive, send)
            finally:
                await asyncio.shield(self._close_exchange(exchange))
        finally:
            self._hold(receipt, 0)

    def _hold(self, receipt, size, *, may_be_closed=True):
        self.account.hold(
            receipt, size, now=self.services.clock(), may_be_closed=may_be_closed
        )

    def _has_room(self, receipt):
        """Return whether a body may grow; close those that are stalled for others."""
        body_limit = self.services.settings.requests.max_body
        if not self.account.may_grow(receipt, body_limit=body_limit):
            receipt.is_closed_for_room = True
            return False
        now = self.services.clock()
        for each in self.account.stalled(now=now, body_limit=body_limit):
            log_event(
                logger,
                "body-closed",
                held=self.account.held[each].size,
                total=self.account.total,
            )
            each.close_for_room()
        return True

    async def _read_body(self, request, receipt):
        settings = self.services.settings.requests
        if len(self.services.exchanges) >= settings.max_open:
            return Refused(
                reason=Reason.TOO_MANY_OPEN,
                message="This instance has too many open requests.",
                retry_after=1.0,
            )
        chunks = bytearray()
        try:
            async with receipt.timeout:
                async for chunk in request.stream():
                    chunks += chunk
                    self._hold(receipt, len(chunks))
                    if not self._has_room(receipt):
                        return _no_room()
                    if len(chunks) > settings.max_body:
                        return Refused(
                            reason=Reason.TOO_LARGE,
                            message=f"The body is over {settings.max_body} bytes.",
                        )
        except TimeoutError:
            if receipt.is_closed_for_room:
                return _no_room()
            message = f"The body did not arrive within {BODY_TIMEOUT_S:.0f} seconds."
            return Refused(reason=Reason.DEADLINE_PASSED, message=message)
        except ClientDisconnect:
            return Refused(reason=Reason.CALLER_LEFT, message="The caller left.")
        return bytes(chunks)

    def _open_exchange(self, request, request_id, body):
        now = self.services.clock()
        credentials = extract_credentials(request.headers)
        return Exchange(
            request_id=request_id,
            method=request.method,
            path=request.scope["path"],
            query=request.scope["query_string"].decode("latin-1"),
            headers=credentials.headers,
            body=body,
            key_hash=credentials.key_hash,
            received_at=now,
            deadline=now + self.services.settings.requests.deadline,
        )

    async def _serve(self, exchange, scope, receive, send):
        self.services.metrics.open_requests.set({}, len(self.services.exchanges))
        watcher = asyncio.create_task(_cancel_on_disconnect(exchange, receive))
        try:
            outcome = await self._run_chain(exchange)
        finally:
            watcher.cancel()
        if isinstance(outcome, Refused):
            response = refusal_response(outcome, request_id=exchange.request_id)
        else:
            response = relayed_response(
                outcome, request_id=exchange.request_id, body=outcome.body
            )
        if self.services.draining:
            response.headers["connection"] = "close"
        try:
            await response(scope, receive, _with_send_timeout(send))
        finally:
            if not isinstance(outcome, Refused):
                # Stop the work at the target before the finish callbacks run.
                await outcome.body.aclose()

    async def _run_chain(self, exchange):
        now = self.services.clock()
        try:
            async with asyncio.timeout(max(0.0, exchange.deadline - now)):
                return await self.chain.run(exchange)
        except TimeoutError:
            state = RunState.UNKNOWN if exchange.dispatched else RunState.NOT_RUN
            exchange.outcome = Refused(
                reason=Reason.DEADLINE_PASSED,
                message="The request took longer than this instance allows.",
                run_state=state,
            )
            return exchange.outcome

    async def _close_exchange(self, exchange):
        await exchange.finish()
        self.services.exchanges.pop(exchange.request_id, None)
        self.services.metrics.open_requests.set({}, len(self.services.exchanges))
        summary = summarize(exchange)
        self.history.add(summary)
        self._emit_metrics_and_log(exchange, summary)

    def _emit_metrics_and_log(self, exchange, summary):
        metrics = self.services.metrics
        team = exchange.team or "-"
        metrics.requests.inc({"team": team, "outcome": summary.outcome})
        if isinstance(exchange.outcome, Refused):
            labels = {"team": team, "reason": summary.outcome}
            metrics.refusals.inc({**labels, "run_state": summary.run_state})
        if exchange.first_byte_at is not None:
            urgency = exchange.profile.urgency if exchange.profile else "-"
            metrics.first_token.observe(
                {"team": team, "urgency": str(urgency)},
                exchange.first_byte_at - exchange.received_at,
            )
        log_event(
            logger,
            "request-ended",
            request=exchange.request_id,
            team=exchange.team,
            profile=summary.profile,
            route=summary.route,
            outcome=summary.outcome,
            run_state=summary.run_state,
            seconds=self.services.clock() - exchange.received_at,
        )


def summarize(exchange):
    """Return the summary of a request for the history.

    Parameters
    ----------
    exchange : skylarkpost.filters.Exchange
        The request, open or ended.

    Returns
    -------
    RequestSummary
    """
    outcome, run_state = "open", RunState.RUNNING
    if isinstance(exchange.outcome, Refused):
        outcome, run_state = exchange.outcome.reason, exchange.outcome.run_state
    elif exchange.outcome is not None:
        outcome, run_state = "answered", RunState.ANSWERED
    return RequestSummary(
        request_id=exchange.request_id,
        team=exchange.team,
        profile=exchange.profile.name if exchange.profile else None,
        route=exchange.route.name if exchange.route else None,
        decisions=exchange.decisions,
        outcome=str(outcome),
        run_state=str(run_state),
    )


def _no_room():
    return Refused(
        reason=Reason.TOO_MANY_OPEN,
        message="This instance has no room for the body at present.",
        retry_after=NO_ROOM_RETRY_AFTER_S,
    )


def _with_send_timeout(send):
    """Wrap `send` with a timeout, so that a caller that stops reading is dropped."""

    async def send_with_timeout(message):
        async with asyncio.timeout(SEND_TIMEOUT_S):
            await send(message)

    return send_with_timeout


async def _cancel_on_disconnect(exchange, receive):
    while (await receive())["type"] != "http.disconnect":
        pass
    exchange.cancel(Refused(reason=Reason.CALLER_LEFT, message="The caller left."))
