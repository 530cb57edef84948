"""Leases on a store that comes back from older copies, in virtual time.

The tables and followers of several instances run against a model of the store, with
restores at any step, also in quick succession, and with calls that are lost or carried
out late. Some instances are cut off from the store and hear of it from others only.
"""

import asyncio
import math
import random

import pytest

from skylarkpost.log.keyed import (
    KeyedRecord,
    KeyedRecords,
    KeyedSnapshot,
    PeerRecords,
    RecordsTrimmed,
    StoreAppended,
    StoreConflict,
    StoreUnavailable,
    StoreUnknown,
)
from skylarkpost.log.keyed_follower import KeyedFollower
from skylarkpost.log.positions import era_of, make_position, offset_of
from skylarkpost.stewardship.leases import (
    LeasePolicy,
    LeaseRecord,
    LeaseTable,
    decode_lease,
    encode_lease,
)

POLICY = LeasePolicy()
TOPIC = "leases"
TARGETS = {"t": "yaba", "u": "yaba"}
STEPS = 3000
# Longer than any wait for a lease, its confirmation and its settlement.
QUIET_S = 30.0


class ModelStore:
    """The records of one topic, and appends that are still on their way."""

    def __init__(self, rng):
        self.rng = rng
        self.era = 0
        self.log = []
        self.late = []

    def end(self):
        return make_position(self.era, len(self.log))

    def append(self, records, expected):
        if expected != len(self.log):
            return False
        self.log.extend(records)
        return True

    def restore(self):
        keep = self.rng.randint(max(0, len(self.log) - 6), len(self.log))
        self.log = self.log[:keep]
        self.era += 1

    def carry_out_late(self):
        if self.late:
            records, expected = self.late.pop(0)
            self.append(records, expected)


class ModelClient:
    """Calls of one instance to the store."""

    def __init__(self, store):
        self.store = store
        self.is_cut = False
        self.era = 0

    async def read(self, topic, start, *, wait):
        if self.is_cut:
            return StoreUnavailable("cut")
        store = self.store
        self.era = store.era
        if era_of(start) != store.era or offset_of(start) > len(store.log):
            return RecordsTrimmed()
        offset = offset_of(start)
        records = tuple(
            KeyedRecord(key, value, start + number)
            for number, (key, value) in enumerate(store.log[offset:])
        )
        return KeyedRecords(records, store.end())

    async def newest(self, topic):
        if self.is_cut:
            return StoreUnavailable("cut")
        self.era = self.store.era
        newest = {}
        for offset, (key, value) in enumerate(self.store.log):
            newest[key] = KeyedRecord(key, value, make_position(self.era, offset))
        return KeyedSnapshot(tuple(newest.values()), self.store.end())

    async def append(self, records, expected_end):
        if self.is_cut or era_of(expected_end) < self.era:
            return StoreUnavailable("cut")
        expected = offset_of(expected_end)
        chance = self.store.rng.random()
        if chance < 0.1:
            self.store.late.append((records, expected))
            return StoreUnknown("late")
        if not self.store.append(records, expected):
            return StoreConflict(self.store.end())
        if chance < 0.2 or self.store.era != era_of(expected_end):
            return StoreUnknown("no answer")
        return StoreAppended(expected_end, self.store.end())


