"""Filters of routed requests: shutdown, route and key."""

import zlib

from skylarkpost.controllers import GATEWAY
from skylarkpost.filters import Filter, register_filter, shutdown_refusal
from skylarkpost.outcomes import Reason, Refused, RunState
from skylarkpost.routing import key_digest

__all__ = [
    "GatewayKeyFilter",
    "RouteFilter",
    "ShutdownFilter",
    "choose_service",
    "combined_rank",
]

NOT_READY_RETRY_AFTER_S = 0.5
# Number of route ranks that are distinguished within one team rank.
ROUTE_RANKS = 3
DEFAULT_TEAM_RANK = 1
LAST_RANK = 9


def choose_service(route, attempt_id):
    """Choose one of the weighted services of a route.

    Parameters
    ----------
    route : GatewayRoute
        The route.
    attempt_id : str
        Hashed, so that an id always maps to the same service.

    Returns
    -------
    str
    """
    if len(route.services) == 1:
        return route.services[0].service
    total = sum(each.weight for each in route.services)
    point = zlib.crc32(attempt_id.encode()) / 2**32 * total
    for each in route.services:
        point -= each.weight
        if point < 0:
            return each.service
    return route.services[-1].service


def combined_rank(team_rank, route_rank):
    """Combine a team's and a route's rank into one rank for the engines.

    The team's rank takes precedence; the route's decides between equal team ranks.
    Ranks beyond the engines' range are clamped to the last one.

    Parameters
    ----------
    team_rank : int or None
        None for a team, or a caller, without a rank of its own.
    route_rank : int
        0 is the most urgent.

    Returns
    -------
    int
        From 0 to 9; 0 is the most urgent.

    Examples
    --------
    >>> combined_rank(0, 2), combined_rank(1, 0), combined_rank(1, 1), combined_rank(9, 0)
    (2, 3, 4, 9)
    """
    team = DEFAULT_TEAM_RANK if team_rank is None else team_rank
    return min(LAST_RANK, team * ROUTE_RANKS + min(ROUTE_RANKS - 1, max(0, route_rank)))


@register_filter("leaving", order=5, front_ends=(GATEWAY,))
class ShutdownFilter(Filter):
    """Refuses requests at the end of a shutdown, so that callers use other instances.

    A load balancer without another instance in the data centre keeps sending new
    connections, whose requests could not be finished here.
    """

    async def apply(self, exchange):
        """Refuse during the last part of a shutdown. See `Filter.apply`."""
        if not self.services.leaving:
            return None
        return shutdown_refusal(RunState.NOT_RUN)


@register_filter("route", order=10, front_ends=(GATEWAY,))
class RouteFilter(Filter):
    """Finds the route of a request and the service behind it."""

    async def apply(self, exchange):
        """Set route, service, rank and deadline. See `Filter.apply`."""
        state = self.services.controllers["config"].state
        if state.table is None:
            return Refused(
                reason=Reason.NOT_READY,
                message="No configuration is known yet.",
                retry_after=NOT_READY_RETRY_AFTER_S,
            )
        exchange.table = state.table
        route = state.table.find(exchange.headers.get("host", ""), exchange.path)
        if route is None:
            return Refused(reason=Reason.ROUTE_UNKNOWN, message="No route leads there.")
        exchange.route = route
        exchange.rank = combined_rank(None, route.rank)
        exchange.deadline = min(exchange.deadline, exchange.received_at + route.timeout)
        name = choose_service(route, exchange.metadata.attempt_id)
        exchange.service = state.configuration.services.get(name)
        if exchange.service is None:
            return Refused(
                reason=Reason.NO_TARGET,
                message="The route's service is not configured.",
                retry_after=NOT_READY_RETRY_AFTER_S,
            )
        return None


@register_filter("key", order=20, front_ends=(GATEWAY,))
class GatewayKeyFilter(Filter):
    """Authenticates the caller's key and finds its team."""

    async def apply(self, exchange):
        """Set the team. See `Filter.apply`."""
        table = exchange.table
        key = exchange.metadata.key
        team = None
        if key is not None:
            team = table.team(key_digest(key.encode("latin-1")))
        if team is not None:
            exchange.team = team.name
            exchange.rank = combined_rank(team.rank, exchange.route.rank)
            return None
        if exchange.route.is_public or not table.configuration.teams:
            return None
        if key is None:
            return Refused(reason=Reason.KEY_MISSING, message="A key is needed.")
        return Refused(reason=Reason.KEY_UNKNOWN, message="The key is not known.")
