"""Request limits that targets name in their answers.

Load pattern: a target in need names how many requests a second it accepts from all
instances together. Its answers overtake each other and reach some instances only.
"""

from typing import NamedTuple

__all__ = ["TargetLimits", "TargetLimitsDigest"]


class TargetLimitsDigest(NamedTuple):
    """Digest of one instance.

    Attributes
    ----------
    limits : dict of str to tuple of (float or None, float)
        Last limit that an answer to this instance named, and seconds since that
        request was sent, by boot of the target.
    usage : dict of str to tuple of (float, float, float)
        Demand, admitted requests and their total without a steward, by boot of the
        target, as in `skylarkpost.limits.demand_share.TeamUsage`.
    """

    limits: dict[str, tuple[float | None, float]]
    usage: dict[str, tuple[float, float, float]]


class _NamedLimit(NamedTuple):
    limit: float | None
    sent_at: float


class TargetLimits:
    """The newest limit of each target, from the answers to all instances.

    The answer to the request that was sent last is the newest, whichever instance
    received it.

    Parameters
    ----------
    life : float
        Seconds after which a limit ends unless another answer names it.

    Attributes
    ----------
    own : dict of str to _NamedLimit
        What answers to this instance named, by boot of the target.
    newest : dict of str to _NamedLimit
        What answers to any instance named, by boot of the target.

    Examples
    --------
    >>> limits = TargetLimits(life=15.0)
    >>> limits.note_answer("e1/1", 2.5, sent_at=10.0)
    True
    >>> limits.limit("e1/1", 11.0), limits.limit("e1/1", 25.0)
    (2.5, None)
    """

    def __init__(self, *, life):
        self.life = life
        self.own = {}
        self.newest = {}

    def note_answer(self, boot, limit, *, sent_at):
        """Record what an answer to this instance says.

        Parameters
        ----------
        boot : str
            Boot of the target.
        limit : float or None
            Requests a second; None if the answer names no limit.
        sent_at : float
            When the request was sent, in seconds.

        Returns
        -------
        bool
            Whether it differs from what was known of the target.
        """
        if limit is None and boot not in self.newest:
            return False
        known = self.own.get(boot)
        if known is None or sent_at >= known.sent_at:
            self.own[boot] = _NamedLimit(limit, sent_at)
        return self.receive(boot, limit, sent_at)

    def receive(self, boot, limit, sent_at):
        """Record what an answer to any instance says.

        Parameters
        ----------
        boot : str
            Boot of the target.
        limit : float or None
            Requests a second; None if the answer names no limit.
        sent_at : float
            When the request was sent, in seconds.

        Returns
        -------
        bool
            Whether it differs from what was known of the target.
        """
        known = self.newest.get(boot)
        if known is not None and sent_at < known.sent_at:
            return False
        self.newest[boot] = _NamedLimit(limit, sent_at)
        return limit != (None if known is None else known.limit)

    def limit(self, boot, now):
        """Return the limit of a target.

        Parameters
        ----------
        boot : str
            Boot of the target.
        now : float
            The present time, in seconds.

        Returns
        -------
        float or None
            Requests a second over all instances; None without a limit.
        """
        known = self.newest.get(boot)
        if known is None or now - known.sent_at >= self.life:
            return None
        return known.limit

    def own_ages(self, now):
        """Return what answers to this instance named, to be published.

        Parameters
        ----------
        now : float
            The present time, in seconds.

        Returns
        -------
        dict of str to tuple of (float or None, float)
            Limit, and seconds since the request was sent, by boot.
        """
        return {
            boot: (known.limit, round(now - known.sent_at, 2))
            for boot, known in self.own.items()
        }

    def expire(self, now):
        """Drop what is too old.

        Parameters
        ----------
        now : float
            The present time, in seconds.
        """
        for table in (self.own, self.newest):
            for boot, known in list(table.items()):
                if now - known.sent_at >= self.life:
                    del table[boot]
