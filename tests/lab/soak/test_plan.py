"""Tests of the fault plans of the soak."""

import itertools

from lab.soak import faults  # noqa: F401  (fills the registry of kinds)
from lab.soak.plan import KINDS, SoakShape, draw_plan


def test_a_seed_draws_the_same_overlapping_faults_again():
    shape = SoakShape(seconds=30.0)
    plan = draw_plan(7, shape)
    assert plan == draw_plan(7, shape) != draw_plan(8, shape)
    assert [fault.at for fault in plan] == sorted(fault.at for fault in plan)
    pairs = itertools.pairwise(plan)
    assert any(after.at < before.at + before.duration for before, after in pairs)


def test_every_kind_is_drawn_and_hits_what_is_there():
    shape = SoakShape(seconds=60.0)
    drawn = [fault for seed in range(20) for fault in draw_plan(seed, shape)]
    assert {fault.kind for fault in drawn} == set(KINDS)
    for fault in drawn:
        assert 0 <= fault.subject < getattr(shape, KINDS[fault.kind][0])
