"""Estimates whether a refused team was within its limit."""

__all__ = ["EntitlementMeter"]


class EntitlementMeter:
    """Estimates the tokens each team would have if all its shares were in one bucket.

    The estimate only labels refusals, for the metrics and for the filter that
    retries them; no request is admitted because of it. It covers charges at this
    instance and starts full, so that it errs towards calling a refusal wrongful.
    """

    def __init__(self):
        self.levels = {}

    def allows(self, team, limit, tokens, *, now):
        """Return whether a team has enough tokens left of its whole limit.

        Parameters
        ----------
        team : str
            Name of the team.
        limit : TeamLimit
            Its limit.
        tokens : float
            Tokens of a request.
        now : float
            The present time, in seconds.

        Returns
        -------
        bool
        """
        return tokens <= self._level(team, limit, now)

    def spend(self, team, limit, tokens, *, now):
        """Record a request that was charged.

        Parameters
        ----------
        team : str
            Name of the team.
        limit : TeamLimit
            Its limit.
        tokens : float
            Tokens of the request.
        now : float
            The present time, in seconds.
        """
        level = self._level(team, limit, now) - tokens
        self.levels[team] = (max(0.0, level), now)

    def refund(self, team, limit, tokens, *, now):
        """Record tokens that a charged request did not use.

        Parameters
        ----------
        team : str
            Name of the team.
        limit : TeamLimit
            Its limit.
        tokens : float
            Unused tokens.
        now : float
            The present time, in seconds.
        """
        level = self._level(team, limit, now) + tokens
        self.levels[team] = (min(limit.burst, level), now)

    def _level(self, team, limit, now):
        level, at = self.levels.get(team, (limit.burst, now))
        elapsed = max(0.0, now - at)
        return min(limit.burst, level + elapsed * limit.rate)
