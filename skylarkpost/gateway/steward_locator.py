"""Finds the instances that steward the engines, and the engines without one."""

import logging
import math

from skylarkpost.eventlog import log_event
from skylarkpost.membership import MemberState
from skylarkpost.stewardship.directory import StewardAddress

__all__ = ["StewardLocator"]

logger = logging.getLogger(__name__)

# Time for which an unresponsive steward is avoided. After two heartbeats, membership
# knows whether it is silent.
STEWARD_AVOID_S = 1.0
# States of members change at this interval.
CACHE_S = 0.1


class StewardLocator:
    """Addresses of stewards, by target.

    Load pattern: hundreds of engines, of which a few have no reachable steward, and
    many requests between two changes of the leases or of the members' states.

    Parameters
    ----------
    table : skylarkpost.stewardship.leases.LeaseTable
        The leases.
    find_member : callable
        Takes an instance and ``now``, and returns its `Member` or None.

    Attributes
    ----------
    avoid_until : dict of str to float
        Unresponsive stewards, and until when they are avoided, in seconds.
    """

    def __init__(self, *, table, find_member):
        self.table = table
        self.find_member = find_member
        self.avoid_until = {}
        self.unreachable = frozenset()
        self.unreachable_of = None
        self.unreachable_at = -math.inf

    def find(self, target, now):
        """Return the steward that grants tickets of a target.

        Parameters
        ----------
        target : str
            The target.
        now : float
            The present time, in seconds.

        Returns
        -------
        StewardAddress or None
            None if the steward is unknown, silent or recently unresponsive.
        """
        holder = self.table.holder(target)
        if holder is None:
            return None
        member = self._reachable_member(holder, now)
        if member is None:
            return None
        return StewardAddress(holder, member.address, self.table.leases[target].number)

    def without_steward(self, by_name, now):
        """Return the targets that have no reachable steward.

        Parameters
        ----------
        by_name : dict of str to object
            The targets, by name; the same object as long as they do not change.
        now : float
            The present time, in seconds.

        Returns
        -------
        frozenset of str
            At most `CACHE_S` old, except that a steward that was just found
            unresponsive is excluded at once.
        """
        is_fresh = self.unreachable_at <= now < self.unreachable_at + CACHE_S
        if is_fresh and self.unreachable_of is by_name:
            return self.unreachable
        reachable = {}
        missing = []
        for name in by_name:
            holder = self.table.holder(name)
            if holder not in reachable:
                reachable[holder] = (
                    holder is not None
                    and self._reachable_member(holder, now) is not None
                )
            if not reachable[holder]:
                missing.append(name)
        self.unreachable = frozenset(missing)
        self.unreachable_of = by_name
        self.unreachable_at = now
        return self.unreachable

    def note_unresponsive(self, steward, now):
        """Avoid a steward that has not answered.

        Parameters
        ----------
        steward : StewardAddress
            The steward.
        now : float
            The present time, in seconds.
        """
        self.avoid_until[steward.instance] = now + STEWARD_AVOID_S
        self.unreachable_at = -math.inf
        log_event(logger, "steward-silent", steward=steward.instance)

    def _reachable_member(self, instance, now):
        if self.avoid_until.get(instance, -math.inf) > now:
            return None
        member = self.find_member(instance, now)
        if member is None or member.state is MemberState.SILENT:
            return None
        return member
