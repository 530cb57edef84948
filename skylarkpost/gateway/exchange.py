"""State of one routed HTTP request while it passes the filter chain."""

import asyncio
from typing import NamedTuple

from skylarkpost.filters import Exchange

__all__ = ["GatewayExchange", "GatewayProfile"]

MOST_URGENT = 9


class GatewayProfile(NamedTuple):
    """What a request requires of an engine.

    Attributes
    ----------
    base_model : str
        The base model.
    adapter : str or None
        The adapter on top of it.
    version : int
        Active version of the adapter.
    urgency : int
        From 0 to 9; 9 is the most urgent.
    """

    base_model: str
    adapter: str | None
    version: int
    urgency: int


class GatewayExchange(Exchange):
    """A routed request and the state that the filters add to it.

    Parameters
    ----------
    incoming : skylarkpost.transport.IncomingRequest
        The request as received.
    metadata : RequestMetadata
        Metadata from its headers.
    kwargs : dict
        As for `Exchange`.

    Attributes
    ----------
    rank : int
        Urgency rank; 0 is the most urgent.
    service : skylarkpost.routing.TargetService or None
        Service that it is routed to; set by the route filter.
    quota_receipt : object or None
        Receipt of the charge to the team's limit.
    is_target_paused : bool
        Whether the target of the last attempt wants nothing from this instance now.
    used_connections : set of TargetConnection
        Connections that the request was sent on.
    targets_tried : set of str
        Boots of the targets that it was sent to.
    table : skylarkpost.routing.RouteTable or None
        Routes of the configuration version that it is handled with.
    connection : skylarkpost.transport.TargetConnection or None
        Connection of the current attempt.
    timer : asyncio.TimerHandle or None
        Aborts the attempt at the deadline.
    timed_out : bool
        Whether the timer has fired.
    unsent_attempts : int
        Attempts that never left this instance.
    sent_at : float or None
        When the current attempt was sent, in seconds.
    prefill_tokens : float
        Tokens that its engine has to prefill before the first token.
    last_event_id : str or None
        Event after which the stream is resumed at another target.
    run_version : str or None
        Software version of the run that the current attempt was sent to; None if that
        run is not announced.
    software_version : str or None
        Software version that began the stream, which may go on at no other; None for
        any, and once the stream has begun, if it is not known.
    traits : frozenset of str or None
        What crashes of targets can be attributed to; None until it is needed.
    trial : str or None
        Trait for which the request is on trial.
    """

    def __init__(self, *, incoming, metadata, **kwargs):
        super().__init__(**kwargs)
        self.incoming = incoming
        self.metadata = metadata
        self.rank = MOST_URGENT
        self.service = None
        self.quota_receipt = None
        self.targets_tried = set()
        self.used_connections = set()
        self.is_target_paused = False
        self.table = None
        self.connection = None
        self.timer = None
        self.timed_out = False
        self.unsent_attempts = 0
        self.sent_at = None
        self.prefill_tokens = 0.0
        self.last_event_id = None
        self.run_version = None
        self.software_version = None
        self.traits = None
        self.trial = None

    @property
    def is_model_request(self):
        """Whether an engine serves the request, rather than a plain service."""
        return self.service is not None and self.service.engine is not None

    @property
    def urgency(self):
        """The rank expressed as an urgency; 9 is the most urgent."""
        return max(0, MOST_URGENT - self.rank)

    def cancel(self, refusal):
        """Cancel the request, also at its target. See `Exchange.cancel`."""
        super().cancel(refusal)
        if self.connection is not None:
            self.connection.abort(f"cancelled: {refusal.reason}")

    def start_timer(self, seconds):
        """Start the deadline timer, unless an earlier attempt has started it.

        Parameters
        ----------
        seconds : float
            Time until the deadline, which later attempts share.
        """
        if self.timer is None:
            loop = asyncio.get_running_loop()
            self.timer = loop.call_later(seconds, self.time_out)

    def stop_timer(self):
        """Cancel the deadline timer, since the request has ended."""
        if self.timer is not None:
            self.timer.cancel()

    def time_out(self):
        """Abort the attempt, since the deadline has passed."""
        self.timed_out = True
        if self.connection is not None:
            self.connection.abort("the deadline has passed")
