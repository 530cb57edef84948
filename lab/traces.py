"""Request traces: generation from a seed, reading and writing as JSON Lines.

Run ``python -m lab.traces --deployment kalahari --seed 1 --out trace.jsonl`` to
write one to a file.
"""

import argparse
import bisect
import itertools
import json
import math
import random
from typing import NamedTuple

from lab.deployments import DEPLOYMENTS

__all__ = ["Request", "make_trace", "read_trace", "write_trace"]

DURATION_S = 900.0
SKEW = 1.6
SKEW_OFFSET = 2.0
RAMP_START = 0.35
SESSION_REQUESTS = 4.0
SESSION_PAUSE_S = 25.0
MAIN_DATA_CENTRE_SHARE = 0.7
SHIFT_SHARE = 0.19
SHIFT_POOL = 400
OVERLOAD_FACTOR = 5.0
OVERLOAD_FROM = 0.4
OVERLOAD_UNTIL = 0.8


class Request(NamedTuple):
    """One recorded request.

    Attributes
    ----------
    number : int
        Index in the trace.
    at : float
        Arrival time, in seconds since the start.
    team, data_centre, adapter : str
        Sending team, data centre that received it, and requested adapter.
    urgency : int
        0 is the most urgent.
    preamble_tokens, tail_tokens : int
        Tokens of the shared prefix and of the rest of the prompt.
    output_tokens, max_tokens : int
        Tokens of the answer, and the maximum set by the caller.
    """

    number: int
    at: float
    team: str
    data_centre: str
    adapter: str
    urgency: int
    preamble_tokens: int
    tail_tokens: int
    output_tokens: int
    max_tokens: int


class _Adapter(NamedTuple):
    name: str
    team: str
    urgency: int
    preamble_tokens: int


class _Popularity:
    """Samples adapters from a Zipf-Mandelbrot distribution over their ranks."""

    def __init__(self, adapters, rng):
        self.by_rank = list(adapters)
        rng.shuffle(self.by_rank)
        weights = [
            (rank + SKEW_OFFSET) ** -SKEW for rank in range(1, len(adapters) + 1)
        ]
        self.cumulative = list(itertools.accumulate(weights))

    def draw(self, rng):
        point = rng.random() * self.cumulative[-1]
        return self.by_rank[bisect.bisect_left(self.cumulative, point)]

    def swap_ranks(self, rng):
        """Swap the ranks of one popular and one unpopular adapter."""
        popular = rng.randrange(SHIFT_POOL)
        idle = rng.randrange(SHIFT_POOL, len(self.by_rank))
        ranks = self.by_rank
        ranks[popular], ranks[idle] = ranks[idle], ranks[popular]


def _make_adapters(deployment, rng):
    teams = [team.name for team in deployment.teams]
    weights = [team.weight for team in deployment.teams]
    levels = range(len(deployment.urgencies))
    adapters = {team: [] for team in teams}
    for number in range(deployment.adapters):
        team = rng.choices(teams, weights)[0]
        adapter = _Adapter(
            f"adapter-{number:04d}",
            team,
            rng.choices(levels, deployment.urgencies)[0],
            rng.randint(*deployment.preamble_tokens),
        )
        adapters[team].append(adapter)
    return adapters


def _interleave(adapters, deployment, rng):
    """Order the adapters of all teams so that each team keeps its weight."""
    weights = {team.name: team.weight for team in deployment.teams}
    keyed = []
    for team, owned in adapters.items():
        phase = rng.random()
        for index, adapter in enumerate(owned):
            keyed.append(((index + phase) / weights[team], adapter))
    keyed.sort(key=lambda pair: pair[0])
    return [adapter for _, adapter in keyed]


def _activity(moment, duration):
    """Return the request rate at one moment, as a fraction of the peak rate."""
    return RAMP_START + (1 - RAMP_START) * math.sin(math.pi * moment / duration) ** 2


