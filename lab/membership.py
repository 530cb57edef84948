"""Membership view of each instance, with a failure-detection delay."""

__all__ = ["View"]

DETECTION_S = 2.0


class View:
    """Live instances as known to each instance.

    Parameters
    ----------
    replay : lab.replay.Replay
        Provides the live instances and the reachability of data centres.
    """

    def __init__(self, *, replay):
        self.replay = replay
        self.by_name = {each.name: each for each in replay.deployment.instances}
        self.members_by_instance = {}
        self.refresh()

    def refresh(self):
        """Update all views to the current state."""
        live = self.replay.live
        for instance in self.by_name.values():
            self.members_by_instance[instance.name] = [
                other.name
                for other in live
                if self.replay.reachable(instance.data_centre, other.data_centre)
            ]

    def schedule_refresh(self):
        """Update the views after the failure-detection delay."""
        self.replay.scheduler.call_later(DETECTION_S, self.refresh)

    def instance(self, name):
        """Return an instance by its name."""
        return self.by_name[name]

    def members(self, instance):
        """Return the names of the instances that one instance considers live."""
        return self.members_by_instance[instance.name]

    def neighbours(self, instance):
        """Return the names of the other live instances in the same data centre."""
        return [
            name
            for name in self.members_by_instance[instance.name]
            if name != instance.name
            and self.by_name[name].data_centre == instance.data_centre
        ]
