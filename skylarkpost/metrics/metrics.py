"""Prometheus metrics of one instance."""

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

__all__ = ["Metrics"]

FIRST_TOKEN_BUCKETS_S = [0.05, 0.1, 0.2, 0.3, 0.45, 0.62, 0.9, 1.5, 3.0, 6.0, 15.0]
LOAD_STALL_BUCKETS_S = [0.01, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0]


class Metrics:
    """Counters, gauges and histograms of one instance.

    Attributes
    ----------
    requests : aioprometheus.Counter
        Requests by ``team`` and ``outcome``.
    refusals : aioprometheus.Counter
        Refusals by ``team``, ``reason`` and ``run_state``.
    first_token : aioprometheus.Histogram
        Seconds to the first byte of an answer, by ``team`` and ``urgency``.
    load_stall : aioprometheus.Histogram
        Seconds that a request waited for its adapter to load, by ``team``.
    refused_within_rate : aioprometheus.Counter
        Refusals of requests of a team that was within its rate, by ``team``.
    events : aioprometheus.Counter
        Internal events by ``name``, such as late answers dropped.
    open_requests : aioprometheus.Gauge
        Requests currently open.
    batch : aioprometheus.Gauge
        Requests running on an engine, and its limit, by ``target`` and
        ``kind`` (``running`` or ``limit``); only of engines whose steward is
        this instance.
    prompt_cache : aioprometheus.Gauge
        Prompt tokens since an engine's boot, by ``target`` and ``kind``
        (``hits`` or ``tokens``); only of engines whose steward is this instance.
    """

    def __init__(self):
        self.registry = Registry()
        self.requests = self._add(Counter, "skylarkpost_requests_total", "Requests.")
        self.refusals = self._add(Counter, "skylarkpost_refusals_total", "Refusals.")
        self.refused_within_rate = self._add(
            Counter,
            "skylarkpost_refused_within_rate_total",
            "Refusals of requests that were within their team's rate.",
        )
        self.events = self._add(Counter, "skylarkpost_events_total", "Events by name.")
        self.open_requests = self._add(
            Gauge, "skylarkpost_open_requests", "Requests open now."
        )
        self.batch = self._add(
            Gauge, "skylarkpost_engine_batch", "Requests running, and their limit."
        )
        self.prompt_cache = self._add(
            Gauge,
            "skylarkpost_engine_prompt_tokens",
            "Prompt tokens from the cache, and all.",
        )
        self.first_token = self._add(
            Histogram,
            "skylarkpost_first_token_seconds",
            "Time to the first byte of the answer.",
            buckets=FIRST_TOKEN_BUCKETS_S,
        )
        self.load_stall = self._add(
            Histogram,
            "skylarkpost_load_stall_seconds",
            "Time that requests waited for an adapter load.",
            buckets=LOAD_STALL_BUCKETS_S,
        )

    def count_event(self, name):
        """Count one internal event.

        Parameters
        ----------
        name : str
            Name of the event.
        """
        self.events.inc({"name": name})

    def note_engine(self, target, report):
        """Update the gauges from an engine's load report.

        Parameters
        ----------
        target : str
            The engine.
        report : skylarkpost.targets.LoadReport
            Its latest load report.
        """
        self.batch.set({"target": target, "kind": "running"}, report.running)
        self.batch.set({"target": target, "kind": "limit"}, report.batch_limit)
        hits, tokens = report.prompt_cache_hits, report.prompt_cache_tokens
        self.prompt_cache.set({"target": target, "kind": "hits"}, hits)
        self.prompt_cache.set({"target": target, "kind": "tokens"}, tokens)

    def render(self):
        """Return all metrics in the Prometheus text format.

        Returns
        -------
        bytes
            The encoded metrics.
        dict of str to str
            HTTP headers of the response.
        """
        return render(self.registry, ["text/plain"])

    def _add(self, kind, name, doc, **options):
        return kind(name, doc, registry=self.registry, **options)
