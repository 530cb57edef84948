"""Simulated inference engine with adapter slots, a batch and a prefix cache."""

import collections
import heapq
import itertools
from typing import NamedTuple

from lab.deployments import (
    BATCH_LIMIT,
    PREFILL_CHUNK_TOKENS,
    PREFIX_CACHE_TOKENS,
    SLOTS,
)

__all__ = ["Engine", "LoadReport"]

STEP_S = 0.03
PREFILL_TOKEN_S = 0.0001
DECODE_SEQUENCE_S = 0.0005


class LoadReport(NamedTuple):
    """Load of an engine as reported by itself.

    Attributes
    ----------
    boot : int
        Number of the engine run; increases with each restart.
    taken_at : float
        Virtual time of the report, in seconds.
    resident : dict of str to int
        Running and waiting requests, by loaded adapter.
    loading : tuple of str
        Adapters being loaded.
    running, waiting : int
        Requests in the batch and in the queue.
    """

    boot: int
    taken_at: float
    resident: dict
    loading: tuple
    running: int
    waiting: int


class _Sequence:
    __slots__ = ("adapter", "job", "output_left", "prefill_left")

    def __init__(self, job, prefill_left):
        self.job = job
        self.adapter = job.request.adapter
        self.prefill_left = prefill_left
        self.output_left = job.request.output_tokens


class Engine:
    """One engine with continuous batching.

    Parameters
    ----------
    name, data_centre : str
        Names of the target and of its data centre.
    scheduler : lab.scheduler.Scheduler
        Scheduler of virtual time.
    store : lab.weights.WeightStore
        Source of the adapters.
    listener : object
        Has the callbacks ``first_token(job)``, ``finished(job)`` and
        ``aborted(job)``.

    Attributes
    ----------
    resident : dict of str to int
        Running and waiting requests, by loaded adapter.
    steps, step_tokens : int
        Batch steps done and tokens processed in them.
    preamble_hits, preamble_tokens : int
        Preamble tokens served from the cache, and all preamble tokens.
    """

    def __init__(self, *, name, data_centre, scheduler, store, listener):
        self.name = name
        self.data_centre = data_centre
        self.scheduler = scheduler
        self.store = store
        self.listener = listener
        self.store_reachable = True
        self.boot = 1
        self.steps = 0
        self.step_tokens = 0
        self.preamble_hits = 0
        self.preamble_tokens = 0
        self._sequence = itertools.count()
        self._reset()

    def _reset(self):
        self.resident = {}
        self.loading = set()
        self.cache = collections.OrderedDict()
        self.cache_tokens = 0
        self.running = []
        self.waiting = []
        self._stepping = False

    def submit(self, job, *, priority):
        """Queue one request.

        Parameters
        ----------
        job : object
            Has ``request``, a `lab.traces.Request`.
        priority : float
            Lower values run first.

        Returns
        -------
        bool
            False if the adapter is not loaded; the request is then not queued.
        """
        adapter = job.request.adapter
        if adapter not in self.resident:
            return False
        self.resident[adapter] += 1
        heapq.heappush(self.waiting, (priority, next(self._sequence), job))
        self._start_stepping()
        return True

    def load(self, adapter, done):
        """Load an adapter.

        Parameters
        ----------
        adapter : str
            Its name.
        done : callable
            Called with whether the adapter is loaded.
        """
        used = len(self.resident) + len(self.loading)
        if adapter in self.resident or adapter in self.loading or used >= SLOTS:
            done(adapter in self.resident)
            return
        self.loading.add(adapter)
        if self.store_reachable:
            self.store.fetch(lambda boot=self.boot: self._loaded(adapter, boot, done))
        else:
            self.scheduler.call_later(1.0, self._load_failed, adapter, self.boot, done)

    def _loaded(self, adapter, boot, done):
        if boot != self.boot:
            done(False)
            return
        self.loading.discard(adapter)
        self.resident[adapter] = 0
        done(True)

    def _load_failed(self, adapter, boot, done):
        if boot == self.boot:
            self.loading.discard(adapter)
        done(False)

    def unload(self, adapter):
        """Unload an adapter that is not in use.

        Parameters
        ----------
        adapter : str
            Its name.

        Returns
        -------
        bool
            Whether it was loaded.
        """
        in_use = self.resident.pop(adapter, None)
        assert not in_use, f"{adapter} was in use on {self.name} when unloaded"
        return in_use is not None

    def restart(self):
        """Restart without adapters and cache; abort all requests."""
        aborted = [sequence.job for sequence in self.running]
        aborted += [job for _, _, job in sorted(self.waiting)]
        self.boot += 1
        self._reset()
        for job in aborted:
            self.listener.aborted(job)

    def report(self):
        """Return the current load.

        Returns
        -------
        LoadReport
        """
        return LoadReport(
            self.boot,
            self.scheduler.now,
            dict(self.resident),
            tuple(self.loading),
            len(self.running),
            len(self.waiting),
        )

    def _start_stepping(self):
        if not self._stepping:
            self._stepping = True
            self._begin_step()

    def _admit(self):
        while self.waiting and len(self.running) < BATCH_LIMIT:
            _, _, job = heapq.heappop(self.waiting)
            request = job.request
            cached_tokens = self._use_cache(request)
            prompt = request.preamble_tokens + request.tail_tokens
            self.running.append(_Sequence(job, prompt - cached_tokens))

    def _use_cache(self, request):
        """Return the cached preamble tokens and mark the entry as recently used."""
        self.preamble_tokens += request.preamble_tokens
        cached_tokens = self.cache.pop(request.adapter, 0)
        self.preamble_hits += cached_tokens
        self.cache[request.adapter] = request.preamble_tokens
        self.cache_tokens += request.preamble_tokens - cached_tokens
        while self.cache_tokens > PREFIX_CACHE_TOKENS:
            _, dropped = self.cache.popitem(last=False)
            self.cache_tokens -= dropped
        return cached_tokens

    def _begin_step(self):
        self._admit()
        if not self.running:
            self._stepping = False
            return
        budget = PREFILL_CHUNK_TOKENS
        decoding = 0
        done = []
        for sequence in self.running:
            if sequence.prefill_left > 0:
                if budget > 0:
                    chunk = min(budget, sequence.prefill_left)
                    budget -= chunk
                    sequence.prefill_left -= chunk
                    if sequence.prefill_left == 0:
                        done.append(sequence)
            else:
                decoding += 1
                done.append(sequence)
        prefilled = PREFILL_CHUNK_TOKENS - budget
        self.steps += 1
        self.step_tokens += prefilled + decoding
        duration = STEP_S + PREFILL_TOKEN_S * prefilled + DECODE_SEQUENCE_S * decoding
        self.scheduler.call_later(duration, self._end_step, self.boot, done)

    def _end_step(self, boot, produced):
        if boot != self.boot:
            return
        finished = []
        for sequence in produced:
            if sequence.output_left == sequence.job.request.output_tokens:
                self.listener.first_token(sequence.job)
            sequence.output_left -= 1
            if sequence.output_left == 0:
                finished.append(sequence)
        if finished:
            self.running = [s for s in self.running if s.output_left > 0]
        for sequence in finished:
            self.resident[sequence.adapter] -= 1
            self.listener.finished(sequence.job)
        self._begin_step()
