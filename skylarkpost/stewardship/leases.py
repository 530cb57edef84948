"""Leases of targets on a log, where the newest record decides.

An instance holds a target from its claim until another instance appends a newer
record. It gives orders only while it knows that no newer claim exists. A new
holder waits until the previous holder's knowledge is too old to give orders.
"""

import math
from typing import NamedTuple

import msgspec

from skylarkpost.decoding import Malformed, decode_json
from skylarkpost.log.positions import era_of
from skylarkpost.rendezvous import choose_members

__all__ = [
    "Lease",
    "LeaseAuthority",
    "LeasePolicy",
    "LeaseRecord",
    "LeaseTable",
    "decode_lease",
    "encode_lease",
]

# Ranks after which each holder writes its own leases again.
OWN_RESTATEMENT_RANK = 6


class LeasePolicy(NamedTuple):
    """Timing of the leases, in seconds.

    Attributes
    ----------
    authority : float
        How long an instance may give orders after the last time at which it
        knew that no other instance had claimed.
    order_gap : float
        Minimum time between the orders of two holders.
    margin : float
        Allowance for an order in transit.
    silence : float
        How long a holder has to be missing before it is replaced.
    rank_delay : float
        Additional delay per rank of a candidate.
    remote_delay : float
        Additional delay of candidates in other data centres than the target's. A
        network partition between data centres ends within some seconds, and
        during it only instances of the target's data centre can reach it.
    settle : float
        Delay after startup in which messages of the other instances arrive.
    first_claim_wait : float
        How long after the first sight of an era a target without a lease is not
        claimed, since a holder of an earlier era may still give orders: at least
        `takeover_wait`, unless there is no other instance.
    restate_delay : float
        Delay per rank of an instance that writes the leases again after a restore.
    """

    authority: float = 3.0
    order_gap: float = 3.0
    margin: float = 0.5
    silence: float = 1.0
    rank_delay: float = 1.0
    remote_delay: float = 6.0
    settle: float = 1.5
    first_claim_wait: float = 6.5
    restate_delay: float = 0.25

    @property
    def takeover_wait(self):
        """Time after a claim when no earlier holder can give orders, in seconds."""
        return self.authority + self.order_gap + self.margin


class LeaseRecord(msgspec.Struct, omit_defaults=True):
    """A claim or release of one target.

    Attributes
    ----------
    holder : str
        Instance that claims or releases.
    is_released : bool
        Whether the record releases the target.
    is_settled : bool
        Whether no other instance can still give orders under an older lease.
    as_of : int
        Position up to which the writer had read the topic. A record that was appended
        in another era was decided on records that the store has lost.
    """

    holder: str
    is_released: bool = False
    is_settled: bool = False
    as_of: int = 0


class Lease(NamedTuple):
    """The newest lease record of a target.

    Attributes
    ----------
    target : str
        The target.
    holder : str
        Instance that wrote the record.
    number : int
        Position of the record, used as the fencing number.
    is_released : bool
        Whether the target has no holder.
    is_settled : bool
        See `LeaseRecord`.
    """

    target: str
    holder: str
    number: int
    is_released: bool
    is_settled: bool


def encode_lease(record):
    """Encode a lease record.

    Parameters
    ----------
    record : LeaseRecord
        The record.

    Returns
    -------
    bytes
    """
    return msgspec.json.encode(record)


def decode_lease(payload):
    """Decode a lease record; return None if it is malformed.

    Parameters
    ----------
    payload : bytes
        The encoded record.

    Returns
    -------
    LeaseRecord or None
    """
    record = decode_json(payload, LeaseRecord)
    return None if isinstance(record, Malformed) else record


