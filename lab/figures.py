"""Measures of replays, from samples that can be pooled over seeds."""

import collections
import math
import random
from typing import NamedTuple

from lab.buckets import TokenBucket

__all__ = [
    "Sample",
    "chance_ratio",
    "collect",
    "pool",
    "quantile",
    "teams_within_rate",
    "worst_over_best",
]

MIN_SAMPLES = 60
SHUFFLES = 25


class Sample(NamedTuple):
    """Results of one or more replays.

    Attributes
    ----------
    requests, answered, broken, over_rate : int
        Counts of requests.
    stalls : list of float
        Seconds waited for an adapter load, one per request that waited.
    refused_within_rate : int
        Requests refused while their team was within its rate.
    refused_late : int
        The part of ``refused_within_rate`` after the settling time of a fault.
    first_token : dict of tuple to list of float
        Times to the first token in seconds, by (urgency, team).
    entitled, served : dict of str to float
        Tokens that each team was entitled to, and tokens served to it.
    over_rate_by_team : dict of str to int
        Requests refused while their team was over its rate.
    steps, step_tokens, preamble_hits, preamble_tokens, loads : int
        Totals over all engines.
    over_admitted : float
        Largest excess of a team over its rate and burst, in tokens.
    """

    requests: int
    answered: int
    broken: int
    over_rate: int
    stalls: list
    refused_within_rate: int
    refused_late: int
    first_token: dict
    entitled: dict
    served: dict
    over_rate_by_team: dict
    steps: int
    step_tokens: int
    preamble_hits: int
    preamble_tokens: int
    loads: int
    over_admitted: float


def quantile(values, fraction):
    """Return a quantile by the nearest-rank rule.

    Parameters
    ----------
    values : iterable of float
        The sample; may be empty.
    fraction : float
        Between 0 and 1.

    Returns
    -------
    float
        0 for an empty sample.

    Examples
    --------
    >>> quantile([3.0, 1.0, 2.0, 4.0], 0.5)
    2.0
    """
    ordered = sorted(values)
    if not ordered:
        return 0.0
    rank = math.ceil(fraction * len(ordered))
    return ordered[max(rank, 1) - 1]


def collect(replay, *, settled_at=math.inf):
    """Collect the sample of one finished replay.

    Parameters
    ----------
    replay : lab.replay.Replay
        A replay that has finished.
    settled_at : float
        Virtual time after which refusals count as late ones, in seconds.

    Returns
    -------
    Sample
    """
    jobs = replay.jobs
    refused = [job for job in jobs if job.state == "refused"]
    within = [job for job in refused if job.within_rate]
    first_token = collections.defaultdict(list)
    served = collections.Counter()
    for job in jobs:
        if job.first_token_at is not None and job.state != "broken":
            request = job.request
            elapsed = job.first_token_at - request.at
            first_token[request.urgency, request.team].append(elapsed)
            served[request.team] += job.cost
    totals = replay.totals()
    return Sample(
        requests=len(jobs),
        answered=sum(job.state == "answered" for job in jobs),
        broken=sum(job.state == "broken" for job in jobs),
        over_rate=len(refused) - len(within),
        stalls=[job.stall_s for job in jobs if job.stall_s is not None],
        refused_within_rate=len(within),
        refused_late=sum(job.request.at > settled_at for job in within),
        first_token=dict(first_token),
        entitled=_entitled(replay),
        served=dict(served),
        over_rate_by_team=dict(
            collections.Counter(
                job.request.team for job in refused if not job.within_rate
            )
        ),
        over_admitted=replay.over_admitted,
        **totals._asdict(),
    )


def _entitled(replay):
    """Return the tokens that each team's demand and rate entitle it to.

    Computed with one bucket for the whole fleet that charges the tokens each
    request actually uses.
    """
    buckets = {
        team.name: TokenBucket(rate=team.rate, burst=team.burst)
        for team in replay.deployment.teams
    }
    entitled = dict.fromkeys(buckets, 0)
    for job in replay.jobs:
        request = job.request
        bucket = buckets[request.team]
        used = job.cost - request.max_tokens + request.output_tokens
        if bucket.level_at(request.at) >= used:
            bucket.settle(bucket.charge(used, now=request.at), unused=0)
            entitled[request.team] += job.cost
    return entitled


def pool(samples):
    """Combine the samples of several seeds.

    Parameters
    ----------
    samples : list of Sample
        At least one.

    Returns
    -------
    Sample
    """
    fields = {}
    for name in Sample._fields:
        values = [getattr(sample, name) for sample in samples]
        if name == "over_admitted":
            fields[name] = max(values)
        elif isinstance(values[0], dict):
            fields[name] = _add_dicts(values)
        elif isinstance(values[0], list):
            fields[name] = [item for value in values for item in value]
        else:
            fields[name] = sum(values)
    return Sample(**fields)


def _add_dicts(dicts):
    total = {}
    for values in dicts:
        for key, value in values.items():
            total[key] = total[key] + value if key in total else value
    return total


def worst_over_best(first_token, fraction):
    """Return the worst team's first-token quantile over the best team's.

    Teams are compared at the same urgency; the highest ratio over all urgencies
    is returned. Teams with fewer than `MIN_SAMPLES` at an urgency are excluded.

    Parameters
    ----------
    first_token : dict of tuple to list of float
        Seconds by (urgency, team).
    fraction : float
        Quantile, between 0 and 1.

    Returns
    -------
    float
    """
    highest = 1.0
    for urgency in {key[0] for key in first_token}:
        quantiles = [
            quantile(times, fraction)
            for key, times in first_token.items()
            if key[0] == urgency and len(times) >= MIN_SAMPLES
        ]
        if len(quantiles) > 1:
            highest = max(highest, max(quantiles) / min(quantiles))
    return highest


def teams_within_rate(sample):
    """Return the first-token times of the teams that were never over their rate.

    Parameters
    ----------
    sample : Sample
        Sample of any number of replays.

    Returns
    -------
    dict of tuple to list of float
        Seconds by (urgency, team).
    """
    return {
        key: times
        for key, times in sample.first_token.items()
        if not sample.over_rate_by_team.get(key[1])
    }


def chance_ratio(first_token, fraction, *, seed=1):
    """Return the worst-over-best ratio expected by chance.

    The times of each urgency are randomly reassigned to the teams.

    Parameters
    ----------
    first_token : dict of tuple to list of float
        Seconds by (urgency, team).
    fraction : float
        Quantile, between 0 and 1.
    seed : int
        Random seed of the shuffles.

    Returns
    -------
    float
        Median over `SHUFFLES` shuffles.
    """
    rng = random.Random(seed)
    ratios = []
    for _ in range(SHUFFLES):
        ratios.append(worst_over_best(_shuffle_teams(first_token, rng), fraction))
    return quantile(ratios, 0.5)


def _shuffle_teams(first_token, rng):
    shuffled = {}
    for urgency in sorted({key[0] for key in first_token}):
        keys = sorted(key for key in first_token if key[0] == urgency)
        times = [time for key in keys for time in first_token[key]]
        rng.shuffle(times)
        for key in keys:
            count = len(first_token[key])
            shuffled[key], times = times[:count], times[count:]
    return shuffled
