"""One routed HTTP request on its way through the filter chain."""

import asyncio
from typing import NamedTuple

from skylarkpost.filters import Exchange

__all__ = ["GatewayExchange", "GatewayProfile"]

MOST_URGENT = 9


class GatewayProfile(NamedTuple):
    """What a request asks of an engine.

    Attributes
    ----------
    base_model : str
        The base model.
    adapter : str or None
        The adapter on top of it.
    version : int
        Version of the adapter that is in force.
    urgency : int
        From 0 to 9; 9 is the most urgent.
    """

    base_model: str
    adapter: str | None
    version: int
    urgency: int


class GatewayExchange(Exchange):
    """A routed request, and what the filters found out about it.

    Parameters
    ----------
    incoming : skylarkpost.transport.IncomingRequest
        The request as received.
    metadata : RequestMetadata
        What its headers say.
    kwargs : dict
        As for `Exchange`.

    Attributes
    ----------
    rank : int
        0 is the most urgent.
    service : skylarkpost.routing.TargetService or None
        Where it goes; set by the route filter.
    quota_receipt : object or None
        Receipt of the team's limit.
    targets_tried : set of str
        Runs of targets that it was sent to.
    table : skylarkpost.routing.RouteTable or None
        Version of the configuration that it is handled by.
    connection : skylarkpost.transport.TargetConnection or None
        Where it is at work.
    timer : asyncio.TimerHandle or None
        Ends the work at the deadline.
    timed_out : bool
        Whether it has.
    unsent_attempts : int
        Attempts that never left this instance.
    last_event_id : str or None
        Event after which the stream goes on at another target.
    """

    def __init__(self, *, incoming, metadata, **kwargs):
        super().__init__(**kwargs)
        self.incoming = incoming
        self.metadata = metadata
        self.rank = MOST_URGENT
        self.service = None
        self.quota_receipt = None
        self.targets_tried = set()
        self.table = None
        self.connection = None
        self.timer = None
        self.timed_out = False
        self.unsent_attempts = 0
        self.last_event_id = None

    @property
    def is_model_request(self):
        """Whether an engine answers it, rather than a plain service."""
        return self.service is not None and self.service.engine is not None

    @property
    def urgency(self):
        """The rank as an urgency; 9 is the most urgent."""
        return max(0, MOST_URGENT - self.rank)

    def cancel(self, refusal):
        """Stop the request, also at its target. See `Exchange.cancel`."""
        super().cancel(refusal)
        if self.connection is not None:
            self.connection.abort()

    def start_timer(self, seconds):
        """End the work at the target after some seconds, unless it ends before.

        Parameters
        ----------
        seconds : float
            Until the deadline. Later attempts end at the same time.
        """
        if self.timer is None:
            loop = asyncio.get_running_loop()
            self.timer = loop.call_later(seconds, self.time_out)

    def stop_timer(self):
        """Forget the deadline, since the request has ended."""
        if self.timer is not None:
            self.timer.cancel()

    def time_out(self):
        """End the work at the target, since the deadline has passed."""
        self.timed_out = True
        if self.connection is not None:
            self.connection.abort()
