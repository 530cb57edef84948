"""Tracks the adapters on an engine, from orders and load reports."""

import enum
import math
from typing import NamedTuple

from skylarkpost.stewardship.report_clock import ReportClock

__all__ = ["HOLDS_COPY", "AdapterState", "Residency", "ResidencyChange"]

MAX_PREVIOUS_BOOTS = 16


class AdapterState(enum.StrEnum):
    """State of one adapter on the engine, as known to the steward."""

    LOADING = "loading"
    RESIDENT = "resident"
    DRAINING = "draining"
    UNLOADING = "unloading"


HOLDS_COPY = (AdapterState.RESIDENT, AdapterState.DRAINING)


class ResidencyChange(NamedTuple):
    """Differences that a load report revealed.

    Attributes
    ----------
    restarted : bool
        Whether the engine has restarted, which invalidates all earlier state.
    gained, lost : tuple of str
        Adapters that appeared or disappeared without a known order.
    failed_loads : tuple of str
        Adapters whose load had an unknown outcome and did not succeed.
    failed_unloads : tuple of str
        Adapters whose unload had an unknown outcome and did not succeed.
    """

    restarted: bool = False
    gained: tuple = ()
    lost: tuple = ()
    failed_loads: tuple = ()
    failed_unloads: tuple = ()


class _Adapter:
    __slots__ = ("changed_at", "idle_at", "pending", "since", "state", "used_at")

    def __init__(self, *, state, now, pending):
        self.state = state
        self.since = now
        self.changed_at = now
        self.idle_at = None
        self.used_at = None
        self.pending = pending


