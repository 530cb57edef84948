"""Replays recorded traces and prints the measures: ``python -m lab.measure``.

Each deployment and scenario is replayed with the baseline and with the current
policies, over several seeds whose samples are pooled. Each figure is shown with
the bound set by an oracle or by the limit of the weight store.
"""

import argparse
import importlib.util
import json
import math
import multiprocessing
import pathlib
import sys
from typing import NamedTuple

import lab.baseline
from lab.bounds import Bounds, find_bounds
from lab.deployments import DEPLOYMENTS
from lab.figures import collect, pool
from lab.replay import Replay
from lab.rows import ROWS
from lab.scenarios import LOSS_FROM, scenarios
from lab.systems import systems
from lab.traces import DURATION_S

if importlib.util.find_spec("skylarkpost.stewardship"):
    import lab.product  # noqa: F401 (fills the registry)

__all__ = ["main", "measure", "replay_once"]

TUNING_SEEDS = (1, 2)
HELD_OUT_SEEDS = (101, 102, 103)
SETTLING_S = 10.0
DEFAULT_JOBS = 4


class Task(NamedTuple):
    """One replay, identified by names so that it can be sent to a worker."""

    deployment: str
    scenario: str
    system: str
    seed: int


def replay_once(task):
    """Replay one trace.

    Parameters
    ----------
    task : Task
        Replay to run.

    Returns
    -------
    lab.figures.Sample
    """
    deployment = DEPLOYMENTS[task.deployment]
    scenario = scenarios[task.scenario]
    trace = scenario.trace(deployment, seed=task.seed)
    cls = systems[task.system]
    replay = Replay(
        deployment=deployment,
        trace=trace,
        system=lambda replay: cls(replay=replay),
        seed=task.seed,
    )
    scenario.inject(replay)
    replay.run()
    settled_at = math.inf
    if task.scenario == "instance-lost":
        settled_at = LOSS_FROM * DURATION_S + SETTLING_S
    return collect(replay, settled_at=settled_at)


def _bounds_of(task):
    deployment = DEPLOYMENTS[task.deployment]
    trace = scenarios[task.scenario].trace(deployment, seed=task.seed)
    return find_bounds(trace, deployment=deployment)


def _pool_bounds(bounds):
    count = len(bounds)
    return Bounds(
        stalled_share=sum(b.stalled_share for b in bounds) / count,
        stall_s=[time for b in bounds for time in b.stall_s],
        preamble_share=sum(b.preamble_share for b in bounds) / count,
        first_token_s=[time for b in bounds for time in b.first_token_s],
    )


def measure(*, deployments, scenario_names, system_names, seeds, jobs):
    """Replay all combinations of deployment, scenario, system and seed.

    Parameters
    ----------
    deployments, chosen, compared : list of str
        Names of deployments, scenarios and systems.
    seeds : list of int
        Seeds whose samples are pooled.
    jobs : int
        Worker processes.

    Returns
    -------
    dict
        Maps ``(deployment, scenario)`` to ``(bounds, {system: sample})``.
    """
    groups = [(d, s) for d in deployments for s in scenario_names]
    tasks = [
        Task(d, s, system, seed)
        for d, s in groups
        for system in system_names
        for seed in seeds
    ]
    bound_tasks = [Task(d, s, "", seed) for d, s in groups for seed in seeds]
    context = multiprocessing.get_context("spawn")
    with context.Pool(jobs) as workers:
        samples = dict(
            zip(tasks, workers.map(replay_once, tasks, chunksize=1), strict=True)
        )
        bounds = dict(
            zip(
                bound_tasks,
                workers.map(_bounds_of, bound_tasks, chunksize=1),
                strict=True,
            )
        )
    results = {}
    for d, s in groups:
        by_system = {
            system: pool([samples[Task(d, s, system, seed)] for seed in seeds])
            for system in system_names
        }
        oracle = _pool_bounds([bounds[Task(d, s, "", seed)] for seed in seeds])
        results[d, s] = (oracle, by_system)
    return results


