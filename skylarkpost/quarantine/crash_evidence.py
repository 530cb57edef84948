"""Finds the trait that requests on crashed targets have in common.

Load pattern: requests with one common prompt part crash each engine that begins to
write an answer on it. No two of them are alike otherwise, they arrive at any
instance, and sound requests share their other parts and wait on the same engines.
"""

import collections
import math
from typing import NamedTuple

from skylarkpost.quarantine.suspects import Clear, Quarantined
from skylarkpost.quarantine.traits import is_begun_trait, is_request_trait

__all__ = ["CrashEvidence", "EvidencePolicy", "OnTrial", "TraitCrash"]

# Crashes that a trait has to be involved in before it restricts any request.
MIN_CRASHES = 2
# Rounds of crashes that quarantine a trait: one that was never answered, and one that
# was answered before.
MIN_ROUNDS = 2
MIN_ROUNDS_ANSWERED = 3
# The same for answers that had begun. A crash accuses all of them, and a sound one that
# is resumed may be on several targets that crash.
MIN_ROUNDS_BEGUN = 4
MIN_ROUNDS_BEGUN_COMPLETED = 5


class EvidencePolicy(NamedTuple):
    """Parameters of `CrashEvidence`.

    Attributes
    ----------
    crash_life : float
        Seconds for which a single crash counts.
    quarantine_time : float
        Seconds after the last crash for which a trait is quarantined at first.
    trial_pause : float
        Seconds after the last crash until the next trial of a trait that may not be
        the cause, from its second round of crashes on.
    growth : float
        Factor by which these times grow with each further round of crashes.
    max_quarantine_time : float
        Bound of these times, in seconds.
    max_traits : int
        Number of traits with crashes that are kept.
    max_answers : int
        Number of traits whose last answer is remembered.
    """

    crash_life: float = 300.0
    quarantine_time: float = 60.0
    trial_pause: float = 5.0
    growth: float = 4.0
    max_quarantine_time: float = 3600.0
    max_traits: int = 1024
    max_answers: int = 4096


class TraitCrash(NamedTuple):
    """A crash while a request with some trait waited for its answer to begin.

    Attributes
    ----------
    crashed_at : float
        Time of the crash, in seconds.
    sent_at : float
        When the latest of these requests was sent, in seconds.
    """

    crashed_at: float
    sent_at: float


class OnTrial(NamedTuple):
    """One request at a time may show whether a trait is the cause.

    Attributes
    ----------
    trait : str
        The trait, or the first of several that share their trials.
    """

    trait: str


class _Cause(NamedTuple):
    """Traits that explain the same crashes equally well.

    Attributes
    ----------
    traits : frozenset of str
        The traits.
    quarantined_until : float
        Seconds.
    """

    traits: frozenset
    quarantined_until: float


