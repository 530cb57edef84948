"""At most once, under kills, lost answers, outages, pauses and resends."""

import collections
import itertools
import random

import pytest

from skylarkpost.claims import Claimant, ClaimTable, KeyTimes, Progress, Stage
from skylarkpost.claims.replies import answer_repeated
from skylarkpost.filters import Answer
from skylarkpost.outcomes import Refused, RunState

RETENTION_S = 100.0
WINDOW_S = 5.0
TIMES = KeyTimes(RETENTION_S)
STEPS = 4000
# What happens next, with its weight. Whoever is not stepped is paused.
WEIGHTS = {
    "pass_time": 12,
    "pass_long": 1,
    "renew_key": 6,
    "arrive": 20,
    "read": 40,
    "send": 25,
    "give_up": 4,
    "end": 12,
    "land_late": 2,
    "kill": 2,
}


class Reader:
    """One run of one instance."""

    def __init__(self):
        self.table = ClaimTable(times=TIMES, max_answer_bytes=4)
        self.applied = 0
        self.claimants = {}


class World:
    """Three instances, the log and the service, stepped at random."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.now = 1000.0
        self.log, self.delayed = [], []
        self.readers = [Reader() for _ in range(3)]
        self.numbers = itertools.count()
        self.keys = {}
        self.runs = collections.Counter()
        self.ran, self.told_not_run = set(), set()
        self.seen = collections.Counter()
        for _ in range(4):
            self.renew_key()

    def step(self):
        name = self.random.choices(list(WEIGHTS), list(WEIGHTS.values()))[0]
        self.seen[name] += 1
        getattr(self, name)()
        assert all(count == 1 for count in self.runs.values()), "a call ran twice"
        assert not self.told_not_run & self.ran, "told as not run, but it ran"

    def pass_time(self):
        self.now += self.random.choice([0.05, 0.1, 0.5, 4.0])

    def pass_long(self):
        self.now += self.random.uniform(20, 1.2 * RETENTION_S)

    def renew_key(self):
        if len(self.keys) >= 4:
            del self.keys[self.random.choice(list(self.keys))]
        ahead = self.random.choice([0.0, 12.0, 40.0])
        self.keys[f"k{next(self.numbers)}"] = self.now + ahead

    def arrive(self):
        name, made_at = self.random.choice(list(self.keys.items()))
        reader = self.random.choice(self.readers)
        state = reader.table.find(name)
        if state is not None and state.progress is not Progress.RELEASED:
            self.check_reply(name, answer_repeated(state, "f", time=self.now))
            return
        claimant = Claimant(
            claim=f"c{next(self.numbers)}",
            key=name,
            made_at=made_at,
            fingerprint="f",
            now=self.now,
            window=WINDOW_S,
            life=20.0,
        )
        reader.claimants[claimant.claim] = claimant
        self.append(claimant.claim_record(), never=0.1)

    def check_reply(self, name, reply):
        if isinstance(reply, Refused):
            assert reply.run_state is not RunState.NOT_RUN
        else:
            assert self.runs[name] == 1

    def append(self, record, *, never):
        """Append now, later or never; twice if an answer was lost."""
        fate = self.random.random()
        if fate < never:
            return
        if fate < never + 0.15:
            self.delayed.append(record)
        if fate > never + 0.05:
            self.log.append((self.now, record))

    def land_late(self):
        if self.delayed:
            index = self.random.randrange(len(self.delayed))
            self.log.append((self.now, self.delayed.pop(index)))

    def read(self):
        reader = self.random.choice(self.readers)
        first = sum(time <= self.now - RETENTION_S for time, _ in self.log)
        for time, record in self.log[max(reader.applied, first) :]:
            verdict = reader.table.apply(record, time)
            claimant = reader.claimants.get(record["claim"])
            if verdict is not None and claimant is not None:
                claimant.take_verdict(verdict)
                if claimant.stage is Stage.LOST:
                    del reader.claimants[claimant.claim]
        reader.applied = len(self.log)

    def any_claimant(self, *stages):
        found = [
            (reader, claimant)
            for reader in self.readers
            for claimant in reader.claimants.values()
            if not stages or claimant.stage in stages
        ]
        return self.random.choice(found) if found else (None, None)

    def send(self):
        stages = self.random.choice([(), (Stage.WON,)])
        _, claimant = self.any_claimant(*stages)
        if claimant is None or not claimant.begin_sending(self.now):
            return
        if self.random.random() < 0.6:
            self.ran.add(claimant.claim)
            self.runs[claimant.key] += 1

    def give_up(self):
        reader, claimant = self.any_claimant()
        if claimant is None or not claimant.give_up():
            return
        if claimant.stage is Stage.GIVEN_UP:
            self.told_not_run.add(claimant.claim)
        record = claimant.end(certainly_not_run=True, answer=None)
        if record is not None:
            self.append(record, never=0.3)
        if self.random.random() < 0.7:
            del reader.claimants[claimant.claim]

    def end(self):
        reader, claimant = self.any_claimant(Stage.SENT)
        if claimant is None:
            return
        ran, told = claimant.claim in self.ran, self.random.random() < 0.5
        answer = Answer(200, {}, b"yes") if ran and told else None
        # A target that refuses before it runs anything says so.
        record = claimant.end(certainly_not_run=not ran and told, answer=answer)
        self.append(record, never=0.3)
        del reader.claimants[claimant.claim]

    def kill(self):
        self.readers[self.random.randrange(3)] = Reader()


@pytest.mark.parametrize("seed", range(20))
def test_a_call_runs_at_most_once_and_not_run_is_true(seed):
    world = World(seed)
    for _ in range(STEPS):
        world.step()
    assert set(world.seen) == set(WEIGHTS)
    assert len(world.ran) > 20
    assert len(world.told_not_run) > 20


def test_a_claimant_that_wakes_up_after_its_window_does_not_send():
    claimant = Claimant(
        claim="c",
        key="k",
        made_at=0.0,
        fingerprint="f",
        now=10.0,
        window=WINDOW_S,
        life=20.0,
    )
    table = ClaimTable(times=TIMES, max_answer_bytes=0)
    claimant.take_verdict(table.apply(claimant.claim_record(), 10.0))
    assert not claimant.begin_sending(15.1)
    assert not claimant.begin_sending(12.0)
    record = claimant.end(certainly_not_run=True, answer=None)
    assert record["type"] == "claim-released"
