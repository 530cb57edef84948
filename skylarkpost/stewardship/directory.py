"""Finds the steward of a target among the live instances."""

from typing import NamedTuple

__all__ = ["StewardAddress", "StewardDirectory"]


class StewardAddress(NamedTuple):
    """Address of the steward of a target.

    Attributes
    ----------
    instance : str
        Instance of the steward.
    address : str
        ``IP:PORT`` for other instances.
    number : int
        Fencing number of the steward.
    """

    instance: str
    address: str
    number: int


class StewardDirectory:
    """Combines the claims on the log with the summaries that stewards publish.

    Parameters
    ----------
    table : StewardshipTable
        Claims on the log.

    Attributes
    ----------
    summaries : dict of str to dict of bool to TargetSummary
        Newest summary, by target and by whether its steward has full powers.
    """

    def __init__(self, *, table):
        self.table = table
        self.summaries = {}

    def note_summary(self, summary):
        """Record a summary that a steward published.

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
        """Return the steward to send requests to.

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
