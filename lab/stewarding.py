"""Stewards and placers in a replay, on the real decision code.

Uses `skylarkpost.stewardship` and `skylarkpost.placement`.
"""

import itertools
import zlib
from typing import NamedTuple

from lab.deployments import BATCH_LIMIT, SLOTS
from lab.limiting import WEIGHT_STORE
from lab.replay import DEADLINE_S
from skylarkpost.placement import PlacementPolicy, PlacementRequest, Placer, Preamble
from skylarkpost.stewardship import (
    AdapterLoad,
    FenceTarget,
    GrantTicket,
    LoadAdapter,
    LoadReport,
    RefuseTicket,
    RequestLoadPermit,
    StewardPolicy,
    TargetSteward,
    TicketRequest,
    UnloadAdapter,
)

__all__ = ["StewardedTarget", "Stewards"]

TICK_S = 0.25
SUMMARY_INTERVAL_S = 1.0
RENEW_INTERVAL_S = 3.0
TAKEOVER_S = 3.0
TICKET_TIMEOUT_S = 0.5
MAX_ATTEMPTS = 4
RETRY_PAUSE_S = 0.25
URGENCIES = (8, 5, 2)
# Fraction of a prompt that engines find in their prefix caches on its next use.
PREAMBLE_SHARE = 0.8


class StewardedTarget(NamedTuple):
    """Target attributes read by stewards and placers."""

    name: str
    pool: str
    data_centre: str
    fencing: bool
    slots: int
    batch_limit: int


class Ticket:
    """One ticket request for a target, as tracked by the requesting instance.

    Attributes
    ----------
    job : lab.replay.Job
        The request.
    target : str
        Name of the target.
    held : HeldTicket or None
        The granted ticket; None before the grant.
    received_by : TargetSteward or None
        Steward that received the ticket request.
    """

    def __init__(self, *, ticket_id, job, target):
        self.ticket_id = ticket_id
        self.job = job
        self.target = target
        self.held = None
        self.received_by = None
        self.boot = ""
        self.open = True


