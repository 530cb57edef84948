"""Authenticates requests by their key."""

from skylarkpost.config.paths import route_name
from skylarkpost.filters import Filter, register_filter
from skylarkpost.outcomes import Reason, Refused

__all__ = ["KeyFilter"]


@register_filter("key", order=20)
class KeyFilter(Filter):
    """Accepts a request if its key is valid or its route is open to all."""

    async def apply(self, exchange):
        """Check the key of one request. See `Filter.apply`."""
        config = self.services.controllers["config"]
        await config.confirm_after_pause()
        store = config.store
        key = store.key(exchange.key_hash) if exchange.key_hash else None
        if key is not None and not key.withdrawn:
            exchange.team = key.team
            return None
        if self._is_open(exchange, store):
            return None
        return _refusal(exchange, key)

    def _is_open(self, exchange, store):
        name = route_name(exchange.path)
        route = store.route(name) if name else None
        return route is not None and route.open


def _refusal(exchange, key):
    if exchange.key_hash is None:
        return Refused(
            reason=Reason.KEY_MISSING,
            message="Send your key as 'Authorization: Bearer KEY'.",
        )
    if key is None:
        return Refused(reason=Reason.KEY_UNKNOWN, message="This key is not known.")
    return Refused(reason=Reason.KEY_WITHDRAWN, message="This key was withdrawn.")
