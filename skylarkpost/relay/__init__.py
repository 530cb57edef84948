"""Dispatch of requests to targets, with retries and resumed streams."""

from skylarkpost.relay.retry_budget import RetryBudget

__all__ = ["RetryBudget"]
