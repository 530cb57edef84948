"""Connects the limits to the log, the configuration and the peers."""

import asyncio
import logging

import msgspec

from skylarkpost.controllers import Controller, register_controller
from skylarkpost.eventlog import log_event
from skylarkpost.limits.borrowing import PEER_TIMEOUT_S, Borrower
from skylarkpost.limits.commands import AppendRecord, Neighbour
from skylarkpost.limits.exchange import ShareExchange
from skylarkpost.limits.lender import ShareLender
from skylarkpost.limits.permit_client import acquire_load_permit
from skylarkpost.limits.permits import WEIGHT_STORE, LoadPermits
from skylarkpost.limits.pool import PoolHolder
from skylarkpost.limits.service import LimitsServicer
from skylarkpost.limits.shares import TeamLimit
from skylarkpost.limits.slot_manager import SlotManager
from skylarkpost.limits.slots import UNKNOWN_OWNER, SlotOwner, SlotTable
from skylarkpost.rpc import CallFailed, call_peer, limits_pb2, limits_pb2_grpc
from skylarkpost.runtime import BackgroundTask

__all__ = ["LimitsController"]

logger = logging.getLogger(__name__)

TICK_S = 0.1
SLOTS_TOPIC = "limits-slots"
MAX_TASKS = 2000
RECORD_TYPES = ("slot-claim", "slot-confirm", "slot-release")
LIVE = "live"
# Leaving instances still answer share requests, accept returns and yield slots.
REACHABLE_STATES = (LIVE, "leaving")


