"""Keeps the events of an answer in order over resumed and repeated attempts."""

import json
from dataclasses import dataclass

__all__ = ["AnswerSequence", "Diverged", "Dropped", "Forwarded", "Gap"]


@dataclass(frozen=True, kw_only=True)
class Forwarded:
    """The event is the next one of the answer.

    Parameters
    ----------
    data : bytes
        What the engine sent.
    """

    data: bytes


@dataclass(frozen=True, kw_only=True)
class Dropped:
    """The event is not handed on.

    Parameters
    ----------
    reason : str
        ``"late"`` (of an attempt that was given up), ``"duplicate"`` or
        ``"replayed"`` (the caller has it from an earlier attempt).
    """

    reason: str


@dataclass(frozen=True, kw_only=True)
class Gap:
    """Events before this one are missing.

    Parameters
    ----------
    resume_after : int
        The last event of this attempt that came without a gap.
    """

    resume_after: int


@dataclass(frozen=True, kw_only=True)
class Diverged:
    """A repeated attempt gave another answer than the caller has begun to read."""


class AnswerSequence:
    """Decides for each event of an engine's stream whether it is handed on.

    Events are numbered from 1 in each attempt. A repeated attempt starts again
    at 1 and has to give what was handed on already; the rest continues the
    answer.

    Attributes
    ----------
    attempt : int
        Number of the present attempt, from 1; 0 before the first.
    received : int
        Events of the present attempt that came without a gap.
    forwarded : list of bytes
        Events handed on, in order.
    """

    def __init__(self):
        self.attempt = 0
        self.received = 0
        self.forwarded = []

    def begin_attempt(self):
        """Start the next attempt; events of earlier ones are late from now on.

        Returns
        -------
        int
            Number of the attempt.
        """
        self.attempt += 1
        self.received = 0
        return self.attempt

    def accept(self, *, attempt, event_id, data):
        """Judge one event.

        Parameters
        ----------
        attempt : int
            The attempt that it belongs to.
        event_id : int
            Its number in that attempt.
        data : bytes
            What the engine sent.

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
        before = self.forwarded[self.received - 1]
        if data != before and generated_text(data) != generated_text(before):
            return Diverged()
        return Dropped(reason="replayed")


def generated_text(data):
    """Return what an event adds to the answer.

    Parameters
    ----------
    data : bytes
        One event of a chat or plain completion.

    Returns
    -------
    list of tuple
        Text and finish reason of each choice; ids and times are left out.
    """
    if data == b"[DONE]":
        return [("[DONE]", None)]
    choices = json.loads(data).get("choices", [])
    return [(_text(choice), choice.get("finish_reason")) for choice in choices]


def _text(choice):
    if "delta" in choice:
        return choice["delta"].get("content")
    return choice.get("text")
