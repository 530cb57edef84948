"""At-most-once execution under kills, lost answers, outages, pauses and resends."""

import collections
import itertools
import random

import pytest

from skylarkpost.claims import ClaimTable, KeyAgeLimits, Progress, RequestClaim, Stage
from skylarkpost.claims.replies import answer_repeated
from skylarkpost.filters import Answer
from skylarkpost.outcomes import Refused, RunState

RETENTION_S = 100.0
WINDOW_S = 5.0
AGE_LIMITS = KeyAgeLimits(RETENTION_S)
STEPS = 4000
# Random actions with their weights. An instance that is not stepped is paused.
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
        self.table = ClaimTable(age_limits=AGE_LIMITS, max_answer_bytes=4)
        self.applied = 0
        self.request_claims = {}


class World:
    """Random simulation of three instances, the log and the service."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.now = 1000.0
        self.log, self.delayed = [], []
        self.readers = [Reader() for _ in range(3)]
        self.numbers = itertools.count()
        self.keys = {}
        self.runs = collections.Counter()
        self.ran, self.reported_not_run = set(), set()
        self.seen = collections.Counter()
        for _ in range(4):
            self.renew_key()

    def step(self):
        name = self.random.choices(list(WEIGHTS), list(WEIGHTS.values()))[0]
        self.seen[name] += 1
        getattr(self, name)()
        assert all(count == 1 for count in self.runs.values()), "a call ran twice"
        assert not self.reported_not_run & self.ran, "reported as not run, but it ran"

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
        request_claim = RequestClaim(
            claim=f"c{next(self.numbers)}",
            key=name,
            made_at=made_at,
            fingerprint="f",
            now=self.now,
            window=WINDOW_S,
            life=20.0,
        )
        reader.request_claims[request_claim.claim] = request_claim
        self.append(request_claim.claim_record(), never=0.1)

    def check_reply(self, name, reply):
        if isinstance(reply, Refused):
            assert reply.run_state is not RunState.NOT_RUN
        else:
            assert self.runs[name] == 1

    def append(self, record, *, never):
        """Append now, later or never; twice if the answer was lost."""
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
            request_claim = reader.request_claims.get(record["claim"])
            if verdict is not None and request_claim is not None:
                request_claim.apply_verdict(verdict)
                if request_claim.stage is Stage.LOST:
                    del reader.request_claims[request_claim.claim]
        reader.applied = len(self.log)

    def any_request_claim(self, *stages):
        found = [
            (reader, request_claim)
            for reader in self.readers
            for request_claim in reader.request_claims.values()
            if not stages or request_claim.stage in stages
        ]
        return self.random.choice(found) if found else (None, None)

    def send(self):
        stages = self.random.choice([(), (Stage.WON,)])
        _, request_claim = self.any_request_claim(*stages)
        if request_claim is None or not request_claim.begin_sending(self.now):
            return
        if self.random.random() < 0.6:
            self.ran.add(request_claim.claim)
            self.runs[request_claim.key] += 1

    def give_up(self):
        reader, request_claim = self.any_request_claim()
        if request_claim is None or not request_claim.give_up():
            return
        if request_claim.stage is Stage.GIVEN_UP:
            self.reported_not_run.add(request_claim.claim)
        record = request_claim.end(certainly_not_run=True, answer=None)
        if record is not None:
            self.append(record, never=0.3)
        if self.random.random() < 0.7:
            del reader.request_claims[request_claim.claim]

    def end(self):
        reader, request_claim = self.any_request_claim(Stage.SENT)
        if request_claim is None:
            return
        ran, replied = request_claim.claim in self.ran, self.random.random() < 0.5
        answer = Answer(200, {}, b"yes") if ran and replied else None
        # A target that refuses without running anything reports that.
        record = request_claim.end(certainly_not_run=not ran and replied, answer=answer)
        self.append(record, never=0.3)
        del reader.request_claims[request_claim.claim]

    def kill(self):
        self.readers[self.random.randrange(3)] = Reader()


@pytest.mark.parametrize("seed", range(20))
def test_a_call_runs_at_most_once_and_not_run_is_true(seed):
    world = World(seed)
    for _ in range(STEPS):
        world.step()
    assert set(world.seen) == set(WEIGHTS)
    assert len(world.ran) > 20
    assert len(world.reported_not_run) > 20


def test_a_claimant_that_wakes_up_after_its_window_does_not_send():
    request_claim = RequestClaim(
        claim="c",
        key="k",
        made_at=0.0,
        fingerprint="f",
        now=10.0,
        window=WINDOW_S,
        life=20.0,
    )
    table = ClaimTable(age_limits=AGE_LIMITS, max_answer_bytes=0)
    request_claim.apply_verdict(table.apply(request_claim.claim_record(), 10.0))
    assert not request_claim.begin_sending(15.1)
    assert not request_claim.begin_sending(12.0)
    record = request_claim.end(certainly_not_run=True, answer=None)
    assert record["type"] == "claim-released"
