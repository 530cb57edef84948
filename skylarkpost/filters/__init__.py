"""The filter chain that processes every request."""

from skylarkpost.filters.chain import FilterChain
from skylarkpost.filters.exchange import Answer, Decision, Exchange
from skylarkpost.filters.registry import Filter, build_filters, register_filter

__all__ = [
    "Answer",
    "Decision",
    "Exchange",
    "Filter",
    "FilterChain",
    "build_filters",
    "register_filter",
]
