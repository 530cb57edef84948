"""Controller that sends targets no more than they tolerate while they warm up."""

import logging

from skylarkpost.controllers import GATEWAY, Controller, register_controller
from skylarkpost.eventlog import log_event
from skylarkpost.membership import MemberState
from skylarkpost.placement.warm_up import WarmUpLimit, WarmUps, WarmUpShares

__all__ = ["WarmUpController"]

logger = logging.getLogger(__name__)


@register_controller("warm-ups", order=7, front_ends=(GATEWAY,))
class WarmUpController(Controller):
    """Paces the stewards of engines, and this instance's requests to plain targets.

    It acts on services whose configuration names a rate. An engine without a reachable
    steward gets nothing while it warms up, since its limit can't be shared then.

    Parameters
    ----------
    services : Services
        Services shared by the instance's controllers.

    Attributes
    ----------
    warm_ups : WarmUps
        Targets that warm up.
    shares : WarmUpShares
        Share of this instance in the limits of plain targets.
    """

    def __init__(self, *, services):
        super().__init__(services=services)
        self.warm_ups = WarmUps()
        self.shares = WarmUpShares(own=services.instance)

    def status(self):
        """Return the seconds of warm-up left, by boot of the target."""
        now = self.services.clock()
        return {
            boot: self.warm_ups.left(boot, now) for boot in self.warm_ups.boots(now)
        }

    def note_entry(self, entry, now):
        """Record what the announcement of a target says.

        Parameters
        ----------
        entry : skylarkpost.discovery.TargetEntry
            The announcement.
        now : float
            The present time, in seconds.
        """
        if entry.warm_up_left and not self.warm_ups.left(entry.boot, now):
            self._log(entry.name, entry.boot, entry.warm_up_left, "announcement")
        self.warm_ups.note_announced(entry.boot, entry.warm_up_left, now=now)

    def note_answer(self, target, boot, left, now):
        """Record what an answer says of its target.

        Parameters
        ----------
        target, boot : str
            The target and its boot.
        left : float or None
            Seconds of warm-up left; None if the answer says nothing.
        now : float
            The present time, in seconds.
        """
        if self.warm_ups.note_answer(boot, left, now=now):
            self._log(target, boot, left, "answer")

    def is_limited(self, boot, service, now):
        """Return whether a target warms up and names what it tolerates meanwhile.

        Parameters
        ----------
        boot : str
            Boot of the target.
        service : skylarkpost.routing.TargetService
            Its service.
        now : float
            The present time, in seconds.

        Returns
        -------
        bool
        """
        return service.warm_up is not None and self._left(boot, service, now) > 0.0

    def pace(self, steward, service, now):
        """Set the pace of a steward.

        Parameters
        ----------
        steward : skylarkpost.stewardship.steward.TargetSteward
            The steward.
        service : skylarkpost.routing.TargetService
            The engine's service.
        now : float
            The present time, in seconds.
        """
        if steward.boot is None or not self.is_limited(steward.boot, service, now):
            steward.warm_up_pace.set_limit(None, allowed=0.0, now=now)
            return
        limit = self._limit(service)
        steward.warm_up_pace.set_limit(limit.rate, allowed=limit.allowed, now=now)

    def admit(self, boot, service, now):
        """Admit a request to a plain target.

        Parameters
        ----------
        boot : str
            Boot of the target.
        service : skylarkpost.routing.TargetService
            Its service.
        now : float
            The present time, in seconds.

        Returns
        -------
        float
            0 if it is admitted; otherwise seconds after which to retry.
        """
        if not self.is_limited(boot, service, now):
            return 0.0
        membership = self.services.controllers["membership"]
        return self.shares.admit(
            boot,
            self._limit(service),
            left=self._left(boot, service, now),
            instances=(
                member.instance
                for member in membership.members(now)
                if member.state is MemberState.LIVE
            ),
            now=now,
        )

    def _limit(self, service):
        bounds = self.services.settings.bounds
        rate = service.warm_up.rate
        excess = rate * (bounds.warm_up_overrun - 1.0) + bounds.warm_up_slack
        return WarmUpLimit(rate, excess)

    def _left(self, boot, service, now):
        left = self.warm_ups.left(boot, now)
        directory = self.services.controllers["directory"].targets
        if left or not directory.is_newer_run(boot):
            return left
        # Its steward has heard of the restart, but it isn't announced yet.
        return service.warm_up.duration

    def _log(self, target, boot, left, source):
        log_event(
            logger,
            "target-warming-up",
            target=target,
            boot=boot,
            seconds=left,
            source=source,
        )
