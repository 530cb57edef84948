"""Replays, slopes and benchmarks: the tools that measure skylarkpost."""

__all__ = []