class Line(NamedTuple):
    """One figure of one system, as printed."""

    deployment: str
    scenario: str
    system: str
    key: str
    value: float
    baseline: float | None
    bound: float | None
    met: bool | None


def figure_lines(results):
    """Return all figures of a measurement.

    Parameters
    ----------
    results : dict
        From `measure`.

    Returns
    -------
    list of Line
    """
    lines = []
    for (deployment, scenario), (bounds, by_system) in results.items():
        for row in ROWS:
            baseline = None
            if "baseline" in by_system:
                baseline = row.value(by_system["baseline"])
            for system, sample in by_system.items():
                value = row.value(sample)
                bound = row.bound(bounds, sample)
                met = None
                if system != "baseline" and baseline is not None:
                    met = row.target(scenario, value, baseline, bound)
                lines.append(
                    Line(
                        deployment,
                        scenario,
                        system,
                        row.key,
                        value,
                        baseline,
                        bound,
                        met,
                    )
                )
    return lines


def format_tables(results, lines, *, seeds):
    """Return the tables as Markdown.

    Parameters
    ----------
    results : dict
        From `measure`.
    lines : list of Line
        From `figure_lines`.
    seeds : list of int
        Seeds shown in the heading.

    Returns
    -------
    str
    """
    by_key = {(x.deployment, x.scenario, x.system, x.key): x for x in lines}
    parts = []
    for (deployment, scenario), (_, by_system) in results.items():
        names = list(by_system)
        title = scenarios[scenario].title
        requests = by_system[names[0]].requests
        parts.append(f"### {deployment}: {title}\n")
        seed_list = ", ".join(str(seed) for seed in seeds)
        parts.append(f"{requests} requests over seeds {seed_list}\n")
        parts.append(f"| measure | {' | '.join(names)} | bound | target |")
        parts.append("|---|" + "---:|" * (len(names) + 1) + "---|")
        for row in ROWS:
            cells = [by_key[deployment, scenario, name, row.key] for name in names]
            shown = " | ".join(f"{cell.value:.{row.digits}f}" for cell in cells)
            bound = cells[-1].bound
            limit = "" if bound is None else f"{bound:.{row.digits}f}"
            verdict = {None: "", True: "met", False: "missed"}[cells[-1].met]
            parts.append(f"| {row.title} | {shown} | {limit} | {verdict} |")
        parts.append("")
    return "\n".join(parts)


def _parse(arguments):
    parser = argparse.ArgumentParser(prog="lab.measure", description=__doc__)
    parser.add_argument("--deployment", action="append", choices=DEPLOYMENTS)
    parser.add_argument("--scenario", action="append", choices=scenarios)
    parser.add_argument("--system", action="append", choices=systems)
    parser.add_argument("--seeds", choices=("held", "tuning"), default="held")
    parser.add_argument("--jobs", type=int, default=DEFAULT_JOBS)
    parser.add_argument("--json", action="store_true", help="one line a figure")
    parser.add_argument("--tables", help="file that gets the tables as well")
    return parser.parse_args(arguments)


def main(arguments=None):
    """Run the measurement from the command line.

    Parameters
    ----------
    arguments : list of str or None
        Command-line arguments; None uses ``sys.argv``.
    """
    options = _parse(arguments)
    seeds = HELD_OUT_SEEDS if options.seeds == "held" else TUNING_SEEDS
    results = measure(
        deployments=options.deployment or list(DEPLOYMENTS),
        scenario_names=options.scenario or list(scenarios),
        system_names=options.system or list(systems),
        seeds=seeds,
        jobs=options.jobs,
    )
    lines = figure_lines(results)
    tables = format_tables(results, lines, seeds=seeds)
    if options.tables:
        pathlib.Path(options.tables).write_text(tables, encoding="utf-8")
    if options.json:
        for line in lines:
            sys.stdout.write(json.dumps(line._asdict()) + "\n")
    else:
        sys.stdout.write(tables)


if __name__ == "__main__":
    main()
