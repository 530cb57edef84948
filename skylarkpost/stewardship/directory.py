"""Finds the steward of a target among the live instances."""

from typing import NamedTuple

__all__ = ["StewardAddress", "StewardDirectory"]


class StewardAddress(NamedTuple):
    """Where the steward of a target is.

    Attributes
    ----------
    instance : str
        The steward.
    address : str
        ``IP:PORT`` for peers.
    number : int
        Its fencing number.
    """

    instance: str
    address: str
    number: int


class StewardDirectory:
    """Joins the claims on the log with what live instances say of themselves.

    Parameters
    ----------
    table : StewardshipTable
        Claims on the log.

    Attributes
    ----------
    summaries : dict of str to dict of bool to TargetSummary
        Newest summary by target and by whether its steward has full powers.
    """

    def __init__(self, *, table):
        self.table = table
        self.summaries = {}

    def note_summary(self, summary):
        """Take in what a steward says of itself.

        Parameters
        ----------
        summary : TargetSummary
            The summary.
        """
        known = self.summaries.setdefault(summary.target, {})
        before = known.get(summary.full_powers)
        if before is None or before.fencing_number <= summary.fencing_number:
            known[summary.full_powers] = summary

    def steward(self, target, members):
        """Return the steward to ask.

        Parameters
        ----------
        target : str
            The target.
        members : dict of str to object
            Live instances by id, with ``address`` and ``boot``.

        Returns
        -------
        StewardAddress or None
            None if no live instance is steward.
        """
        for full_powers in (True, False):
            found = self._steward(target, members, full_powers)
            if found is not None:
                return found
        return None

    def _steward(self, target, members, full_powers):
        table = self.table.full if full_powers else self.table.limited
        claim = table.get(target)
        summary = self.summaries.get(target, {}).get(full_powers)
        if summary is not None and (
            claim is None or summary.fencing_number > claim.number
        ):
            member = members.get(summary.steward)
            number = summary.fencing_number
        elif claim is not None and not claim.released:
            member = members.get(claim.instance)
            number = claim.number
            if member is not None and member.boot not in (claim.boot, ""):
                member = None
        else:
            return None
        if member is None:
            return None
        return StewardAddress(member.instance, member.address, number)
