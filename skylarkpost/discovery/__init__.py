"""Targets as they announce themselves."""

from skylarkpost.discovery.directory import TargetDirectory
from skylarkpost.discovery.entries import LoadedModel, TargetEntry, TargetState

__all__ = ["LoadedModel", "TargetDirectory", "TargetEntry", "TargetState"]
