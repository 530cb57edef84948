"""Start-time fair queueing: accounts for the resource use of each team."""

__all__ = ["FairShares"]


class FairShares:
    """Virtual-time accounts of teams that share one resource.

    A team that was idle starts at the current virtual time: it accumulates no
    credit while idle, and owes only what it was charged.
    """

    def __init__(self):
        self.virtual_time = 0.0
        self.finish_tags = {}

    def start_tag(self, team):
        """Return the virtual start time of the next request of a team.

        Parameters
        ----------
        team : str
            The team; the one with the lowest tag is served next.

        Returns
        -------
        float
        """
        return max(self.virtual_time, self.finish_tags.get(team, 0.0))

    def charge(self, team, *, weight, cost):
        """Charge a team for a request that is being served.

        Parameters
        ----------
        team : str
            The team.
        weight : float
            Its weight.
        cost : float
            Resource use, in a unit common to all teams.
        """
        start = self.start_tag(team)
        self.virtual_time = start
        self.finish_tags[team] = start + cost / weight
        if len(self.finish_tags) > 1024:
            self._forget_idle()

    def refund(self, team, *, weight, cost):
        """Refund the unused part of a charge.

        Parameters
        ----------
        team : str
            The team.
        weight : float
            Its weight at the time of the charge.
        cost : float
            Unused part of the cost.
        """
        if team in self.finish_tags:
            self.finish_tags[team] -= cost / weight

    def _forget_idle(self):
        self.finish_tags = {
            team: tag
            for team, tag in self.finish_tags.items()
            if tag > self.virtual_time
        }
