"""Random simulation of several replicas over one log, with all faults combined."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from skylarkpost.config import ConfigStore
from skylarkpost.config.replica import ConfigReplica
from skylarkpost.config.restating import Restater
from skylarkpost.config.snapshot import decode_snapshot, encode_snapshot

RETENTION_S = 60.0
SAFE_AGE_S = 45.0
VALID_FOR_S = 3.0
REPLICAS = 4
FAULTS = (
    "all-replaced",
    "cut",
    "gap",
    "late",
    "log-only",
    "outage",
    "records",
    "replaced",
    "snapshot",
)
NAMES = ("k1", "k2", "k3")


class Fleet:
    """Replicas that read at their own pace and are cut off, replaced and paused."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.now = 1000.0
        self.log = []
        self.delayed = []
        self.checks = 0
        self.full = ConfigStore()
        self.counts = dict.fromkeys(FAULTS, 0)
        self.replicas = [self.cold() for _ in range(REPLICAS)]
        self.cut_until = [0.0] * REPLICAS
        self.outage_until = 0.0

    def cold(self):
        replica = ConfigReplica()
        highest = {}

        def check_change(change, now):
            assert change.version >= highest.get(change.name, 0), "a version decreased"
            highest[change.name] = change.version

        replica.store.subscribe("key", check_change)
        replica.exact = True
        return replica

    @property
    def first_offset(self):
        return self.offset_at(self.now - RETENTION_S)

    def offset_at(self, moment):
        for offset, (time, _) in enumerate(self.log):
            if time >= moment:
                return offset
        return len(self.log)

    def append(self, record):
        if self.now < self.outage_until:
            return
        offset = len(self.log)
        self.log.append((self.now, record))
        self.full.apply(record=record, offset=offset, time=self.now, now=self.now)

    def publish(self):
        name = self.random.choice(NAMES)
        present = self.full.version("key", name)
        record = {
            "type": "change",
            "change_id": f"c{self.random.getrandbits(64):x}",
            "author": "op",
            "reason": "",
            "kind": "key",
            "name": name,
            "expected_version": self.random.choice([present, 0, None]),
            "body": self.random.choice([None, {"team": f"t{len(self.log)}"}]),
            "made_at": self.now,
            "valid_for": VALID_FOR_S,
        }
        for _ in range(self.random.choice([1, 1, 2])):
            self.append(record)

    def is_cut(self, index):
        return self.now < max(self.cut_until[index], self.outage_until)

    def read(self, index):
        replica = self.replicas[index]
        if self.is_cut(index):
            return
        if self.first_offset > replica.next_offset:
            self.counts["gap"] += 1
            replica.note_gap(self.first_offset)
        end = min(len(self.log), replica.next_offset + self.random.randint(1, 20))
        self.receive(replica, range(replica.next_offset, end))
        if replica.next_offset == len(self.log):
            self.note_end(replica)

    def note_end(self, replica):
        if replica.building is not None:
            if any(self.is_complete(peer) for peer in self.replicas):
                return
            self.counts["log-only"] += 1
            replica.exact = self.is_covered(replica.building.floor)
        replica.note_end(now=self.now)

    def is_complete(self, replica):
        return replica.ready and replica.building is None and replica.exact

    def is_covered(self, start):
        """Whether a reader that starts at an offset learns all items from the log."""
        table = self.full.tables["key"]
        return all(table.header(name)[1] >= start for name in table.names())

    def remove_tombstones(self):
        table = self.full.tables["key"]
        for name in table.names():
            entry = table.get(name)
            if entry.item is None and entry.mentioned < self.first_offset:
                self.full.remove_tombstone("key", name)

    def receive(self, replica, offsets):
        for offset in offsets:
            time, record = self.log[offset]
            replica.receive(record=record, offset=offset, time=time, now=self.now)

    def learn(self, index):
        replica = self.replicas[index]
        peer = self.replicas[self.random.randrange(REPLICAS)]
        if peer is replica or not peer.ready or peer.building is not None:
            return
        records = peer.recent.since(replica.next_offset)
        if replica.building is not None or not replica.ready or records is None:
            snapshot = decode_snapshot(encode_snapshot(peer.store))
            if replica.apply_snapshot(snapshot, now=self.now):
                self.counts["snapshot"] += 1
                replica.exact = peer.exact
            return
        self.counts["records"] += bool(records)
        self.receive(replica, [record.offset for record in records])

    def restate(self, index):
        replica = self.replicas[index]
        if not replica.ready or replica.building is not None or self.is_cut(index):
            return
        if replica.next_offset != len(self.log):
            return
        restater = Restater(writer=f"entry-{index}", retention=RETENTION_S)
        records = restater.step(
            replica.store,
            first_offset=self.first_offset,
            log_time=self.now,
            chosen=True,
            interval=1.0,
        )
        if self.random.random() < 0.2:
            self.counts["late"] += 1
            lands_at = self.now + self.random.uniform(0, 2 * RETENTION_S)
            self.delayed += [(lands_at, record) for record in records]
            return
        for record in records:
            self.append(record)

    def land_delayed(self):
        landed = [record for at, record in self.delayed if at <= self.now]
        self.delayed = [entry for entry in self.delayed if entry[0] > self.now]
        for record in landed:
            self.append(record)

    def step(self):
        self.now += 1.0
        index = self.random.randrange(REPLICAS)
        roll = self.random.random()
        if roll < 0.25:
            self.publish()
        elif roll < 0.30:
            self.counts["cut"] += 1
            self.cut_until[index] = self.now + self.random.uniform(1, 2 * RETENTION_S)
        elif roll < 0.33:
            self.counts["replaced"] += 1
            self.replicas[index] = self.cold()
        elif roll < 0.34:
            self.counts["outage"] += 1
            self.outage_until = self.now + self.random.uniform(1, RETENTION_S / 4)
        elif roll < 0.35 and self.is_covered(self.offset_at(self.now - SAFE_AGE_S)):
            self.counts["all-replaced"] += 1
            self.replicas = [self.cold() for _ in range(REPLICAS)]
            self.cut_until = [0.0] * REPLICAS
            self.outage_until = 0.0
        before = [replica.applied_offset for replica in self.replicas]
        for number in range(REPLICAS):
            self.read(number)
            if self.random.random() < 0.3:
                self.learn(number)
        self.restate(self.random.randrange(REPLICAS))
        self.land_delayed()
        for number, replica in enumerate(self.replicas):
            assert replica.applied_offset >= before[number]
        self.remove_tombstones()
        self.check()

    def check(self):
        for replica in self.replicas:
            if replica.next_offset != len(self.log) or replica.building is not None:
                continue
            if replica.ready and replica.exact:
                self.checks += 1
                assert live(replica.store) == live(self.full)
        if self.is_covered(self.first_offset):
            self.checks += 1
            assert live(self.fresh()) == live(self.full)

    def fresh(self):
        store = ConfigStore(first_offset=self.first_offset)
        for offset in range(self.first_offset, len(self.log)):
            time, record = self.log[offset]
            store.apply(record=record, offset=offset, time=time, now=self.now)
        if not store.complete:
            store.finish_history(time=self.now, now=self.now)
        return store

    def heal(self):
        self.cut_until = [0.0] * REPLICAS
        self.outage_until = 0.0
        for _ in range(60):
            self.now += 1.0
            for number in range(REPLICAS):
                self.read(number)
                self.learn(number)
                self.restate(number)
        for replica in self.replicas:
            assert replica.ready
            assert live(replica.store) == live(self.full)


def live(store):
    return {
        key.key_hash: (store.version("key", key.key_hash), key.team)
        for key in store.items("key")
    }


@settings(derandomize=True, max_examples=15, deadline=None)
@given(st.integers(0, 2**32))
def test_replicas_agree_through_cuts_replacements_and_outages(seed):
    fleet = Fleet(seed)
    for _ in range(300):
        fleet.step()
    fleet.heal()


def test_a_run_covers_every_fault():
    fleet = Fleet(7)
    for _ in range(1000):
        fleet.step()
    assert all(fleet.counts.values()), fleet.counts
    assert fleet.checks > 1000


@pytest.mark.parametrize("applied", [0, 3])
def test_a_snapshot_that_leaves_a_gap_is_not_applied(applied):
    fleet = Fleet(1)
    for _ in range(4):
        fleet.publish()
    behind = ConfigReplica()
    fleet.receive(behind, range(applied))
    reader = ConfigReplica()
    reader.note_gap(2)
    fleet.receive(reader, [2, 3])
    snapshot = decode_snapshot(encode_snapshot(behind.store))
    assert reader.apply_snapshot(snapshot, now=0.0) == (applied == 3)
