"""Runs the randomised tests for longer: ``make prove SEED=2 STEPS=50000``.

Prints the seeds, steps, faults by kind and checks of each subject. Exits with 1
if a check failed, or if a declared kind of fault was never injected.
"""

import argparse
import collections
import random
import sys
import traceback
from typing import NamedTuple

from skylarkpost.limits import TeamLimit
from tests.claims.test_request_claim import WEIGHTS, World
from tests.config.test_replica import FAULTS as CONFIG_FAULTS
from tests.config.test_replica import Fleet as ConfigFleet
from tests.limits.fleet import INSTANCES
from tests.limits.fleet import Fleet as LimitsFleet
from tests.limits.test_fleet import FAULTS as LIMITS_FAULTS
from tests.membership.simulation import TICK_S, Simulation
from tests.membership.test_core import PLACES, heal, inject
from tests.stewardship.fakes import FakeTarget
from tests.stewardship.fleet import STEP_S
from tests.stewardship.fleet import Fleet as StewardFleet
from tests.stewardship.test_random_runs import FAULTS as STEWARD_FAULTS

__all__ = ["RUNS", "RunResult", "prove", "register_run"]

RUNS = {}

LIMIT = TeamLimit(200.0, 1000.0)
LIMITS_STEP_S = 0.25
LIMITS_SECONDS = 200
STEWARD_SECONDS = 400.0
MEMBERSHIP_FAULTS_PER_RUN = 60
MEMBERSHIP_FAULTS = (
    *("cut", "delay", "list", "loss"),
    *("pause", "replace", "restart", "silence"),
)
HEAL_PROBABILITY = 0.2
CLAIM_FAULTS = ("pass_long", "give_up", "land_late", "kill")


class RunResult(NamedTuple):
    """Counts of one random run.

    Attributes
    ----------
    steps, checks : int
        Number of steps and of invariant checks.
    faults : collections.Counter
        Faults by kind; every declared kind has a count.
    """

    steps: int
    checks: int
    faults: collections.Counter


def register_run(name):
    """Register a function that performs one random run for a seed."""

    def decorate(function):
        RUNS[name] = function
        return function

    return decorate


@register_run("team limits")
def run_limits(seed):
    """Check the admissions in every interval at five times the rate."""
    fleet = LimitsFleet(
        seed=seed,
        limits={"large": LIMIT},
        retention=60.0,
        faults=LIMITS_FAULTS,
        fault_interval=12,
    )
    fleet.traffic(
        "large",
        names=lambda now: sorted(INSTANCES),
        interval=0.2,
        tokens=(5, 400),
        seconds=LIMITS_SECONDS,
    )
    fleet.run(LIMITS_SECONDS + 5)
    fleet.check("large", LIMIT)
    steps = int(LIMITS_SECONDS / LIMITS_STEP_S)
    faults = collections.Counter(dict.fromkeys(LIMITS_FAULTS, 0))
    faults.update(fleet.faults)
    return RunResult(steps, steps + len(fleet.admitted["large"]), faults)


@register_run("claims")
def run_claims(seed):
    """Check after each step that no call ran twice and "not run" is correct."""
    world = World(seed)
    steps = 4000
    for _ in range(steps):
        world.step()
    faults = collections.Counter({kind: world.seen[kind] for kind in CLAIM_FAULTS})
    assert set(world.seen) == set(WEIGHTS), "a step was never taken"
    return RunResult(steps, 2 * steps, faults)


@register_run("configuration")
def run_configuration(seed):
    """Check that replicas agree and that versions never decrease."""
    fleet = ConfigFleet(seed)
    steps = 600
    for _ in range(steps):
        fleet.step()
    fleet.heal()
    faults = collections.Counter(dict.fromkeys(CONFIG_FAULTS, 0))
    faults.update(fleet.counts)
    return RunResult(steps, fleet.checks, faults)


