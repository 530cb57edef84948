"""Random histories: late readers reach the state of one that read everything."""

from hypothesis import given, settings
from hypothesis import strategies as st

from skylarkpost.config import ConfigStore
from skylarkpost.config.kinds import KINDS
from skylarkpost.config.restating import Restater

RETENTION_S = 100.0
VALID_FOR_S = 5.0
STEP_S = 2.0
NAMES = ("k1", "k2", "k3")

EXPECTATIONS = st.sampled_from(["present", "older", "absent", "any"])
ACTIONS = st.one_of(
    st.tuples(
        st.just("change"),
        st.sampled_from(NAMES),
        EXPECTATIONS,
        st.booleans(),
        st.lists(st.floats(0.0, 12.0), max_size=2),
    ),
    st.tuples(st.just("late-restater"), st.floats(0.0, 2 * RETENTION_S)),
    st.tuples(st.just("advance"), st.floats(1.0, 40.0)),
)


class World:
    """A log with retention, one regular restater and any number of delayed ones."""

    def __init__(self):
        self.now = 1000.0
        self.log = []
        self.delayed = []
        self.full = ConfigStore()
        self.restater = Restater(writer="entry-1", retention=RETENTION_S)
        self.naive = {}
        self.naive_ids = set()
        self.changes = 0

    @property
    def first_offset(self):
        kept = [o for o, (t, _) in enumerate(self.log) if t >= self.now - RETENTION_S]
        return kept[0] if kept else len(self.log)

    def append(self, record):
        offset = len(self.log)
        self.log.append((self.now, record))
        self.full.apply(record=record, offset=offset, time=self.now, now=self.now)
        if record["type"] == "change":
            self.fold_naively(record, offset)

    def fold_naively(self, record, offset):
        if self.now - record["made_at"] > VALID_FOR_S:
            return
        if record["change_id"] in self.naive_ids:
            return
        self.naive_ids.add(record["change_id"])
        version, _ = self.naive.get(record["name"], (0, None))
        if record["expected_version"] not in (None, version):
            return
        if record["body"] is None:
            self.naive.pop(record["name"], None)
        else:
            self.naive[record["name"]] = (offset + 1, record["body"]["team"])

    def change(self, name, expectation, removes, copies):
        self.changes += 1
        present = self.naive.get(name, (0, None))[0]
        expected = {
            "present": present,
            "older": max(0, present - 1),
            "absent": 0,
            "any": None,
        }[expectation]
        record = {
            "type": "change",
            "change_id": f"c{self.changes}",
            "author": "op",
            "reason": "",
            "kind": "key",
            "name": name,
            "expected_version": expected,
            "body": None if removes else {"team": f"t{self.changes}"},
            "made_at": self.now,
            "valid_for": VALID_FOR_S,
        }
        self.append(record)
        self.delayed += [(self.now + delay, record) for delay in copies]

    def delay_restatements(self, delay):
        everything = Restater(writer="entry-2", retention=1e-6)
        records = everything.step(
            self.full,
            first_offset=0,
            log_time=self.now + 1.0,
            chosen=True,
            interval=STEP_S,
        )
        self.delayed += [(self.now + delay, record) for record in records]

    def advance(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now = min(end, self.now + STEP_S)
            due = [record for at, record in self.delayed if at <= self.now]
            self.delayed = [entry for entry in self.delayed if entry[0] > self.now]
            for record in due:
                self.append(record)
            self.restate()

    def restate(self):
        records = self.restater.step(
            self.full,
            first_offset=self.first_offset,
            log_time=self.now,
            chosen=True,
            interval=STEP_S,
        )
        for record in records:
            self.append(record)

    def fresh(self):
        store = ConfigStore(first_offset=self.first_offset)
        for offset in range(self.first_offset, len(self.log)):
            time, record = self.log[offset]
            store.apply(record=record, offset=offset, time=time, now=self.now)
        if not store.complete:
            store.finish_history(time=self.now, now=self.now)
        return store

    def check(self):
        expected = dict(self.naive)
        assert live_state(self.full) == expected
        assert live_state(self.fresh()) == expected


def live_state(store):
    assert not any(list(store.items(kind)) for kind in KINDS if kind != "key")
    return {
        key.key_hash: (store.version("key", key.key_hash), key.team)
        for key in store.items("key")
    }


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.lists(ACTIONS, min_size=5, max_size=60))
def test_a_fresh_reader_reaches_the_state_of_one_that_read_everything(actions):
    world = World()
    for action in actions:
        match action:
            case ("change", name, expectation, removes, copies):
                world.change(name, expectation, removes, copies)
            case ("late-restater", delay):
                world.delay_restatements(delay)
            case ("advance", seconds):
                world.advance(seconds)
        world.check()
    world.advance(3 * RETENTION_S)
    world.check()


def test_a_tombstone_is_restated_as_long_as_a_copy_of_the_creation_can_be_read():
    world = World()
    world.change("k1", "absent", False, [4.0])
    world.advance(2.0)
    world.change("k1", "present", True, [])
    for _ in range(60):
        world.advance(2.0)
        world.check()
    assert "k1" not in world.full.tables["key"]


def test_a_restatement_that_lands_when_the_tombstone_is_forgotten_undoes_nothing():
    world = World()
    world.change("k1", "absent", False, [])
    world.delay_restatements(1.5 * RETENTION_S)
    world.change("k1", "present", True, [])
    for _ in range(100):
        world.advance(2.0)
        world.check()
    assert any(record["type"] == "restatement" for _, record in world.log)
    assert "k1" not in world.full.tables["key"]
