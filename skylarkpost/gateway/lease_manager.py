"""Claims leases of engines, and runs a steward for each lease held."""

import asyncio
import logging

from skylarkpost.eventlog import log_event
from skylarkpost.gateway.targets import target_from_entry
from skylarkpost.log.keyed import KeyedRecord, StoreAppended
from skylarkpost.log.keyed_follower import KeyedFollower
from skylarkpost.log.positions import describe_position
from skylarkpost.membership import MemberState
from skylarkpost.platform import EngineCodec
from skylarkpost.runtime import BackgroundTask
from skylarkpost.stewardship.leases import (
    LeaseAuthority,
    LeasePolicy,
    LeaseRecord,
    LeaseTable,
    decode_lease,
    encode_lease,
)
from skylarkpost.stewardship.prefill import PROMPT_CACHE_FRACTION
from skylarkpost.stewardship.steward import TargetSteward
from skylarkpost.stewardship.steward_executor import StewardExecutor
from skylarkpost.targets.sequenced_engine_client import SequencedEngineClient

__all__ = ["LEASES_TOPIC", "LeaseManager", "UnlimitedPermits"]

logger = logging.getLogger(__name__)

LEASES_TOPIC = "keyed.skylarkpost-leases"
# Shorter than the time for which a read of the topic confirms the authority.
READ_WAIT_S = 2.0
# Age at which peers are queried too: the read has exceeded its wait by more than a
# margin, and the authority ends half a second later.
MAX_READ_AGE_S = 2.4
# Short compared with the silence after which a holder is replaced.
CLAIM_CHECK_INTERVAL_S = 0.2
# Leaves time for the record that a claim conflicted with to arrive.
CLAIM_RETRY_INTERVAL_S = 0.3


class UnlimitedPermits:
    """Permits every load, since the engines' weight store limits loads itself."""

    async def acquire_load_permit(self, *, urgency, waiting):
        """Return a permit at once.

        Parameters
        ----------
        urgency, waiting : int
            Ignored.

        Returns
        -------
        UnlimitedPermits
        """
        return self

    def release(self, *, unused):
        """Do nothing.

        Parameters
        ----------
        unused : bool
            Ignored.
        """