def make_trace(deployment, *, seed, duration=DURATION_S, shift=0.0, overload=None):
    """Generate the trace of one morning.

    Parameters
    ----------
    deployment : lab.deployments.Deployment
        Deployment that receives the requests.
    seed : int
        Random seed; the same seed gives the same trace.
    duration : float
        Length, in virtual seconds.
    shift : float
        Fraction of the popular adapters that swap ranks with unpopular ones.
    overload : str or None
        Team that exceeds its rate by `OVERLOAD_FACTOR` for part of the morning.

    Returns
    -------
    list of Request
        Sorted by arrival time.
    """
    rng = random.Random(f"{deployment.name}-{seed}")
    owned = _make_adapters(deployment, rng)
    popularity = _Popularity(_interleave(owned, deployment, rng), rng)
    popularity.by_rank = _interleave(owned, deployment, rng)
    teams = {team.name: team for team in deployment.teams}
    swaps = int(shift * SHIFT_POOL)
    swap_times = sorted(rng.uniform(0, duration) for _ in range(swaps))
    requests = []
    moment = 0.0
    while True:
        moment += rng.expovariate(deployment.peak_rate / SESSION_REQUESTS)
        if moment >= duration:
            break
        while swap_times and swap_times[0] <= moment:
            swap_times.pop(0)
            popularity.swap_ranks(rng)
        if rng.random() > _activity(moment, duration):
            continue
        adapter = popularity.draw(rng)
        for at in _session_times(moment, duration, rng):
            requests.append(_make_request(deployment, teams, adapter, at, rng))
    if overload is not None:
        requests += _overload(
            deployment, teams[overload], popularity, duration, requests, rng
        )
    requests.sort(key=lambda request: request.at)
    return [request._replace(number=number) for number, request in enumerate(requests)]


def _session_times(moment, duration, rng):
    """Return the request times of one caller's session with one adapter."""
    times = []
    while moment < duration:
        times.append(moment)
        if rng.random() < 1 / SESSION_REQUESTS:
            break
        moment += rng.expovariate(1 / SESSION_PAUSE_S)
    return times


def _make_request(deployment, teams, adapter, moment, rng):
    team = teams[adapter.team]
    data_centre = team.main_data_centre
    if rng.random() > MAIN_DATA_CENTRE_SHARE:
        data_centre = rng.choice(deployment.data_centres)
    output_tokens = rng.randint(*deployment.output_tokens)
    return Request(
        number=0,
        at=moment,
        team=team.name,
        data_centre=data_centre,
        adapter=adapter.name,
        urgency=adapter.urgency,
        preamble_tokens=adapter.preamble_tokens,
        tail_tokens=rng.randint(*deployment.tail_tokens),
        output_tokens=output_tokens,
        max_tokens=int(output_tokens * rng.uniform(1.0, 2.0)),
    )


def _overload(deployment, team, popularity, duration, requests, rng):
    """Return the extra requests of a team that sends five times its rate."""
    begin, end = OVERLOAD_FROM * duration, OVERLOAD_UNTIL * duration
    usual = sum(
        request.preamble_tokens + request.tail_tokens + request.max_tokens
        for request in requests
        if request.team == team.name and begin <= request.at < end
    )
    missing = OVERLOAD_FACTOR * team.rate * (end - begin) - usual
    teams = {team.name: team}
    extra = []
    while missing > 0:
        adapter = popularity.draw(rng)
        if adapter.team != team.name:
            continue
        moment = rng.uniform(begin, end)
        request = _make_request(deployment, teams, adapter, moment, rng)
        missing -= request.preamble_tokens + request.tail_tokens + request.max_tokens
        extra.append(request)
    return extra


def write_trace(requests, file):
    """Write a trace as JSON Lines.

    Parameters
    ----------
    requests : list of Request
        The trace.
    file : file object
        Text file open for writing.
    """
    for request in requests:
        file.write(json.dumps(request._asdict()) + "\n")


def read_trace(file):
    """Read a trace from JSON Lines.

    Parameters
    ----------
    file : file object
        Text file open for reading.

    Returns
    -------
    list of Request
    """
    return [Request(**json.loads(line)) for line in file]


def main():
    """Generate one trace and write it to a file."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--deployment", choices=DEPLOYMENTS, required=True)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--duration", type=float, default=DURATION_S)
    parser.add_argument("--out", required=True)
    options = parser.parse_args()
    deployment = DEPLOYMENTS[options.deployment]
    trace = make_trace(deployment, seed=options.seed, duration=options.duration)
    with open(options.out, "w", encoding="utf-8") as file:
        write_trace(trace, file)


if __name__ == "__main__":
    main()
