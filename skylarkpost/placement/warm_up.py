"""Rates at which targets that warm up receive requests.

Load pattern: the targets of a data centre come back at once, empty, while the others
are full, so that every instance prefers them. A target that has just started, or that
has turned cold, crashes at a rate that it bears easily later.
"""

import math
from typing import NamedTuple

from skylarkpost.rendezvous import choose_members
from skylarkpost.stewardship.request_pace import WARM_UP_WINDOW_S

__all__ = ["WarmUpLimit", "WarmUpShares", "WarmUps"]

# A longer warm-up is taken for a mistake of whoever announces it.
MAX_WARM_UP_S = 300.0
MAX_TRACKED = 4096


class WarmUpLimit(NamedTuple):
    """What a target tolerates from all instances together while it warms up.

    Attributes
    ----------
    rate : float
        Requests a second.
    excess : float
        Requests in one second that are tolerated beyond it.
    """

    rate: float
    excess: float

    @property
    def allowed(self):
        """Requests in one second that a steward grants, at least one."""
        return max(1.0, self.rate * WARM_UP_WINDOW_S)


class WarmUps:
    """Until when each target warms up, from its announcements and answers.

    Attributes
    ----------
    announced : dict of str to float
        End of the warm-up by the newest announcement, in seconds, by boot.
    answered : dict of str to float
        The same by the answers received here, which may know more.

    Examples
    --------
    >>> warm_ups = WarmUps()
    >>> warm_ups.note_announced("e1/1", 3.0, now=10.0)
    >>> warm_ups.left("e1/1", 11.0), warm_ups.left("e1/1", 13.0)
    (2.0, 0.0)
    """

    def __init__(self):
        self.announced = {}
        self.answered = {}

    def note_announced(self, boot, left, *, now):
        """Record what a target announces; it replaces earlier announcements.

        Parameters
        ----------
        boot : str
            Boot of the target.
        left : float
            Seconds of warm-up left.
        now : float
            The present time, in seconds.
        """
        if left > 0.0:
            self._set(self.announced, boot, left, now)
        else:
            self.announced.pop(boot, None)

    def note_answer(self, boot, left, *, now):
        """Record what an answer says, which may overtake another answer.

        Parameters
        ----------
        boot : str
            Boot of the target.
        left : float or None
            Seconds of warm-up left; None if the answer says nothing.
        now : float
            The present time, in seconds.

        Returns
        -------
        bool
            Whether the target wasn't known to warm up.
        """
        if left is None:
            return False
        is_news = self.left(boot, now) == 0.0
        until = self.answered.get(boot, -math.inf)
        self._set(self.answered, boot, max(left, until - now), now)
        return is_news

    def left(self, boot, now):
        """Return how long a target warms up yet.

        Parameters
        ----------
        boot : str
            Boot of the target.
        now : float
            The present time, in seconds.

        Returns
        -------
        float
            Seconds; 0 for a target that has warmed up.
        """
        if not self.announced and not self.answered:
            return 0.0
        until = max(self.announced.get(boot, now), self.answered.get(boot, now))
        return max(0.0, until - now)

    def boots(self, now):
        """Return the targets that warm up.

        Parameters
        ----------
        now : float
            The present time, in seconds.

        Returns
        -------
        list of str
            Their boots, sorted.
        """
        known = self.announced.keys() | self.answered.keys()
        return sorted(boot for boot in known if self.left(boot, now))

    def _set(self, table, boot, left, now):
        table[boot] = now + min(left, MAX_WARM_UP_S)
        if len(table) > MAX_TRACKED:
            for each, until in list(table.items()):
                if until <= now:
                    del table[each]
        while len(table) > MAX_TRACKED:
            del table[min(table, key=table.get)]


class WarmUpShares:
    """Shares of the instances in the limits of plain targets, without messages.

    Few instances send to a target that warms up, chosen by rendezvous hashing, each at
    an even pace. In any second all of them together send at most the rate plus one
    request each, so their number is bounded by the tolerated excess.

    Parameters
    ----------
    own : str
        Id of this instance.

    Attributes
    ----------
    next_at : dict of str to float
        Earliest time of the next request to each target, in seconds, by boot.
    """

    def __init__(self, *, own):
        self.own = own
        self.next_at = {}

    def admit(self, boot, limit, *, left, instances, now):
        """Admit a request to a target that warms up.

        Parameters
        ----------
        boot : str
            Boot of the target.
        limit : WarmUpLimit
            What it tolerates.
        left : float
            Seconds of warm-up left.
        instances : iterable of str
            Ids of the live instances, with this one.
        now : float
            The present time, in seconds.

        Returns
        -------
        float
            0 if it is admitted; otherwise seconds after which to retry.
        """
        count = max(1, math.floor(limit.excess))
        senders = choose_members(boot, set(instances) | {self.own}, count)
        if self.own not in senders:
            return left
        next_at = self.next_at.get(boot, -math.inf)
        if now < next_at:
            return min(left, next_at - now)
        if len(self.next_at) >= MAX_TRACKED:
            self.next_at = {each: at for each, at in self.next_at.items() if at > now}
        self.next_at[boot] = now + len(senders) / limit.rate
        return 0.0