class LeaseTable:
    """Holders of the targets, and when this instance may give orders.

    Parameters
    ----------
    own : str
        This instance.
    policy : LeasePolicy
        Timing.

    Attributes
    ----------
    leases : dict of str to Lease
        Newest leases, by target.
    orders_from : dict of str to float
        Earliest time for orders to each target held here, in seconds.
    era : int
        Era of the newest known records.
    era_seen_at : float
        When this instance first saw that era, in seconds.
    known_at : dict of str to float
        When the unconfirmed leases were last known to be in force, by target.
    """

    def __init__(self, *, own, policy):
        self.own = own
        self.policy = policy
        self.leases = {}
        self.orders_from = {}
        self.vacant_since = {}
        self.era = 0
        self.era_seen_at = -math.inf
        self.known_at = {}

    def note_restore(self, era, known_at, now):
        """Prepare for the records of a new era; all leases become unconfirmed.

        Parameters
        ----------
        era : int
            The new era.
        known_at : float
            When the leases of the era before were last known to be complete.
        now : float
            Current time, in seconds.
        """
        for target in self.leases:
            if self.is_confirmed(target):
                self.known_at[target] = known_at
        self.era = era
        self.era_seen_at = now
        for target in list(self.orders_from):
            # During a wait that was not over, the previous holder may have been
            # confirmed in an era that this instance has not seen.
            is_settled = self.leases[target].is_settled
            if not is_settled or not self._is_continuous(target, now):
                del self.orders_from[target]

    def apply(self, target, record, offset, now):
        """Apply a record.

        Parameters
        ----------
        target : str
            The target.
        record : LeaseRecord
            The record.
        offset : int
            Its position.
        now : float
            Current time, in seconds.

        Returns
        -------
        bool
            False if the record says nothing that is not known.
        """
        before = self.leases.get(target)
        if era_of(record.as_of) != era_of(offset):
            # Written before a restore, or carried out after it.
            return self._apply_unconfirmed(target, record, record.as_of)
        if era_of(offset) != self.era:
            return self._apply_unconfirmed(target, record, offset)
        lease = Lease(
            target, record.holder, offset, record.is_released, record.is_settled
        )
        self.leases[target] = lease
        self.vacant_since.pop(target, None)
        self.known_at.pop(target, None)
        if not self._is_own(lease):
            self.orders_from.pop(target, None)
        elif record.is_settled:
            self.orders_from.setdefault(target, now)
        elif target not in self.orders_from:
            self.orders_from[target] = now + self._wait_after(before)
        return True

    def _apply_unconfirmed(self, target, record, number):
        # It gives no authority, but names the instance to expect as the holder.
        before = self.leases.get(target)
        if before is not None and before.number >= number:
            return False
        lease = Lease(
            target, record.holder, number, record.is_released, record.is_settled
        )
        self.leases[target] = lease
        self.known_at.pop(target, None)
        self.orders_from.pop(target, None)
        return True

    def is_confirmed(self, target):
        """Return whether the lease of a target was written in the present era.

        Parameters
        ----------
        target : str
            The target; it has a lease.

        Returns
        -------
        bool
        """
        return era_of(self.leases[target].number) == self.era

    def is_first(self, target):
        """Return whether a target has had no lease record so far.

        Parameters
        ----------
        target : str
            The target.

        Returns
        -------
        bool
        """
        return target not in self.leases

    def holder(self, target):
        """Return the instance that holds a target.

        Parameters
        ----------
        target : str
            The target.

        Returns
        -------
        str or None
        """
        lease = self.leases.get(target)
        return None if lease is None or lease.is_released else lease.holder

    def held(self):
        """Return the leases of this instance.

        Returns
        -------
        list of Lease
        """
        return [lease for lease in self.leases.values() if self._is_own(lease)]

    def may_order(self, target, fresh_at, now):
        """Return whether this instance may give orders to a target.

        Parameters
        ----------
        target : str
            The target.
        fresh_at : float
            Latest time at which the table is known to be current, in seconds.
        now : float
            Current time, in seconds, including pauses of the process.

        Returns
        -------
        bool
        """
        lease = self.leases.get(target)
        if lease is None or not self._is_own(lease) or not lease.is_settled:
            return False
        if not self.is_confirmed(target) or now - fresh_at > self.policy.authority:
            return False
        return now >= self.orders_from.get(target, math.inf)

    def due_settlements(self, now):
        """Return the targets held here whose wait is over but not yet recorded.

        Parameters
        ----------
        now : float
            Current time, in seconds.

        Returns
        -------
        list of str
            Names of the targets.
        """
        return [
            lease.target
            for lease in self.held()
            if self.is_confirmed(lease.target)
            and not lease.is_settled
            and now >= self.orders_from.get(lease.target, math.inf)
        ]

    def due_restatements(self, targets, live, now):
        """Return the leases that this instance should write again after a restore.

        One instance writes them for all, so that a large fleet needs a single append.
        The others follow by rank, and holders for themselves, if it does not.

        Parameters
        ----------
        targets : container of str
            Names of the announced engines.
        live : collection of str
            The live instances, including this one.
        now : float
            Current time, in seconds.

        Returns
        -------
        list of Lease
        """
        found = [
            lease
            for lease in self.leases.values()
            if not self.is_confirmed(lease.target)
            and not lease.is_released
            and (
                # Holder and target may be cut off from this instance alone.
                self._is_continuous(lease.target, self.era_seen_at)
                or (lease.target in targets and lease.holder in live)
            )
        ]
        if not found:
            return []
        order = choose_members(f"leases/{self.era}", live, len(live))
        rank = order.index(self.own) if self.own in order else len(order)
        waited = now - self.era_seen_at
        if waited < rank * self.policy.restate_delay:
            if waited < OWN_RESTATEMENT_RANK * self.policy.restate_delay:
                return []
            found = [lease for lease in found if lease.holder == self.own]
        return found

    def restatement(self, lease, as_of):
        """Return the record that confirms a lease in the present era.

        Parameters
        ----------
        lease : Lease
            An unconfirmed lease.
        as_of : int
            Position up to which the topic has been read.

        Returns
        -------
        LeaseRecord
            It is settled only if no other instance can have settled a claim that was
            written after this lease and then lost.
        """
        is_settled = lease.is_settled and self._is_continuous(
            lease.target, self.era_seen_at
        )
        return LeaseRecord(lease.holder, is_settled=is_settled, as_of=as_of)

    def due_claims(self, targets, live, now):
        """Return the targets that this instance should claim.

        Parameters
        ----------
        targets : dict of str to str
            Data centres of all engines, by target.
        live : dict of str to str
            Data centres of the live instances, including this one.
        now : float
            Current time, in seconds.

        Returns
        -------
        list of str
        """
        return [
            name
            for name, data_centre in targets.items()
            if self._should_claim(name, data_centre, live, now)
        ]

    def _should_claim(self, target, data_centre, live, now):
        holder = self.holder(target)
        if holder is not None and holder in live:
            self.vacant_since.pop(target, None)
            return False
        is_first = target not in self.leases
        if is_first and now - self.era_seen_at < self.policy.first_claim_wait:
            return False
        since = self.vacant_since.setdefault(target, now)
        local = [name for name, place in live.items() if place == data_centre]
        remote = [name for name in live if name not in local]
        order = [
            *choose_members(target, local, len(local)),
            *choose_members(target, remote, len(remote)),
        ]
        if self.own not in order:
            return False
        delay = order.index(self.own) * self.policy.rank_delay
        if self.own not in local:
            delay += self.policy.remote_delay
        if holder is not None:
            delay += self.policy.silence
        return now - since >= delay

    def _wait_after(self, before):
        if before is not None and before.is_released:
            return self.policy.order_gap + self.policy.margin
        return self.policy.takeover_wait

    def _is_continuous(self, target, now):
        """Return whether nobody else can have given orders until a time.

        A claim that this instance has not seen was written after it last knew the
        lease, and could be settled only after the wait of any new holder.
        """
        known_at = self.known_at.get(target, -math.inf)
        return now - known_at < self.policy.takeover_wait

    def _is_own(self, lease):
        return lease.holder == self.own and not lease.is_released


class LeaseAuthority:
    """Authority of a steward to give orders to its target.

    Parameters
    ----------
    table : LeaseTable
        Leases of the targets.
    target : str
        The target.
    fresh_at : callable
        Returns the latest time at which the table is known to be current.
    """

    gained_at = -math.inf

    def __init__(self, *, table, target, fresh_at):
        self.table = table
        self.target = target
        self.fresh_at = fresh_at

    def is_valid(self, now):
        """Return whether orders may be given.

        Parameters
        ----------
        now : float
            Current time, in seconds.

        Returns
        -------
        bool
        """
        return self.table.may_order(self.target, self.fresh_at(), now)
