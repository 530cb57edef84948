"""Leases of targets on a store that judges by the order of its records.

An instance holds a target from its claim until a newer record of another one.
It gives orders only while it knows that there is no newer claim; a new holder
waits until the one before can know it no longer.
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
    """Times of the leases, in seconds.

    Attributes
    ----------
    authority : float
        An instance gives orders for so long after the moment for which it
        knew that nobody else had claimed.
    order_gap : float
        Least time between the orders of two holders.
    margin : float
        For an order on its way.
    silence : float
        A holder is replaced when it has been missing for so long.
    rank_delay : float
        Each next candidate waits so much longer.
    remote_delay : float
        Candidates of other data centres wait so much longer than those of the
        target's own: a cut between data centres ends within some seconds, and
        behind it only the target's own can reach it.
    settle : float
        Time after the start in which the other instances are heard.
    """

    authority: float = 3.0
    order_gap: float = 3.0
    margin: float = 0.5
    silence: float = 1.0
    rank_delay: float = 1.0
    remote_delay: float = 6.0
    settle: float = 1.5


class LeaseRecord(msgspec.Struct, omit_defaults=True):
    """One record about one target.

    Attributes
    ----------
    holder : str
        Instance that claims or releases.
    is_released : bool
        Whether it gives the target up.
    is_settled : bool
        Whether no other instance can have given an order since.
    """

    holder: str
    is_released: bool = False
    is_settled: bool = False


class Lease(NamedTuple):
    """The newest record about one target.

    Attributes
    ----------
    target : str
        The target.
    holder : str
        Instance that wrote the record.
    number : int
        Its offset; the fencing number.
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
    """Return a record's bytes.

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
    """Return a record, or None if the bytes make no sense.

    Parameters
    ----------
    payload : bytes
        Of the record.

    Returns
    -------
    LeaseRecord or None
    """
    try:
        return msgspec.json.decode(payload, type=LeaseRecord)
    except msgspec.DecodeError:
        return None


class LeaseTable:
    """Who holds which target, and from when this instance may give orders.

    Parameters
    ----------
    own : str
        This instance.
    policy : LeasePolicy
        Times.

    Attributes
    ----------
    leases : dict of str to Lease
        By target.
    orders_from : dict of str to float
        For the targets held here, in seconds.
    """

    def __init__(self, *, own, policy):
        self.own = own
        self.policy = policy
        self.leases = {}
        self.orders_from = {}
        self.vacant_since = {}

    def apply(self, target, record, offset, now):
        """Take in a record.

        Parameters
        ----------
        target : str
            The target.
        record : LeaseRecord
            The record.
        offset : int
            Its offset.
        now : float
            The present time, in seconds.
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
        """Return whether nobody has held a target so far.

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
            Moment for which it is known that there is no newer record.
        now : float
            The present time, in seconds; counts pauses of the process.

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
        """Return the own leases whose wait is over but not on record.

        Parameters
        ----------
        now : float
            The present time, in seconds.

        Returns
        -------
        list of str
            Targets.
        """
        return [
            lease.target
            for lease in self.held()
            if not lease.is_settled and now >= self.orders_from[lease.target]
        ]

    def due_claims(self, targets, live, now):
        """Return the targets that this instance ought to claim.

        Parameters
        ----------
        targets : dict of str to str
            Data centres of all engines, by target.
        live : dict of str to str
            Data centres of the instances that are heard, this one included.
        now : float
            The present time, in seconds.

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
    """Whether a steward may give orders to its target.

    Parameters
    ----------
    table : LeaseTable
        Leases.
    target : str
        The target.
    fresh_at : callable
        Returns the moment for which the table is known to be the newest.
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
            The present time, in seconds.

        Returns
        -------
        bool
        """
        return self.table.may_order(self.target, self.fresh_at(), now)
