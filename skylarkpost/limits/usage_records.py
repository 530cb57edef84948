"""What an instance stores of its teams' usage, so that a restart does not lose it.

Load pattern: all instances die and restart while a team sends many times its limit.
"""

import math
from typing import NamedTuple

__all__ = ["StoredUsage", "restored_charges", "stored_usage"]

# Charges are added up in steps of this length.
STEP_S = 0.25
# A run may have gone on at the highest rate of any step within this time.
RATE_SPAN_S = 1.0


class StoredUsage(NamedTuple):
    """Usage at one instance, as stored.

    Attributes
    ----------
    made_at : float
        Seconds of the time of day.
    interval : float
        Longest time until the next record of a team that is still near its limit, in
        seconds.
    teams : dict of str to list of (float, float)
        Age in seconds and units of what was admitted within the window, by team.
    """

    made_at: float
    interval: float
    teams: dict[str, list[tuple[float, float]]]


def stored_usage(windows, *, interval, wall_time, now):
    """Return what to store of the usage of teams.

    Parameters
    ----------
    windows : dict of str to SlidingWindow
        Windows of the teams.
    interval : float
        Longest time until the next record, in seconds.
    wall_time : float
        The time of day, in seconds.
    now : float
        The present time, in seconds.

    Returns
    -------
    StoredUsage
    """
    teams = {}
    for team, window in windows.items():
        steps = {}
        for charge in window.charges:
            step = math.floor((now - charge.at) / STEP_S)
            steps[step] = steps.get(step, 0.0) + charge.units
        teams[team] = [
            (round(step * STEP_S, 2), round(units, 1)) for step, units in steps.items()
        ]
    return StoredUsage(round(wall_time, 3), interval, teams)


def restored_charges(stored, *, window, wall_time, now):
    """Return what an earlier run has admitted within the window.

    A run goes on after its last record. For one interval it counts as having admitted
    at the highest rate of the second before.

    Parameters
    ----------
    stored : StoredUsage
        The last record of the earlier run.
    window : float
        Length of the window, in seconds.
    wall_time : float
        The time of day, in seconds.
    now : float
        The present time, in seconds.

    Returns
    -------
    dict of str to list of (float, float)
        Time in seconds and units of the charges, by team.
    """
    age = max(0.0, wall_time - stored.made_at)
    made_at = now - age
    charges = {}
    for team, steps in stored.teams.items():
        recent = [units for step_age, units in steps if step_age < RATE_SPAN_S]
        unstored = max(recent, default=0.0) / STEP_S * stored.interval
        found = [(made_at - step_age, units) for step_age, units in steps]
        found.append((min(now, made_at + stored.interval), unstored))
        found = [(at, units) for at, units in found if at > now - window and units > 0]
        if found:
            charges[team] = found
    return charges
