"""Remembers what was decided about recent requests."""

import collections
from typing import NamedTuple

__all__ = ["RequestHistory", "RequestSummary"]


class RequestSummary(NamedTuple):
    """What is kept of one request after it has ended.

    Attributes
    ----------
    request_id : str
        Id of the request.
    team, profile, route : str or None
        As found by the filters.
    decisions : list of skylarkpost.filters.Decision
        In the order in which they were made.
    outcome : str
        ``"open"``, ``"answered"`` or the reason of the refusal.
    run_state : str
        Whether the work ran.
    """

    request_id: str
    team: str | None
    profile: str | None
    route: str | None
    decisions: list
    outcome: str
    run_state: str


class RequestHistory:
    """The last requests of this instance, for the `explain` command.

    Parameters
    ----------
    limit : int
        How many requests are kept; the oldest is dropped first.
    """

    def __init__(self, *, limit):
        self.limit = limit
        self.summaries = collections.OrderedDict()

    def add(self, summary):
        """Keep one request.

        Parameters
        ----------
        summary : RequestSummary
            What is kept.
        """
        self.summaries[summary.request_id] = summary
        if len(self.summaries) > self.limit:
            self.summaries.popitem(last=False)

    def get(self, request_id):
        """Return one request.

        Parameters
        ----------
        request_id : str
            Id of the request.

        Returns
        -------
        RequestSummary or None
            None if it is not among the last ones.
        """
        return self.summaries.get(request_id)
