"""Metrics of the daemon in the Prometheus text format."""

from skylarkpost.metrics.metrics import Metrics

__all__ = ["Metrics"]
