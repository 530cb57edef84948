"""Registry of placement scores: how good a target is for a request."""

from typing import NamedTuple

__all__ = ["TargetView", "placement_score", "register_score"]

_scores = {}


class TargetView(NamedTuple):
    """What the instance knows of one target for one request.

    Attributes
    ----------
    target : str
        The target.
    queue_wait : float
        Expected seconds until the batch has room.
    load_wait : float
        Expected seconds until the adapter is resident; 0 if it is.
    prefill : float
        Expected seconds to work through the prompt.
    distance : float
        Seconds of the round trip to the target.
    outstanding : int
        Requests on the target and in its queue.
    is_resident : bool
        Whether the adapter is resident, or on its way by our own request.
    home_rank : int
        Rank of the target by rendezvous hash for the adapter; 0 is its home.
    """

    target: str
    queue_wait: float
    load_wait: float
    prefill: float
    distance: float
    outstanding: int
    is_resident: bool
    home_rank: int


def register_score(name):
    """Register a placement score.

    Parameters
    ----------
    name : str
        Its name in the settings.

    Returns
    -------
    callable
        Decorator of a function that takes a `TargetView` and returns a sort
        key; the target with the lowest one is asked first.
    """

    def decorate(function):
        assert name not in _scores, f"placement score {name} is registered twice"
        _scores[name] = function
        return function

    return decorate


def placement_score(name):
    """Return a registered placement score.

    Parameters
    ----------
    name : str
        Its name.

    Returns
    -------
    callable
    """
    return _scores[name]


@register_score("first-token")
def first_token(view):
    """Return the expected time to the first token.

    A target that is not the adapter's home is charged a part of what the
    additional copy costs the others: a slot and a load.
    """
    wait = view.queue_wait + view.load_wait + view.prefill + view.distance
    if not view.is_resident:
        wait += AWAY_PENALTY_S * min(view.home_rank, MAX_PENALISED_RANK)
    return (wait, view.home_rank)


AWAY_PENALTY_S = 0.25
MAX_PENALISED_RANK = 4


@register_score("least-loaded")
def least_loaded(view):
    """Return the number of requests on the target and in its queue."""
    return (view.outstanding, view.home_rank)
