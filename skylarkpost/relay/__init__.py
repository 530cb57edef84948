"""Sends requests to targets and hands their answers back."""

from skylarkpost.relay.retry_budget import RetryBudget

__all__ = ["RetryBudget"]