class ModelInstance:
    """Lease table and follower of one instance, and the orders that it gives."""

    def __init__(self, world, name):
        self.world = world
        self.name = name
        self.client = ModelClient(world.store)
        self.restart()

    def restart(self):
        self.table = LeaseTable(own=self.name, policy=POLICY)
        self.fences = {}
        self.follower = KeyedFollower(
            store=self.client,
            topic=TOPIC,
            clock=lambda: self.world.now,
            random=self.world.rng,
            on_record=self.apply_record,
            wait=lambda: 0.0,
            peers=self.ask_peer,
            on_restore=self.table.note_restore,
        )

    def apply_record(self, record, now):
        lease = decode_lease(record.value)
        return self.table.apply(record.key, lease, record.offset, now)

    async def ask_peer(self, topic, start):
        peer = self.world.rng.choice(self.world.instances).follower
        if peer is self.follower or peer.next_offset is None:
            return None
        records = [r for r in peer.records.values() if r.offset >= start]
        age = self.world.now - peer.fresh_at
        return PeerRecords(tuple(records), peer.next_offset, age)

    async def write(self, live):
        as_of, now = self.follower.next_offset, self.world.now
        if as_of is None:
            return
        table = self.table
        records = {
            lease.target: table.restatement(lease, as_of)
            for lease in table.due_restatements(TARGETS, live, now)
        }
        for target in table.due_claims(TARGETS, live, now):
            is_first = table.is_first(target)
            records[target] = LeaseRecord(self.name, is_settled=is_first, as_of=as_of)
        for target in table.due_settlements(now):
            records[target] = LeaseRecord(self.name, is_settled=True, as_of=as_of)
        if records:
            encoded = [(name, encode_lease(each)) for name, each in records.items()]
            await self.client.append(encoded, as_of)

    def update_fences(self):
        held = {lease.target: lease.number for lease in self.table.held()}
        for target in TARGETS:
            if target not in held:
                self.fences.pop(target, None)
            elif self.table.is_confirmed(target):
                self.fences[target] = held[target]

    def order(self, target):
        now = self.world.now
        if target in self.fences and self.table.may_order(
            target, self.follower.fresh_at, now
        ):
            self.world.note_order(target, self, self.fences[target])


class World:
    """All instances, the store, and a check of each order."""

    def __init__(self, seed, count):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.store = ModelStore(self.rng)
        self.instances = []
        for number in range(count):
            self.instances.append(ModelInstance(self, f"i{number}"))
        self.live = {each.name: "yaba" for each in self.instances}
        self.last_orders = {target: {} for target in TARGETS}
        self.highest = dict.fromkeys(TARGETS, (-1, None))
        self.orders = 0

    def note_order(self, target, instance, fence):
        self.orders += 1
        for holder, at in self.last_orders[target].items():
            gap = self.now - at
            is_apart = holder == instance.name or gap >= POLICY.order_gap - 1e-6
            assert is_apart, f"{holder} and {instance.name} {gap:.2f} s apart"
        highest, holder = self.highest[target]
        assert fence >= highest, "a fencing number went back"
        assert fence > highest or holder == instance.name, "a number given out twice"
        self.highest[target] = (fence, instance.name)
        self.last_orders[target][instance.name] = self.now

    async def act(self, instance):
        chance = self.rng.random()
        if chance < 0.35:
            await instance.follower.step()
        elif chance < 0.45:
            await instance.follower.query_peers()
        elif chance < 0.65:
            live = self.live
            if self.rng.random() < 0.3:
                others = self.rng.sample(sorted(live), len(live) - 1)
                live = dict.fromkeys({*others, instance.name}, "yaba")
            await instance.write(live)
        elif chance < 0.66:
            instance.restart()
        elif chance < 0.68:
            instance.client.is_cut = not instance.client.is_cut
        else:
            instance.order(self.rng.choice(sorted(TARGETS)))
        instance.update_fences()

    async def run(self, restores):
        for _ in range(STEPS):
            self.now += self.rng.choice((0.0, 0.01, 0.05, 0.1, 0.4))
            chance = self.rng.random()
            if chance < restores:
                self.store.restore()
            elif chance < restores + 0.01:
                self.store.carry_out_late()
            await self.act(self.rng.choice(self.instances))

    async def calm_down(self):
        end = self.now + QUIET_S
        self.store.late.clear()
        for each in self.instances:
            each.client.is_cut = False
        while self.now < end:
            self.now += 0.05
            for each in self.instances:
                await each.follower.step()
                await each.write(self.live)
                each.update_fences()


@pytest.mark.parametrize("restores", [0.0, 0.003, 0.03])
@pytest.mark.parametrize("seed", range(12))
def test_one_holder_orders_and_fencing_numbers_rise(seed, restores):
    world = World(seed, count=2 + seed % 4)
    asyncio.run(world.run(restores))
    assert world.orders or restores
    asyncio.run(world.calm_down())
    for target in TARGETS:
        ordering = [
            each.name
            for each in world.instances
            if each.table.may_order(target, each.follower.fresh_at, world.now)
        ]
        assert len(ordering) == 1, "no steward after all has calmed down"
    assert len({offset_of(e.follower.reached) for e in world.instances}) == 1


def table(own="a", **leases):
    found = LeaseTable(own=own, policy=POLICY)
    for position, (target, holder) in enumerate(leases.items()):
        record = LeaseRecord(holder, is_settled=True)
        found.apply(target, record, position, now=0.0)
    return found


