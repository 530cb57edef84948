"""Leases of targets on a log, where the newest record decides.

An instance holds a target from its claim until another instance appends a newer
record. It gives orders only while it knows that no newer claim exists. A new
holder waits until the previous holder's knowledge is too old to give orders.
"""

import math
from typing import NamedTuple

import msgspec

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
    """

    authority: float = 3.0
    order_gap: float = 3.0
    margin: float = 0.5
    silence: float = 1.0
    rank_delay: float = 1.0
    remote_delay: float = 6.0
    settle: float = 1.5


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
    """

    holder: str
    is_released: bool = False
    is_settled: bool = False


class Lease(NamedTuple):
    """The newest lease record of a target.

    Attributes
    ----------
    target : str
        The target.
    holder : str
        Instance that wrote the record.
    number : int
        Offset of the record, used as the fencing number.
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
    try:
        return msgspec.json.decode(payload, type=LeaseRecord)
    except msgspec.DecodeError:
        return None


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
    """

    def __init__(self, *, own, policy):
        self.own = own
        self.policy = policy
        self.leases = {}
        self.orders_from = {}
        self.vacant_since = {}

    def apply(self, target, record, offset, now):
        """Apply a record.

        Parameters
        ----------
        target : str
            The target.
        record : LeaseRecord
            The record.
        offset : int
            Its offset.
        now : float
            Current time, in seconds.
        """
        before = self.leases.get(target)
        lease = Lease(
            target, record.holder, offset, record.is_released, record.is_settled
        )
        self.leases[target] = lease
        self.vacant_since.pop(target, None)
        if lease.holder != self.own or lease.is_released:
            self.orders_from.pop(target, None)
        elif record.is_settled or (before is not None and self._is_own(before)):
            self.orders_from.setdefault(target, now)
        else:
            self.orders_from[target] = now + self._wait_after(before)

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
        if lease is None or not self._is_own(lease):
            return False
        if now - fresh_at > self.policy.authority:
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
            if not lease.is_settled and now >= self.orders_from[lease.target]
        ]

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
        return self.policy.authority + self.policy.order_gap + self.policy.margin

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