class LeaseManager:
    """Claims the leases of this instance and runs its stewards.

    Parameters
    ----------
    services : Services
        Services shared by the instance's controllers.
    policy : StewardPolicy
        Policy of the stewards.
    max_ticket_wait : callable
        Returns the longest time that a ticket request waits at a steward, in seconds.

    Attributes
    ----------
    executors : dict of str to StewardExecutor
        By target.
    handing_over : dict
        Always empty, since an instance keeps its leases until it has stopped.
    """

    def __init__(self, *, services, policy, max_ticket_wait):
        self.services = services
        self.policy = policy
        self.max_ticket_wait = max_ticket_wait
        lease_policy = LeasePolicy(order_gap=services.settings.bounds.lease_ms / 1000.0)
        lease_policy = lease_policy._replace(
            first_claim_wait=lease_policy.takeover_wait
        )
        self.table = LeaseTable(own=services.instance, policy=lease_policy)
        self.executors = {}
        self.engine_pools = []
        self.engines = {}
        self.handing_over = {}
        self.orders_allowed = {}
        self.permits = UnlimitedPermits()
        self.started_at = services.clock()
        self.follower = KeyedFollower(
            store=services.store,
            topic=LEASES_TOPIC,
            clock=services.clock,
            random=services.random,
            on_record=self._apply_record,
            wait=lambda: READ_WAIT_S,
            peers=services.query_peers,
            relay=services.query_reader,
            bound=lambda: lease_policy.authority,
            max_age=MAX_READ_AGE_S,
            on_restore=self.table.note_restore,
        )
        services.followers[LEASES_TOPIC] = self.follower
        self.claim_task = BackgroundTask(name="lease-claims")

    def start(self):
        """Start following the topic and claiming leases."""
        self.follower.start()
        self.claim_task.start(self._run_claims())

    async def stop(self):
        """Stop claiming and following, and close all executors."""
        await self.claim_task.stop()
        await self.follower.stop()
        for executor in self.executors.values():
            executor.close()

    def receive_handover(self, handover):
        """Decline the tickets of a predecessor.

        A lease passes to another instance only after its holder has gone, so no
        handover is expected; the holders renew their tickets here.

        Parameters
        ----------
        handover : skylarkpost.rpc.stewardship_pb2.TicketBook
            The offered tickets.

        Returns
        -------
        bool
            Always False.
        """
        log_event(logger, "handover-declined", target=handover.target)
        return False

    def tick(self, now):
        """Run an executor for each held lease whose target is announced.

        Parameters
        ----------
        now : float
            The present time, in seconds.
        """
        engines = self._engines(now)
        held = {lease.target: lease for lease in self.table.held()}
        for name in list(self.executors):
            if name not in held or name not in engines:
                self._end_stewardship(
                    name, "lease-lost" if name not in held else "target-gone"
                )
        for name, lease in held.items():
            if not self.table.is_confirmed(name):
                continue
            if name in self.executors:
                self._renew_lease(self.executors[name], lease)
            elif name in engines:
                self._start_steward(lease, *engines[name], now)
        for name, executor in self.executors.items():
            executor.engines.follow_entry(engines[name][0])
            executor.tick()
            self._note_authority(name, now)

    def _renew_lease(self, executor, lease):
        """Follow the lease to a newer record, written by whoever confirmed it."""
        if lease.number <= executor.claim.number:
            return
        executor.claim = lease
        executor.steward.raise_fencing_number(lease.number)
        executor.engines.raise_fencing_number(lease.number)
        log_event(
            logger,
            "stewardship-renewed",
            target=lease.target,
            number=describe_position(lease.number),
        )

    def _engines(self, now):
        """Return the entry and service of each usable engine, by name."""
        known = self.services.controllers["config"].state.configuration
        if known is None:
            return {}
        directory = self.services.controllers["directory"]
        pools = [
            (service, directory.usable_of_service(service.name, now))
            for service in known.services.values()
            if service.engine is not None
        ]
        if not _are_identical(pools, self.engine_pools):
            self.engine_pools = pools
            self.engines = {
                entry.name: (entry, service)
                for service, entries in pools
                for entry in entries
            }
        return self.engines

    def _start_steward(self, lease, entry, service, now):
        limits = service.engine
        authority = LeaseAuthority(
            table=self.table,
            target=lease.target,
            fresh_at=lambda: self.follower.fresh_at,
        )
        engine = SequencedEngineClient(
            entry=entry,
            model=limits.models[0],
            limits=limits,
            instance=self.services.instance,
            call=self.services.call_target,
            codec=EngineCodec,
            clock=self.services.clock,
            may_order=lambda: authority.is_valid(self.services.clock()),
        )
        engine.fencing_number = lease.number
        target = target_from_entry(entry, service)
        steward = TargetSteward(
            target=target,
            fencing_number=lease.number,
            instance=self.services.instance,
            now=now,
            policy=self.policy._replace(
                preamble_cache_tokens=PROMPT_CACHE_FRACTION * limits.cache_tokens,
                limit_window=self.services.settings.bounds.limit_window_s,
                queue_order=self.services.settings.queue.order,
                prefill_ahead=self.services.settings.queue.prefill_ahead_s,
            ),
            authority=authority,
            current_lora_name=lambda name: self._current_lora_name(
                limits.models[0].name, name
            ),
        )
        self.executors[lease.target] = StewardExecutor(
            steward=steward,
            engines=engine,
            permits=self.permits,
            clock=self.services.clock,
            claim=lease,
            on_stale=lambda name: self._end_stewardship(name, "stale-fencing-number"),
            answer_timeout=self.max_ticket_wait(),
        )
        log_event(
            logger,
            "stewardship-began",
            target=lease.target,
            number=describe_position(lease.number),
            orders_in=self.table.orders_from.get(lease.target, now) - now,
        )

    def _current_lora_name(self, model, lora_name):
        adapter, _, version = lora_name.rpartition("@")
        if not adapter:
            return lora_name
        newest = self.services.controllers["config"].adapter_version(model, adapter)
        return f"{adapter}@{max(newest, int(version))}"

    def _note_authority(self, name, now):
        is_valid = self.table.may_order(name, self.follower.fresh_at, now)
        if self.orders_allowed.get(name) is is_valid:
            return
        self.orders_allowed[name] = is_valid
        log_event(
            logger,
            "orders-allowed" if is_valid else "orders-suspended",
            target=name,
            knowledge_age=now - self.follower.fresh_at,
            orders_in=self.table.orders_from.get(name, now) - now,
        )

    def _end_stewardship(self, name, reason):
        executor = self.executors.pop(name, None)
        self.orders_allowed.pop(name, None)
        if executor is not None:
            executor.close()
            log_event(logger, "stewardship-ended", target=name, reason=reason)

    def _apply_record(self, record, now):
        if not record.value:
            return True
        lease = decode_lease(record.value)
        if lease is None:
            log_event(
                logger,
                "entry-malformed",
                key=record.key,
                offset=describe_position(record.offset),
            )
            return False
        is_taken = self.table.apply(record.key, lease, record.offset, now)
        log_event(
            logger,
            "lease-record",
            target=record.key,
            holder=lease.holder,
            number=describe_position(record.offset),
            as_of=describe_position(lease.as_of),
            settled=lease.is_settled,
            taken=is_taken,
        )
        return is_taken

    async def _run_claims(self):
        while True:
            await asyncio.sleep(CLAIM_CHECK_INTERVAL_S)
            now = self.services.clock()
            if self.services.leaving or self.follower.next_offset is None:
                continue
            if now - self.started_at < self.table.policy.settle:
                continue
            if not await self._append_due_records(now):
                await asyncio.sleep(CLAIM_RETRY_INTERVAL_S)

    async def _append_due_records(self, now):
        """Append what is due of this instance; return False if the append failed."""
        membership = self.services.controllers["membership"]
        live = {
            member.instance: member.data_centre
            for member in membership.members(now)
            if member.state is MemberState.LIVE
        }
        engines = {
            name: entry.data_centre for name, (entry, _) in self._engines(now).items()
        }
        own = self.services.instance
        as_of = self.follower.next_offset
        restated = self.table.due_restatements(engines, live, now)
        records = {
            lease.target: self.table.restatement(lease, as_of) for lease in restated
        }
        for target in self.table.due_claims(engines, live, now):
            is_first = self.table.is_first(target)
            records[target] = LeaseRecord(own, is_settled=is_first, as_of=as_of)
        for target in self.table.due_settlements(now):
            if target in engines:
                records[target] = LeaseRecord(own, is_settled=True, as_of=as_of)
        if not records:
            return True
        # The append succeeds only if the topic ends where this instance has read it
        # to; after a concurrent append, it has to read before it claims again.
        answer = await self.services.store.append(
            LEASES_TOPIC,
            [KeyedRecord(name, encode_lease(each)) for name, each in records.items()],
            expected_end=as_of,
        )
        log_event(
            logger,
            "leases-claimed",
            targets=",".join(records),
            restated=len(restated),
            as_of=describe_position(as_of),
            outcome=type(answer).__name__,
            live=len(live),
        )
        if isinstance(answer, StoreAppended):
            await self.follower.catch_up()
        return isinstance(answer, StoreAppended)


def _are_identical(pools, known):
    if len(pools) != len(known):
        return False
    return all(
        service is before and entries is entries_before
        for (service, entries), (before, entries_before) in zip(
            pools, known, strict=True
        )
    )