def test_a_lease_gives_no_authority_between_a_restore_and_its_confirmation():
    lease_table = table(t="a")
    assert lease_table.may_order("t", fresh_at=1.0, now=1.0)
    lease_table.note_restore(1, known_at=1.0, now=3.0)
    assert not lease_table.may_order("t", fresh_at=3.0, now=3.0)
    [lease] = lease_table.due_restatements({"t"}, ["a"], now=3.0)
    record = lease_table.restatement(lease, as_of=make_position(1, 0))
    lease_table.apply("t", record, make_position(1, 0), now=3.2)
    assert lease_table.may_order("t", fresh_at=3.2, now=3.2)
    assert lease_table.leases["t"].number == make_position(1, 0)


def test_the_lease_of_a_holder_out_of_reach_is_written_again_while_it_is_known():
    for seen_at, count in ((3.0, 1), (9.0, 0)):
        lease_table = table(t="b")
        lease_table.note_restore(1, known_at=1.0, now=seen_at)
        for targets in ({"t"}, set()):
            found = lease_table.due_restatements(targets, ["a"], now=seen_at)
            assert len(found) == count


def test_after_a_long_outage_a_confirmed_lease_waits_for_claims_that_were_lost():
    lease_table = table(t="a")
    lease_table.note_restore(1, known_at=1.0, now=9.0)
    [lease] = lease_table.due_restatements({"t"}, ["a"], now=9.0)
    record = lease_table.restatement(lease, as_of=make_position(1, 0))
    assert not record.is_settled
    lease_table.apply("t", record, make_position(1, 0), now=9.0)
    assert lease_table.due_settlements(15.4) == []
    assert lease_table.due_settlements(15.6) == ["t"]


def test_a_wait_for_the_previous_holder_begins_anew_with_an_era():
    """Whoever had not seen this claim may have confirmed the previous holder."""
    lease_table = table(t="b")
    lease_table.apply("t", LeaseRecord("a", as_of=1), 1, now=0.0)
    lease_table.note_restore(2, known_at=1.9, now=5.2)
    [lease] = lease_table.due_restatements({"t"}, ["a"], now=5.2)
    record = lease_table.restatement(lease, as_of=make_position(2, 0))
    lease_table.apply("t", record, make_position(2, 0), now=5.3)
    assert not record.is_settled
    assert lease_table.due_settlements(11.7) == []
    assert lease_table.due_settlements(11.9) == ["t"]


def test_an_append_carried_out_after_a_restore_gives_no_lease():
    """It was decided in an era that has ended, at an offset that came again."""
    lease_table = table(own="b", t="a")
    lease_table.note_restore(1, known_at=1.0, now=2.0)
    late = LeaseRecord("b", is_settled=True, as_of=5)
    lease_table.apply("t", late, make_position(1, 5), now=2.0)
    assert not lease_table.may_order("t", fresh_at=2.0, now=2.0)


def test_one_append_confirms_the_leases_of_a_large_fleet():
    names = [f"i{number}" for number in range(80)]
    leases = {f"t{number}": name for number, name in enumerate(names)}
    tables = [table(own=name, **leases) for name in names]
    for each in tables:
        each.note_restore(1, known_at=1.0, now=2.0)
    writers = [e for e in tables if e.due_restatements(leases, names, now=2.0)]
    assert len(writers) == 1
    assert len(writers[0].due_restatements(leases, names, now=2.0)) == 80
    # Without an answer from it, the next one follows.
    assert len([e for e in tables if e.due_restatements(leases, names, 2.3)]) == 2
    # At last each holder writes its own lease.
    late = [e.due_restatements(leases, names, now=3.6) for e in tables]
    assert all(late)
    assert sum(len(found) == 1 for found in late) > 70


def test_a_target_without_a_lease_is_claimed_only_when_lost_leases_have_ended():
    lease_table = table()
    lease_table.note_restore(1, known_at=-math.inf, now=2.0)
    assert not lease_table.due_claims({"t": "yaba"}, {"a": "yaba"}, now=8.4)
    assert lease_table.due_claims({"t": "yaba"}, {"a": "yaba"}, now=8.6) == ["t"]
    assert lease_table.is_first("t")
