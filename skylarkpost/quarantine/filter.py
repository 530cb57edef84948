"""Filter that refuses quarantined requests."""

from skylarkpost.filters import Filter, register_filter
from skylarkpost.quarantine.fingerprint import fingerprint_request
from skylarkpost.quarantine.refusal import quarantine_refusal
from skylarkpost.quarantine.suspects import Quarantined, Suspected

__all__ = ["QuarantineFilter"]


@register_filter("quarantine", order=40)
class QuarantineFilter(Filter):
    """Fingerprints each request and refuses it if it is quarantined."""

    async def apply(self, exchange):
        """Check one request. See `Filter.apply`."""
        exchange.fingerprint = fingerprint_request(
            subject=_subject(exchange), content=exchange.content, body=exchange.body
        )
        controller = self.services.controllers["quarantine"]
        now = self.services.clock()
        verdict = controller.verdict(exchange.fingerprint, now=now)
        if isinstance(verdict, Quarantined):
            return quarantine_refusal(verdict)
        exchange.suspect = isinstance(verdict, Suspected)
        return None


def _subject(exchange):
    if exchange.profile is not None:
        return f"{exchange.profile.adapter}@{exchange.profile.version}"
    return f"{exchange.method} {exchange.path}?{exchange.query}"
