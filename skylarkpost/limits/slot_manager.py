"""Claims, activates, confirms and releases this instance's share slots."""

from dataclasses import dataclass, field

from skylarkpost.limits.commands import AppendRecord, RequestYield
from skylarkpost.limits.lender import CLOCK_MARGIN
from skylarkpost.limits.shares import SlotShare
from skylarkpost.limits.slots import Succession

__all__ = ["SlotManager"]

NEVER = float("-inf")
# An append that has not shown its effect after this long may be retried.
APPEND_TIMEOUT_S = 2.0
# How long the other instances leave a free slot to the preferred claimant.
CLAIM_HEAD_START_S = 2.0
YIELD_INTERVAL_S = 0.5
# Fraction of the log's retention after which a claim is confirmed again.
CONFIRM_FRACTION = 1 / 3
# Allows for late heartbeats, and for the loss of one.
SILENCE_MARGIN_S = 2.0
LEND_MARGIN_S = 1.0


@dataclass(kw_only=True)
class _PendingClaim:
    """An own claim of a slot that predecessors may still use."""

    claim: int
    # By predecessor: time since which it has been silent.
    silent_since: dict
    # By predecessor: time from which neither it nor its leases have any effect.
    ended_at: dict = field(default_factory=dict)
    requested_at: float = NEVER


@dataclass(kw_only=True)
class _ActiveSlot:
    share: SlotShare
    renewed_at: float
    confirmed_at: float = NEVER
    appended_at: float = NEVER


@dataclass(kw_only=True)
class _ClaimAttempts:
    claimed_at: dict = field(default_factory=dict)
    free_since: dict = field(default_factory=dict)