class Residency:
    """State of the adapters in the slots of an engine.

    Parameters
    ----------
    slots : int
        Number of adapter slots, until a report gives it.
    report_lag : float
        Maximum age of a report when the engine returns it, in seconds.

    Attributes
    ----------
    boot : str or None
        Boot id of the engine; None until the first report.
    adapters : dict of str to object
        State by ``ADAPTER@VERSION``.
    report_at : float or None
        Time of receipt of the latest report, in seconds.
    """

    def __init__(self, *, slots, report_lag):
        self.slots = slots
        self.report_lag = report_lag
        self.boot = None
        self.previous_boots = []
        self.adapters = {}
        self.report_at = None
        self.request_count = 0
        self.removed_at = {}
        self.last_taken_at = None
        self._clock = ReportClock(report_lag=report_lag)

    def state(self, lora_name):
        """Return the state of an adapter.

        Parameters
        ----------
        lora_name : str
            The adapter.

        Returns
        -------
        AdapterState or None
            None if it occupies no slot.
        """
        adapter = self.adapters.get(lora_name)
        return None if adapter is None else adapter.state

    def is_usable(self, lora_name):
        """Return whether new requests may be sent to an adapter.

        Parameters
        ----------
        lora_name : str
            The adapter.

        Returns
        -------
        bool
        """
        return self.state(lora_name) is AdapterState.RESIDENT

    def usable(self):
        """Return the adapters to which new requests may be sent.

        Returns
        -------
        list of str
        """
        return [name for name in self.adapters if self.is_usable(name)]

    def free_slots(self):
        """Return the number of free slots.

        Returns
        -------
        int
        """
        return max(0, self.slots - len(self.adapters))

    def count(self, state):
        """Return the number of adapters in a state.

        Parameters
        ----------
        state : AdapterState
            The state.

        Returns
        -------
        int
        """
        return sum(each.state is state for each in self.adapters.values())

    def set_state(self, lora_name, state, *, now, pending=False):
        """Record that an order was issued or has ended.

        Parameters
        ----------
        lora_name : str
            The adapter.
        state : AdapterState or None
            The new state; None if it was removed.
        now : float
            Current time, in seconds.
        pending : bool
            Whether an order is in flight; reports then do not change the state.
        """
        if state is None:
            self.adapters.pop(lora_name, None)
            self.removed_at[lora_name] = now
            return
        adapter = self.adapters.get(lora_name)
        if adapter is None:
            self.adapters[lora_name] = _Adapter(state=state, now=now, pending=pending)
            return
        if state is AdapterState.RESIDENT and adapter.state not in HOLDS_COPY:
            adapter.since = now
        adapter.state = state
        adapter.pending = pending
        adapter.changed_at = now

    def withdraw_load(self, lora_name):
        """Revert a load that was refused or not sent.

        The engine may have accepted another order for the adapter, so the next
        report determines whether it is resident.

        Parameters
        ----------
        lora_name : str
            The adapter.
        """
        self.adapters.pop(lora_name, None)
        self.removed_at.pop(lora_name, None)

    def has_foreign_loads(self):
        """Return whether a load not ordered by this steward is in progress.

        Returns
        -------
        bool
            True from the report that shows the load to the one that shows its
            end.
        """
        return any(
            adapter.state is AdapterState.LOADING and not adapter.pending
            for adapter in self.adapters.values()
        )

    def used_at(self, lora_name):
        """Return a time at which a report shows an adapter in use.

        Parameters
        ----------
        lora_name : str
            The adapter.

        Returns
        -------
        float or None
            Seconds; None if the latest report shows no request on it.
        """
        adapter = self.adapters.get(lora_name)
        return None if adapter is None else adapter.used_at

    def idle_at(self, lora_name):
        """Return the latest time at which an adapter was known to be idle.

        Parameters
        ----------
        lora_name : str
            The adapter.

        Returns
        -------
        float or None
            The latest time for which a report shows no running or waiting
            request; None if the latest report shows that it is in use.
        """
        adapter = self.adapters.get(lora_name)
        return None if adapter is None else adapter.idle_at

    def note_uptime(self, boot, uptime, *, requested_at):
        """Record the uptime of the engine, which dates its reports.

        Parameters
        ----------
        boot : str
            Boot id of the engine.
        uptime : float
            Seconds since its start; current, unlike a report.
        requested_at : float
            Time of the query, in seconds of the local clock.
        """
        if boot == self.boot:
            self._clock.note_uptime(uptime, requested_at=requested_at)

    def apply_report(self, report, *, now):
        """Apply a load report.

        Parameters
        ----------
        report : LoadReport
            The report.
        now : float
            Time of receipt, in seconds.

        Returns
        -------
        ResidencyChange or None
            None if the report is older than one already applied.
        """
        if report.boot in self.previous_boots:
            return None
        restarted = self._note_boot(report.boot)
        if self.last_taken_at is not None and report.taken_at < self.last_taken_at:
            return None
        self.last_taken_at = report.taken_at
        taken = self._clock.taken_no_earlier_than(report.taken_at, received_at=now)
        self.slots = report.slots
        self.report_at = now
        self.request_count = report.running + report.waiting
        gained = self._adopt(report, taken, now)
        lost, failed_loads, failed_unloads = self._reconcile(report, taken)
        for name in report.loading:
            # Ordered by an earlier steward, or assumed lost: it occupies a slot.
            if name not in self.adapters and taken > self.removed_at.get(
                name, -math.inf
            ):
                self.set_state(name, AdapterState.LOADING, now=now)
        self.removed_at = {n: at for n, at in self.removed_at.items() if at >= taken}
        return ResidencyChange(restarted, gained, lost, failed_loads, failed_unloads)

    def _adopt(self, report, taken, now):
        gained = []
        for name, load in report.resident.items():
            if self._is_gained(name, taken):
                self.set_state(name, AdapterState.RESIDENT, now=now)
                gained.append(name)
            if name in self.adapters:
                self._note_use(name, load, taken)
        return tuple(gained)

    def _reconcile(self, report, taken):
        lost, failed_loads, failed_unloads = [], [], []
        for name, adapter in list(self.adapters.items()):
            if adapter.pending or taken <= adapter.changed_at:
                continue
            if name in report.resident:
                if adapter.state is AdapterState.UNLOADING:
                    failed_unloads.append(name)
            elif name not in report.loading:
                del self.adapters[name]
                is_load = adapter.state is AdapterState.LOADING
                (failed_loads if is_load else lost).append(name)
        return tuple(lost), tuple(failed_loads), tuple(failed_unloads)

    def _note_boot(self, boot):
        if boot == self.boot:
            return False
        restarted = self.boot is not None
        if restarted:
            self.previous_boots.append(self.boot)
            del self.previous_boots[:-MAX_PREVIOUS_BOOTS]
        self.boot = boot
        self.adapters = {}
        self.removed_at = {}
        self.last_taken_at = None
        self._clock = ReportClock(report_lag=self.report_lag)
        return restarted

    def _is_gained(self, name, taken):
        adapter = self.adapters.get(name)
        if adapter is None:
            return name not in self.removed_at or taken > self.removed_at[name]
        settled = not adapter.pending and taken > adapter.changed_at
        return adapter.state is AdapterState.LOADING and settled

    def _note_use(self, name, load, taken):
        adapter = self.adapters[name]
        if load.running + load.waiting:
            adapter.used_at = taken
            adapter.idle_at = None
            return
        adapter.used_at = None
        if adapter.idle_at is None or taken > adapter.idle_at:
            adapter.idle_at = taken
