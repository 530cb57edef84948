"""Client for an engine that counts accepted orders; sends them one by one."""

import asyncio
import contextlib
import logging
import math

from skylarkpost.eventlog import log_event
from skylarkpost.targets.outcomes import (
    OrderDone,
    OrderFailed,
    OrderNotGiven,
    OrderRefused,
    OrderUnknown,
    TargetUnavailable,
)
from skylarkpost.targets.reports import LoadReport, ResidentLoad, TargetHealth
from skylarkpost.targets.state import EngineOrder, EngineState, OrderVerdict
from skylarkpost.transport import CallChannel

__all__ = ["SequencedEngineClient"]

logger = logging.getLogger(__name__)

# Orders are answered within milliseconds. An unanswered order is retried: both
# transmissions carry the same count, so the engine accepts only one of them.
ORDER_TIMEOUTS_S = (0.12, 0.25, 0.5)
REPORT_TIMEOUT_S = 0.8
# A load from the weight store takes a quarter of a second and a few steps.
# Delay before its first poll, then between polls.
LOAD_POLL_DELAY_S = 0.255
POLL_INTERVAL_S = 0.015
# A copy cached by the engine loads ten times as fast.
CACHED_LOAD_POLL_DELAY_S = 0.025
# A base model takes a second or more to load and is reported as busy meanwhile.
MODEL_LOAD_RETRY_S = 1.0
# A report is some hundred milliseconds old. One requested this long after an
# order shows whether the order was accepted.
REPORT_SETTLE_S = 0.4
# Delay before an order that was not accepted may be retried.
NOT_ACCEPTED_DELAY_S = 0.1
# Adapter copies that an engine caches in addition to its slots.
MAX_CACHED_COPIES = 48


