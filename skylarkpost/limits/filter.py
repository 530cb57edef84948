"""Filter that refuses requests of teams that exceed their limit."""

import asyncio

from skylarkpost.filters import Filter, register_filter
from skylarkpost.limits.charging import ChargeRefused, charge_request, refund_request
from skylarkpost.outcomes import Reason, Refused, RunState

__all__ = ["TeamLimitFilter"]

INITIAL_DELAY_S = 0.1
BACKOFF_FACTOR = 1.5


@register_filter("team-limit", order=50)
class TeamLimitFilter(Filter):
    """Charges each request to its team before the request proceeds."""

    async def apply(self, exchange):
        """Charge or refuse one request. See `Filter.apply`."""
        team = exchange.team
        if team is None:
            return None
        controller = self.services.controllers["limits"]
        limit = controller.core.limit_of(team)
        store = self.services.controllers["config"].store
        if limit is None or store.team(team) is None:
            return Refused(
                reason=Reason.TEAM_UNKNOWN,
                message=f"The team {team} is not configured.",
            )
        tokens = self._tokens(exchange)
        if tokens > limit.burst:
            return _too_large(tokens, limit)
        charged = await self._charge(exchange, tokens)
        if isinstance(charged, ChargeRefused):
            return self._refuse(team, charged)
        exchange.on_finish(self._refund_hook(controller, charged))
        return None

    async def _charge(self, exchange, tokens):
        """Charge a request; retry while its team's shares are being handed over."""
        controller = self.services.controllers["limits"]
        waited = 0.0
        delay = INITIAL_DELAY_S
        while True:
            charged = await charge_request(controller, exchange.team, tokens)
            if not isinstance(charged, ChargeRefused) or not charged.within_rate:
                return charged
            if waited >= controller.settings.patience:
                return charged
            if await _is_cancelled_within(exchange, delay):
                return charged
            waited += delay
            delay *= BACKOFF_FACTOR

    def _tokens(self, exchange):
        if exchange.is_model_request:
            return exchange.prompt_tokens + exchange.output_tokens
        return self.services.settings.limits.service_call

    def _refuse(self, team, refusal):
        if refusal.within_rate:
            self.services.metrics.refused_within_rate.inc({"team": team})
        if refusal.is_over_rate:
            return Refused(
                reason=Reason.OVER_RATE,
                message=f"The team {team} has used up its rate and burst.",
                retry_after=refusal.retry_after,
            )
        return Refused(
            reason=Reason.LIMIT_UNREACHABLE,
            message=f"Too little of the limit of team {team} can be reached now.",
            retry_after=refusal.retry_after,
        )

    def _refund_hook(self, controller, charged):
        async def refund(exchange):
            tokens = _unused_tokens(exchange, charged.receipt.tokens)
            if tokens > 0:
                controller.run_in_background(
                    refund_request(controller, exchange.team, charged, tokens)
                )

        return refund


async def _is_cancelled_within(exchange, seconds):
    try:
        await asyncio.wait_for(exchange.cancel_event.wait(), seconds)
    except TimeoutError:
        return False
    return True


def _too_large(tokens, limit):
    return Refused(
        reason=Reason.OVER_RATE,
        message=(
            f"The request asks for {tokens} tokens, more than the team's burst "
            f"of {limit.burst:g}. It can never be admitted."
        ),
    )


def _unused_tokens(exchange, charged):
    outcome = exchange.outcome
    if isinstance(outcome, Refused) and outcome.run_state == RunState.NOT_RUN:
        return charged
    if not exchange.is_model_request or exchange.generated_tokens is None:
        return 0
    return max(0, exchange.output_tokens - exchange.generated_tokens)
