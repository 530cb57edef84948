"""Ordering and deduplication of answer events across resumes and retries."""

import json
from dataclasses import dataclass

__all__ = ["AnswerSequence", "Diverged", "Dropped", "Forwarded", "Gap"]


@dataclass(frozen=True, kw_only=True)
class Forwarded:
    """The event is the next one of the answer and is forwarded to the caller.

    Parameters
    ----------
    data : bytes
        The event as the engine sent it.
    """

    data: bytes


@dataclass(frozen=True, kw_only=True)
class Dropped:
    """The event is not forwarded.

    Parameters
    ----------
    reason : str
        ``"late"`` (from an abandoned attempt), ``"duplicate"`` or
        ``"replayed"`` (already forwarded from an earlier attempt).
    """

    reason: str


@dataclass(frozen=True, kw_only=True)
class Gap:
    """Events before this one are missing.

    Parameters
    ----------
    resume_after : int
        Number of the last event of this attempt received without a gap.
    """

    resume_after: int


@dataclass(frozen=True, kw_only=True)
class Diverged:
    """A repeated attempt differs from the events already forwarded."""


class AnswerSequence:
    """Decides for each event of an engine's stream whether to forward it.

    Events are numbered from 1 in each attempt. A repeated attempt starts again
    at 1 and must first repeat the events already forwarded; the events after
    those continue the answer.

    Attributes
    ----------
    attempt : int
        Number of the current attempt, from 1; 0 before the first.
    received : int
        Number of events of the current attempt received without a gap.
    forwarded : list of bytes
        Events forwarded to the caller, in order.
    """

    def __init__(self):
        self.attempt = 0
        self.received = 0
        self.forwarded = []

    def begin_attempt(self):
        """Start the next attempt; events of earlier attempts now count as late.

        Returns
        -------
        int
            Number of the new attempt.
        """
        self.attempt += 1
        self.received = 0
        return self.attempt

    def accept(self, *, attempt, event_id, data):
        """Decide whether to forward one event.

        Parameters
        ----------
        attempt : int
            Number of the attempt that the event belongs to.
        event_id : int
            Number of the event in that attempt.
        data : bytes
            The event as the engine sent it.

        Returns
        -------
        Forwarded or Dropped or Gap or Diverged
        """
        if attempt != self.attempt:
            return Dropped(reason="late")
        if event_id <= self.received:
            return Dropped(reason="duplicate")
        if event_id > self.received + 1:
            return Gap(resume_after=self.received)
        self.received += 1
        if self.received <= len(self.forwarded):
            return self._compare(data)
        self.forwarded.append(data)
        assert len(self.forwarded) == self.received
        return Forwarded(data=data)

    def _compare(self, data):
        previous = self.forwarded[self.received - 1]
        if data != previous and generated_text(data) != generated_text(previous):
            return Diverged()
        return Dropped(reason="replayed")


def generated_text(data):
    """Return the generated content of an event.

    Parameters
    ----------
    data : bytes
        One event of a chat or text completion.

    Returns
    -------
    list of tuple
        Text and finish reason of each choice. Ids and times are left out, since
        they differ between attempts.
    """
    if data == b"[DONE]":
        return [("[DONE]", None)]
    choices = json.loads(data).get("choices", [])
    return [(_text(choice), choice.get("finish_reason")) for choice in choices]


def _text(choice):
    if "delta" in choice:
        return choice["delta"].get("content")
    return choice.get("text")
