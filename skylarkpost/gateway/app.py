"""Runs requests through the filter chain and renders their outcomes."""

import json
import logging
import math

from skylarkpost.eventlog import log_event
from skylarkpost.gateway.exchange import GatewayExchange
from skylarkpost.outcomes import Reason, Refused, Relayed, RunState
from skylarkpost.platform import HeaderCodec
from skylarkpost.routing import RouteKind
from skylarkpost.transport import PlainResponse

__all__ = ["GatewayApp", "render_refusal"]

logger = logging.getLogger(__name__)

# Used if a caller states no timeout; longer than any route's timeout.
DEFAULT_TIMEOUT_S = 60.0
# Time for the answer to reach the caller; some round trips.
RETURN_MARGIN_S = 0.005

# Replaces statuses that imply that the request has not run and never will.
UNKNOWN_OUTCOME_STATUS = 502
# Refusals that an older configuration may cause.
CONFIGURED_REASONS = (Reason.ROUTE_UNKNOWN, Reason.KEY_MISSING, Reason.KEY_UNKNOWN)


def render_refusal(refusal, request_id):
    """Render a refusal as an HTTP answer.

    Parameters
    ----------
    refusal : Refused
        The refusal.
    request_id : str
        Id of the caller's attempt.

    Returns
    -------
    PlainResponse
        Its status implies "not run" only if that is certain.
    """
    status = refusal.reason.status
    if status in (408, 421, 429, 503) and refusal.run_state is not RunState.NOT_RUN:
        status = UNKNOWN_OUTCOME_STATUS
    headers = [("content-type", "application/json")]
    if refusal.retry_after is not None:
        seconds = math.ceil(refusal.retry_after * 1000) / 1000
        headers.append(("retry-after", f"{seconds:g}"))
    body = {
        "error": {
            "code": refusal.reason,
            "message": refusal.message,
            "run_state": refusal.run_state,
            "request_id": request_id,
        }
    }
    return PlainResponse(status, tuple(headers), json.dumps(body).encode())


class GatewayApp:
    """Serves callers' requests.

    Parameters
    ----------
    services : GatewayServices
        Services shared by the instance's controllers.
    chain : skylarkpost.filters.FilterChain
        The filters.
    """

    def __init__(self, *, services, chain):
        self.services = services
        self.chain = chain

    async def handle(self, incoming):
        """Serve one request.

        Parameters
        ----------
        incoming : IncomingRequest
            The request.

        Returns
        -------
        PlainResponse or Relayed
        """
        exchange = self._create_exchange(incoming)
        self.services.exchanges[id(exchange)] = exchange
        incoming.on_change = lambda: self._check_caller(exchange)
        self._check_caller(exchange)
        outcome = await self._run(exchange)
        if isinstance(outcome, Refused) and outcome.run_state is RunState.NOT_RUN:
            self._log_refusal(exchange, outcome)
        if not isinstance(outcome, Relayed):
            await self._finish(exchange, outcome)
        if isinstance(outcome, Relayed):
            body = self._finishing_body(exchange, outcome)
            return Relayed(status=outcome.status, headers=outcome.headers, body=body)
        return render_refusal(outcome, exchange.request_id)

    async def _run(self, exchange):
        try:
            return await self.chain.run(exchange)
        except AssertionError:
            raise
        except Exception:
            # A fault that only this request triggers must not leave it unanswered.
            logger.exception("event=request-crashed request=%s", exchange.request_id)
            self.services.metrics.count_event("request-crashed")
            ran = RunState.UNKNOWN if exchange.dispatched else RunState.NOT_RUN
            return Refused(
                reason=Reason.TARGET_FAILED,
                message="The request could not be handled.",
                run_state=ran,
            )

    async def _finishing_body(self, exchange, outcome):
        is_complete = False
        try:
            async for chunk in outcome.body:
                yield chunk
            is_complete = True
        finally:
            await outcome.body.aclose()
            await self._finish(exchange, outcome, is_complete=is_complete)

    async def _finish(self, exchange, outcome, *, is_complete=True):
        self.services.exchanges.pop(id(exchange), None)
        exchange.incoming.on_change = None
        exchange.stop_timer()
        if (
            isinstance(outcome, Relayed)
            and is_complete
            and exchange.sent_at is not None
        ):
            seconds = self.services.clock() - exchange.sent_at
            self.services.grace.record(exchange.route.name, seconds)
        await exchange.finish()
        self._log_end(exchange, outcome, is_complete)

    def _create_exchange(self, incoming):
        metadata = HeaderCodec.read_request(incoming.headers)
        timeout = metadata.timeout or DEFAULT_TIMEOUT_S
        path, _, query = incoming.target.partition("?")
        return GatewayExchange(
            incoming=incoming,
            metadata=metadata,
            request_id=metadata.attempt_id,
            method=incoming.method,
            path=path,
            query=query,
            headers=dict(incoming.headers),
            body=incoming.body,
            key_hash=None,
            received_at=incoming.received_at,
            deadline=incoming.received_at + timeout - RETURN_MARGIN_S,
        )

    def _check_caller(self, exchange):
        incoming = exchange.incoming
        caller_left = incoming.is_disconnected
        if incoming.is_half_closed and not caller_left:
            # A half-closed connection looks the same as one whose caller left. Work
            # that may not be repeated continues, since its answer may be wanted.
            route = exchange.route
            caller_left = route is not None and route.kind is not RouteKind.UNSAFE
        if caller_left and exchange.cancelled is None:
            ran = RunState.UNKNOWN if exchange.dispatched else RunState.NOT_RUN
            exchange.cancel(
                Refused(
                    reason=Reason.CALLER_LEFT,
                    message="The caller has left.",
                    run_state=ran,
                )
            )

    def _log_refusal(self, exchange, refused):
        asked = [
            f"{each.detail}:{each.decision}"
            for each in exchange.decisions
            if each.filter in ("placement", "forward") and each.decision != "passed"
        ]
        now = self.services.clock()
        knowledge_age = None
        if refused.reason in CONFIGURED_REASONS:
            knowledge_age = self.services.controllers["config"].follower.age(now)
        log_event(
            logger,
            "request-refused",
            request=exchange.request_id,
            reason=refused.reason,
            retry_after=refused.retry_after,
            waited=now - exchange.received_at,
            asked=",".join(asked) or None,
            knowledge_age=knowledge_age,
        )

    def _log_end(self, exchange, outcome, is_complete):
        now = self.services.clock()
        status = reason = run_state = None
        if isinstance(outcome, Relayed):
            status = outcome.status
        elif outcome is not None:
            reason, run_state = outcome.reason, outcome.run_state
            status = outcome.reason.status
        first = exchange.first_byte_at
        log_event(
            logger,
            "request-ended",
            request=exchange.request_id,
            route=None if exchange.route is None else exchange.route.name,
            team=exchange.team,
            status=status,
            reason=reason,
            run_state=run_state,
            whole=is_complete,
            seconds=now - exchange.received_at,
            first_event=None if first is None else first - exchange.received_at,
            targets=len(exchange.targets_tried),
            version=None
            if exchange.table is None
            else exchange.table.configuration.version,
        )
        team = exchange.team or ""
        self.services.metrics.requests.inc(
            {"team": team, "outcome": str(reason or status)}
        )
        if first is not None:
            self.services.metrics.first_token.observe(
                {"team": team, "urgency": str(exchange.urgency)},
                first - exchange.received_at,
            )