class SlotManager:
    """Manages which slots of its data centre this instance owns.

    Parameters
    ----------
    owner : SlotOwner
        This instance and its boot.
    slots : list of str
        Slots of its data centre.
    table : SlotTable
        Ownership of the slots according to the log.
    authority : float
        Longest pause, in seconds, after which this instance still acts as an
        owner without having read the log again.
    lease : float
        Seconds for which shares are lent.
    retention : float
        Seconds that the log keeps a record.
    now : float
        The present time, in seconds.

    Notes
    -----
    The protocol assumes that messages within a data centre arrive. An owner that
    was silent for longer than `authority` must then have been paused for longer
    than that, and reads the log before it does anything once it resumes. A new
    owner therefore claims the slot, and then waits until the previous owner has
    been silent for that long after the claim or has confirmed that it yielded the
    slot, and until all leases granted by the previous owner have expired.
    """

    def __init__(self, *, owner, slots, table, authority, lease, retention, now):
        self.owner = owner
        self.slots = slots
        self.table = table
        self.authority = authority
        self.lend_duration = lease * CLOCK_MARGIN + LEND_MARGIN_S
        self.silence_timeout = authority + SILENCE_MARGIN_S
        self.confirm_interval = retention * CONFIRM_FRACTION
        self.active = {}
        self.pending = {}
        self.yielded = {}
        self.used_claims = set()
        self.attempts = _ClaimAttempts()
        self.latest_time = now
        self.listening_since = now
        self.unconfirmed_since = None
        self.releasing = False

    def note_time(self, now):
        """Detect a pause of this process. Must be called before every decision.

        Parameters
        ----------
        now : float
            The present time, in seconds.
        """
        if now - self.latest_time > self.authority:
            self.unconfirmed_since = now
            self.listening_since = now
        self.latest_time = max(now, self.latest_time)

    def note_log_read(self, fresh_at, now):
        """Record how recent the view of the log is.

        Parameters
        ----------
        fresh_at : float or None
            When the last read to the end of the stream was started.
        now : float
            The present time, in seconds.
        """
        self.note_time(now)
        if fresh_at is None:
            return
        if self.unconfirmed_since is not None and fresh_at > self.unconfirmed_since:
            self.unconfirmed_since = None

    def may_use(self, now):
        """Return whether this instance may act as an owner at present.

        Parameters
        ----------
        now : float
            The present time, in seconds, read just before.

        Returns
        -------
        bool
            False after a pause, until the log has been read again.
        """
        self.note_time(now)
        return self.unconfirmed_since is None

    def active_slots(self):
        """Return the slots that this instance owns and has started to use.

        Returns
        -------
        dict of str to SlotShare
        """
        return {
            slot: active.share
            for slot, active in self.active.items()
            if self._owns(slot, active.share.claim)
        }

    def yield_slot(self, slot, claim):
        """Yield a slot that another instance has claimed on the log.

        Parameters
        ----------
        slot : str
            Id of the slot.
        claim : int
            Offset of the other claim.

        Returns
        -------
        bool
            Always True: this boot will not use the slot under an older claim.
        """
        self.yielded[slot] = max(claim, self.yielded.get(slot, claim))
        return True

    def yield_all_slots(self):
        """Yield all slots, since another run of this instance has replaced it."""
        self.releasing = True
        for slot, active in self.active.items():
            self.yield_slot(slot, active.share.claim + 1)

    def note_yielded(self, slot, owner, now):
        """Record that a former owner of a claimed slot has yielded it.

        Parameters
        ----------
        slot : str
            Id of the slot.
        owner : SlotOwner
            The former owner.
        now : float
            The present time, in seconds.
        """
        pending = self.pending.get(slot)
        if pending is not None:
            pending.ended_at.setdefault(owner, now + self.lend_duration)

    def tick(self, now, *, log_time, neighbours):
        """Decide what to do about each slot.

        Parameters
        ----------
        now : float
            The present time, in seconds.
        log_time : float
            The best estimate of the log's present time, in seconds.
        neighbours : list of Neighbour
            Other instances of this data centre from which messages arrived
            recently.

        Returns
        -------
        list of AppendRecord or RequestYield
        """
        self.note_time(now)
        commands = []
        for slot in self.slots:
            state = self.table.states.get(slot)
            if state is not None and self._owns(slot, state.claim):
                commands += self._tick_own(slot, state, now, neighbours)
            else:
                self._drop_slot(slot)
                commands += self._tick_other(slot, state, now, log_time, neighbours)
        return commands

    def release(self, slot, balances):
        """Deactivate a slot and return the record that releases it.

        Parameters
        ----------
        slot : str
            Id of an active slot.
        balances : dict of str to float
            Tokens by team for the next owner.

        Returns
        -------
        AppendRecord
        """
        claim = self.active.pop(slot).share.claim
        self.yield_slot(slot, claim + 1)
        record = self._record("slot-release", slot, claim=claim, balances=balances)
        return AppendRecord(record=record)

    def _owns(self, slot, claim):
        state = self.table.states.get(slot)
        if state is None or state.released or state.owner != self.owner:
            return False
        return state.claim == claim >= self.yielded.get(slot, claim)

    def _tick_own(self, slot, state, now, neighbours):
        active = self.active.get(slot)
        if active is not None and active.share.claim == state.claim:
            return self._confirm(slot, active, state, now)
        must_wait = state.succession is Succession.TAKEN_OVER
        if must_wait and state.claim not in self.used_claims:
            return self._tick_pending(slot, state, now, neighbours)
        return self._activate(slot, state, now)

    def _tick_pending(self, slot, state, now, neighbours):
        pending = self.pending.get(slot)
        if pending is None or pending.claim != state.claim:
            pending = self.pending[slot] = _PendingClaim(
                claim=state.claim,
                silent_since=dict.fromkeys(state.predecessors, now),
            )
        for owner in pending.silent_since:
            self._note_silence(pending, owner, now, neighbours)
        waiting_for = [
            owner
            for owner in pending.silent_since
            if now < pending.ended_at.get(owner, float("inf"))
        ]
        if not waiting_for:
            del self.pending[slot]
            return self._activate(slot, state, now)
        if now - pending.requested_at < YIELD_INTERVAL_S:
            return []
        pending.requested_at = now
        return [
            RequestYield(owner=owner, slot=slot, claim=state.claim)
            for owner in waiting_for
            if owner not in pending.ended_at
        ]

    def _note_silence(self, pending, owner, now, neighbours):
        if owner in pending.ended_at:
            return
        received_at = max(self.listening_since, _newest_message_at(neighbours, owner))
        silent_since = max(pending.silent_since[owner], received_at)
        pending.silent_since[owner] = silent_since
        if now - silent_since > self.silence_timeout:
            # A silent owner granted its last leases before it went silent.
            wait = max(self.silence_timeout, self.lend_duration)
            pending.ended_at[owner] = silent_since + wait

    def _tick_other(self, slot, state, now, log_time, neighbours):
        if self.releasing or not self.may_use(now):
            return []
        if not self.table.claimable(slot, log_time):
            return []
        expected_claim = self.table.expected_claim(slot, log_time)
        if self._is_in_use(state, now, neighbours):
            self.attempts.free_since.pop(slot, None)
            return []
        free_since = self.attempts.free_since.setdefault(slot, now)
        has_head_start = self._has_head_start(slot, state, now, neighbours)
        if not has_head_start and now - free_since < CLAIM_HEAD_START_S:
            return []
        claimed_at = self.attempts.claimed_at.get(slot, NEVER)
        if now - claimed_at < APPEND_TIMEOUT_S:
            return []
        self.attempts.claimed_at[slot] = now
        record = self._record("slot-claim", slot, expects=expected_claim)
        return [AppendRecord(record=record)]

    def _activate(self, slot, state, now):
        is_first_use = state.claim not in self.used_claims
        self.used_claims.add(state.claim)
        never_used = is_first_use and state.succession is Succession.FIRST
        share = SlotShare(
            claim=state.claim,
            since=NEVER if never_used else now,
            balances=dict(state.balances) if is_first_use else {},
        )
        active = _ActiveSlot(share=share, renewed_at=state.renewed_at)
        self.active[slot] = active
        return self._confirm(slot, active, state, now)

    def _confirm(self, slot, active, state, now):
        if state.renewed_at != active.renewed_at:
            active.renewed_at = state.renewed_at
            active.confirmed_at = now
        if now - active.confirmed_at < self.confirm_interval:
            return []
        if now - active.appended_at < APPEND_TIMEOUT_S:
            return []
        active.appended_at = now
        record = self._record("slot-confirm", slot, claim=active.share.claim)
        return [AppendRecord(record=record)]

    def _drop_slot(self, slot):
        self.active.pop(slot, None)
        self.pending.pop(slot, None)

    def _is_in_use(self, state, now, neighbours):
        if state is None or state.released:
            return False
        if state.owner.instance == self.owner.instance:
            # An earlier run of this instance need not be waited for here.
            return False
        received_at = max(
            self.listening_since, _newest_message_at(neighbours, state.owner)
        )
        return now - received_at <= self.silence_timeout

    def _has_head_start(self, slot, state, now, neighbours):
        is_free = state is None or state.released
        if is_free and self._has_other_slot(now):
            # Leaves a free slot to a neighbour that has none; it may just be
            # starting.
            return False
        candidates = [neighbour.owner.instance for neighbour in neighbours]
        candidates = sorted({*candidates, self.owner.instance})
        preferred_index = self.slots.index(slot) % len(candidates)
        return candidates[preferred_index] == self.owner.instance

    def _has_other_slot(self, now):
        claimed = self.attempts.claimed_at.values()
        is_claiming = any(now - at < APPEND_TIMEOUT_S for at in claimed)
        return bool(self.active or self.pending or is_claiming)

    def _record(self, record_type, slot, **fields):
        return {
            "type": record_type,
            "slot": slot,
            "instance": self.owner.instance,
            "boot": self.owner.boot,
            **fields,
        }


def _newest_message_at(neighbours, owner):
    times = [n.last_received_at for n in neighbours if n.owner == owner]
    return max(times, default=NEVER)
