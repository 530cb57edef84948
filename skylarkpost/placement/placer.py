"""Ranks the targets from which a request may acquire a ticket."""

from typing import NamedTuple

from skylarkpost.placement.rendezvous import rendezvous_order
from skylarkpost.placement.scores import TargetView, placement_score
from skylarkpost.stewardship.prefill import Preamble, PreambleCache, PrefillBacklog
from skylarkpost.stewardship.summary import adapter_hash

__all__ = ["PlacementPolicy", "PlacementRequest", "Placer"]


class PlacementPolicy(NamedTuple):
    """Parameters of the placement.

    Attributes
    ----------
    score : str
        Name of a registered score.
    summary_timeout : float
        Seconds without a confirmation after which a summary is ignored.
    summary_lag : float
        Seconds until summaries reflect a request that was sent.
    remote_round_trip : float
        Network round-trip time to another data centre, in seconds.
    prefill_rate : float
        Prompt tokens that an engine prefills per second.
    prompt_cache_capacity : float
        Assumed size of an engine's prompt cache, in tokens.
    load_wait : float
        Expected seconds of an adapter load on a target without a summary.
    joined_load_share : float
        Average share of the load time that remains for a request that joins a
        load in progress.
    """

    score: str = "first-token"
    summary_timeout: float = 5.0
    summary_lag: float = 1.0
    remote_round_trip: float = 0.003
    prefill_rate: float = 8000.0
    prompt_cache_capacity: float = 200_000.0
    load_wait: float = 0.6
    joined_load_share: float = 0.5


class PlacementRequest(NamedTuple):
    """Properties of a request that determine its placement.

    Attributes
    ----------
    lora_name : str
        ``ADAPTER@VERSION``.
    needs_adapter : bool
        False if the base model answers without an adapter.
    urgency : int
        From 0 to 9; 9 is the most urgent.
    prompt_tokens : int
        Tokens of the prompt.
    preambles : tuple of Preamble
        Prefixes of the prompt, the shortest first.
    """

    lora_name: str
    needs_adapter: bool
    urgency: int
    prompt_tokens: int
    preambles: tuple[Preamble, ...]


class _SentRequest:
    __slots__ = ("lora_name", "sent_at")

    def __init__(self, sent_at, lora_name):
        self.sent_at = sent_at
        self.lora_name = lora_name


MAX_CACHED_ADAPTERS = 8192
PREFERRED_TARGETS = 8


