"""Judges rule QUOTA: what a team's requests that run add up to in any window."""

import json

from standins.gateway_configuration import configuration, route

__all__ = [
    "LARGEST",
    "SMALLEST",
    "TEAM",
    "Limit",
    "most_in_a_window",
    "quota_configuration",
]

TEAM = "depot"
TOKENS_IN, TOKENS_OUT = 9190, 52


class Limit:
    """The team's limit, and the bounds of the deployment."""

    def __init__(self, *, rate, burst, window=8.0, overrun=0.1, slack=110_000):
        self.rate = rate
        self.burst = burst
        self.window = window
        self.most = (rate * window + burst) * (1 + overrun) + slack


# The smallest and the largest team of the site as played.
SMALLEST = Limit(rate=31_188, burst=68_878)
LARGEST = Limit(rate=113_022, burst=113_022)


def quota_configuration(limit, version=1):
    """Return a configuration with the team and one route to the engines."""
    routes = [
        route(
            "plan",
            "/plan/",
            "streaming",
            attempts=1,
            timeoutMs=5000,
            latencyGoalMs=800,
            gapTargetMs=300,
        )
    ]
    payload = json.loads(configuration(version, routes))
    payload["tenants"][0] |= {
        "name": TEAM,
        "ratePerS": limit.rate,
        "burst": limit.burst,
    }
    engine = payload["services"][0]["engine"]
    engine["slots"] = 64
    engine["kvCapacity"] = 277_092
    payload["services"][0]["maxConns"] = 370
    return json.dumps(payload).encode()


def most_in_a_window(runs, window):
    """Return the most tokens of runs that were sent and arrived within a window.

    Each run is the time at which the client sent it, that at which it arrived at the
    server that ran it, and its tokens.
    """
    most, begin = 0, None
    for sent_at, _, _ in runs:
        total = sum(
            tokens
            for sent, arrived, tokens in runs
            if sent >= sent_at and arrived <= sent_at + window
        )
        if total > most:
            most, begin = total, sent_at
    return most, begin
