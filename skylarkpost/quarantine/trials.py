"""Grants trials: one request at a time may show whether a trait crashes targets."""

__all__ = ["TrialRegister"]


class TrialRegister:
    """Trials that this instance has granted to all instances.

    Parameters
    ----------
    lease : float
        Seconds after which a trial ends that was not reported as ended.

    Attributes
    ----------
    granted : dict of str to tuple of (str, float)
        Request on trial and end of its lease, by trait.

    Examples
    --------
    >>> register = TrialRegister(lease=5.0)
    >>> register.grant("part:aa", "r1", 0.0), register.grant("part:aa", "r2", 1.0)
    (True, False)
    >>> register.end("part:aa", "r1")
    >>> register.grant("part:aa", "r2", 2.0)
    True
    """

    def __init__(self, *, lease):
        self.lease = lease
        self.granted = {}

    def grant(self, trait, request, now):
        """Grant a trial unless another request is on trial.

        Parameters
        ----------
        trait : str
            The trait.
        request : str
            Id of the request.
        now : float
            The present time, in seconds.

        Returns
        -------
        bool
        """
        for expired in [t for t, (_, until) in self.granted.items() if until <= now]:
            del self.granted[expired]
        holder, _ = self.granted.get(trait, (request, now))
        if holder != request:
            return False
        self.granted[trait] = (request, now + self.lease)
        return True

    def end(self, trait, request):
        """End a trial.

        Parameters
        ----------
        trait : str
            The trait.
        request : str
            Id of the request on trial.
        """
        if self.granted.get(trait, (None,))[0] == request:
            del self.granted[trait]
