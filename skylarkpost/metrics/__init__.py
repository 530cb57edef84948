"""Metrics of the daemon, in Prometheus' text format."""

from skylarkpost.metrics.metrics import Metrics

__all__ = ["Metrics"]
