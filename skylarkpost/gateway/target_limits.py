"""Controller that keeps to the request limits that targets name in their answers."""

import asyncio
import logging
import math
from typing import NamedTuple

import msgspec

from skylarkpost.controllers import GATEWAY, Controller, register_controller
from skylarkpost.decoding import Malformed, decode_msgpack
from skylarkpost.eventlog import log_event
from skylarkpost.limits.demand_share import DemandShares, TeamUsage
from skylarkpost.limits.target_limits import TargetLimits, TargetLimitsDigest
from skylarkpost.runtime import BackgroundTask

__all__ = ["TargetLimitController"]

logger = logging.getLogger(__name__)

TOPIC = "target-limits"
PUBLISH_INTERVAL_S = 0.4
# Answers name a limit again and again while it holds.
LIMIT_LIFE_S = 15.0
# Fraction of the tolerated excess that is used; the rest covers requests on their way.
EXCESS_FRACTION = 0.8
# Fraction that is shared out to instances without a steward, whose views may differ.
DIRECT_EXCESS_FRACTION = 0.4
# A request in units of the shares, whose smallest allowance is one unit.
UNITS_PER_REQUEST = 100.0


class _DirectLimit(NamedTuple):
    """A target's limit in the form in which teams have theirs."""

    name: str
    rate: float
    burst: float


@register_controller("target-limits", order=42, front_ends=(GATEWAY,))
class TargetLimitController(Controller):
    """Exchanges the limits that targets name, and shares them between instances.

    The steward of an engine grants its tickets at the limit's rate. Requests without
    a steward, to plain services and to engines whose steward is out of reach, are
    admitted by each instance within its share of the limit, which follows its share
    of the demand.

    Parameters
    ----------
    services : Services
        Services shared by the instance's controllers.

    Attributes
    ----------
    limits : TargetLimits
        The limits.
    shares : DemandShares
        Shares of this instance, by boot of the target.
    """

    def __init__(self, *, services):
        super().__init__(services=services)
        self.limits = TargetLimits(life=LIMIT_LIFE_S)
        self.shares = DemandShares(
            own=services.instance,
            random=services.random,
            slack=0.0,
            window=services.settings.bounds.limit_window_s,
        )
        self.background = BackgroundTask(name="target-limits")

    async def start(self):
        """Start exchanging limits."""
        self.membership.subscribe(TOPIC, self._receive_digest, relayed=True)
        self.background.start(self._run())

    async def stop(self):
        """Stop exchanging limits."""
        await self.background.stop()

    def status(self):
        """Return the limits in force, by boot of the target."""
        now = self.services.clock()
        limits = {boot: self.limit(boot, now) for boot in self.limits.newest}
        return {boot: limit for boot, limit in limits.items() if limit is not None}

    @property
    def membership(self):
        """The membership controller."""
        return self.services.controllers["membership"]

    def limit(self, boot, now):
        """Return the limit of a target; see `TargetLimits.limit`."""
        return self.limits.limit(boot, now)

    def pace(self, pace, boot, now):
        """Set the pace of a steward to the limit of its engine.

        Parameters
        ----------
        pace : skylarkpost.stewardship.request_pace.RequestPace
            The pace.
        boot : str
            Boot of the engine.
        now : float
            The present time, in seconds.
        """
        limit = self.limit(boot, now)
        allowed = math.inf
        if limit is not None:
            allowed = limit * pace.window + self._excess(limit, EXCESS_FRACTION)
        pace.set_limit(limit, allowed=allowed, now=now)

    def _excess(self, limit, fraction):
        """Return the requests in a window that may exceed a limit."""
        bounds = self.services.settings.bounds
        tolerated = bounds.limit_overrun * limit * bounds.limit_window_s
        return fraction * (tolerated + bounds.limit_slack)

    def note_answer(self, ticket, limit, *, sent_at):
        """Record the limit that an answer names.

        Parameters
        ----------
        ticket : Ticket
            Ticket of the answered request.
        limit : float or None
            Requests a second; None if the answer names none.
        sent_at : float
            When the request was sent, in seconds.
        """
        if self.limits.note_answer(ticket.boot, limit, sent_at=sent_at):
            log_event(
                logger,
                "target-limit",
                target=ticket.target,
                boot=ticket.boot,
                limit=limit,
            )

    def admit(self, boot, now):
        """Admit a request to a target that is sent without a steward.

        Parameters
        ----------
        boot : str
            Boot of the target.
        now : float
            The present time, in seconds.

        Returns
        -------
        float
            0 if it is admitted; otherwise seconds after which to retry.
        """
        limit = self.limit(boot, now)
        if limit is None:
            return 0.0
        # Shares follow callers that move to other instances, but what was admitted
        # where they came from still counts at the target.
        most = limit * self.shares.window + self._excess(limit, EXCESS_FRACTION)
        admitted = self.shares.admitted_by_all(boot, now) / UNITS_PER_REQUEST
        if admitted + 1.0 > most:
            return self.shares.window / max(1.0, most)
        instances = max(self.services.fleet_size(), 1 + len(self.shares.received))
        outcome = self.shares.admit(
            _DirectLimit(
                boot,
                limit * UNITS_PER_REQUEST,
                self._excess(limit, DIRECT_EXCESS_FRACTION) * UNITS_PER_REQUEST,
            ),
            UNITS_PER_REQUEST,
            instances=instances,
            now=now,
        )
        return outcome if isinstance(outcome, float) else 0.0

    def _receive_digest(self, member, payload, now):
        digest = decode_msgpack(payload, TargetLimitsDigest)
        if isinstance(digest, Malformed):
            self.services.metrics.count_event("malformed-digest")
            return
        for boot, (limit, age) in digest.limits.items():
            if self.limits.receive(boot, limit, now - age):
                log_event(
                    logger,
                    "target-limit-heard",
                    instance=member.instance,
                    boot=boot,
                    limit=limit,
                    age=age,
                )
        usage = {boot: TeamUsage(*each) for boot, each in digest.usage.items()}
        self.shares.receive(member.instance, usage, now)

    async def _run(self):
        while True:
            now = self.services.clock()
            self.limits.expire(now)
            for boot in [b for b in self.shares.demands if b not in self.limits.newest]:
                self.shares.drop(boot)
            usage = {
                boot: tuple(round(number, 1) for number in each)
                for boot, each in self.shares.report(now).items()
            }
            digest = TargetLimitsDigest(self.limits.own_ages(now), usage)
            self.membership.publish(TOPIC, msgspec.msgpack.encode(digest))
            self.shares.note_heard(self.membership.heard(now), now)
            await asyncio.sleep(PUBLISH_INTERVAL_S)
