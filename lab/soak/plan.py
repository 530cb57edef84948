"""Which faults a run of the soak injects, and when."""

import random
from typing import NamedTuple

__all__ = ["KINDS", "Fault", "SoakShape", "draw_plan", "fault_kind"]

# Shorter than the pause after which heartbeats call an instance silent, up to
# longer than a lease and its takeover.
DURATIONS_S = (0.3, 1.0, 2.5, 6.0)
# Faults begin while earlier ones last.
MIN_GAP_S, MAX_GAP_S = 0.1, 1.5

KINDS = {}


class SoakShape(NamedTuple):
    """What a run consists of.

    Attributes
    ----------
    instances, engines, services : int
        Gateways, and stand-ins of both kinds of targets.
    seconds : float
        How long faults are injected.
    callers : int
        Concurrent callers.
    one : int
        Of what there is one of: the store.
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
    """One fault.

    Attributes
    ----------
    at : float
        Seconds from the start of the plan.
    kind : str
        Name of a registered kind.
    subject : int
        Number of the process or link that it hits.
    duration : float
        Seconds until it is healed.
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
        Of the kind.
    subjects : str
        Field of `SoakShape` that counts what it can hit.

    Returns
    -------
    callable
        Decorates an async function of the run, the subject's number and the
        duration; it returns when the fault is healed.
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
        The run.

    Returns
    -------
    list of Fault
        In order of time; they overlap, and come in series.
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