@register_controller("limits", order=30)
class LimitsController(Controller):
    """Runs this instance's part of the distributed team limits.

    Parameters
    ----------
    services : skylarkpost.daemon.Services
        Services shared by the parts of the instance.

    Attributes
    ----------
    slot_manager : SlotManager
        Decides which share slots this instance may use.
    core : ShareExchange
        Lends, borrows and charges shares.
    permits : LoadPermits
        Load permits issued by this instance.
    """

    def __init__(self, *, services):
        super().__init__(services=services)
        self.settings = services.settings.limits
        self.owner = SlotOwner(services.instance, services.boot)
        self.table = SlotTable(retention=services.settings.platform.log_retention)
        total = sum(self.settings.slots.values())
        own = self.settings.slots.get(services.data_centre, 0)
        self.slot_manager = SlotManager(
            owner=self.owner,
            slots=[f"{services.data_centre}/{index}" for index in range(own)],
            table=self.table,
            authority=self.settings.authority,
            lease=self.settings.lease,
            retention=services.settings.platform.log_retention,
            now=services.clock(),
        )
        prefix = f"{services.instance}/{services.boot}"
        self.core = ShareExchange(
            owner=self.owner,
            slot_manager=self.slot_manager,
            lender=ShareLender(
                owner=prefix, total_slots=max(1, total), lease=self.settings.lease
            ),
            pools=PoolHolder(holder=prefix, lease=self.settings.lease),
        )
        self.permits = LoadPermits(
            core=self.core,
            total_slots=max(1, total),
            rate=self.settings.loads_per_second,
            in_transit=self.settings.loads_in_transit,
            prefix=prefix,
        )
        self.core.lender.set_team(
            WEIGHT_STORE, self.permits.limit, now=services.clock()
        )
        self.borrower = Borrower(controller=self, renewal=self.settings.renewal)
        self.logged_slots = frozenset()
        self.differing_instances = set()
        self.task = BackgroundTask(name="limits")
        self.tasks = set()
        self._subscribe()

    def add_to_server(self, server):
        """Serve peers. See `Controller.add_to_server`."""
        servicer = LimitsServicer(controller=self)
        limits_pb2_grpc.add_LimitsServicer_to_server(servicer, server)

    async def start(self):
        """Start claiming slots and borrowing shares. See `Controller.start`."""
        membership = self.services.controllers["membership"]
        membership.subscribe(SLOTS_TOPIC, self._compare_slots)
        membership.publish(SLOTS_TOPIC, self._own_settings())
        self.task.start(self._run())

    async def leave(self):
        """Return the pools and release the slots. See `Controller.leave`."""
        self.slot_manager.releasing = True
        self.core.leaving = True
        # Peers must choose other pool holders before any share is returned.
        await self.services.controllers["membership"].leave()
        self.borrower.return_shares()
        deadline = self.services.clock() + self.settings.lease * 2
        while self._is_lending() and self.services.clock() < deadline:
            await asyncio.sleep(TICK_S)
        now = self.services.clock()
        for slot in list(self.slot_manager.active_slots()):
            if not self.core.lender.is_lent(slot):
                balances = self.core.lender.release_slot(slot, now=now)
                await self._append(self.slot_manager.release(slot, balances))

    async def stop(self):
        """End the background work. See `Controller.stop`."""
        await self.task.stop()
        for task in self.tasks:
            task.cancel()

    def degraded(self):
        """Return what does not work. See `Controller.degraded`."""
        found = []
        if not self.settings.slots:
            found.append("No share slots are set; requests of teams are refused.")
        if not self.slot_manager.may_use(self.services.clock()):
            found.append("After a pause, own share slots wait for the log.")
        if self.differing_instances:
            names = ", ".join(sorted(self.differing_instances))
            found.append(
                f"limits.slots differs from that of {names}; teams may get more than"
                " their limits."
            )
        return found

    def status(self):
        """Return slots, leases and pools. See `Controller.status`."""
        now = self.services.clock()
        pools = {}
        for team, pool in self.core.pools.pools.items():
            self.core.pools.advance(team, now=now)
            pools[team] = {
                "shares": len(pool.leases),
                "tokens": round(pool.bucket.level, 1),
                "burst": round(pool.bucket.burst, 1),
                "rate": round(pool.bucket.rate, 3),
            }
        owners = {
            slot: state.owner.instance
            for slot, state in self.table.states.items()
            if not state.released
        }
        return {
            "own_slots": sorted(self.slot_manager.active_slots()),
            "waiting_for_slots": sorted(self.slot_manager.pending),
            "slot_owners": owners,
            "pools": pools,
        }

    def candidates(self):
        """Return the ids of the instances that may hold pools.

        Returns
        -------
        list of str
            Ids of the reachable instances that are not leaving.
        """
        own = self.services.instance
        return sorted(
            member.instance
            for member in self.reachable()
            if member.state == LIVE
            and not (self.core.leaving and member.instance == own)
        )

    def reachable(self):
        """Return the reachable instances, including those that are leaving.

        Returns
        -------
        list of skylarkpost.membership.Member
        """
        membership = self.services.controllers["membership"]
        members = membership.members(self.services.clock())
        return [member for member in members if member.state in REACHABLE_STATES]

    def address_of(self, instance):
        """Return the peer address of a reachable instance.

        Parameters
        ----------
        instance : str
            Id of the instance.

        Returns
        -------
        str or None
            None if the instance is not reachable.
        """
        for member in self.reachable():
            if member.instance == instance:
                return member.address
        return None

    async def acquire_load_permit(self, *, urgency, waiting):
        """Acquire a permit to load from the weight store, with a timeout.

        Parameters
        ----------
        urgency : int
            Urgency of the most urgent waiting request; not used yet.
        waiting : int
            Number of adapters that requests wait for; not used yet.

        Returns
        -------
        HeldPermit or None
            The permit, to be released when the load has ended; None if none became
            available in time.
        """
        return await acquire_load_permit(self)

    def run_in_background(self, coroutine):
        """Run a coroutine as a background task; it is cancelled by `stop`.

        Parameters
        ----------
        coroutine : coroutine
            Closed without running, and counted, if too many tasks run already.
        """
        if len(self.tasks) >= MAX_TASKS:
            coroutine.close()
            self.services.metrics.count_event("limit-task-dropped")
            return
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _subscribe(self):
        store = self.services.controllers["config"].store
        store.subscribe("team", lambda change, now: self._set_team(change.item, now))
        follower = self.services.state_log
        for record_type in RECORD_TYPES:
            follower.subscribe(record_type, self._apply_record)
        previous_handler = follower.on_gap

        def note_gap(wanted, first_offset):
            self.table.note_gap()
            if previous_handler is not None:
                previous_handler(wanted, first_offset)

        follower.on_gap = note_gap

    async def _run(self):
        while True:
            self._tick()
            await asyncio.sleep(TICK_S)

    def _tick(self):
        now = self.services.clock()
        if not self.services.controllers["membership"].is_ready():
            self.slot_manager.yield_all_slots()
        follower = self.services.state_log
        if follower.fresh_at is not None:
            if follower.applied_offset >= follower.end_offset:
                self.table.note_caught_up()
            self.slot_manager.note_log_read(follower.fresh_at, now)
        commands = self.slot_manager.tick(
            now, log_time=self.services.wall_clock(), neighbours=self._neighbours()
        )
        self.core.sync(now)
        for command in commands:
            self._execute(command)
        self._log_slots()
        self.borrower.tick(now)

    def _execute(self, command):
        if isinstance(command, AppendRecord):
            self.run_in_background(self._append(command))
            return
        for member in self.reachable():
            if command.owner.instance in (UNKNOWN_OWNER.instance, member.instance):
                self.run_in_background(self._request_yield(member, command))

    async def _append(self, command):
        outcome = await self.services.state_log.append(command.record)
        log_event(
            logger,
            command.record["type"],
            slot=command.record["slot"],
            outcome=type(outcome).__name__,
        )

    async def _request_yield(self, member, command):
        request = limits_pb2.YieldSlotRequest(
            slot=command.slot, claim=command.claim, boot=command.owner.boot
        )
        stub = self._stub(member.address)
        reply = await call_peer(stub.YieldSlot, request, timeout=PEER_TIMEOUT_S)
        if isinstance(reply, CallFailed) or not reply.yielded:
            return
        # If the former owner is unknown, replies don't suffice: only silence shows
        # that it no longer uses the slot.
        if command.owner != UNKNOWN_OWNER:
            now = self.services.clock()
            self.slot_manager.note_yielded(command.slot, command.owner, now)

    def _set_team(self, team, now):
        if team is not None:
            limit = TeamLimit(team.rate, team.burst)
            self.core.lender.set_team(team.name, limit, now=now)

    def _apply_record(self, record, offset, time, now):
        self.table.apply(record, offset, time)

    def _own_settings(self):
        return msgspec.json.encode(self.settings.slots, order="sorted")

    def _compare_slots(self, member, payload, now):
        if payload == self._own_settings():
            self.differing_instances.discard(member.instance)
        elif member.instance not in self.differing_instances:
            self.differing_instances.add(member.instance)
            log_event(
                logger, "slots-differ", level=logging.ERROR, member=member.instance
            )

    def _is_lending(self):
        lender = self.core.lender
        lender.advance(self.services.clock())
        return any(lender.is_lent(slot) for slot in lender.slots)

    def _log_slots(self):
        slots = frozenset(self.slot_manager.active_slots())
        if slots != self.logged_slots:
            self.logged_slots = slots
            log_event(logger, "slots-changed", slots=",".join(sorted(slots)) or "none")

    def _neighbours(self):
        now = self.services.clock()
        membership = self.services.controllers["membership"]
        return [
            Neighbour(SlotOwner(m.instance, m.boot), m.last_seen_at)
            for m in membership.neighbours(now)
            if m.instance != self.services.instance and m.last_seen_at is not None
        ]

    def _stub(self, address):
        return limits_pb2_grpc.LimitsStub(self.services.peers.get(address))
