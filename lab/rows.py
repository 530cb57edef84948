"""Rows of the table of measures, with figure, bound and target."""

from typing import NamedTuple

from lab.figures import (
    chance_ratio,
    quantile,
    teams_within_rate,
    worst_over_best,
)

__all__ = ["ROWS", "Row"]

STALL_RATIO = 5.0
STALL_TIME_RATIO = 3.0
TEAM_RATIO = 1.25
CACHE_SHARE = 0.9


class Row(NamedTuple):
    """One measure.

    Attributes
    ----------
    key, title : str
        Key in JSON, and title in tables.
    value : callable
        Called with a `lab.figures.Sample`; returns the figure.
    bound : callable
        Called with the pooled bounds and the sample; returns a float or None.
    target : callable
        Called with scenario name, value, baseline value and bound; returns
        whether the target is met, or None if there is no target.
    digits : int
        Decimal places in tables.
    """

    key: str
    title: str
    value: object
    bound: object
    target: object
    digits: int = 3


def _no_target(scenario, value, baseline, bound):
    return None


def _ordinary_ratio(min_ratio):
    def is_met(scenario, value, baseline, bound):
        if scenario != "ordinary":
            return None
        return value * min_ratio <= baseline

    return is_met


def _team_target(scenario, value, baseline, bound):
    return value <= TEAM_RATIO if scenario == "overload" else None


def _refused_target(scenario, value, baseline, bound):
    if scenario in ("ordinary", "shift", "overload"):
        return value == 0
    return None


def _late_target(scenario, value, baseline, bound):
    return value == 0 if scenario == "instance-lost" else None


def _cache_target(scenario, value, baseline, bound):
    return value >= CACHE_SHARE * bound


def _zero(bounds, sample):
    return 0.0


def _one(bounds, sample):
    return 1.0


def _none(bounds, sample):
    return None


def _stall(fraction):
    return lambda sample: quantile(sample.stalls, fraction)


def _stall_bound(fraction):
    return lambda bounds, sample: quantile(bounds.stall_s, fraction)


def _teams(fraction):
    return lambda sample: worst_over_best(sample.first_token, fraction)


def _teams_bound(fraction):
    return lambda bounds, sample: chance_ratio(sample.first_token, fraction)


def _within_rate(sample):
    return worst_over_best(teams_within_rate(sample), 0.95)


def _within_rate_bound(bounds, sample):
    return chance_ratio(teams_within_rate(sample), 0.95)


def _min_share(sample):
    return min(
        sample.served.get(team, 0) / tokens for team, tokens in sample.entitled.items()
    )


def _first_token(urgency):
    def value(sample):
        times = []
        for key, values in sample.first_token.items():
            if key[0] == urgency:
                times += values
        return quantile(times, 0.95)

    return value


def _first_token_bound(bounds, sample):
    return quantile(bounds.first_token_s, 0.95)


ROWS = (
    Row(
        "stalled_share",
        "load stalls, share of requests",
        lambda sample: len(sample.stalls) / sample.requests,
        lambda bounds, sample: bounds.stalled_share,
        _ordinary_ratio(STALL_RATIO),
        4,
    ),
    Row("stall_p50_s", "load stall p50, s", _stall(0.5), _stall_bound(0.5), _no_target),
    Row(
        "stall_p95_s", "load stall p95, s", _stall(0.95), _stall_bound(0.95), _no_target
    ),
    Row(
        "stall_p99_s",
        "load stall p99, s",
        _stall(0.99),
        _stall_bound(0.99),
        _ordinary_ratio(STALL_TIME_RATIO),
    ),
    Row(
        "loads",
        "loads from the weight store",
        lambda sample: sample.loads,
        lambda bounds, sample: bounds.stalled_share * sample.requests,
        _no_target,
        0,
    ),
    Row(
        "tokens_per_step",
        "tokens a batch step",
        lambda sample: sample.step_tokens / max(sample.steps, 1),
        _none,
        _no_target,
        2,
    ),
    Row(
        "preamble_share",
        "preamble tokens served from cache, share",
        lambda sample: sample.preamble_hits / max(sample.preamble_tokens, 1),
        lambda bounds, sample: bounds.preamble_share,
        _cache_target,
    ),
    Row(
        "team_p95_ratio",
        "first token p95, worst team over best",
        _teams(0.95),
        _teams_bound(0.95),
        _team_target,
    ),
    Row(
        "team_p95_ratio_within_rate",
        "the same, teams never over their rate",
        _within_rate,
        _within_rate_bound,
        _no_target,
    ),
    Row(
        "team_p99_ratio",
        "first token p99, worst team over best",
        _teams(0.99),
        _teams_bound(0.99),
        _no_target,
    ),
    Row(
        "least_entitlement",
        "worst team's share of its entitlement",
        _min_share,
        _one,
        _no_target,
    ),
    Row(
        "refused_within_rate",
        "refused although within rate",
        lambda sample: sample.refused_within_rate,
        _zero,
        _refused_target,
        0,
    ),
    Row(
        "refused_late",
        "of these, 10 s or more after the loss",
        lambda sample: sample.refused_late,
        _zero,
        _late_target,
        0,
    ),
    Row(
        "broken",
        "streams broken",
        lambda sample: sample.broken,
        _none,
        _no_target,
        0,
    ),
    Row(
        "over_admitted",
        "tokens admitted beyond rate and burst",
        lambda sample: sample.over_admitted,
        _zero,
        _no_target,
        0,
    ),
    Row(
        "first_token_p95_u0_s",
        "first token p95, urgency 0, s",
        _first_token(0),
        _first_token_bound,
        _no_target,
    ),
    Row(
        "first_token_p95_u1_s",
        "first token p95, urgency 1, s",
        _first_token(1),
        _first_token_bound,
        _no_target,
    ),
    Row(
        "first_token_p95_u2_s",
        "first token p95, urgency 2, s",
        _first_token(2),
        _first_token_bound,
        _no_target,
    ),
)