class Stewards:
    """Stewards of all targets, placers of all instances, and their messages.

    Parameters
    ----------
    replay : lab.replay.Replay
        Delivers the messages.
    view : lab.membership.View
        Membership as seen by each instance.
    limits : lab.limiting.Limits
        Grants load permits.
    refuse_job : callable
        Called with a job and a reason; refuses the job.
    """

    def __init__(self, *, replay, view, limits, refuse_job):
        self.replay = replay
        self.view = view
        self.limits = limits
        self.refuse_job = refuse_job
        pool = replay.deployment.pool
        self.targets = [
            StewardedTarget(
                name=target.name,
                pool=pool,
                data_centre=target.data_centre,
                fencing=True,
                slots=SLOTS,
                batch_limit=BATCH_LIMIT,
            )
            for target in replay.deployment.targets
        ]
        self.by_name = {target.name: target for target in self.targets}
        self.stewards = {}
        self.steward_instances = {}
        self.placers = {}
        self.tickets = {}
        self.sequence = itertools.count(1)
        self.attempts = {}
        self.failed_targets = {}
        self.weights = {team.name: team.rate for team in replay.deployment.teams}

    def start(self):
        """Appoint a steward for each target in its own data centre."""
        call_later = self.replay.scheduler.call_later
        for instance in self.replay.deployment.instances:
            self.start_instance(instance)
        for number, target in enumerate(self.targets):
            local_instances = self._local_instances(target)
            self._appoint(
                target,
                local_instances[number // 3 % len(local_instances)],
                predecessor=False,
            )
            call_later(TICK_S * number / len(self.targets), self._tick, target)
            call_later(
                SUMMARY_INTERVAL_S * number / len(self.targets),
                self._publish_summary,
                target,
            )

    def start_instance(self, instance):
        """Start the placer of one instance.

        Parameters
        ----------
        instance : lab.deployments.Instance
            The instance.
        """
        self.placers[instance.name] = Placer(
            data_centre=instance.data_centre, policy=PlacementPolicy()
        )
        self.replay.scheduler.call_later(RENEW_INTERVAL_S, self._renew, instance)

    def remove_instance(self, instance):
        """Drop the state of a failed instance and schedule takeovers of its targets.

        Parameters
        ----------
        instance : lab.deployments.Instance
            The instance.
        """
        del self.placers[instance.name]
        for ticket in list(self.tickets.values()):
            if ticket.job.instance is instance:
                self._forget(ticket)
        for target in self.targets:
            if self.steward_instances[target.name] is instance:
                del self.stewards[target.name]
                self.replay.scheduler.call_later(TAKEOVER_S, self._take_over, target)

    def _local_instances(self, target):
        return [
            instance
            for instance in self.replay.live
            if instance.data_centre == target.data_centre
        ]

    def _take_over(self, target):
        local_instances = self._local_instances(target)
        reaches_log = self.replay.platform_reachable(target.data_centre)
        if local_instances and reaches_log:
            self._appoint(target, local_instances[0], predecessor=True)
        else:
            self.replay.scheduler.call_later(TICK_S, self._take_over, target)

    def _appoint(self, target, instance, *, predecessor):
        self.steward_instances[target.name] = instance
        self.stewards[target.name] = TargetSteward(
            target=target,
            fencing_number=next(self.sequence),
            instance=instance.name,
            now=self.replay.now,
            policy=StewardPolicy(),
            predecessor=predecessor,
        )

    # Requests.

    def place(self, job, *, avoid=frozenset()):
        """Request a ticket for the best-ranked target.

        Parameters
        ----------
        job : lab.replay.Job
            The request; it must have been admitted.
        avoid : frozenset of str
            Targets on which the request failed before.
        """
        placer = self.placers.get(job.instance.name)
        if placer is None or job.state != "admitted":
            return
        local_data_centre = job.instance.data_centre
        reachable = [
            target
            for target in self.targets
            if self.replay.reachable(local_data_centre, target.data_centre)
        ]
        request = _placement_request(job)
        now = self.replay.now
        best, _ = placer.rank(request, reachable, now, avoid=avoid)[0]
        ticket = Ticket(
            ticket_id=f"{job.request.number}.{next(self.sequence)}",
            job=job,
            target=best,
        )
        self.tickets[ticket.ticket_id] = ticket
        self.attempts[job] = ticket
        placer.note_sent(best, ticket.ticket_id, request, now)
        self._send_to_steward(ticket, self._request, ticket)
        self.replay.scheduler.call_later(
            TICKET_TIMEOUT_S, self._check_answered, ticket, self.steward_instances[best]
        )

    def _send_to_steward(self, ticket, callback, *args):
        local_data_centre = ticket.job.instance.data_centre
        steward_data_centre = self.steward_instances[ticket.target].data_centre
        self.replay.send(local_data_centre, steward_data_centre, callback, *args)

    def _request(self, ticket):
        steward = self.stewards.get(ticket.target)
        if steward is None or not ticket.open:
            return
        ticket.received_by = steward
        request = ticket.job.request
        now = self.replay.now
        commands = steward.request(
            TicketRequest(
                ticket_id=ticket.ticket_id,
                holder=ticket.job.instance.name,
                lora_name=request.adapter,
                team=request.team,
                weight=self.weights[request.team],
                urgency=URGENCIES[request.urgency],
                tokens=ticket.job.cost,
                deadline=request.at + DEADLINE_S,
            ),
            now,
        )
        self._carry_out(ticket.target, commands)

    def _check_answered(self, ticket, steward_instance):
        """Retry if the steward of the ticket request was replaced or is unreachable."""
        if not ticket.open or ticket.held is not None:
            return
        received_by = ticket.received_by
        reachable = self.replay.reachable(
            ticket.job.instance.data_centre, steward_instance.data_centre
        )
        alive = (
            received_by is not None and self.stewards.get(ticket.target) is received_by
        )
        if alive and reachable:
            self.replay.scheduler.call_later(
                TICKET_TIMEOUT_S, self._check_answered, ticket, steward_instance
            )
            return
        self._retry(ticket)

    def _retry(self, ticket):
        """Place a request again, on another target if possible."""
        self._forget(ticket)
        job = ticket.job
        failed_targets = self.failed_targets.setdefault(job, [])
        failed_targets.append(ticket.target)
        if job.state != "admitted":
            return
        if len(failed_targets) >= MAX_ATTEMPTS:
            self.refuse_job(job, "retries-exhausted")
            return
        self.replay.scheduler.call_later(
            RETRY_PAUSE_S * (len(failed_targets) - 1), self._place_again, job
        )

    def _place_again(self, job):
        if job.state == "admitted":
            self.place(job, avoid=frozenset(self.failed_targets.get(job, ())))

    def _forget(self, ticket):
        ticket.open = False
        self.tickets.pop(ticket.ticket_id, None)
        placer = self.placers.get(ticket.job.instance.name)
        if placer is not None:
            placer.note_ended(ticket.target, ticket.ticket_id)

    def release(self, job, *, unused_tokens=0):
        """Return the ticket of a request.

        Parameters
        ----------
        job : lab.replay.Job
            The request.
        unused_tokens : int
            Tokens that were charged but not used.
        """
        ticket = self.attempts.pop(job, None)
        if ticket is None or not ticket.open:
            return
        self._forget(ticket)
        self._send_to_steward(ticket, self._return, ticket, unused_tokens)

    def _return(self, ticket, unused_tokens):
        steward = self.stewards.get(ticket.target)
        if steward is not None:
            commands = steward.return_ticket(
                ticket.ticket_id, self.replay.now, unused_tokens=unused_tokens
            )
            self._carry_out(ticket.target, commands)

    def retry_elsewhere(self, job):
        """Return the ticket and place the request again.

        Parameters
        ----------
        job : lab.replay.Job
            The request; it must not have run.
        """
        ticket = self.attempts.get(job)
        self.release(job)
        if ticket is not None:
            self._retry(ticket)

    def _renew(self, instance):
        if instance not in self.replay.live:
            return
        held = {}
        for ticket in self.tickets.values():
            if ticket.job.instance is instance and ticket.held is not None:
                held.setdefault(ticket.target, []).append((ticket.held, ticket.boot))
        for target, tickets in held.items():
            steward_data_centre = self.steward_instances[target].data_centre
            self.replay.send(
                instance.data_centre,
                steward_data_centre,
                self._renew_at,
                target,
                tickets,
            )
        self.replay.scheduler.call_later(RENEW_INTERVAL_S, self._renew, instance)

    def _renew_at(self, target, tickets):
        steward = self.stewards.get(target)
        if steward is not None:
            steward.renew(tickets, self.replay.now)

    # Execution of steward commands.

    def _carry_out(self, target, commands):
        for command in commands:
            if isinstance(command, GrantTicket):
                self._send_to_holder(target, command, self._handle_grant)
            elif isinstance(command, RefuseTicket):
                self._send_to_holder(target, command, self._handle_refusal)
            elif isinstance(command, RequestLoadPermit):
                self._request_permit(target)
            elif isinstance(command, LoadAdapter):
                self._order_load(target, command)
            elif isinstance(command, UnloadAdapter):
                self._order_unload(target, command)
            elif isinstance(command, FenceTarget):
                self._fence(target, command)

    def _send_to_holder(self, target, command, callback):
        ticket = self.tickets.get(command.ticket_id)
        if ticket is not None:
            steward_data_centre = self.steward_instances[target].data_centre
            holder = ticket.job.instance.data_centre
            steward = self.stewards[target]
            self.replay.send(
                steward_data_centre, holder, callback, ticket, command, steward
            )

    def _handle_grant(self, ticket, command, steward):
        if not ticket.open or ticket.job.state != "admitted":
            return
        ticket.held = steward.ledger.tickets.get(ticket.ticket_id)
        ticket.boot = command.boot
        urgency = URGENCIES[ticket.job.request.urgency]
        self.replay.dispatch(ticket.job, ticket.target, priority=-urgency)

    def _handle_refusal(self, ticket, command, steward):
        if ticket.open:
            self._retry(ticket)

    def _request_permit(self, target):
        steward = self.stewards[target]

        def done(holder, receipt):
            if self.stewards.get(target) is not steward:
                return
            now = self.replay.now
            if holder is None:
                self._carry_out(target, steward.permit_denied(now))
            else:
                self._carry_out(target, steward.permit_granted(now))

        self.limits.draw(self.steward_instances[target], WEIGHT_STORE, 1.0, done)

    def _order_load(self, target, command):
        self._order(target, command, self.replay.load)

    def _order_unload(self, target, command):
        self._order(target, command, self.replay.unload)

    def _order(self, target, command, order):
        steward = self.stewards[target]

        def done(succeeded):
            if self.stewards.get(target) is steward:
                commands = steward.order_ended(
                    command, self.replay.now, succeeded=succeeded
                )
                self._carry_out(target, commands)

        if command.boot != _boot(self.replay.engines[target].boot):
            round_trip = 2 * self.replay.deployment.link_s
            self.replay.scheduler.call_later(round_trip, done, False)
            return
        steward_data_centre = self.steward_instances[target].data_centre
        order(steward_data_centre, target, command.lora_name, done)

    def _fence(self, target, command):
        steward = self.stewards[target]

        def done():
            commands = steward.fence_ended(command, self.replay.now, succeeded=True)
            self._carry_out(target, commands)

        self.replay.scheduler.call_later(2 * self.replay.deployment.link_s, done)

    # Periodic work.

    def _tick(self, target):
        steward = self.stewards.get(target.name)
        if steward is not None:
            self._carry_out(target.name, steward.tick(self.replay.now))
        self.replay.scheduler.call_later(TICK_S, self._tick, target)

    def _publish_summary(self, target):
        steward = self.stewards.get(target.name)
        if steward is not None:
            summary = steward.summary(self.replay.now)
            steward_data_centre = self.steward_instances[target.name].data_centre
            for instance in self.replay.live:
                self.replay.send(
                    steward_data_centre,
                    instance.data_centre,
                    self._note_summary,
                    instance,
                    summary,
                )
        self.replay.scheduler.call_later(
            SUMMARY_INTERVAL_S, self._publish_summary, target
        )

    def _note_summary(self, instance, summary):
        placer = self.placers.get(instance.name)
        if placer is not None:
            placer.note_summary(summary, self.replay.now)

    def receive_report(self, target, report):
        """Pass a load report to the target's steward.

        Parameters
        ----------
        target : str
            The target.
        report : lab.engine.LoadReport
            The report.
        """
        steward = self.stewards.get(target)
        if steward is not None:
            commands = steward.report(_to_load_report(report), self.replay.now)
            self._carry_out(target, commands)


def _placement_request(job):
    request = job.request
    return PlacementRequest(
        lora_name=request.adapter,
        needs_adapter=True,
        urgency=URGENCIES[request.urgency],
        prompt_tokens=request.preamble_tokens + request.tail_tokens,
        preambles=(
            Preamble(
                zlib.crc32(request.adapter.encode()),
                PREAMBLE_SHARE * (request.preamble_tokens + request.tail_tokens),
            ),
        ),
    )


def _boot(number):
    return f"boot-{number}"


def _to_load_report(report):
    return LoadReport(
        boot=_boot(report.boot),
        taken_at=report.taken_at,
        slots=SLOTS,
        resident={
            name: AdapterLoad(running=count, waiting=0)
            for name, count in report.resident.items()
        },
        loading=frozenset(report.loading),
        running=report.running,
        waiting=report.waiting,
        batch_limit=BATCH_LIMIT,
    )
