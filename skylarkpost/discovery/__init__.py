"""Service discovery: targets and their announcements."""

from skylarkpost.discovery.directory import TargetDirectory
from skylarkpost.discovery.entries import LoadedModel, TargetEntry, TargetState

__all__ = ["LoadedModel", "TargetDirectory", "TargetEntry", "TargetState"]
