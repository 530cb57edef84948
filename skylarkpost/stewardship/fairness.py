"""Start-time fair queueing: how much of a resource each team has had."""

__all__ = ["FairShares"]


class FairShares:
    """Virtual time accounts of teams that share one resource.

    A team that was idle starts at the present virtual time; it saves up
    nothing, and owes nothing but what it was charged.
    """

    def __init__(self):
        self.virtual_time = 0.0
        self.finish_tags = {}

    def start_tag(self, team):
        """Return the virtual time at which the next work of a team starts.

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
        """Charge a team that is being served.

        Parameters
        ----------
        team : str
            The team.
        weight : float
            Its weight.
        cost : float
            What it uses, in any unit that is the same for all teams.
        """
        start = self.start_tag(team)
        self.virtual_time = start
        self.finish_tags[team] = start + cost / weight
        if len(self.finish_tags) > 1024:
            self._forget_idle()

    def refund(self, team, *, weight, cost):
        """Give back what a team was charged and did not use.

        Parameters
        ----------
        team : str
            The team.
        weight : float
            Its weight when it was charged.
        cost : float
            What it did not use.
        """
        if team in self.finish_tags:
            self.finish_tags[team] -= cost / weight

    def _forget_idle(self):
        self.finish_tags = {
            team: tag
            for team, tag in self.finish_tags.items()
            if tag > self.virtual_time
        }
