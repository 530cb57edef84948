"""The filter chain that processes every request."""

from skylarkpost.filters.chain import FilterChain
from skylarkpost.filters.exchange import Answer, Decision, Exchange
from skylarkpost.filters.registry import Filter, build_filters, register_filter
from skylarkpost.filters.shutdown import refuse_all, shutdown_refusal

__all__ = [
    "Answer",
    "Decision",
    "Exchange",
    "Filter",
    "FilterChain",
    "build_filters",
    "refuse_all",
    "register_filter",
    "shutdown_refusal",
]
