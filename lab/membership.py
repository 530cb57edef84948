"""Which instances each instance knows, with the delay of failure detection."""

__all__ = ["View"]

DETECTION_S = 2.0


class View:
    """The view that each instance has of the others.

    Parameters
    ----------
    replay : lab.replay.Replay
        Knows which instances live and which links work.
    """

    def __init__(self, *, replay):
        self.replay = replay
        self.by_name = {each.name: each for each in replay.deployment.instances}
        self.members_by_instance = {}
        self.refresh()

    def refresh(self):
        """Take over the true state in all views."""
        live = self.replay.live
        for instance in self.by_name.values():
            self.members_by_instance[instance.name] = [
                other.name
                for other in live
                if self.replay.reachable(instance.data_centre, other.data_centre)
            ]

    def schedule_refresh(self):
        """Note that something changed; the views follow after the detection."""
        self.replay.scheduler.call_later(DETECTION_S, self.refresh)

    def instance(self, name):
        """Return an instance by its name."""
        return self.by_name[name]

    def members(self, instance):
        """Return the names of the instances that one instance knows as live."""
        return self.members_by_instance[instance.name]

    def neighbours(self, instance):
        """Return the names of the other known instances of its data centre."""
        return [
            name
            for name in self.members_by_instance[instance.name]
            if name != instance.name
            and self.by_name[name].data_centre == instance.data_centre
        ]
