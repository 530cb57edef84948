"""Which claim on a key came first: a fold of the ``claims`` stream."""

import enum
from collections import OrderedDict
from typing import NamedTuple

from skylarkpost.claims.records import CLAIM, ENDS, is_well_formed, unpack_answer

__all__ = ["ClaimState", "ClaimTable", "ClaimVerdict", "Progress"]


class Progress(enum.StrEnum):
    """How far a claimed request has come."""

    CLAIMED = "claimed"
    ANSWERED = "answered"
    RELEASED = "released"
    UNKNOWN = "unknown"


class ClaimVerdict(enum.StrEnum):
    """What became of a claim record."""

    WON = "won"
    LOST = "lost"
    TOO_OLD = "too-old"


class ClaimState(NamedTuple):
    """The claim that came first on a key.

    Attributes
    ----------
    claim : str
        Its id.
    fingerprint : str
        Hash of its request.
    ends_by : float
        Log time, in seconds, by which the request has ended.
    time : float
        Log time of the last record about it, in seconds.
    progress : Progress
        How far it has come.
    answer : skylarkpost.filters.Answer or None
        The stored answer.
    """

    claim: str
    fingerprint: str
    ends_by: float
    time: float
    progress: Progress
    answer: tuple | None = None


class ClaimTable:
    """Folds claims and how they ended; all readers come to the same winners.

    Parameters
    ----------
    age_limits : KeyAgeLimits
        How old keys may be.
    max_answer_bytes : int
        Bytes of all stored answers together; the oldest go first.

    Notes
    -----
    A key whose claim may have expired is never claimed anew, since the time
    that it carries tells its age. A reader that begins late has therefore read
    every claim on the keys that it can still judge.
    """

    def __init__(self, *, age_limits, max_answer_bytes):
        self.age_limits = age_limits
        self.max_answer_bytes = max_answer_bytes
        self.states = OrderedDict()
        self.answer_sizes = OrderedDict()
        self.answer_bytes = 0

    def apply(self, record, time):
        """Apply one record.

        Parameters
        ----------
        record : ClaimRecord or EndRecord
            The record.
        time : float
            When it was appended, on the log's clock in seconds.

        Returns
        -------
        ClaimVerdict or None
            None for anything but a claim.
        """
        self.forget_expired(time)
        if not is_well_formed(record):
            return None
        if record["type"] == CLAIM:
            return self._apply_claim(record, time)
        if record["type"] in ENDS:
            self._apply_end(record, time)
        return None

    def find(self, key):
        """Return what is known about a key.

        Parameters
        ----------
        key : str
            Hash of the key.

        Returns
        -------
        ClaimState or None
        """
        return self.states.get(key)

    def forget_expired(self, time):
        """Forget what the log no longer keeps.

        Parameters
        ----------
        time : float
            The log's time, in seconds.
        """
        oldest = time - self.age_limits.retention
        while self.states:
            key, state = next(iter(self.states.items()))
            if state.time > oldest:
                return
            self._remove(key)

    def _apply_claim(self, record, time):
        key, made_at = record["key"], record["made_at"]
        if self.age_limits.is_too_old(made_at, time):
            return ClaimVerdict.TOO_OLD
        if self.age_limits.is_in_future(made_at, time):
            return ClaimVerdict.TOO_OLD
        state = self.states.get(key)
        if state is not None and state.progress is not Progress.RELEASED:
            return (
                ClaimVerdict.WON
                if self._is_duplicate(state, record)
                else ClaimVerdict.LOST
            )
        if state is not None and state.claim == record["claim"]:
            return ClaimVerdict.LOST
        self._remove(key)
        self.states[key] = ClaimState(
            claim=record["claim"],
            fingerprint=record["fingerprint"],
            ends_by=time + record["life"],
            time=time,
            progress=Progress.CLAIMED,
        )
        return ClaimVerdict.WON

    def _apply_end(self, record, time):
        key = record["key"]
        state = self.states.get(key)
        if state is None or state.claim != record["claim"]:
            return
        if state.progress is not Progress.CLAIMED:
            return
        progress = Progress(record["type"].removeprefix("claim-"))
        answer = unpack_answer(record) if progress is Progress.ANSWERED else None
        self._remove(key)
        self.states[key] = state._replace(time=time, progress=progress, answer=answer)
        size = _size(answer)
        if size:
            self.answer_sizes[key] = size
            self.answer_bytes += size
            self._evict_answers()

    def _is_duplicate(self, state, record):
        # The same record appended twice, after an answer of the log was lost.
        return state.claim == record["claim"] and state.progress is Progress.CLAIMED

    def _evict_answers(self):
        while self.answer_bytes > self.max_answer_bytes:
            key, size = self.answer_sizes.popitem(last=False)
            self.answer_bytes -= size
            state = self.states[key]
            answer = state.answer._replace(body=None)
            self.states[key] = state._replace(answer=answer)

    def _remove(self, key):
        self.states.pop(key, None)
        self.answer_bytes -= self.answer_sizes.pop(key, 0)


def _size(answer):
    return len(answer.body) if answer is not None and answer.body is not None else 0
