"""Resolves the profile or the route of a request."""

from skylarkpost.config.paths import route_name
from skylarkpost.config.token_estimate import estimate_prompt_tokens
from skylarkpost.filters import Filter, register_filter
from skylarkpost.outcomes import Reason, Refused

__all__ = ["ProfileFilter"]


@register_filter("profile", order=30)
class ProfileFilter(Filter):
    """Refuses what the team may not use, and estimates the requested tokens."""

    async def apply(self, exchange):
        """Check profile or route of one request. See `Filter.apply`."""
        store = self.services.controllers["config"].store
        if exchange.is_model_request:
            return self._apply_profile(exchange, store)
        return self._apply_route(exchange, store)

    def _apply_profile(self, exchange, store):
        if exchange.team is None:
            return Refused(
                reason=Reason.KEY_MISSING, message="Model requests need a key."
            )
        name = exchange.content["model"]
        profile = store.profile(name)
        if profile is None:
            return Refused(
                reason=Reason.PROFILE_UNKNOWN, message=f"There is no profile {name!r}."
            )
        if exchange.team not in profile.teams:
            return Refused(
                reason=Reason.PROFILE_FORBIDDEN,
                message=f"Team {exchange.team!r} may not use profile {name!r}.",
            )
        exchange.profile = profile
        exchange.prompt_tokens = estimate_prompt_tokens(exchange.content)
        exchange.output_tokens = self._output_tokens(exchange.content)
        return None

    def _output_tokens(self, content):
        requested = content.get("max_completion_tokens") or content.get("max_tokens")
        return requested or self.services.settings.requests.default_max_tokens

    def _apply_route(self, exchange, store):
        name = route_name(exchange.path)
        route = store.route(name) if name else None
        if route is None:
            return Refused(
                reason=Reason.ROUTE_UNKNOWN, message="There is no such path."
            )
        if exchange.method not in route.methods:
            allowed = ", ".join(route.methods)
            return Refused(
                reason=Reason.METHOD_NOT_ALLOWED,
                message=f"Route {name!r} allows {allowed}.",
            )
        exchange.route = route
        return None
