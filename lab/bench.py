"""Measures the request path on loopback: ``python -m lab.bench``.

A load generator sends requests to a stand-in engine, alternately directly and
through one daemon. Prints the added first-token time, and the processor time
per token of the daemon relative to the stand-in.
"""

import argparse
import asyncio
import json
import os
import pathlib
import sys
import tempfile
from typing import NamedTuple

from lab.figures import quantile
from lab.load import Load, run_load
from standins.fleet import Fleet, FleetShape
from standins.operations import issue_key, items_toml, publish

__all__ = ["main"]

ROUNDS = 3
REQUESTS = 60
PROMPT = "wear report " * 200
MAX_TOKENS = 64
ROUND_LIMIT_S = 30.0
STARTUP_S = 30.0
SHAPE = FleetShape(
    instances=(("entry-1", "windhoek-a"),),
    engines=(("plan-assist-1", "windhoek-a"),),
    services=(),
    engine_arguments=("--step-time", "0.005"),
    settings="[limits]\nslots = {windhoek-a = 1}\n",
)


class Side(NamedTuple):
    """Pooled results of one request path.

    Attributes
    ----------
    results : list of lab.load.LoadResult
        One result per round.
    daemon_s, engine_s : float
        Processor time of the daemon and of the engine, in seconds.
    """

    results: list
    daemon_s: float
    engine_s: float

    @property
    def tokens(self):
        """Tokens received in all rounds."""
        return sum(result.tokens for result in self.results)

    def times(self, field):
        """Return the times of all rounds as one list."""
        return [time for result in self.results for time in getattr(result, field)]


def processor_time(process):
    """Return the processor time of a process.

    Parameters
    ----------
    process : standins.fleet.Process
        Process to read.

    Returns
    -------
    float
        Seconds.
    """
    text = pathlib.Path(f"/proc/{process.child.pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def _prepare(fleet):
    """Publish a profile, wait until it is served, return a caller's headers."""
    text = items_toml(
        fleet,
        teams={"bench": (1e9, 1e9)},
        profiles={"plan": ("grinding", "1", ["bench"], 5)},
    )
    await publish(fleet, text, reason="bench")
    key, _ = await issue_key(fleet, "bench")
    await fleet.wait_ready()
    headers = {"Authorization": f"Bearer {key}"}
    probe = _daemon_load(fleet, headers)._replace(requests=1)
    async with asyncio.timeout(STARTUP_S):
        while (await run_load(probe, limit_s=ROUND_LIMIT_S)).answered == 0:
            await asyncio.sleep(0.5)
    return headers


def _daemon_load(fleet, headers, concurrency=1):
    return Load(
        url=fleet.urls["entry-1"] + "/v1/chat/completions",
        model="plan",
        headers=headers,
        requests=REQUESTS,
        concurrency=concurrency,
        prompt=PROMPT,
        max_tokens=MAX_TOKENS,
    )


def _engine_load(fleet, concurrency=1):
    url = fleet.urls["plan-assist-1"] + "/v1/chat/completions"
    return _daemon_load(fleet, {}, concurrency)._replace(url=url, model="grinding@1")


async def _compare(fleet, headers, concurrency):
    """Return the results of both request paths, measured alternately."""
    loads = {
        "direct": _engine_load(fleet, concurrency),
        "through": _daemon_load(fleet, headers, concurrency),
    }
    results = {side: [] for side in loads}
    spent = {side: [0.0, 0.0] for side in loads}
    measured = [fleet.processes[name] for name in ("entry-1", "plan-assist-1")]
    for _ in range(ROUNDS):
        for side, load in loads.items():
            before = [processor_time(process) for process in measured]
            results[side].append(await run_load(load, limit_s=ROUND_LIMIT_S))
            for index, process in enumerate(measured):
                spent[side][index] += processor_time(process) - before[index]
    return {side: Side(results[side], *spent[side]) for side in loads}


def _lines(sides, concurrency):
    direct, through = sides["direct"], sides["through"]
    lines = []
    for side, name in ((direct, "direct"), (through, "through the daemon")):
        answered = sum(result.answered for result in side.results)
        failed = sum(result.failed for result in side.results)
        lines.append((f"answered, {name}", answered))
        lines.append((f"failed, {name}", failed))
    for fraction in (0.5, 0.95):
        direct_value = quantile(direct.times("first_token_s"), fraction) * 1e3
        daemon_value = quantile(through.times("first_token_s"), fraction) * 1e3
        percent = int(fraction * 100)
        lines.append((f"first token p{percent}, direct, ms", direct_value))
        lines.append((f"first token p{percent}, through, ms", daemon_value))
        lines.append(
            (f"first token p{percent}, added, ms", daemon_value - direct_value)
        )
        lines.append((f"first token p{percent}, ratio", daemon_value / direct_value))
    direct_value = quantile(direct.times("token_s"), 0.5) * 1e3
    daemon_value = quantile(through.times("token_s"), 0.5) * 1e3
    lines.append(("time a token p50, ratio", daemon_value / direct_value))
    engine = direct.engine_s / max(direct.tokens, 1) * 1e6
    daemon = through.daemon_s / max(through.tokens, 1) * 1e6
    lines.append(("stand-in's processor time a token, direct, us", engine))
    lines.append(("daemon's processor time a token, us", daemon))
    lines.append(("daemon over stand-in, ratio", daemon / engine))
    count = sum(result.answered for result in through.results)
    lines.append(
        (
            "daemon's processor time a request, ms",
            through.daemon_s / max(count, 1) * 1e3,
        )
    )
    return [(concurrency, title, value) for title, value in lines]


async def bench():
    """Run the benchmark.

    Returns
    -------
    list of (int, str, float)
        Concurrent requests, title and value of each figure.
    """
    lines = []
    with tempfile.TemporaryDirectory() as directory:
        async with Fleet(shape=SHAPE, directory=directory) as fleet:
            headers = await _prepare(fleet)
            for concurrency in (1, 8):
                sides = await _compare(fleet, headers, concurrency)
                lines += _lines(sides, concurrency)
            await fleet.stop()
    return lines


def main(arguments=None):
    """Run the benchmark from the command line.

    Parameters
    ----------
    arguments : list of str or None
        Command-line arguments; None uses ``sys.argv``.
    """
    parser = argparse.ArgumentParser(prog="lab.bench", description=__doc__)
    parser.add_argument("--json", action="store_true", help="one line a figure")
    options = parser.parse_args(arguments)
    lines = asyncio.run(bench())
    if not options.json:
        sys.stdout.write("| requests at once | figure | value |\n|---:|---|---:|\n")
    for concurrency, title, value in lines:
        if options.json:
            figure = {"at_once": concurrency, "figure": title, "value": value}
            sys.stdout.write(json.dumps(figure) + "\n")
        else:
            sys.stdout.write(f"| {concurrency} | {title} | {value:.4g} |\n")


if __name__ == "__main__":
    main()
