"""A token bucket whose tokens and capacity can be moved to another bucket."""

import bisect
from typing import NamedTuple

__all__ = ["Receipt", "TokenBucket"]

MAX_ROOM_MARKS = 256
TOLERANCE = 1e-6


class Receipt(NamedTuple):
    """Proof of one charge, for a later refund.

    Attributes
    ----------
    bucket : str
        Id of the bucket that was charged.
    sequence : int
        Sequence number of the charge in that bucket.
    tokens : float
        Tokens that were charged.
    """

    bucket: str
    sequence: int
    tokens: float


class TokenBucket:
    """Token bucket of one team at one instance.

    Parameters
    ----------
    bucket_id : str
        Unique among all buckets of all instances.
    now : float
        The present time, in seconds.
    rate : float
        Tokens added per second.
    burst : float
        Maximum number of tokens.
    level : float
        Initial number of tokens.

    Notes
    -----
    A refund has the effect that the charge would have had if it had been smaller
    from the start. If the bucket had been full since, the tokens would have been
    lost, so a refund is limited to the least room (burst minus level) that the
    bucket has had since the charge. The net tokens charged over any interval of t
    seconds are then at most ``burst + rate * t``, with or without refunds.
    """

    def __init__(self, *, bucket_id, now, rate=0.0, burst=0.0, level=0.0):
        self.bucket_id = bucket_id
        self.rate = rate
        self.burst = burst
        self.level = min(level, burst)
        self.updated_at = now
        self.sequence = 0
        self.received = self.level
        self.spent = 0.0
        self._mark_sequences = []
        self._mark_rooms = []

    def advance(self, now):
        """Add the tokens of the time that has passed.

        Parameters
        ----------
        now : float
            The present time, in seconds. An earlier one changes nothing.
        """
        elapsed = now - self.updated_at
        if elapsed <= 0:
            return
        self.updated_at = now
        added = min(elapsed * self.rate, self.burst - self.level)
        self.level += added
        self.received += added

    def charge(self, tokens, *, now):
        """Take tokens for one request, if there are enough.

        Parameters
        ----------
        tokens : float
            Tokens to take.
        now : float
            The present time, in seconds.

        Returns
        -------
        Receipt or None
            None if there are too few.
        """
        self.advance(now)
        if tokens > self.level:
            return None
        self._mark_room()
        self.level -= tokens
        self.spent += tokens
        self._check()
        return Receipt(self.bucket_id, self.sequence, tokens)

    def refund(self, receipt, tokens, *, now):
        """Put back what a charged request did not use.

        Parameters
        ----------
        receipt : Receipt
            Receipt of the charge; may be used only once.
        tokens : float
            Tokens that were not used, at most those charged.
        now : float
            The present time, in seconds.

        Returns
        -------
        float
            Tokens put back; 0 if the receipt is from another bucket.
        """
        if receipt.bucket != self.bucket_id:
            return 0.0
        self.advance(now)
        self._mark_room()
        room = self._least_room_after(receipt.sequence)
        credit = max(0.0, min(tokens, receipt.tokens, room))
        self.level += credit
        self.spent -= credit
        self._use_room(receipt.sequence, credit)
        self._check()
        return credit

    def seconds_until(self, tokens, *, now):
        """Return the time until a charge can succeed.

        Parameters
        ----------
        tokens : float
            Tokens of the charge.
        now : float
            The present time, in seconds.

        Returns
        -------
        float or None
            Seconds; None if the bucket never holds that many tokens.
        """
        self.advance(now)
        if tokens <= self.level:
            return 0.0
        if tokens > self.burst or self.rate <= 0:
            return None
        return (tokens - self.level) / self.rate

    def add(self, *, rate, burst, level, now):
        """Add capacity, and the tokens that belong to it.

        Parameters
        ----------
        rate, burst : float
            Capacity that is added.
        level : float
            Tokens that are added, at most `burst`.
        now : float
            The present time, in seconds.
        """
        assert -TOLERANCE <= level <= burst + TOLERANCE * max(1.0, burst)
        self.advance(now)
        self._mark_room()
        self.rate += rate
        self.burst += burst
        self.level += level
        self.received += level
        self._check()

    def remove(self, *, rate, burst, now, with_tokens):
        """Remove capacity.

        Parameters
        ----------
        rate, burst : float
            Capacity that is removed.
        now : float
            The present time, in seconds.
        with_tokens : bool
            Whether a proportional part of the tokens is removed, too. If not, the
            tokens stay, up to the remaining burst.

        Returns
        -------
        float
            The tokens removed.
        """
        self.advance(now)
        self._mark_room()
        total_burst = self.burst
        self.rate = max(0.0, self.rate - rate)
        self.burst = max(0.0, self.burst - burst)
        taken = (
            self.level * min(1.0, burst / total_burst)
            if with_tokens and total_burst
            else 0.0
        )
        self.level -= taken
        self.received -= taken
        self._clip()
        return taken

    def set_limits(self, *, rate, burst, now):
        """Change rate and burst; the tokens stay, up to the new burst.

        Parameters
        ----------
        rate, burst : float
            The new limits.
        now : float
            The present time, in seconds.
        """
        self.advance(now)
        self._mark_room()
        self.rate = rate
        self.burst = burst
        self._clip()

    def _clip(self):
        surplus = self.level - self.burst
        if surplus > 0:
            self.level = self.burst
            self.received -= surplus
        self._mark_room()
        self._check()

    def _mark_room(self):
        # The marks form a monotonic stack: a mark drops all earlier ones with at
        # least as much room, so that room increases with the sequence number.
        room = self.burst - self.level
        while self._mark_rooms and self._mark_rooms[-1] >= room:
            self._mark_rooms.pop()
            self._mark_sequences.pop()
        self.sequence += 1
        self._mark_rooms.append(room)
        self._mark_sequences.append(self.sequence)
        if len(self._mark_rooms) > MAX_ROOM_MARKS:
            # Merges the first two marks into one with the smaller room and the
            # later sequence number.
            del self._mark_rooms[1]
            del self._mark_sequences[0]

    def _least_room_after(self, sequence):
        index = bisect.bisect_right(self._mark_sequences, sequence)
        if index == len(self._mark_rooms):
            return 0.0
        return self._mark_rooms[index]

    def _use_room(self, sequence, tokens):
        # The room used by this refund is not available to later refunds.
        start = bisect.bisect_right(self._mark_sequences, sequence)
        for index in range(start, len(self._mark_rooms)):
            self._mark_rooms[index] -= tokens
        least = self._mark_rooms[start]
        while start > 0 and self._mark_rooms[start - 1] >= least:
            start -= 1
            del self._mark_rooms[start]
            del self._mark_sequences[start]

    def _check(self):
        slack = TOLERANCE * max(1.0, self.burst, self.received, self.spent)
        assert -slack <= self.level <= self.burst + slack, (self.level, self.burst)
        balance = self.received - self.spent
        assert abs(balance - self.level) <= slack, "tokens were created"
