"""Steward of one target: grants tickets and issues orders to its engine."""

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
from skylarkpost.stewardship.prefill import PreambleCache, PrefillBacklog
from skylarkpost.stewardship.queue import FairQueue
from skylarkpost.stewardship.request_pace import WARM_UP_WINDOW_S, RequestPace
from skylarkpost.stewardship.slots import SlotPlanner
from skylarkpost.stewardship.summary import TargetSummary, adapter_hash
from skylarkpost.stewardship.takeover import Takeover
from skylarkpost.stewardship.ticket_ledger import TicketLedger

__all__ = ["Permissions", "TargetSteward"]

INITIAL_SERVICE_TIME_S = 2.0
SERVICE_TIME_SMOOTHING = 0.05
MIN_RETRY_AFTER_S = 0.2
REPORT_TIMEOUT_S = 3.0
# The estimate takes each stream for the only one of its adapter, so it is too long where
# adapters are shared.
MAX_SLOT_WAIT_S = 0.5
URGENCIES = range(10)


class Permissions(enum.StrEnum):
    """Orders that a steward may issue."""

    FULL = "full"
    LIMITED = "limited"


class TargetSteward:
    """State machine that schedules one target; performs no I/O.

    Each event handler returns the commands that the caller has to execute.

    Parameters
    ----------
    target : skylarkpost.config.Target
        The target.
    fencing_number : int
        Offset of the claim in the log; sent with every order.
    instance : str
        This instance.
    now : float
        Current time, in seconds.
    policy : StewardPolicy
        Leases, limits and names of policies.
    authority : Authority
        Lease on which the instance may act as a steward.
    permissions : Permissions
        A ``LIMITED`` steward never evicts.
    predecessor : bool
        Whether another steward may have acted on the target before.
    current_lora_name : callable or None
        Takes an adapter's name and returns that of its version in force, for holders
        that don't know it yet; None if each version is an adapter of its own.

    Attributes
    ----------
    ledger : TicketLedger
        Granted tickets.
    queue : FairQueue
        Waiting requests.
    slots : SlotPlanner
        Residency, loads and evictions.
    closed : bool
        Whether new requests are refused because the target is leaving.
    prefill_rate : float
        Prompt tokens that the engine prefills per second, as far as known.
    retired : bool
        Whether another instance is taking over; no further orders are issued.
    pace : RequestPace
        Limit on the requests a second that the engine names.
    warm_up_pace : RequestPace
        Limit on the requests a second while the engine warms up.
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
        permissions=Permissions.FULL,
        predecessor=False,
        current_lora_name=None,
    ):
        self.current_lora_name = current_lora_name or _unchanged
        self.target = target
        self.fencing_number = fencing_number
        self.instance = instance
        self.policy = policy or StewardPolicy()
        self.authority = authority or StandingAuthority()
        self.permissions = permissions
        self.closed = False
        self.retired = False
        self.batch_limit = target.batch_limit
        self.service_time = INITIAL_SERVICE_TIME_S
        self.prefill_rate = self.policy.prefill_rate
        self.preamble_cache = PreambleCache(capacity=self.policy.preamble_cache_tokens)
        self.backlog = PrefillBacklog(now=now)
        self.pace = RequestPace(window=self.policy.limit_window)
        self.warm_up_pace = RequestPace(window=WARM_UP_WINDOW_S)
        self.queue = FairQueue(
            limit=self.policy.queue_limit,
            order=self.policy.queue_order,
            ageing=self.policy.ageing,
        )
        self.ledger = TicketLedger(
            lease=self.policy.ticket_lease, margin=self.policy.lease_margin
        )
        self.slots = SlotPlanner(
            target=target,
            fencing_number=fencing_number,
            policy=self.policy,
            queue=self.queue,
            ledger=self.ledger,
            current_lora_name=self.current_lora_name,
        )
        self.takeover = Takeover(
            policy=self.policy,
            fencing=target.fencing,
            predecessor=predecessor,
            now=now,
        )

    def raise_fencing_number(self, number):
        """Use the number of a newer record of the same lease in later orders.

        Parameters
        ----------
        number : int
            The number.
        """
        self.fencing_number = self.slots.fencing_number = number

    @property
    def boot(self):
        """Boot id of the engine in the latest report."""
        return self.slots.residency.boot

    def request(self, request, now):
        """Handle a ticket request.

        Parameters
        ----------
        request : TicketRequest
            The request. A repeated request is not queued twice.
        now : float
            Current time, in seconds.

        Returns
        -------
        list of Command
        """
        request = request._replace(lora_name=self.current_lora_name(request.lora_name))
        held = self.ledger.tickets.get(request.ticket_id)
        if held is not None:
            return [self._grant_again(held, now)]
        if request.ticket_id in self.queue.entries:
            return []
        reason = self._refusal_reason(request, now)
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
            return commands + self._grant_waiting(now)
        return commands + self._advance(now)

    def return_ticket(self, ticket_id, now, *, unused_tokens=0, certain=True):
        """Release a ticket, or withdraw a request that is still waiting.

        Parameters
        ----------
        ticket_id : str
            The ticket.
        now : float
            Current time, in seconds.
        unused_tokens : int
            Tokens that were charged but not used.
        certain : bool
            Whether the engine is known to have ended the request.

        Returns
        -------
        list of Command
        """
        self.queue.remove(ticket_id)
        ticket = self.ledger.end(ticket_id, now, certain=certain)
        if ticket is not None:
            held_for = now - ticket.granted_at
            self.service_time += SERVICE_TIME_SMOOTHING * (held_for - self.service_time)
            refund = min(unused_tokens, ticket.tokens)
            self.queue.shares.refund(ticket.team, weight=ticket.weight, cost=refund)
        if ticket is None or self.ledger.in_use(ticket.lora_name):
            return self._grant_waiting(now)
        return self._advance(now)

    def renew(self, tickets, now):
        """Renew tickets of a holder, adopting those of an earlier steward.

        Parameters
        ----------
        tickets : list of (HeldTicket, str)
            Each ticket, with the engine's boot id for which it was granted.
        now : float
            Current time, in seconds.

        Returns
        -------
        list of str
            Ids of the tickets that remain valid.
        """
        if not self._has_authority(now):
            return []
        renewed = []
        for ticket, boot in tickets:
            if self.ledger.renew(ticket.ticket_id, now) or self._adopt(
                ticket, boot, now
            ):
                renewed.append(ticket.ticket_id)
        return renewed

    def report(self, report, now):
        """Handle a load report of the engine.

        Parameters
        ----------
        report : LoadReport
            The report.
        now : float
            Time of receipt, in seconds.

        Returns
        -------
        list of Command
        """
        change, commands = self.slots.apply_report(report, now)
        if change is None:
            return []
        self.batch_limit = report.batch_limit
        if change.restarted:
            self.ledger.clear()
            self.preamble_cache.clear()
            self.backlog.clear()
            self.takeover.note_restarted()
        return commands + self._advance(now)

    def permit_granted(self, now):
        """Handle a granted load permit.

        Parameters
        ----------
        now : float
            Current time, in seconds.

        Returns
        -------
        list of Command
        """
        self.slots.permit_granted(now)
        return self._advance(now)

    def permit_denied(self, now):
        """Handle a denied load permit.

        Parameters
        ----------
        now : float
            Current time, in seconds.

        Returns
        -------
        list of Command
            Always empty: a permit is requested again on the next event.
        """
        self.slots.permit_denied()
        return []

    def order_ended(self, command, now, *, succeeded, certain=True):
        """Handle the outcome of a load or unload order.

        Parameters
        ----------
        command : LoadAdapter or UnloadAdapter
            The order.
        now : float
            Current time, in seconds.
        succeeded : bool
            Whether the engine executed it.
        certain : bool
            Whether the outcome on the engine is known.

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
        """Handle an order that was never executed.

        Parameters
        ----------
        command : LoadAdapter or UnloadAdapter
            The order.
        now : float
            Current time, in seconds.

        Returns
        -------
        list of Command
        """
        if command.boot != self.boot:
            return []
        self.slots.order_withdrawn(command.order, command.lora_name, now=now)
        return self._advance(now)

    def fence_ended(self, command, now, *, succeeded):
        """Handle the outcome of a `FenceTarget` command.

        Parameters
        ----------
        command : FenceTarget
            The command.
        now : float
            Current time, in seconds.
        succeeded : bool
            Whether the engine has recorded the fencing number.

        Returns
        -------
        list of Command
        """
        if succeeded and command.boot == self.boot:
            self.takeover.note_fenced(now)
        return self._advance(now)

    def tick(self, now):
        """Handle the passage of time.

        Parameters
        ----------
        now : float
            Current time, in seconds.

        Returns
        -------
        list of Command
        """
        return self._advance(now)

    def retire(self, now):
        """Stop granting and ordering, before the tickets are handed over.

        Parameters
        ----------
        now : float
            Current time, in seconds.

        Returns
        -------
        list of Command
            Refusals of all waiting requests.
        """
        self.closed = True
        self.retired = True
        commands = []
        for ticket_id in list(self.queue.entries):
            entry = self.queue.remove(ticket_id)
            commands.append(self._refuse(entry.request, Reason.NO_TARGET, now))
        return commands

    def adopt_tickets(self, tickets, boot, now):
        """Adopt all tickets of a predecessor that has handed over.

        Parameters
        ----------
        tickets : list of HeldTicket
            Its tickets, with times on the local clock.
        boot : str
            Boot id of the engine for which they were granted.
        now : float
            Current time, in seconds.
        """
        self.takeover.note_handed_over(now)
        for ticket in tickets:
            self._adopt(ticket, boot, now)

    def expected_start(self, request, now):
        """Estimate how long a request would wait for its first token.

        Parameters
        ----------
        request : TicketRequest
            The request.
        now : float
            Current time, in seconds.

        Returns
        -------
        float
            Seconds.
        """
        wait = self.expected_wait(request.urgency, now)
        if not self.slots.is_usable(request.lora_name):
            wait += self._expected_load_wait(now)
        # The prefill backlog shrinks during the wait, so only the longer counts.
        ahead = self.backlog.ahead(request.urgency, now=now)
        if not self._may_prefill(now):
            ahead += sum(
                self._prefill_time(entry.request)
                for entry in self.queue.entries.values()
                if entry.request.urgency >= request.urgency
            )
        return max(wait, ahead) + self._prefill_time(request)

    def _prefill_time(self, request):
        uncached_tokens = self.preamble_cache.uncached_tokens(
            request.preambles, request.prompt_tokens
        )
        return uncached_tokens / self.prefill_rate

    def expected_wait(self, urgency, now):
        """Estimate how long a new request waits for a place in the batch.

        Parameters
        ----------
        urgency : int
            Its urgency.
        now : float
            Current time, in seconds.

        Returns
        -------
        float
            Seconds.
        """
        ahead = self.queue.count_at_least(urgency) + 1 - self._free_tickets(now)
        if ahead <= 0:
            return 0.0
        return ahead * max(self.service_time / self.batch_limit, self._pace_interval())

    def summary(self, now):
        """Return the state of the target that is published to other instances.

        Parameters
        ----------
        now : float
            Current time, in seconds.

        Returns
        -------
        TargetSummary
        """
        usable = self.slots.residency.usable()
        return TargetSummary(
            target=self.target.name,
            steward=self.instance,
            fencing_number=self.fencing_number,
            full_powers=self.permissions is Permissions.FULL,
            boot=self.boot or "",
            open=self._may_grant(now) and not self.closed,
            room=self._free_tickets(now),
            batch_limit=self.batch_limit,
            queued=len(self.queue),
            queued_urgent=tuple(self.queue.count_at_least(u) for u in URGENCIES),
            service_time=round(
                max(self.service_time, self.batch_limit * self._pace_interval()), 2
            ),
            load_wait=round(self._expected_load_wait(now), 2),
            free_slots=self.slots.residency.free_slots(),
            victim_worth=round(
                self.slots.victims.min_victim_demand(self.slots.load_cost, now), 2
            ),
            made_at=now,
            resident=frozenset(adapter_hash(name) for name in usable),
        )

    def evicts_from(self):
        """Return the earliest time at which the steward may evict.

        Returns
        -------
        float or None
            Seconds; None if it may not evict at all.
        """
        if self.permissions is not Permissions.FULL or self.takeover.must_fence:
            return None
        settled = self.policy.ticket_lease + self.policy.lease_margin
        return max(self.takeover.evicts_from, self.authority.gained_at + settled)

    def _grant_waiting(self, now):
        commands = self._refuse_expired(now)
        if self._may_act(now) and self._may_grant(now):
            commands += self._grant_all(now)
        return commands

    def _refuse_expired(self, now):
        expired = self.queue.expire(now)
        shed = self.queue.shed(now, work=self._prefill_time)
        return [
            self._refuse(entry.request, reason, now)
            for entries, reason in (
                (expired, Reason.QUEUE_TIMEOUT),
                (shed, Reason.QUEUE_FULL),
            )
            for entry in entries
        ]

    def _may_act(self, now):
        if self.retired or self.boot is None:
            return False
        return self._has_authority(now)

    def _has_authority(self, now):
        # If the engine finishes running requests before it unloads an adapter,
        # a ticket from a replaced steward is harmless.
        return self.policy.engine_drains_on_unload or self.authority.is_valid(now)

    def _replace_old_versions(self):
        for name in {entry.request.lora_name for entry in self.queue.entries.values()}:
            current = self.current_lora_name(name)
            if current != name:
                self.queue.rename(name, current, ready=self.slots.is_usable(current))

    def _advance(self, now):
        self._replace_old_versions()
        self.ledger.expire(now)
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
        while self._free_tickets(now) > 0 and self._may_prefill(now):
            # Run one suspect at a time, so that a crash identifies the culprit.
            entry = self.queue.pop(
                now,
                suspects=not self.ledger.has_suspect(),
                work=self._prefill_time,
            )
            if entry is None:
                break
            commands.append(self._grant(entry, now))
        return commands

    def _may_prefill(self, now):
        """Return whether the engine would soon have no prompt to prefill."""
        return self.backlog.ahead(0, now=now) < self.policy.prefill_ahead

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
        self.ledger.add(held)
        self.pace.take(now)
        self.warm_up_pace.take(now)
        self.backlog.add(self._prefill_time(request), urgency=request.urgency, now=now)
        self.preamble_cache.note_prompt(request.preambles)
        assert self.ledger.occupied() <= self.batch_limit + self.policy.batch_slack
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
            retry_after = self.expected_wait(request.urgency, now)
        return RefuseTicket(
            ticket_id=request.ticket_id,
            holder=request.holder,
            reason=reason,
            retry_after=max(MIN_RETRY_AFTER_S, retry_after),
        )

    def _refusal_reason(self, request, now):
        if self.closed or self.ledger.was_returned(request.ticket_id):
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
        if self.permissions is Permissions.LIMITED and not has_slot:
            return Reason.NO_TARGET
        return None

    def _available_tickets(self):
        limit = self.batch_limit + self.policy.batch_slack
        return limit - self.ledger.occupied()

    def _free_tickets(self, now):
        return min(
            self._available_tickets(),
            self.pace.free(now),
            self.warm_up_pace.free(now),
        )

    def _pace_interval(self):
        return max(self.pace.interval, self.warm_up_pace.interval)

    def _may_grant(self, now):
        report_at = self.slots.residency.report_at
        if report_at is None or now - report_at > REPORT_TIMEOUT_S:
            return False
        if not self.takeover.may_grant(now):
            return False
        return self._has_authority(now)

    def _adopt(self, ticket, boot, now):
        if self.boot is not None and boot != self.boot:
            return False
        if self.ledger.was_returned(ticket.ticket_id):
            return False
        if self.boot is not None and not self.slots.holds(ticket.lora_name):
            return False
        expires_at = now + self.policy.ticket_lease
        self.ledger.add(ticket._replace(granted_at=now, expires_at=expires_at))
        return True

    def _fence(self, now):
        if not self.takeover.begin_fence_attempt(now):
            return []
        return [FenceTarget(self.boot, self.fencing_number)]

    def _expected_load_wait(self, now):
        waiting = len(self.queue.blocked_adapters(now))
        rounds = 1 + waiting / self.policy.parallel_loads
        return self.slots.load_cost * rounds + self._expected_slot_wait(now)

    def _expected_slot_wait(self, now):
        """Estimate how long until an adapter slot is free for one more adapter.

        Load pattern: streams hold all adapter slots, and requests for other adapters
        arrive.
        """
        in_use = self.slots.used_slots()
        waiting = sum(
            self.slots.residency.state(each.lora_name) is None
            for each in self.queue.blocked_adapters(now)
        )
        missing = waiting + 1 - (self.target.slots - in_use)
        if missing <= 0 or not in_use:
            return 0.0
        return min(MAX_SLOT_WAIT_S, missing * self.service_time / in_use)


def _unchanged(lora_name):
    return lora_name
