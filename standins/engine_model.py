"""State of the stand-in engine without I/O: adapters, batch and streams."""

from collections import deque
from typing import NamedTuple

from standins.answers import answer_tokens, count_prompt_tokens, prefix_hashes
from standins.engine_cache import PrefixCache

__all__ = ["BASE_MODEL", "EngineModel", "Stream", "Weights"]

BASE_MODEL = "base"
MAX_REPORTS = 1000
MAX_STREAMS = 20_000


class Weights(NamedTuple):
    """Weights that a slot actually holds, which may differ from its name."""

    weight_name: str
    version: str

    @property
    def lora_name(self):
        """Adapter and version in the form of a request's ``model`` field."""
        return f"{self.weight_name}@{self.version}"


class Stream:
    """One request in the engine.

    Attributes
    ----------
    events : list of str
        Tokens generated so far; event ids start at 1.
    state : str
        ``"waiting"``, ``"running"``, ``"done"`` or ``"cancelled"``.
    attachment : int
        Number of connections that this stream has been sent on.
    detached_at : float or None
        When its connection was lost, in seconds; None while attached.
    """

    def __init__(self, *, request_id, lora_name, prompt, seed, max_tokens, priority):
        self.request_id = request_id
        self.lora_name = lora_name
        self.prompt = prompt
        self.seed = seed
        self.max_tokens = max_tokens
        self.priority = priority
        self.prompt_tokens = count_prompt_tokens(prompt)
        self.cached_tokens = 0
        self.prefill_left = 0
        self.tokens = []
        self.events = []
        self.state = "waiting"
        self.attachment = 0
        self.detached_at = None

    @property
    def active(self):
        """Whether it is in the batch or waits for it."""
        return self.state in ("waiting", "running")


class EngineModel:
    """State of one boot of an engine.

    Parameters
    ----------
    boot : str
        Id of this boot.
    options : standins.engine_options.EngineOptions
        Capacity and speed.
    now : float
        Time of the boot, in seconds.
    """

    def __init__(self, *, boot, options, now):
        self.boot = boot
        self.options = options
        self.booted_at = now
        self.cache = PrefixCache(capacity=options.cache_blocks)
        self.resident = {}
        self.loading = {}
        self.streams = {}
        self.waiting = []
        self.running = []
        self.reports = deque(maxlen=MAX_REPORTS)
        self.role = "both"
        self.evicted_in_use = 0
        self.wrong_adapter = 0
        self.record_report(now=now)

    def can_serve(self, lora_name):
        """Return whether the base model or a resident adapter has this name."""
        return lora_name == BASE_MODEL or lora_name in self.resident

    def has_free_slot(self):
        """Return whether another adapter can be loaded."""
        return len(self.resident) + len(self.loading) < self.options.slots

    def unload(self, lora_name):
        """Evict an adapter; count the eviction if requests use it."""
        if self.resident.pop(lora_name, None) is None:
            return
        in_use = [s for s in self.running + self.waiting if s.lora_name == lora_name]
        self.evicted_in_use += bool(in_use)

    def enqueue(self, stream):
        """Queue a request, ordered by lowest priority value, then by arrival."""
        if len(self.streams) >= MAX_STREAMS:
            self.streams.pop(next(iter(self.streams)))
        self.streams[stream.request_id] = stream
        self.waiting.append(stream)
        self.waiting.sort(key=lambda s: s.priority)

    def cancel(self, stream):
        """Cancel a request whose answer is not complete."""
        if stream.active:
            stream.state = "cancelled"
        self.waiting = [s for s in self.waiting if s.active]
        self.running = [s for s in self.running if s.active]

    def step(self, *, now):
        """Run one step of the batch; return the streams that started to run."""
        for stream in list(self.streams.values()):
            detached = stream.detached_at
            if detached is not None and now - detached > self.options.resume_window:
                self.cancel(stream)
        started = self.admit(now=now)
        budget = self.options.prefill_tokens
        for stream in self.running:
            if stream.prefill_left > 0:
                work = min(budget, stream.prefill_left)
                stream.prefill_left -= work
                budget -= work
            if stream.prefill_left == 0:
                self.generate(stream)
        self.running = [s for s in self.running if s.active]
        self.record_report(now=now)
        return started

    def admit(self, *, now):
        """Fill the batch from the queue."""
        started = []
        while self.waiting and len(self.running) < self.options.batch_limit:
            stream = self.waiting.pop(0)
            weights = self.resident.get(stream.lora_name)
            name = BASE_MODEL if weights is None else weights.lora_name
            self.wrong_adapter += name != stream.lora_name
            stream.tokens = answer_tokens(
                name, stream.prompt, stream.seed, stream.max_tokens
            )
            hashes = prefix_hashes(name, stream.prompt)
            stream.cached_tokens = self.cache.look_up_and_insert(
                hashes, stream.prompt_tokens, now=now
            )
            stream.prefill_left = stream.prompt_tokens - stream.cached_tokens
            stream.state = "running"
            self.running.append(stream)
            started.append(stream)
        return started

    def generate(self, stream):
        """Generate up to one step's tokens for a stream."""
        for _ in range(self.options.tokens_per_step):
            if len(stream.events) < len(stream.tokens):
                stream.events.append(stream.tokens[len(stream.events)])
        if len(stream.events) == len(stream.tokens):
            stream.state = "done"

    def record_report(self, *, now):
        """Store a load report for delayed delivery."""
        self.reports.append((now, self.build_report(now)))

    def build_report(self, now):
        """Return the current load report."""
        running = [s.lora_name for s in self.running]
        waiting = [s.lora_name for s in self.waiting]
        return {
            "boot": self.boot,
            "taken_at": now - self.booted_at,
            "role": self.role,
            "slots": self.options.slots,
            "resident": [
                {
                    "lora_name": name,
                    "running": running.count(name),
                    "waiting": waiting.count(name),
                }
                for name in self.resident
            ],
            "loading": list(self.loading),
            "running": len(running),
            "waiting": len(waiting),
            "batch_limit": self.options.batch_limit,
            "prompt_cache_hits": self.cache.hits,
            "prompt_cache_tokens": self.cache.looked_up_tokens,
        }

    def report_as_of(self, moment):
        """Return the latest report taken at or before a time, else the oldest kept."""
        for taken_at, report in reversed(self.reports):
            if taken_at <= moment:
                return report
        return self.reports[0][1]
