"""Table of the first claim on each key, built from the ``claims`` stream."""

import enum
from collections import OrderedDict
from typing import NamedTuple

from skylarkpost.claims.records import CLAIM, ENDS, is_well_formed, unpack_answer

__all__ = ["ClaimState", "ClaimTable", "ClaimVerdict", "Progress"]


class Progress(enum.StrEnum):
    """Progress of a claimed request."""

    CLAIMED = "claimed"
    ANSWERED = "answered"
    RELEASED = "released"
    UNKNOWN = "unknown"


class ClaimVerdict(enum.StrEnum):
    """Verdict on a claim record."""

    WON = "won"
    LOST = "lost"
    TOO_OLD = "too-old"


class ClaimState(NamedTuple):
    """State of the first claim on a key.

    Attributes
    ----------
    claim : str
        Id of the claim.
    fingerprint : str
        Hash of its request.
    ends_by : float
        Log time, in seconds, by which the request has ended.
    time : float
        Log time of its last record, in seconds.
    progress : Progress
        Progress of the request.
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
    """Applies claim and end records; all readers agree on the winning claims.

    Parameters
    ----------
    age_limits : KeyAgeLimits
        Bounds on the age of keys.
    max_answer_bytes : int
        Limit on the total size of stored answers; the oldest are evicted first.

    Notes
    -----
    A key whose claim may have expired from the log is rejected as too old, by the
    timestamp that it carries. A reader that starts late has therefore read every
    claim on the keys that are still accepted.
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
            When it was appended, in seconds of the log's clock.

        Returns
        -------
        ClaimVerdict or None
            None for records other than claims.
        """
        self.remove_expired(time)
        if not is_well_formed(record):
            return None
        if record["type"] == CLAIM:
            return self._apply_claim(record, time)
        if record["type"] in ENDS:
            self._apply_end(record, time)
        return None

    def find(self, key):
        """Return the state of a key, if known.

        Parameters
        ----------
        key : str
            Hash of the key.

        Returns
        -------
        ClaimState or None
        """
        return self.states.get(key)

    def remove_expired(self, time):
        """Remove claims whose records the log no longer keeps.

        Parameters
        ----------
        time : float
            Current log time, in seconds.
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
        # A record is appended twice when the log's answer to the append was lost.
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
