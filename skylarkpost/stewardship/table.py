"""Stewards of the targets, as recorded on the log."""

from typing import NamedTuple

__all__ = [
    "CLAIM",
    "RELEASE",
    "Claim",
    "StewardshipTable",
    "claim_record",
    "release_record",
]

CLAIM = "steward-claim"
RELEASE = "steward-release"


class Claim(NamedTuple):
    """A stewardship as recorded on the log.

    Attributes
    ----------
    target : str
        The target.
    instance, boot : str
        The steward, and the boot id of its process.
    data_centre : str
        Data centre of the steward.
    number : int
        Fencing number: the offset of the first record of the claim.
    full_powers : bool
        Whether the steward may evict.
    released : bool
        Whether it has been released.
    stated_at : float
        When its newest record was appended, by the log's wall clock.
    stated_offset : int
        Offset of its newest record.
    """

    target: str
    instance: str
    boot: str
    data_centre: str
    number: int
    full_powers: bool
    released: bool
    stated_at: float
    stated_offset: int


class StewardshipTable:
    """The newest claim on each target.

    A claim with a higher number always replaces one with a lower number, so
    all readers reach the same result, whichever part of the stream they have
    read. Limited claims are stored separately: they never replace a full one.

    Attributes
    ----------
    full, limited : dict of str to Claim
        Newest claims with full and limited powers, by target.
    """

    def __init__(self):
        self.full = {}
        self.limited = {}

    def apply(self, record, offset, time):
        """Apply one record of the stream.

        Parameters
        ----------
        record : dict
            The record; other types and malformed records are ignored.
        offset : int
            Its offset.
        time : float
            When it was appended, by the log's wall clock.

        Returns
        -------
        Claim or None
            The new or changed claim.
        """
        try:
            if record["type"] == CLAIM:
                return self._apply_claim(record, offset, time)
            if record["type"] == RELEASE:
                return self._apply_release(record)
        except (KeyError, TypeError):
            return None
        return None

    def steward(self, target):
        """Return the full claim on a target.

        Parameters
        ----------
        target : str
            The target.

        Returns
        -------
        Claim or None
            The newest full claim, released or not; None without one.
        """
        return self.full.get(target)

    def due_restatements(self, *, instance, boot, stated_before):
        """Return the claims of this instance that are due for restatement.

        Parameters
        ----------
        instance, boot : str
            This instance, and the boot id of its process.
        stated_before : float
            Claims whose newest record is older than this are due, in seconds of
            the log's wall clock.

        Returns
        -------
        list of Claim
        """
        return [
            claim
            for claim in (*self.full.values(), *self.limited.values())
            if (claim.instance, claim.boot) == (instance, boot)
            and not claim.released
            and claim.stated_at < stated_before
        ]

    def _apply_claim(self, record, offset, time):
        number = record.get("restates")
        full = record["powers"] == "full"
        claim = Claim(
            target=str(record["target"]),
            instance=str(record["instance"]),
            boot=str(record["boot"]),
            data_centre=str(record["data_centre"]),
            number=offset if number is None else int(number),
            full_powers=full,
            released=False,
            stated_at=time,
            stated_offset=offset,
        )
        assert claim.number <= offset
        table = self.full if full else self.limited
        known = table.get(claim.target)
        if known is not None:
            if known.number > claim.number:
                return None
            if known.number == claim.number:
                claim = claim._replace(released=known.released)
        table[claim.target] = claim
        return claim

    def _apply_release(self, record):
        target, number = str(record["target"]), int(record["number"])
        for table in (self.full, self.limited):
            known = table.get(target)
            if known is not None and known.number == number:
                table[target] = known._replace(released=True)
                return table[target]
        return None


def claim_record(*, target, instance, boot, data_centre, full_powers, restates=None):
    """Return the record of a claim.

    Parameters
    ----------
    target, instance, boot, data_centre : str
        The target, and the instance that claims it.
    full_powers : bool
        Whether the steward may evict.
    restates : int or None
        Number of the claim to restate; None for a new claim.

    Returns
    -------
    dict
    """
    record = {
        "type": CLAIM,
        "target": target,
        "instance": instance,
        "boot": boot,
        "data_centre": data_centre,
        "powers": "full" if full_powers else "limited",
    }
    if restates is not None:
        record["restates"] = restates
    return record


def release_record(*, target, number):
    """Return the record of a release.

    Parameters
    ----------
    target : str
        The target.
    number : int
        Number of the claim to release.

    Returns
    -------
    dict
    """
    return {"type": RELEASE, "target": target, "number": number}
