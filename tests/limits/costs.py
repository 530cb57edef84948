"""Prints how many requests of a team within its rate are refused after failures.

Run it with ``python -m tests.limits.costs``.
"""

import statistics

from skylarkpost.limits import TeamLimit
from tests.limits.fleet import INSTANCES, Fleet

LIMIT = TeamLimit(200.0, 1000.0)
SEEDS = range(10)
SETTLE_S = 10.0
HOLDER = "e2"
# Which instance fails. Data centre a has two instances, the others have one.
FAILED_INSTANCES = {"holder": HOLDER, "its neighbour": "e1", "one alone": "e4"}


def kill(fleet, name):
    fleet.nodes[name].dead = True


def restart(fleet, name):
    fleet.restart(name, gap=2.0)


def leave(fleet, name):
    fleet.nodes[name].leave()


def cut(fleet, name):
    fleet.cuts[fleet.nodes[name].dc] = fleet.now + 20


def platform_cut(fleet, name):
    fleet.cuts["log-" + fleet.nodes[name].dc] = fleet.now + 20


def log_outage(fleet, name):
    fleet.log_down_until = fleet.now + 20


FAILURES = (kill, restart, leave, cut, platform_cut, log_outage)


def run(seed, failure, role, part):
    """Return the refusals of one run, as seconds after the failure."""
    fleet = Fleet(seed=seed, limits={"team": LIMIT})
    fleet.refunds = 0.0
    fleet.run(5)
    holder = fleet.nodes["e1"].core.holder_of("team", sorted(INSTANCES))
    assert holder == HOLDER
    name = FAILED_INSTANCES[role]
    others = sorted(set(INSTANCES) - {name})
    mean = LIMIT.rate * part * 0.25
    fleet.traffic(
        "team",
        names=lambda now: others,
        interval=0.25,
        tokens=(0.5 * mean, 1.5 * mean),
        seconds=100,
    )
    fleet.run(SETTLE_S)
    failed_at = fleet.now
    failure(fleet, name)
    fleet.run(95)
    fleet.check("team", LIMIT)
    return [at - failed_at for at, _ in fleet.refused["team"]]


def main():
    print("failure, instance, load: runs with refusals, refused (mean), last at (max)")
    for failure in FAILURES:
        for role in FAILED_INSTANCES:
            for part in (0.5, 0.95):
                runs = [run(seed, failure, role, part) for seed in SEEDS]
                hit = [times for times in runs if times]
                mean = statistics.mean(len(times) for times in runs)
                last = max((max(times) for times in hit), default=0.0)
                print(
                    f"{failure.__name__:12} {role:14} {part:4.0%}: "
                    f"{len(hit):2}/{len(runs)} {mean:5.1f} of 400  {last:5.1f} s"
                )


if __name__ == "__main__":
    main()
