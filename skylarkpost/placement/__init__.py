"""Placement: selection of the target for a request."""

from skylarkpost.placement.placer import (
    PlacementPolicy,
    PlacementRequest,
    Placer,
)
from skylarkpost.placement.preamble import preamble_hash
from skylarkpost.placement.rendezvous import rendezvous_order
from skylarkpost.placement.scores import TargetView, register_score
from skylarkpost.stewardship.prefill import Preamble

__all__ = [
    "PlacementPolicy",
    "PlacementRequest",
    "Placer",
    "Preamble",
    "TargetView",
    "preamble_hash",
    "register_score",
    "rendezvous_order",
]
