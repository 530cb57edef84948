"""Replayable system that runs the decision code of skylarkpost."""

from lab.limiting import Limits
from lab.membership import View
from lab.replay import System
from lab.stewarding import Stewards
from lab.systems import register_system

__all__ = ["Product"]


@register_system("current")
class Product(System):
    """System with the pooled limits, stewards and placers of all instances."""

    def __init__(self, *, replay):
        super().__init__(replay=replay)
        self.view = View(replay=replay)
        self.limits = Limits(replay=replay, view=self.view)
        self.stewards = Stewards(
            replay=replay,
            view=self.view,
            limits=self.limits,
            refuse_job=self._refuse_and_refund,
        )
        self.charges = {}

    def start(self):
        """Start the limits, stewards and placers of all instances."""
        for instance in self.replay.deployment.instances:
            self.limits.start(instance)
        self.stewards.start()

    def arrive(self, job):
        """Charge the team and place the request."""

        def done(holder, result):
            if job.state != "waiting" or job.instance is not instance:
                return
            if holder is None:
                self.replay.refuse(job, result)
                return
            self.charges[job] = (holder, result)
            self.replay.admitted(job)
            self.stewards.place(job)

        instance = job.instance
        self.limits.draw(instance, job.request.team, float(job.cost), done)

    def rejected(self, job, target):
        """Place the request again."""
        self.stewards.retry_elsewhere(job)

    def retry(self, job, target):
        """Place the request again."""
        self.stewards.retry_elsewhere(job)

    def finished(self, job, target):
        """Return the ticket and refund the unused tokens."""
        unused = job.request.max_tokens - job.request.output_tokens
        self.stewards.release(job, unused_tokens=unused)
        self._refund(job, unused)

    def _refuse_and_refund(self, job, reason):
        self.replay.refuse(job, reason)
        self._refund(job, job.cost)

    def expired(self, job):
        """Return the ticket and refund all tokens."""
        self.stewards.release(job)
        self._refund(job, job.cost)

    def _refund(self, job, tokens):
        holder, receipt = self.charges.pop(job, (None, None))
        if holder is not None and tokens > 0 and job.instance in self.replay.live:
            self.limits.refund(
                job.instance, holder, job.request.team, receipt, float(tokens)
            )

    def receive_report(self, target, report):
        """Pass the report to the target's steward."""
        self.stewards.receive_report(target, report)

    def instance_lost(self, instance):
        """Drop the state of a failed instance."""
        self.limits.remove_instance(instance)
        self.stewards.remove_instance(instance)
        self.view.schedule_refresh()

    def instance_started(self, instance):
        """Start the replacement of a failed instance with new state."""
        self.limits.start(instance)
        self.stewards.start_instance(instance)
        self.view.schedule_refresh()

    def links_changed(self):
        """Schedule an update of all membership views."""
        self.view.schedule_refresh()
