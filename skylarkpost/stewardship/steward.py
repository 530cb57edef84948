"""The steward of one target: grants tickets and gives the orders."""

import enum

from skylarkpost.outcomes import Reason
from skylarkpost.stewardship.authority import StandingAuthority
from skylarkpost.stewardship.messages import (
    FenceTarget,
    GrantTicket,
    HeldTicket,
    RefuseTicket,
)
from skylarkpost.stewardship.policy import StewardPolicy
from skylarkpost.stewardship.prefill import PreambleMemory, PrefillBacklog
from skylarkpost.stewardship.queue import FairQueue
from skylarkpost.stewardship.slots import SlotPlanner
from skylarkpost.stewardship.summary import TargetSummary, adapter_hash
from skylarkpost.stewardship.takeover import Takeover
from skylarkpost.stewardship.ticket_ledger import TicketLedger

__all__ = ["Powers", "TargetSteward"]

FIRST_SERVICE_TIME_S = 2.0
SMOOTHING = 0.05
LEAST_RETRY_S = 0.2
REPORT_PATIENCE_S = 3.0
URGENCIES = range(10)


class Powers(enum.StrEnum):
    """What a steward may order."""

    FULL = "full"
    LIMITED = "limited"


class TargetSteward:
    """Decides for one target; does no input or output.

    Each method that takes in an event returns the commands that follow.

    Parameters
    ----------
    target : skylarkpost.config.Target
        The target.
    fencing_number : int
        Offset of the claim.
    instance : str
        This instance.
    now : float
        The present time, in seconds.
    policy : StewardPolicy
        Leases, bounds and names of policies.
    authority : Authority
        Whether the instance may act.
    powers : Powers
        ``LIMITED`` steward never evicts.
    predecessor : bool
        Whether another steward may have acted on the target before.

    Attributes
    ----------
    book : TicketLedger
        Tickets that are out.
    queue : FairQueue
        Requests that wait.
    slots : SlotPlanner
        Residency, loads and evictions.
    closed : bool
        Whether new requests are turned away, since the target leaves.
    retired : bool
        Whether another instance takes over; no order follows.
    """

    def __init__(
        self,
        *,
        target,
        fencing_number,
        instance,
        now,
        policy=None,
        authority=None,
        powers=Powers.FULL,
        predecessor=False,
    ):
        self.target = target
        self.fencing_number = fencing_number
        self.instance = instance
        self.policy = policy or StewardPolicy()
        self.authority = authority or StandingAuthority()
        self.powers = powers
        self.closed = False
        self.retired = False
        self.batch_limit = target.batch_limit
        self.service_time = FIRST_SERVICE_TIME_S
        self.kept = PreambleMemory(capacity=self.policy.kept_tokens)
        self.backlog = PrefillBacklog(now=now)
        self.queue = FairQueue(
            limit=self.policy.queue_limit,
            order=self.policy.queue_order,
            ageing=self.policy.ageing,
        )
        self.book = TicketLedger(
            lease=self.policy.ticket_lease, margin=self.policy.lease_margin
        )
        self.slots = SlotPlanner(
            target=target,
            fencing_number=fencing_number,
            policy=self.policy,
            queue=self.queue,
            book=self.book,
        )
        self.takeover = Takeover(
            policy=self.policy,
            fencing=target.fencing,
            predecessor=predecessor,
            now=now,
        )

    @property
    def boot(self):
        """Run of the engine, as the latest report gave it."""
        return self.slots.residency.boot

    def request(self, request, now):
        """Take in a request for a ticket.

        Parameters
        ----------
        request : TicketRequest
            The request. One that is repeated is not queued twice.
        now : float
            The present time, in seconds.

        Returns
        -------
        list of Command
        """
        held = self.book.tickets.get(request.ticket_id)
        if held is not None:
            return [self._grant_again(held, now)]
        if request.ticket_id in self.queue.entries:
            return []
        reason = self._reason_to_refuse(request, now)
        if reason is not None:
            return [self._refuse(request, reason, now)]
        start = self.expected_start(request, now)
        if start > request.patience:
            return [
                RefuseTicket(
                    request.ticket_id, request.holder, Reason.QUEUE_FULL, start
                )
            ]
        self.slots.demand.add(request.lora_name, now=now)
        ready = self.slots.is_usable(request.lora_name)
        is_new = not ready and not self.queue.is_blocked(request.lora_name)
        displaced = self.queue.add(request, ready=ready, now=now)
        commands = []
        if displaced is not None:
            commands.append(self._refuse(displaced.request, Reason.QUEUE_FULL, now))
        if not is_new:
            return commands + self._refill(now)
        return commands + self._advance(now)

    def return_ticket(self, ticket_id, now, *, unused_tokens=0, certain=True):
        """Take back a ticket, or a request that does not wait any more.

        Parameters
        ----------
        ticket_id : str
            The ticket.
        now : float
            The present time, in seconds.
        unused_tokens : int
            Tokens that were charged and not used.
        certain : bool
            Whether the engine has certainly ended the request.

        Returns
        -------
        list of Command
        """
        self.queue.remove(ticket_id)
        ticket = self.book.end(ticket_id, now, certain=certain)
        if ticket is not None:
            out_for = now - ticket.granted_at
            self.service_time += SMOOTHING * (out_for - self.service_time)
            refund = min(unused_tokens, ticket.tokens)
            self.queue.shares.refund(ticket.team, weight=ticket.weight, cost=refund)
        if ticket is None or self.book.in_use(ticket.lora_name):
            return self._refill(now)
        return self._advance(now)

    def renew(self, tickets, now):
        """Renew tickets of a holder; ones from an earlier steward are adopted.

        Parameters
        ----------
        tickets : list of (HeldTicket, str)
            Each ticket, and the engine's boot id that it was granted for.
        now : float
            The present time, in seconds.

        Returns
        -------
        list of str
            Ids of the tickets that live on.
        """
        if not self._may_stand_for(now):
            return []
        renewed = []
        for ticket, boot in tickets:
            if self.book.renew(ticket.ticket_id, now) or self._adopt(ticket, boot, now):
                renewed.append(ticket.ticket_id)
        return renewed

    def report(self, report, now):
        """Take in a load report of the engine.

        Parameters
        ----------
        report : LoadReport
            The report.
        now : float
            When it came, in seconds.

        Returns
        -------
        list of Command
        """
        change, commands = self.slots.apply_report(report, now)
        if change is None:
            return []
        self.batch_limit = report.batch_limit
        if change.restarted:
            self.book.clear()
            self.kept.clear()
            self.backlog.clear()
            self.takeover.note_restarted()
        return commands + self._advance(now)

    def permit_granted(self, now):
        """Note that one load is permitted.

        Parameters
        ----------
        now : float
            The present time, in seconds.

        Returns
        -------
        list of Command
        """
        self.slots.permit_granted(now)
        return self._advance(now)

    def permit_denied(self, now):
        """Note that no load is permitted now.

        Parameters
        ----------
        now : float
            The present time, in seconds.

        Returns
        -------
        list of Command
            None of them asks again before the next event.
        """
        self.slots.permit_denied()
        return []

    def order_ended(self, command, now, *, succeeded, certain=True):
        """Take in the answer to a load or unload order.

        Parameters
        ----------
        command : LoadAdapter or UnloadAdapter
            The order.
        now : float
            The present time, in seconds.
        succeeded : bool
            Whether the engine carried it out.
        certain : bool
            Whether it is known what the engine did.

        Returns
        -------
        list of Command
        """
        if command.boot != self.boot:
            return []
        commands = self.slots.order_ended(
            command.order,
            command.lora_name,
            succeeded=succeeded,
            certain=certain,
            now=now,
        )
        return commands + self._advance(now)

    def order_withdrawn(self, command, now):
        """Note that an order was not given after all.

        Parameters
        ----------
        command : LoadAdapter or UnloadAdapter
            The order.
        now : float
            The present time, in seconds.

        Returns
        -------
        list of Command
        """
        if command.boot != self.boot:
            return []
        self.slots.order_withdrawn(command.order, command.lora_name, now=now)
        return self._advance(now)

    def fence_ended(self, command, now, *, succeeded):
        """Take in the answer to a `FenceTarget` command.

        Parameters
        ----------
        command : FenceTarget
            The command.
        now : float
            The present time, in seconds.
        succeeded : bool
            Whether the engine has seen the number.

        Returns
        -------
        list of Command
        """
        if succeeded and command.boot == self.boot:
            self.takeover.note_fenced(now)
        return self._advance(now)

    def tick(self, now):
        """Note that time has passed.

        Parameters
        ----------
        now : float
            The present time, in seconds.

        Returns
        -------
        list of Command
        """
        return self._advance(now)

    def retire(self, now):
        """Stop granting and ordering, before the book is handed over.

        Parameters
        ----------
        now : float
            The present time, in seconds.

        Returns
        -------
        list of Command
            Refusals of all requests that wait.
        """
        self.closed = True
        self.retired = True
        commands = []
        for ticket_id in list(self.queue.entries):
            entry = self.queue.remove(ticket_id)
            commands.append(self._refuse(entry.request, Reason.NO_TARGET, now))
        return commands

    def take_over_book(self, tickets, boot, now):
        """Take in all tickets of a predecessor that has handed over.

        Parameters
        ----------
        tickets : list of HeldTicket
            Its tickets, with times of the own clock.
        boot : str
            Run of the engine that they are for.
        now : float
            The present time, in seconds.
        """
        self.takeover.note_handed_over(now)
        for ticket in tickets:
            self._adopt(ticket, boot, now)

    def expected_start(self, request, now):
        """Return how long a request would wait for its first token.

        Parameters
        ----------
        request : TicketRequest
            The request.
        now : float
            The present time, in seconds.

        Returns
        -------
        float
            Seconds.
        """
        wait = self.expected_wait(request.urgency)
        if not self.slots.is_usable(request.lora_name):
            wait += self._expected_load_wait(now)
        # Prompts that are being read meanwhile are not waited for.
        ahead = self.backlog.ahead(request.urgency, now=now)
        return max(wait, ahead) + self._prefill_time(request)

    def _prefill_time(self, request):
        missing = self.kept.missing(request.preambles, request.prompt_tokens)
        return missing / self.policy.prefill_rate

    def expected_wait(self, urgency):
        """Return how long a new request of an urgency waits for the batch.

        Parameters
        ----------
        urgency : int
            Its urgency.

        Returns
        -------
        float
            Seconds.
        """
        ahead = self.queue.count_from(urgency) + 1 - self._room()
        if ahead <= 0:
            return 0.0
        return ahead * self.service_time / self.batch_limit

    def summary(self, now):
        """Return what the other instances are told of the target.

        Parameters
        ----------
        now : float
            The present time, in seconds.

        Returns
        -------
        TargetSummary
        """
        usable = self.slots.residency.usable()
        return TargetSummary(
            target=self.target.name,
            steward=self.instance,
            fencing_number=self.fencing_number,
            full_powers=self.powers is Powers.FULL,
            boot=self.boot or "",
            open=self._may_grant(now) and not self.closed,
            room=self._room(),
            batch_limit=self.batch_limit,
            queued=len(self.queue),
            queued_urgent=tuple(self.queue.count_from(u) for u in URGENCIES),
            service_time=round(self.service_time, 2),
            load_wait=round(self._expected_load_wait(now), 2),
            free_slots=self.slots.residency.free_slots(),
            victim_worth=round(
                self.slots.victims.least_expected(self.slots.load_cost, now), 2
            ),
            made_at=now,
            resident=frozenset(adapter_hash(name) for name in usable),
        )

    def evicts_from(self):
        """Return the time from which the steward may evict.

        Returns
        -------
        float or None
            Seconds; None if never.
        """
        if self.powers is not Powers.FULL or self.takeover.must_fence:
            return None
        settled = self.policy.ticket_lease + self.policy.lease_margin
        return max(self.takeover.evicts_from, self.authority.gained_at + settled)

    def _refill(self, now):
        commands = self._refuse_expired(now)
        if self._may_act(now) and self._may_grant(now):
            commands += self._grant_all(now)
        return commands

    def _refuse_expired(self, now):
        return [
            self._refuse(entry.request, Reason.QUEUE_TIMEOUT, now)
            for entry in self.queue.expire(now)
        ]

    def _may_act(self, now):
        if self.retired or self.boot is None:
            return False
        return self._may_stand_for(now)

    def _may_stand_for(self, now):
        # Where the engine lets runs finish before it unloads, a ticket of a
        # steward that was replaced does no harm.
        return self.policy.engine_settles_orders or self.authority.is_valid(now)

    def _advance(self, now):
        self.book.expire(now)
        commands = self._refuse_expired(now)
        if not self._may_act(now):
            return commands
        if self.takeover.must_fence:
            return commands + self._fence(now)
        if self.authority.is_valid(now):
            commands += self.slots.advance(now, evicts_from=self.evicts_from())
        if self._may_grant(now):
            commands += self._grant_all(now)
        return commands

    def _grant_all(self, now):
        commands = []
        while self._room() > 0:
            # One suspect at a time, so that a crash shows which one it was.
            entry = self.queue.pop(now, suspects=not self.book.has_suspect())
            if entry is None:
                break
            commands.append(self._grant(entry, now))
        return commands

    def _grant(self, entry, now):
        request = entry.request
        assert self.slots.is_usable(request.lora_name)
        held = HeldTicket(
            ticket_id=request.ticket_id,
            holder=request.holder,
            lora_name=request.lora_name,
            team=request.team,
            weight=request.weight,
            tokens=request.tokens,
            granted_at=now,
            expires_at=now + self.policy.ticket_lease,
            suspect=request.suspect,
        )
        self.book.add(held)
        self.backlog.add(self._prefill_time(request), urgency=request.urgency, now=now)
        self.kept.note(request.preambles)
        assert self.book.occupied() <= self.batch_limit + self.policy.batch_slack
        self.queue.shares.charge(
            request.team, weight=request.weight, cost=request.tokens
        )
        waited = now - entry.queued_at
        usable_since = self.slots.usable_since(request.lora_name)
        load_wait = min(waited, max(0.0, usable_since - entry.queued_at))
        return self._grant_command(held, waited=waited, load_wait=load_wait)

    def _grant_command(self, held, *, waited, load_wait):
        return GrantTicket(
            ticket_id=held.ticket_id,
            holder=held.holder,
            lora_name=held.lora_name,
            boot=self.boot,
            fencing_number=self.fencing_number,
            lease=self.policy.ticket_lease,
            waited=waited,
            load_wait=load_wait,
        )

    def _grant_again(self, held, now):
        command = self._grant_command(held, waited=0.0, load_wait=0.0)
        return command._replace(lease=max(0.0, held.expires_at - now))

    def _refuse(self, request, reason, now):
        if reason is Reason.LOAD_FAILED:
            retry_after = self.slots.backoff.remaining(request.lora_name, now)
        else:
            retry_after = self.expected_wait(request.urgency)
        return RefuseTicket(
            ticket_id=request.ticket_id,
            holder=request.holder,
            reason=reason,
            retry_after=max(LEAST_RETRY_S, retry_after),
        )

    def _reason_to_refuse(self, request, now):
        if self.closed or self.book.was_returned(request.ticket_id):
            return Reason.NO_TARGET
        if request.deadline <= now:
            return Reason.QUEUE_TIMEOUT
        if self.slots.is_usable(request.lora_name):
            return None
        if request.lora_name in self.slots.barred:
            return Reason.NO_TARGET
        if self.slots.backoff.remaining(request.lora_name, now):
            return Reason.LOAD_FAILED
        has_slot = self.slots.residency.state(request.lora_name) is not None
        has_slot = has_slot or self.slots.residency.free_slots() > 0
        if self.powers is Powers.LIMITED and not has_slot:
            return Reason.NO_TARGET
        return None

    def _room(self):
        limit = self.batch_limit + self.policy.batch_slack
        return limit - self.book.occupied()

    def _may_grant(self, now):
        report_at = self.slots.residency.report_at
        if report_at is None or now - report_at > REPORT_PATIENCE_S:
            return False
        if not self.takeover.may_grant(now):
            return False
        return self._may_stand_for(now)

    def _adopt(self, ticket, boot, now):
        if self.boot is not None and boot != self.boot:
            return False
        if self.book.was_returned(ticket.ticket_id):
            return False
        if self.boot is not None and not self.slots.holds(ticket.lora_name):
            return False
        expires_at = now + self.policy.ticket_lease
        self.book.add(ticket._replace(granted_at=now, expires_at=expires_at))
        return True

    def _fence(self, now):
        if not self.takeover.begin_fence_attempt(now):
            return []
        return [FenceTarget(self.boot, self.fencing_number)]

    def _expected_load_wait(self, now):
        waiting = len(self.queue.blocked_adapters(now))
        rounds = 1 + waiting / self.policy.loads_side_by_side
        return self.slots.load_cost * rounds
