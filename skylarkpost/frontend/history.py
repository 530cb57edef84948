"""History of recent requests and the decisions about them."""

import collections
from typing import NamedTuple

__all__ = ["RequestHistory", "RequestSummary"]


class RequestSummary(NamedTuple):
    """Summary of one request, kept after it has ended.

    Attributes
    ----------
    request_id : str
        Id of the request.
    team, profile, route : str or None
        As determined by the filters.
    decisions : list of skylarkpost.filters.Decision
        In the order in which they were made.
    outcome : str
        ``"open"``, ``"answered"`` or the reason of the refusal.
    run_state : str
        Whether the request ran.
    """

    request_id: str
    team: str | None
    profile: str | None
    route: str | None
    decisions: list
    outcome: str
    run_state: str


class RequestHistory:
    """Bounded history of ended requests, for the `explain` command.

    Parameters
    ----------
    limit : int
        Maximum number of requests; the oldest is dropped first.
    """

    def __init__(self, *, limit):
        self.limit = limit
        self.summaries = collections.OrderedDict()

    def add(self, summary):
        """Add the summary of one request.

        Parameters
        ----------
        summary : RequestSummary
            The summary to keep.
        """
        self.summaries[summary.request_id] = summary
        if len(self.summaries) > self.limit:
            self.summaries.popitem(last=False)

    def get(self, request_id):
        """Return the summary of one request.

        Parameters
        ----------
        request_id : str
            Id of the request.

        Returns
        -------
        RequestSummary or None
            None if the request is unknown or was dropped.
        """
        return self.summaries.get(request_id)
