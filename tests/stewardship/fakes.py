"""Fake engine in virtual time that counts violated invariants."""

from typing import NamedTuple

from skylarkpost.stewardship import AdapterLoad, LoadReport


class FakeTarget(NamedTuple):
    name: str = "engine-1"
    kind: str = "engine"
    pool: str = "base"
    address: str = "127.0.0.1:1"
    data_centre: str = "dc-1"
    fencing: bool = True
    slots: int = 2
    batch_limit: int = 4


class FakeEngine:
    """Runs requests, executes orders, and reports its load with a lag."""

    def __init__(self, target, *, now=0.0, report_lag=0.4):
        self.target = target
        self.report_lag = report_lag
        self.reports = []
        self.evicted_in_use = 0
        self.wrong_adapter = 0
        self.restart(now)

    def restart(self, now):
        self.started_at = now
        self.boot = f"boot-{now:.3f}"
        self.resident = set()
        self.running = {}
        self.highest_number = 0
        self.reports = []

    def admits(self, boot, number):
        if boot != self.boot:
            return False
        if not self.target.fencing:
            return True
        if number < self.highest_number:
            return False
        self.highest_number = number
        return True

    def load(self, name, boot, number):
        if not self.admits(boot, number):
            return False
        if name not in self.resident and len(self.resident) >= self.target.slots:
            return False
        self.resident.add(name)
        return True

    def unload(self, name, boot, number):
        if not self.admits(boot, number):
            return False
        if name in self.running.values():
            self.evicted_in_use += 1
        self.resident.discard(name)
        return True

    def run(self, request_id, name, boot, number):
        if not self.admits(boot, number) or name not in self.resident:
            return False
        self.running[request_id] = name
        return True

    def end(self, request_id):
        name = self.running.pop(request_id, None)
        if name is not None and name not in self.resident:
            self.wrong_adapter += 1

    def record_report(self, now):
        counts = list(self.running.values())
        resident = {n: AdapterLoad(counts.count(n), 0) for n in self.resident}
        report = LoadReport(
            boot=self.boot,
            taken_at=now - self.started_at,
            slots=self.target.slots,
            resident=resident,
            loading=frozenset(),
            running=len(counts),
            waiting=0,
            batch_limit=self.target.batch_limit,
        )
        self.reports.append((now, report))

    def report(self, now):
        self.record_report(now)
        old = [r for at, r in self.reports if at <= now - self.report_lag]
        del self.reports[:-16]
        return old[-1] if old else self.reports[0][1]
