"""Lets each call that may not be repeated through at most once."""

import hashlib

from skylarkpost.claims.keys import InvalidKey, hash_key, parse_key
from skylarkpost.claims.replies import answer_repeated, refuse, refuse_too_old
from skylarkpost.claims.request_claim import Stage
from skylarkpost.claims.table import Progress
from skylarkpost.filters import Filter, register_filter
from skylarkpost.outcomes import Reason

__all__ = ["ClaimFilter"]

KEY_HEADER = "idempotency-key"


@register_filter("claim", order=60)
class ClaimFilter(Filter):
    """Claims the idempotency key of a call that may not be repeated."""

    async def apply(self, exchange):
        """Claim the key, or answer or refuse the request. See `Filter.apply`."""
        if exchange.route is None or exchange.route.repeatable:
            return None
        text = exchange.headers.get(KEY_HEADER)
        if text is None:
            return refuse(Reason.IDEMPOTENCY_KEY_MISSING)
        made_at = parse_key(text)
        if isinstance(made_at, InvalidKey):
            return refuse(Reason.IDEMPOTENCY_KEY_INVALID, made_at.message)
        controller = self.services.controllers["claims"]
        time = self.services.wall_clock()
        if controller.age_limits.is_in_future(made_at, time):
            message = "The Idempotency-Key was made in the future."
            return refuse(Reason.IDEMPOTENCY_KEY_INVALID, message)
        key = hash_key(team=exchange.team, route=exchange.route.name, key=text)
        fingerprint = _fingerprint(exchange)
        state = controller.table.find(key)
        if state is not None and state.progress is not Progress.RELEASED:
            return answer_repeated(state, fingerprint, time=time)
        if controller.age_limits.is_too_old(made_at, time):
            return refuse_too_old()
        return await self._claim(exchange, controller, key, made_at, fingerprint)

    async def _claim(self, exchange, controller, key, made_at, fingerprint):
        request_claim = await controller.claim(
            key=key, made_at=made_at, fingerprint=fingerprint
        )
        if request_claim.stage is Stage.LOST:
            state = controller.table.find(key)
            if state is None or state.claim == request_claim.claim:
                return refuse_too_old()
            return answer_repeated(state, fingerprint, time=self.services.wall_clock())
        if not request_claim.begin_sending(self.services.clock()):
            controller.note_end(request_claim, certainly_not_run=True, answer=None)
            return refuse(Reason.CLAIM_LOG_UNAVAILABLE, retry_after=1.0)
        exchange.send_by = request_claim.send_by
        exchange.on_finish(_end_recorder(controller, request_claim))
        return None


def _end_recorder(controller, request_claim):
    async def end(exchange):
        controller.note_end(
            request_claim,
            certainly_not_run=not exchange.dispatched,
            answer=exchange.answer,
        )

    return end


def _fingerprint(exchange):
    digest = hashlib.blake2b(digest_size=16)
    for part in (exchange.method, exchange.path, exchange.query):
        digest.update(part.encode() + b"\0")
    digest.update(exchange.body)
    return digest.hexdigest()