class SequencedEngineClient:
    """Client that a steward uses for one engine that counts accepted orders.

    It offers the methods of `EngineClient` that a steward needs. Each order
    carries the number of orders that the engine has accepted before, so that a
    delayed order cannot be executed after a newer one.

    Parameters
    ----------
    entry : skylarkpost.discovery.TargetEntry
        Announcement of the engine.
    model : skylarkpost.routing.AdapterModel
        Base model that the engine serves.
    limits : skylarkpost.routing.EngineLimits
        Capacity limits of the engine.
    instance : str
        This instance, the sender of the orders.
    call : callable
        Coroutine function of the engine's entry, an HTTP method and path, a
        body, a timeout and the `CallChannel` of a report, or of an order and its polls;
        returns a `CallResponse` or `CallIncomplete`.
    codec : object
        Codec with the interface of `skylarkpost.platform.EngineCodec`.
    clock : callable
        Returns the present time in seconds.
    may_order : callable
        Returns whether this instance may send orders now.

    Attributes
    ----------
    entry : TargetEntry
        Newest announcement of this run.
    orders_accepted : int or None
        Count as known here; None until a report provides it. Meanwhile no
        order is sent, since the report also shows which adapters are loaded.
    unsettled_count : int
        Orders in flight that this instance does not know of, from an earlier
        holder or abandoned here, carry at most this count.
    last_sent_count : int
        Count that the last order carried.
    """

    def __init__(
        self, *, entry, model, limits, instance, call, codec, clock, may_order
    ):
        self.entry = entry
        self.model = model
        self.limits = limits
        self.instance = instance
        self.call = call
        self.codec = codec
        self.clock = clock
        self.may_order = may_order
        self.orders_accepted = None
        self.unsettled_count = -1
        self.last_sent_count = -1
        self.cached_copies = {}
        self.fencing_number = 0
        self.model_ordered_at = None
        self.last_order_at = -math.inf
        self._lock = asyncio.Lock()

    def follow_entry(self, entry):
        """Use a newer announcement of the engine.

        A run of the engine counts its orders anew, so nothing known of the one before
        holds for it.

        Parameters
        ----------
        entry : skylarkpost.discovery.TargetEntry
            The announcement.
        """
        if entry.boot != self.entry.boot:
            self.orders_accepted = None
            self.unsettled_count = self.last_sent_count = -1
            self.model_ordered_at = None
        self.entry = entry

    async def load_report(self, address):
        """Query the load; orders a load of the base model if it is missing.

        Parameters
        ----------
        address : str
            Ignored; the address of `entry` is used.

        Returns
        -------
        LoadReport or TargetUnavailable
        """
        boot = self.entry.boot
        requested_at = self.clock()
        last_order_at = self.last_order_at
        state = await self._read_state()
        if not isinstance(state, EngineState):
            return TargetUnavailable(detail=str(state))
        if boot != self.entry.boot:
            return TargetUnavailable(detail="the engine has restarted meanwhile")
        is_idle = self.last_order_at == last_order_at
        if is_idle and requested_at >= last_order_at + REPORT_SETTLE_S:
            # Count and loaded adapters are a consistent snapshot: an order
            # executed late either shows in both or changes the count afterwards.
            self._set_count(state.orders_accepted)
        held = next((m for m in state.models if m.name == self.model.name), None)
        if held is None:
            await self._load_model(state)
            return TargetUnavailable(detail="the base model is not loaded")
        now = self.clock()
        resident = {
            f"{name}@{version}": ResidentLoad(0, 0)
            for name, version in held.adapters.items()
        }
        return LoadReport(
            boot=boot,
            taken_at=requested_at,
            requested_at=requested_at,
            answered_at=now,
            slots=self.limits.adapter_slots,
            resident=resident,
            loading=state.pending.get(self.model.name, ()),
            running=state.running,
            waiting=state.waiting,
            batch_limit=self.limits.batch,
            prompt_cache_hits=0,
            prompt_cache_tokens=0,
        )

    async def health(self, address):
        """Return a health answer without uptime, which the engine does not report.

        Parameters
        ----------
        address : str
            Ignored.

        Returns
        -------
        TargetHealth
        """
        now = self.clock()
        return TargetHealth(self.entry.boot, None, now, now)

    async def load(
        self, address, *, weight_name, version, fencing_number, boot, timeout
    ):
        """Load an adapter and wait until it is loaded.

        Parameters
        ----------
        address : str
            Ignored; the address of `entry` is used.
        weight_name, version : str
            Adapter and version.
        fencing_number : int
            Fencing number of the steward.
        boot : str
            Boot id of the engine run that may accept the order.
        timeout : float
            Timeout, in seconds.

        Returns
        -------
        OrderDone, OrderRefused, OrderFailed or OrderUnknown
        """
        self.raise_fencing_number(fencing_number)
        if boot != self.entry.boot:
            return OrderRefused(code="wrong-boot")
        deadline = self.clock() + timeout
        with contextlib.closing(CallChannel()) as channel:
            return await self._load(weight_name, int(version), boot, deadline, channel)

    async def _load(self, weight_name, version, boot, deadline, channel):
        was_cached = weight_name in self.cached_copies
        verdict = await self._order_or_wait(True, weight_name, version, boot, channel)
        poll_delay = CACHED_LOAD_POLL_DELAY_S if was_cached else LOAD_POLL_DELAY_S
        while verdict is OrderVerdict.STARTED:
            if self.clock() + poll_delay > deadline:
                return OrderUnknown(detail="the load takes too long")
            await asyncio.sleep(poll_delay)
            poll_delay = POLL_INTERVAL_S
            # Repeating the order polls whether it has been executed.
            verdict = await self._order(
                True, weight_name, version, boot, channel, is_poll=True
            )
            if verdict in (OrderVerdict.CONFLICT, OrderVerdict.REFUSED):
                return OrderUnknown(detail="the load cannot be followed")
        if verdict is OrderVerdict.HOLDS:
            self._note_cached(weight_name)
        return self._outcome(verdict)

    async def unload(self, address, *, lora_name, fencing_number, boot, timeout):
        """Unload an adapter.

        Parameters
        ----------
        address : str
            Ignored; the address of `entry` is used.
        lora_name : str
            ``ADAPTER@VERSION``.
        fencing_number : int
            Fencing number of the steward.
        boot : str
            Boot id of the engine run that may accept the order.
        timeout : float
            Timeout, in seconds.

        Returns
        -------
        OrderDone, OrderRefused, OrderFailed or OrderUnknown
        """
        self.raise_fencing_number(fencing_number)
        if boot != self.entry.boot:
            return OrderRefused(code="wrong-boot")
        adapter = lora_name.rpartition("@")[0]
        deadline = self.clock() + timeout
        with contextlib.closing(CallChannel()) as channel:
            return await self._unload(adapter, boot, deadline, channel)

    async def _unload(self, adapter, boot, deadline, channel):
        verdict = await self._order_or_wait(False, adapter, None, boot, channel)
        while verdict is OrderVerdict.STARTED and self.clock() < deadline:
            await asyncio.sleep(POLL_INTERVAL_S)
            verdict = await self._order(
                False, adapter, None, boot, channel, is_poll=True
            )
            if verdict in (OrderVerdict.CONFLICT, OrderVerdict.REFUSED):
                return OrderUnknown(detail="the unload cannot be followed")
        if verdict is OrderVerdict.STARTED:
            return OrderUnknown(detail="runs on the adapter have not ended")
        return self._outcome(verdict)

    def needs_report(self, now):
        """Return whether a report is needed and would reflect the last order.

        Parameters
        ----------
        now : float
            The present time, in seconds.

        Returns
        -------
        bool
        """
        is_settled = now >= self.last_order_at + REPORT_SETTLE_S
        return self.orders_accepted is None and is_settled

    def raise_fencing_number(self, fencing_number):
        """Use a fencing number in later orders, unless it is lower than the last one.

        Parameters
        ----------
        fencing_number : int
            The number; that of a command may be older than the lease's.
        """
        self.fencing_number = max(self.fencing_number, fencing_number)

    def _set_count(self, count):
        if self.orders_accepted is None:
            self.unsettled_count = max(
                self.unsettled_count, self.last_sent_count, count
            )
        self.orders_accepted = count

    def _outcome(self, verdict):
        if verdict is OrderVerdict.HOLDS:
            return OrderDone(boot=self.entry.boot)
        if verdict is OrderVerdict.FENCED:
            return OrderRefused(code="stale-fencing-number")
        if verdict is OrderVerdict.INVALID:
            return OrderFailed(code=verdict.value)
        if verdict is OrderVerdict.UNKNOWN:
            return OrderUnknown(detail="no answer")
        return OrderNotGiven(code=verdict.value)

    async def _order_or_wait(self, is_load, adapter, version, boot, channel):
        verdict = await self._order(is_load, adapter, version, boot, channel)
        is_accepted = verdict in (OrderVerdict.STARTED, OrderVerdict.HOLDS)
        if not is_accepted and verdict is not OrderVerdict.UNKNOWN:
            # The cause of the rejection does not clear at once.
            await asyncio.sleep(NOT_ACCEPTED_DELAY_S)
        return verdict

    async def _order(self, is_load, adapter, version, boot, channel, *, is_poll=False):
        async with self._lock:
            if self.orders_accepted is None or not self._may_send(boot):
                return OrderVerdict.REFUSED
            order = EngineOrder(
                is_load=is_load,
                model=self.model.name,
                adapter=adapter,
                version=version,
                holder=self.instance,
                fencing_number=self.fencing_number,
                orders_accepted=self.orders_accepted,
            )
            return await self._send_with_retries(order, boot, channel, is_poll)

    def _may_send(self, boot):
        return boot == self.entry.boot and self.may_order()

    async def _send_with_retries(self, order, boot, channel, is_poll):
        is_in_doubt = False
        for timeout in ORDER_TIMEOUTS_S:
            verdict = await self._send(order, channel, timeout)
            is_settled = order.orders_accepted > self.unsettled_count
            is_settled = is_settled and boot == self.entry.boot
            if verdict is OrderVerdict.CONFLICT and is_in_doubt and is_settled:
                # The unanswered transmission was accepted; poll it with the
                # next count.
                confirmation = order._replace(orders_accepted=order.orders_accepted + 1)
                verdict = await self._send(confirmation, channel, timeout)
                if boot != self.entry.boot:
                    return verdict
                if verdict in (OrderVerdict.STARTED, OrderVerdict.HOLDS):
                    # It is unknown whether the engine counts the unload of an
                    # adapter that is no longer loaded.
                    new_count = confirmation.orders_accepted if order.is_load else None
                    self.orders_accepted = new_count
                    return verdict
            if verdict is not OrderVerdict.UNKNOWN or not self._may_send(boot):
                break
            is_in_doubt = True
        if boot == self.entry.boot:
            self._update_count(order, verdict, is_poll)
        return verdict

    async def _send(self, order, channel, timeout):
        self.last_order_at = self.clock()
        self.last_sent_count = order.orders_accepted
        method, path = self.codec.order_request
        body = self.codec.encode_order(order)
        answer = await self.call(
            self.entry, method, path, body, timeout, channel=channel
        )
        status = getattr(answer, "status", None)
        if status is None:
            verdict = OrderVerdict.UNKNOWN if answer.was_sent else OrderVerdict.REFUSED
            detail = answer.detail
        else:
            verdict, detail = self.codec.decode_order_reply(status, answer.body)
        log_event(
            logger,
            "order-answered",
            target=self.entry.name,
            boot=self.entry.boot,
            load=order.is_load,
            model=order.model,
            adapter=order.adapter,
            version=order.version,
            count=order.orders_accepted,
            fencing_number=order.fencing_number,
            status=status,
            verdict=verdict,
            detail=detail,
        )
        return verdict

    def _update_count(self, order, verdict, is_poll):
        if verdict in (OrderVerdict.CONFLICT, OrderVerdict.UNKNOWN):
            self.orders_accepted = None
        elif is_poll:
            # A poll repeats an order that is already counted.
            return
        elif verdict is OrderVerdict.STARTED:
            self.orders_accepted += 1
        elif verdict is OrderVerdict.HOLDS and not order.is_load:
            # The unload of an idle adapter completes immediately.
            self.orders_accepted += 1

    async def _read_state(self):
        method, path = self.codec.report_request
        # On a connection of its own it can't be a second copy of an older report.
        with contextlib.closing(CallChannel()) as channel:
            answer = await self.call(
                self.entry, method, path, b"", REPORT_TIMEOUT_S, channel=channel
            )
        status = getattr(answer, "status", None)
        if status != 200:
            return f"no report: {answer}"
        return self.codec.decode_report(answer.body)

    async def _load_model(self, state):
        now = self.clock()
        last_ordered_at = self.model_ordered_at
        if state.is_busy or not self.may_order():
            return
        if last_ordered_at is not None and now - last_ordered_at < MODEL_LOAD_RETRY_S:
            return
        self.model_ordered_at = now
        with contextlib.closing(CallChannel()) as channel:
            await self._order(True, None, None, self.entry.boot, channel)

    def _note_cached(self, adapter):
        self.cached_copies.pop(adapter, None)
        self.cached_copies[adapter] = None
        if len(self.cached_copies) > MAX_CACHED_COPIES:
            del self.cached_copies[next(iter(self.cached_copies))]