@register_run("stewardship")
def run_stewardship(seed):
    """Check that no adapter in use is evicted, with and without fencing."""
    fleet = StewardFleet(
        FakeTarget(fencing=bool(seed % 2)), seed, faults=STEWARD_FAULTS
    )
    fleet.run(STEWARD_SECONDS)
    assert fleet.engine.evicted_in_use == 0, "an adapter in use was evicted"
    assert fleet.engine.wrong_adapter == 0, "a request ran on another adapter"
    assert fleet.counts["run"], "no request ran"
    faults = collections.Counter({kind: fleet.counts[kind] for kind in STEWARD_FAULTS})
    steps = int(STEWARD_SECONDS / STEP_S)
    return RunResult(steps, fleet.counts["run"] + fleet.counts["asked"], faults)


class CountedSimulation(Simulation):
    """Simulation that counts its checks."""

    checks = 0

    def check(self, node):
        self.checks += 1
        super().check(node)


@register_run("membership")
def run_membership(seed):
    """Check that views of members are correct and converge after healing."""
    rng = random.Random(seed)
    simulation = CountedSimulation(PLACES, seed=seed)
    simulation.run(5.0)
    faults = collections.Counter(dict.fromkeys(MEMBERSHIP_FAULTS, 0))
    names, places = sorted(PLACES), sorted(set(PLACES.values()))
    values = {
        "restart": lambda: (rng.choice(names), None),
        "replace": lambda: (rng.choice(names), rng.uniform(0.3, 8.0)),
        "pause": lambda: (rng.choice(names), rng.uniform(0.3, 8.0)),
        "cut": lambda: (rng.choice(places), None),
        "loss": lambda: (None, rng.uniform(0.0, 0.4)),
        "delay": lambda: (None, rng.uniform(0.001, 0.8)),
        "list": lambda: (None, rng.choice([True, False])),
        "silence": lambda: tuple(rng.sample(names, 2)),
    }
    for _ in range(MEMBERSHIP_FAULTS_PER_RUN):
        kind = rng.choice(MEMBERSHIP_FAULTS)
        inject(simulation, kind, *values[kind]())
        faults[kind] += 1
        simulation.run(rng.uniform(0.0, 4.0))
        if rng.random() < HEAL_PROBABILITY:
            inject(simulation, "heal", None, None)
    heal(simulation)
    for name in PLACES:
        assert set(simulation.states(name).values()) == {"live"}, (
            "an instance was not found live"
        )
    steps = int(simulation.now / TICK_S)
    return RunResult(steps, simulation.checks, faults)


def prove(*, seed, steps, report=print):
    """Run the random runs of every subject.

    Parameters
    ----------
    seed : int
        Seed of the first run; later runs use consecutive seeds.
    steps : int
        Minimum number of steps per subject.
    report : callable
        Called with each line of the report.

    Returns
    -------
    bool
        Whether all checks passed and all kinds of fault were injected.
    """
    passed = [_prove_one(name, seed, steps, report) for name in RUNS]
    return all(passed)


def _prove_one(name, seed, steps, report):
    total_steps, checks, runs = 0, 0, 0
    faults = collections.Counter()
    while total_steps < steps:
        try:
            result = RUNS[name](seed + runs)
        except AssertionError:
            report(f"{name}: FAILED at seed {seed + runs}")
            report(traceback.format_exc())
            return False
        runs += 1
        total_steps += result.steps
        checks += result.checks
        for kind, count in result.faults.items():
            faults[kind] += count
    fault_list = ", ".join(f"{kind} {count}" for kind, count in sorted(faults.items()))
    report(
        f"{name}: seeds {seed}..{seed + runs - 1}, {total_steps} steps, {checks} checks"
    )
    report(f"    faults: {fault_list}")
    missing = [kind for kind, count in faults.items() if not count]
    if missing or not checks:
        report(f"    FAILED: never brought about: {', '.join(missing) or 'a check'}")
        return False
    return True


def main():
    """Run ``python -m lab.prove``."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--steps", type=int, default=20_000)
    arguments = parser.parse_args()
    passed = prove(seed=arguments.seed, steps=arguments.steps)
    print("all held" if passed else "FAILED")
    sys.exit(0 if passed else 1)


if __name__ == "__main__":
    main()