class Placer:
    """Ranks targets by their summaries and the requests sent since.

    Summaries lag. Requests that this instance has sent since a summary was
    made are added to it, so that a stale summary of an idle target does not
    attract every request.

    Parameters
    ----------
    data_centre : str
        Data centre of this instance.
    policy : PlacementPolicy
        Parameters and the name of the score.

    Attributes
    ----------
    summaries : dict of str to TargetSummary
        Newest summary, by target.
    holders : dict of int to set of str
        Targets that hold an adapter according to their summaries, by its hash.
    prefill_rate : float
        Prompt tokens that an engine prefills per second, as far as known.
    prompt_cache_capacity : float
        Size of the prompt caches of engines that are not known yet, in tokens.
    """

    def __init__(self, *, data_centre, policy=None):
        self.data_centre = data_centre
        self.policy = policy or PlacementPolicy()
        self.score = placement_score(self.policy.score)
        self.prefill_rate = self.policy.prefill_rate
        self.prompt_cache_capacity = self.policy.prompt_cache_capacity
        self.summaries = {}
        self.holders = {}
        self.confirmed_at = {}
        self.sent = {}
        self.preambles = {}
        self.backlogs = {}
        self.ranked_targets = ()
        self.preferred = {}

    def note_summary(self, summary, now):
        """Store the summary of a target.

        Parameters
        ----------
        summary : skylarkpost.stewardship.TargetSummary
            The summary. It is dropped if the known one is newer or from a newer
            steward, unless that one has expired.
        now : float
            The present time, in seconds.
        """
        known = self.summaries.get(summary.target)
        if known is not None and self._is_older(summary, known, now):
            return
        if known is None or summary.resident != known.resident:
            self._index_residents(summary, known)
        self.summaries[summary.target] = summary
        self.confirmed_at[summary.target] = now
        sent = self.sent.get(summary.target, {})
        horizon = now - self.policy.summary_lag
        for ticket_id, each in list(sent.items()):
            if each.sent_at < horizon:
                del sent[ticket_id]

    def note_alive(self, target, now):
        """Confirm the known summary of a target whose steward is alive.

        Summaries are only sent when they change, so an unchanged one remains
        valid as long as messages of its steward arrive.

        Parameters
        ----------
        target : str
            Name of the target.
        now : float
            The present time, in seconds.
        """
        if target in self.confirmed_at:
            self.confirmed_at[target] = now

    def note_asked(self, target, ticket_id, request, now):
        """Record a ticket request.

        Parameters
        ----------
        target : str
            Name of the target.
        ticket_id : str
            Id of the ticket.
        request : PlacementRequest
            The request.
        now : float
            The present time, in seconds.
        """
        sent = self.sent.setdefault(target, {})
        sent[ticket_id] = _SentRequest(now, request.lora_name)

    def note_started(self, target, request, now):
        """Record that a request has its ticket and is prefilled before later ones.

        Parameters
        ----------
        target : str
            Name of the target.
        request : PlacementRequest
            The request.
        now : float
            The present time, in seconds.
        """
        self._backlog(target, now).add(
            self._prefill(request, target), urgency=request.urgency, now=now
        )
        self._memory(target).note_prompt(request.preambles)

    def prefill_tokens(self, target, request, now):
        """Return the tokens to prefill before the first token of a request.

        Parameters
        ----------
        target : str
            Name of the target.
        request : PlacementRequest
            The request, not yet recorded as started.
        now : float
            The present time, in seconds.

        Returns
        -------
        float
            Tokens of the request and of those ahead of it, as far as known here.
        """
        ahead = self._backlog(target, now).ahead(request.urgency, now=now)
        return (ahead + self._prefill(request, target)) * self.prefill_rate

    def note_sent(self, target, ticket_id, request, now):
        """Record a ticket request and add its prompt to the prompt-cache estimate.

        Parameters
        ----------
        target : str
            Name of the target.
        ticket_id : str
            Id of the ticket.
        request : PlacementRequest
            The request.
        now : float
            The present time, in seconds.
        """
        self.note_asked(target, ticket_id, request, now)
        self._memory(target).note_prompt(request.preambles)

    def note_wait(self, target, wait, now, *, urgency):
        """Record the wait that a steward reported for its target.

        Parameters
        ----------
        target : str
            Name of the target.
        wait : float
            Seconds to the first token of a request like the one that requested
            a ticket.
        now : float
            The present time, in seconds.
        urgency : int
            Urgency of that request.
        """
        backlog = self._backlog(target, now)
        missing = wait - backlog.ahead(urgency, now=now)
        if missing > 0.0:
            backlog.add(missing, urgency=urgency, now=now)

    def note_ended(self, target, ticket_id):
        """Record that a request has left a target.

        Parameters
        ----------
        target : str
            Name of the target.
        ticket_id : str
            Id of the ticket.
        """
        self.sent.get(target, {}).pop(ticket_id, None)

    def rank(self, request, targets, now, *, avoid=frozenset()):
        """Rank the targets for a request.

        Parameters
        ----------
        request : PlacementRequest
            The request.
        targets : list of skylarkpost.config.Target
            Targets that serve its base model and are not leaving.
        now : float
            The present time, in seconds.
        avoid : frozenset of str
            Targets on which the request has failed; they come last.

        Returns
        -------
        list of (str, TargetView)
            The best first. Of more than `PREFERRED_TARGETS` targets only the
            adapter's preferred ones and those that may hold it are ranked, as
            long as one of these has room.
        """
        ranks = self._preferred_ranks(request, targets)
        candidates = self._candidates(request, targets, ranks)
        views = self._views(request, candidates, ranks, now)
        none_has_room = all(v.queue_wait > 0.0 or v.target in avoid for v in views)
        if none_has_room and len(candidates) < len(targets):
            views = self._views(request, targets, ranks, now)
        views.sort(key=lambda view: (view.target in avoid, self.score(view)))
        return [(view.target, view) for view in views]

    def view(self, request, target, preferred_rank, now):
        """Return the state of one target as it matters to a request.

        Parameters
        ----------
        request : PlacementRequest
            The request.
        target : skylarkpost.config.Target
            The target.
        preferred_rank : int
            Rendezvous rank of the target for the adapter.
        now : float
            The present time, in seconds.

        Returns
        -------
        TargetView
        """
        summary = self._fresh_summary(target.name, now)
        sent = self.sent.get(target.name, {})
        is_remote = target.data_centre != self.data_centre
        load_wait, is_resident = self._load_wait(request, summary, sent)
        outstanding = self._outstanding(summary, sent)
        return TargetView(
            target=target.name,
            queue_wait=self._queue_wait(request, target, summary, sent),
            load_wait=load_wait,
            prefill=self._prefill(request, target.name),
            prefill_wait=self._backlog(target.name, now).ahead(
                request.urgency, now=now
            ),
            round_trip=self.policy.remote_round_trip if is_remote else 0.0,
            outstanding=outstanding,
            batch_utilisation=outstanding / max(1, target.batch_limit),
            is_resident=is_resident,
            preferred_rank=preferred_rank,
            victim_worth=0.0 if summary is None else summary.victim_worth,
        )

    def _views(self, request, targets, ranks, now):
        return [
            self.view(request, target, ranks.get(target.name, PREFERRED_TARGETS), now)
            for target in targets
        ]

    def _candidates(self, request, targets, ranks):
        """Return the adapter's preferred targets and those that may hold it."""
        if not request.needs_adapter or len(ranks) == len(targets):
            return targets
        names = ranks.keys() | self._requested_at(request.lora_name)
        names |= self.holders.get(adapter_hash(request.lora_name), set())
        return [target for target in targets if target.name in names]

    def _preferred_ranks(self, request, targets):
        names = tuple(target.name for target in targets)
        if names != self.ranked_targets:
            self.ranked_targets = names
            self.preferred = {}
        ranks = self.preferred.get(request.lora_name)
        if ranks is None:
            preferred = rendezvous_order(request.lora_name, names)[:PREFERRED_TARGETS]
            ranks = {name: rank for rank, name in enumerate(preferred)}
            self.preferred[request.lora_name] = ranks
            if len(self.preferred) > MAX_CACHED_ADAPTERS:
                del self.preferred[next(iter(self.preferred))]
        return ranks

    def _requested_at(self, lora_name):
        return {
            target
            for target, sent in self.sent.items()
            if any(each.lora_name == lora_name for each in sent.values())
        }

    def _index_residents(self, summary, known):
        before = frozenset() if known is None else known.resident
        for key in before - summary.resident:
            holders = self.holders[key]
            holders.discard(summary.target)
            if not holders:
                del self.holders[key]
        for key in summary.resident - before:
            self.holders.setdefault(key, set()).add(summary.target)

    def _is_older(self, summary, known, now):
        if now - self.confirmed_at[known.target] > self.policy.summary_timeout:
            return False
        older = summary.fencing_number < known.fencing_number
        same = summary.fencing_number == known.fencing_number
        return older or (same and summary.made_at < known.made_at)

    def _fresh_summary(self, name, now):
        if now - self.confirmed_at.get(name, -1e9) > self.policy.summary_timeout:
            return None
        return self.summaries[name]

    def _load_wait(self, request, summary, sent):
        if not request.needs_adapter:
            return 0.0, True
        expected = self.policy.load_wait if summary is None else summary.load_wait
        if summary is not None and adapter_hash(request.lora_name) in summary.resident:
            return 0.0, True
        if any(each.lora_name == request.lora_name for each in sent.values()):
            return expected * self.policy.joined_load_share, True
        return expected, False

    def _queue_wait(self, request, target, summary, sent):
        if summary is None:
            return len(sent) / max(1, target.batch_limit)
        ahead = summary.queued_urgent[request.urgency] + len(sent) + 1 - summary.room
        if ahead <= 0:
            return 0.0
        return ahead * summary.service_time / summary.batch_limit

    def _prefill(self, request, name):
        uncached_tokens = self._memory(name).uncached_tokens(
            request.preambles, request.prompt_tokens
        )
        return uncached_tokens / self.prefill_rate

    def _memory(self, name):
        if name not in self.preambles:
            self.preambles[name] = PreambleCache(capacity=self.prompt_cache_capacity)
        return self.preambles[name]

    def _backlog(self, name, now):
        if name not in self.backlogs:
            self.backlogs[name] = PrefillBacklog(now=now)
        return self.backlogs[name]

    def _outstanding(self, summary, sent):
        if summary is None:
            return len(sent)
        out = summary.batch_limit - summary.room
        return out + summary.queued + len(sent)
