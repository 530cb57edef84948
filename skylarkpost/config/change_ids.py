"""Deduplicates changes for as long as copies of them may arrive."""

import hashlib

from skylarkpost.config.verdicts import Accepted, Conflict

__all__ = ["ChangeIds"]

DIGEST_BYTES = 8
PRUNE_EVERY = 256


class ChangeIds:
    """Verdicts on recent changes, by item and change id.

    A change can only be applied until `valid_for` seconds after it was made. Later
    copies are invalid on all instances, so its id is dropped then.
    """

    def __init__(self):
        self.verdicts = {}
        self._added = 0

    def __len__(self):
        return len(self.verdicts)

    def find(self, change):
        """Return whether a copy of a change was already evaluated, and its verdict.

        Parameters
        ----------
        change : ChangeRecord
            The change.

        Returns
        -------
        bool
            Whether it was already evaluated.
        Accepted or Conflict or None
            Verdict on the first copy, if known.
        """
        found = self.verdicts.get(_digest(change))
        if found is None:
            return False, None
        _, accepted, first, second = found
        if accepted is None:
            return True, None
        if accepted:
            return True, Accepted(version=first, previous_version=second)
        return True, Conflict(expected_version=first, present_version=second)

    def add(self, change, verdict, *, time):
        """Store the verdict on a change.

        Parameters
        ----------
        change : ChangeRecord
            The change.
        verdict : Accepted or Conflict or None
            Its verdict; None if unknown.
        time : float
            Log time of the record, in seconds.
        """
        expiry = change["made_at"] + change["valid_for"]
        if isinstance(verdict, Accepted):
            kept = (expiry, True, verdict.version, verdict.previous_version)
        elif isinstance(verdict, Conflict):
            kept = (expiry, False, verdict.expected_version, verdict.present_version)
        else:
            kept = (expiry, None, 0, 0)
        self.verdicts[_digest(change)] = kept
        self._added += 1
        if self._added % PRUNE_EVERY == 0:
            self.prune(time=time)

    def prune(self, *, time):
        """Drop changes of which no copy can still be valid.

        Parameters
        ----------
        time : float
            Log time of the last record, in seconds.
        """
        self.verdicts = {
            digest: kept for digest, kept in self.verdicts.items() if kept[0] >= time
        }


def _digest(change):
    text = f"{change['kind']}\0{change['name']}\0{change['change_id']}"
    return hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).digest()
