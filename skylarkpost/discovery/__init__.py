"""Targets as they announce themselves."""

from skylarkpost.discovery.directory import TargetDirectory
from skylarkpost.discovery.entries import HeldModel, TargetEntry, TargetState

__all__ = ["HeldModel", "TargetDirectory", "TargetEntry", "TargetState"]
