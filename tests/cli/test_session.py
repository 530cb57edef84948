import pytest

from skylarkpost.cli.history import describe_verdict
from skylarkpost.cli.session import ConfigSession, NotPublished, OutcomeUnknown
from skylarkpost.config.verdicts import Accepted
from skylarkpost.log import (
    Appended,
    AppendRefused,
    AppendUnknown,
    LogRecord,
    LogUnavailable,
    Records,
)


class FakeLog:
    """A log in virtual time, with a scripted result for each append.

    Results: "ok", "refused", "lost" (without effect), "late" (takes effect
    just before the next append) or "down" (lost, and all later reads fail).
    """

    def __init__(self, script):
        self.script = list(script)
        self.now = 1000.0
        self.records = []
        self.delayed = []
        self.down = False

    def clock(self):
        return self.now

    async def sleep(self, seconds):
        self.now += seconds

    async def append(self, stream, records):
        self.now += 0.1
        self._append_records(self.delayed)
        self.delayed = []
        result = self.script.pop(0) if self.script else "refused"
        if result == "refused":
            return AppendRefused(detail="503")
        if result == "ok":
            self._append_records(records)
            return Appended(first_offset=len(self.records) - len(records))
        if result == "late":
            self.delayed = records
        self.down = result == "down"
        return AppendUnknown(detail="no answer")

    async def read(self, stream, *, from_offset, limit=500, wait=0.0):
        self.now += 0.1 + wait
        if self.down:
            return LogUnavailable(detail="down")
        return Records(
            first_offset=0,
            next_offset=len(self.records),
            records=self.records[from_offset:],
        )

    def _append_records(self, records):
        for data in records:
            self.records.append(LogRecord(len(self.records), self.now, data))


async def publish(script):
    log = FakeLog(script)
    session = ConfigSession(
        log=log, author="ann", reason="", wall_clock=log.clock, sleep=log.sleep
    )
    await session.load()
    record = session.make_change(
        kind="team", name="depot", expected_version=0, body={"rate": 1, "burst": 1}
    )
    (result,) = await session.publish([record])
    return session, result.outcome


@pytest.mark.parametrize(
    ("script", "words"),
    [
        (["ok"], ["accepted"]),
        (["refused", "ok"], ["accepted"]),
        (["lost", "ok"], ["accepted"]),
        (["late", "ok"], ["accepted", "duplicate"]),
        (["late", "refused"], ["accepted"]),
    ],
)
async def test_a_change_takes_effect_once_even_if_answers_are_lost(script, words):
    session, outcome = await publish(script)
    assert outcome == Accepted(version=1, previous_version=0)
    verdicts = [entry.verdict for entry in session.history.entries.values()]
    assert [describe_verdict(verdict)[0] for verdict in verdicts] == words


async def test_only_a_change_that_was_never_sent_counts_as_not_published():
    _, refused = await publish(["refused"] * 100)
    assert isinstance(refused, NotPublished)
    _, lost = await publish(["lost"])
    assert isinstance(lost, OutcomeUnknown)
    _, down = await publish(["down"])
    assert isinstance(down, OutcomeUnknown)
