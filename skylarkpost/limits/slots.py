"""Ownership of share slots, derived from the records on the `state` stream."""

import enum
from dataclasses import dataclass, field, replace
from typing import NamedTuple, TypedDict

__all__ = [
    "UNKNOWN_OWNER",
    "SlotOwner",
    "SlotRecord",
    "SlotState",
    "SlotTable",
    "Succession",
]


class Succession(enum.StrEnum):
    """How the present owner of a slot obtained it."""

    FIRST = "first"
    RELEASED = "released"
    TAKEN_OVER = "taken-over"


class SlotRecord(TypedDict, total=False):
    """A record about a slot on the log.

    Attributes
    ----------
    type : str
        ``slot-claim``, ``slot-confirm`` or ``slot-release``.
    slot : str
        Id of the slot.
    instance, boot : str
        Instance and run that wrote the record.
    expects : int or None
        In a claim: offset of the claim that it replaces.
    claim : int
        In the other records: offset of the writer's own claim.
    balances : dict of str to float
        In a release: tokens by team that pass to the next owner.
    """

    type: str
    slot: str
    instance: str
    boot: str
    expects: int | None
    claim: int
    balances: dict


class SlotOwner(NamedTuple):
    """One run of one instance.

    Attributes
    ----------
    instance : str
        Its id.
    boot : str
        Id of the run.
    """

    instance: str
    boot: str


# Placeholder for an owner whose records have expired.
UNKNOWN_OWNER = SlotOwner("", "")


@dataclass(frozen=True, kw_only=True)
class SlotState:
    """State of one slot according to the log.

    Parameters
    ----------
    claim : int
        Offset of the accepted claim, which is its fencing number.
    owner : SlotOwner
        Instance and run that wrote the claim.
    renewed_at : float
        Log time of the owner's last record, in seconds.
    released : bool
        Whether the owner has released the slot.
    balances : dict of str to float
        Tokens by team that are handed over with the slot: for the next owner if
        it is released, else those received from the previous owner.
    succession : Succession
        How the owner obtained the slot; ``FIRST`` only if it had no owner before.
    predecessors : tuple of SlotOwner
        Owners that may still use the slot under an earlier claim: the last one
        that confirmed its claim, and all that have claimed the slot since.
    """

    claim: int
    owner: SlotOwner
    renewed_at: float
    released: bool = False
    balances: dict = field(default_factory=dict)
    succession: Succession = Succession.TAKEN_OVER
    predecessors: tuple[SlotOwner, ...] = ()


class SlotTable:
    """Derives the owners of slots from the log, alike for all readers.

    Parameters
    ----------
    retention : float
        Seconds that the log keeps a record.

    Attributes
    ----------
    states : dict of str to SlotState
        Known states by slot.
    undetermined : dict of str to float
        Slots with claims that can't be decided, since older records expired
        before they were read; with the log time at which the last such claim
        expires.
    complete : bool
        Whether every record ever written has been read.
    caught_up : bool
        Whether the end of the stream has been reached.

    Notes
    -----
    A claim names the claim that it replaces and is accepted only if that is
    the present one (compare-and-set), so that the first by offset wins. An owner
    confirms its claim once it has read it back as accepted, and again before the
    record expires. A reader that missed the beginning of the stream relies on
    confirmations, since a claim alone may have been rejected; of two
    confirmations the one of the later claim counts.
    """

    def __init__(self, *, retention):
        self.retention = retention
        self.states = {}
        self.undetermined = {}
        self.complete = True
        self.caught_up = False

    def note_gap(self):
        """Record that records expired before they were read."""
        self.complete = False
        self.caught_up = False
        self.states.clear()

    def note_caught_up(self):
        """Record that the end of the stream has been reached."""
        self.caught_up = True

    def apply(self, record, offset, time):
        """Apply one record.

        Parameters
        ----------
        record : SlotRecord
            The record.
        offset : int
            Its offset.
        time : float
            When it was appended, on the log's clock in seconds.

        Returns
        -------
        bool
            Whether it was accepted.
        """
        if not _is_well_formed(record):
            return False
        if record["type"] == "slot-claim":
            return self._apply_claim(record, offset, time)
        return self._apply_owner_record(record, time)

    def claimable(self, slot, time):
        """Return whether all readers could decide on a claim of a slot.

        Parameters
        ----------
        slot : str
            Id of the slot.
        time : float
            The best estimate of the log's present time, in seconds.

        Returns
        -------
        bool
        """
        known = slot in self.states
        return known or (
            (self.complete or self.caught_up) and not self._is_undetermined(slot, time)
        )

    def expected_claim(self, slot, time):
        """Return the offset that a new claim of a slot has to name as replaced.

        Parameters
        ----------
        slot : str
            Id of the slot.
        time : float
            The best estimate of the log's present time, in seconds.

        Returns
        -------
        int or None
            None if the slot has no owner or its records have expired.
        """
        state = self.states.get(slot)
        if state is None or self._is_expired(state, time):
            return None
        return state.claim

    def _apply_claim(self, record, offset, time):
        slot = record["slot"]
        state = self.states.get(slot)
        expects = record.get("expects")
        expired = state is None or self._is_expired(state, time)
        if state is None and self._is_undecidable(slot, expects, time):
            self.undetermined[slot] = time + self.retention
            return False
        if expects != (None if expired else state.claim):
            return False
        succession = self._succession(state)
        handed_over = succession is Succession.RELEASED and not expired
        self.states[slot] = SlotState(
            claim=offset,
            owner=_owner_of(record),
            renewed_at=time,
            balances=state.balances if handed_over else {},
            succession=succession,
            predecessors=self._predecessors(state),
        )
        return True

    def _succession(self, state):
        if state is None:
            return Succession.FIRST if self.complete else Succession.TAKEN_OVER
        return Succession.RELEASED if state.released else Succession.TAKEN_OVER

    def _predecessors(self, state):
        if state is None:
            return () if self.complete else (UNKNOWN_OWNER,)
        if state.released:
            return ()
        return (*state.predecessors, state.owner)

    def _is_undecidable(self, slot, expects, time):
        if self.complete:
            return False
        return expects is not None or not self.claimable(slot, time)

    def _apply_owner_record(self, record, time):
        slot = record["slot"]
        state = self.states.get(slot)
        claim = record["claim"]
        if state is not None and not _is_current_or_newer(record, state):
            return False
        released = record["type"] == "slot-release"
        if state is None or state.claim != claim:
            state = SlotState(claim=claim, owner=_owner_of(record), renewed_at=time)
        self.states[slot] = replace(
            state,
            renewed_at=time,
            # An owner confirms only after it has waited for all predecessors.
            predecessors=(),
            released=released,
            balances=record.get("balances", {}) if released else state.balances,
        )
        self.undetermined.pop(slot, None)
        return True

    def _is_expired(self, state, time):
        return time >= state.renewed_at + self.retention

    def _is_undetermined(self, slot, time):
        return time < self.undetermined.get(slot, float("-inf"))


def _owner_of(record):
    return SlotOwner(record["instance"], record["boot"])


def _is_current_or_newer(record, state):
    if record["claim"] != state.claim:
        return record["claim"] > state.claim
    return not state.released and _owner_of(record) == state.owner


def _is_well_formed(record):
    text_fields = ("slot", "instance", "boot")
    if not all(isinstance(record.get(name), str) for name in text_fields):
        return False
    if record["type"] == "slot-claim":
        return isinstance(record.get("expects"), int | None)
    return isinstance(record.get("claim"), int)
