"""Plan of a soak run: which faults are injected, and when."""

import random
from typing import NamedTuple

__all__ = ["KINDS", "Fault", "SoakShape", "draw_plan", "fault_kind"]

# From less than the heartbeat timeout to more than a lease and its takeover.
DURATIONS_S = (0.3, 1.0, 2.5, 6.0)
# Gaps shorter than most durations, so that faults overlap.
MIN_GAP_S, MAX_GAP_S = 0.1, 1.5

KINDS = {}


class SoakShape(NamedTuple):
    """Composition and length of a run.

    Attributes
    ----------
    instances, engines, services : int
        Number of gateways, and of stand-ins of both kinds of targets.
    seconds : float
        Seconds during which faults are injected.
    callers : int
        Number of concurrent callers.
    one : int
        Number of stores, for faults of the single store.
    """

    instances: int = 3
    engines: int = 2
    services: int = 2
    seconds: float = 8.0
    callers: int = 8
    one: int = 1

    @property
    def targets(self):
        """Number of all targets."""
        return self.engines + self.services


class Fault(NamedTuple):
    """A planned fault.

    Attributes
    ----------
    at : float
        Seconds from the start of the plan.
    kind : str
        Name of a registered kind.
    subject : int
        Number of the process or link affected.
    duration : float
        Seconds until the fault ends.
    """

    at: float
    kind: str
    subject: int
    duration: float


def fault_kind(name, *, subjects):
    """Register a kind of fault.

    Parameters
    ----------
    name : str
        Name of the kind.
    subjects : str
        Field of `SoakShape` with the number of possible subjects.

    Returns
    -------
    callable
        Decorator for an async function of the run, the subject's number and
        the duration; the function returns when the fault has ended.
    """

    def register(inject):
        KINDS[name] = (subjects, inject)
        return inject

    return register


def draw_plan(seed, shape):
    """Draw the faults of a run.

    Parameters
    ----------
    seed : int
        The same seed draws the same plan.
    shape : SoakShape
        Composition and length of the run.

    Returns
    -------
    list of Fault
        Overlapping faults, ordered by start time.
    """
    rng = random.Random(f"plan {seed}")
    names = sorted(KINDS)
    plan, at = [], 0.0
    while True:
        at += rng.uniform(MIN_GAP_S, MAX_GAP_S)
        if at >= shape.seconds:
            return plan
        kind = rng.choice(names)
        subject = rng.randrange(getattr(shape, KINDS[kind][0]))
        plan.append(Fault(round(at, 2), kind, subject, rng.choice(DURATIONS_S)))