class CrashEvidence:
    """Crashes of targets by the traits of the requests that had not begun there.

    Notes
    -----
    A request whose answer begins clears all its traits of the crashes before. What
    remains is counted in rounds: a crash starts a new round if the request was sent
    after the crash that started the last one. Many targets that fail at the same
    moment make one round, however many requests waited on them.

    The causes are the fewest traits that explain the crashes, found greedily: the
    trait with the most crashes that no earlier cause explains, those that were never
    answered first. A trait becomes a cause with two rounds of such crashes, or three
    if it was answered before. A request with a cause is refused while the cause is
    quarantined. Otherwise, one request at a time is tried

    - after the quarantine,
    - if several traits are equally good explanations, and it has only some of them,
    - with traits of two crashes that are no cause: they were never answered, or no
      cause explains their crashes.

    Answers that had begun when their target crashed count by traits of their own (see
    `begun_traits`), which only the end of an answer clears. Such a trait becomes a
    cause after more rounds, and only if no other request was on as many of these
    targets. Without being a cause it restricts nothing.

    Parameters
    ----------
    policy : EvidencePolicy
        Parameters.

    Attributes
    ----------
    crashes : dict of str to dict of str to TraitCrash
        By trait and id of the crash.
    answered_at : OrderedDict of str to float
        When an answer last began, by trait.
    dropped : int
        Traits dropped because of `EvidencePolicy.max_traits`.
    """

    def __init__(self, *, policy=None):
        self.policy = policy or EvidencePolicy()
        self.crashes = {}
        self.answered_at = collections.OrderedDict()
        self.dropped = 0
        self._causes = []
        self._unexplained = frozenset()
        self._is_current = True

    def add_crash(self, crash_id, sent_at, crashed_at):
        """Add a crash that this or another instance has seen.

        Parameters
        ----------
        crash_id : str
            The same for all instances that saw the crash.
        sent_at : dict of str to float
            When requests with each trait were sent that had not begun, in seconds.
        crashed_at : float
            Time of the crash, in seconds.
        """
        for trait, sent in sent_at.items():
            if crashed_at <= self.answered_at.get(trait, -math.inf):
                continue
            known = self.crashes.setdefault(trait, {})
            before = known.get(crash_id, TraitCrash(crashed_at, sent))
            # Reports get older on their way, so the earliest time is the best.
            crash_time = min(before.crashed_at, crashed_at)
            latest = min(crash_time, max(before.sent_at, sent))
            known[crash_id] = TraitCrash(crash_time, latest)
        self._is_current = False
        self._bound()

    def note_answered(self, traits, now):
        """Record that an answer has begun to a request with the given traits.

        Parameters
        ----------
        traits : iterable of str
            The request's traits.
        now : float
            When it began, in seconds.

        Returns
        -------
        list of str
            Traits that this cleared of crashes.
        """
        cleared = []
        for trait in traits:
            self.answered_at[trait] = max(now, self.answered_at.get(trait, now))
            self.answered_at.move_to_end(trait)
            known = self.crashes.get(trait)
            if known is None:
                continue
            self._is_current = False
            later = {c: each for c, each in known.items() if each.crashed_at > now}
            if len(later) < len(known):
                cleared.append(trait)
            if later:
                self.crashes[trait] = later
            else:
                del self.crashes[trait]
        while len(self.answered_at) > self.policy.max_answers:
            self.answered_at.popitem(last=False)
        return cleared

    def verdict(self, traits, now):
        """Judge a request by its traits.

        Parameters
        ----------
        traits : frozenset of str
            The request's traits.
        now : float
            The present time, in seconds.

        Returns
        -------
        Clear, OnTrial or Quarantined
        """
        suspects = {trait for trait in traits if self._is_suspect(trait)}
        if not suspects:
            return Clear()
        self._find_causes()
        refused_until = now
        on_trial = []
        for cause in self._causes:
            shared = suspects & cause.traits
            suspects -= cause.traits
            if not shared:
                continue
            if shared != cause.traits and _is_of_begun(cause):
                continue
            until = cause.quarantined_until
            if shared != cause.traits:
                until = max(self._next_trial(trait) for trait in shared)
            refused_until = max(refused_until, until)
            # All equally good explanations share one trial at a time, so that the
            # next crash tells them apart.
            on_trial.append(min(cause.traits))
        for trait in suspects:
            if is_begun_trait(trait):
                continue
            if trait in self._unexplained or trait not in self.answered_at:
                refused_until = max(refused_until, self._next_trial(trait))
                on_trial.append(trait)
        if refused_until > now:
            return Quarantined(seconds_left=refused_until - now)
        return OnTrial(min(on_trial)) if on_trial else Clear()

    def quarantined(self, now):
        """Return the quarantined traits.

        Parameters
        ----------
        now : float
            The present time, in seconds.

        Returns
        -------
        dict of str to float
            Until when, in seconds, by trait.
        """
        self._find_causes()
        return {
            trait: cause.quarantined_until
            for cause in self._causes
            if cause.quarantined_until > now
            for trait in cause.traits
        }

    def expire(self, now):
        """Drop crashes that no longer count.

        Parameters
        ----------
        now : float
            The present time, in seconds.
        """
        self._find_causes()
        until = {
            trait: cause.quarantined_until
            for cause in self._causes
            for trait in cause.traits
        }
        for trait, known in list(self.crashes.items()):
            last = max(crash.crashed_at for crash in known.values())
            if now >= max(last, until.get(trait, last)) + self.policy.crash_life:
                del self.crashes[trait]
                self._is_current = False

    def _is_suspect(self, trait):
        return len(self.crashes.get(trait, ())) >= MIN_CRASHES

    def _find_causes(self):
        if self._is_current:
            return
        self._is_current = True
        self._causes = []
        suspects = {
            trait: frozenset(known)
            for trait, known in self.crashes.items()
            if len(known) >= MIN_CRASHES
        }
        unexplained = frozenset().union(*suspects.values())
        for is_begun, is_answered, rounds in (
            (False, False, MIN_ROUNDS),
            (False, True, MIN_ROUNDS_ANSWERED),
            (True, False, MIN_ROUNDS_BEGUN),
            (True, True, MIN_ROUNDS_BEGUN_COMPLETED),
        ):
            group = [
                trait
                for trait in suspects
                if is_begun_trait(trait) is is_begun
                and (trait in self.answered_at) is is_answered
            ]
            while True:
                best = max(
                    (t for t in group if self._rounds(t, unexplained) >= rounds),
                    key=lambda trait: (len(suspects[trait] & unexplained), trait),
                    default=None,
                )
                if best is None:
                    break
                explained = suspects[best] & unexplained
                if is_begun and _is_ambiguous(explained, suspects):
                    break
                equal = frozenset(t for t in group if suspects[t] == suspects[best])
                self._causes.append(_Cause(equal, self._quarantine_end(best)))
                unexplained -= explained
        self._unexplained = frozenset(
            trait
            for trait, known in suspects.items()
            if len(known & unexplained) >= MIN_CRASHES
        )

    def _rounds(self, trait, counted):
        rounds, round_start = 0, -math.inf
        known = self.crashes[trait]
        for crash in sorted(known[each] for each in known if each in counted):
            if crash.sent_at > round_start:
                rounds += 1
                round_start = crash.crashed_at
        return rounds

    def _quarantine_end(self, trait):
        return self._end_of_pause(trait, self.policy.quarantine_time)

    def _next_trial(self, trait):
        return self._end_of_pause(trait, self.policy.trial_pause)

    def _end_of_pause(self, trait, first_pause):
        known = self.crashes[trait]
        last = max(crash.crashed_at for crash in known.values())
        first_rounds = MIN_ROUNDS_BEGUN if is_begun_trait(trait) else MIN_ROUNDS
        further_rounds = self._rounds(trait, known) - first_rounds
        if further_rounds < 0:
            return last
        pause = first_pause * self.policy.growth**further_rounds
        return last + min(self.policy.max_quarantine_time, pause)

    def _bound(self):
        while len(self.crashes) > self.policy.max_traits:
            least = min(self.crashes, key=self._importance)
            del self.crashes[least]
            self.dropped += 1

    def _importance(self, trait):
        known = self.crashes[trait]
        return len(known), max(crash.crashed_at for crash in known.values())


def _is_of_begun(cause):
    return all(is_begun_trait(trait) for trait in cause.traits)


def _is_ambiguous(explained, suspects):
    """Return whether several requests had begun on all of the crashed targets."""
    requests = [
        trait
        for trait, known in suspects.items()
        if is_begun_trait(trait) and is_request_trait(trait) and explained <= known
    ]
    return len(requests) > 1
