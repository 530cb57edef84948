import collections

import pytest

from lab import prove as prove_module
from lab.prove import RunResult, prove


@pytest.fixture
def runs(monkeypatch):
    runs = {}
    monkeypatch.setattr(prove_module, "RUNS", runs)
    return runs


def result(**faults):
    return RunResult(steps=10, checks=1, faults=collections.Counter(faults))


def test_seeds_run_until_the_minimum_steps(runs):
    seeds = []
    runs["x"] = lambda seed: seeds.append(seed) or result(kill=1)
    lines = []
    assert prove(seed=5, steps=25, report=lines.append)
    assert seeds == [5, 6, 7]
    assert lines == ["x: seeds 5..7, 30 steps, 3 checks", "    faults: kill 3"]


def test_fault_kind_never_injected_is_a_failure(runs):
    runs["x"] = lambda seed: result(kill=1, cut=0)
    lines = []
    assert not prove(seed=1, steps=10, report=lines.append)
    assert "cut" in lines[-1]


def test_failed_check_reports_its_seed(runs):
    def run(seed):
        assert seed < 2, "broken"
        return result(kill=1)

    runs["x"] = run
    lines = []
    assert not prove(seed=1, steps=30, report=lines.append)
    assert lines[0] == "x: FAILED at seed 2"
