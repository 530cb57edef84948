"""Team limits of all instances in a replay, on the code of `skylarkpost.limits`."""

import functools

from lab.statelog import StateLog
from skylarkpost.limits import (
    AppendRecord,
    DrawGranted,
    DrawRefused,
    Neighbour,
    PoolHolder,
    ShareExchange,
    ShareLender,
    SlotManager,
    SlotOwner,
    SlotTable,
    TeamLimit,
)

__all__ = ["WEIGHT_STORE", "InstanceLimits", "Limits"]

WEIGHT_STORE = "weight-store"
WEIGHT_STORE_RATE = 3.0
WEIGHT_STORE_BURST = 8.0
LEASE_S = 4.0
AUTHORITY_S = 2.0
RETENTION_S = 86400.0
TICK_S = 0.25
REQUEST_INTERVAL_S = 1.0
CALL_TIMEOUT_S = 0.25
RETRY_LIMIT_S = 1.0


class InstanceLimits:
    """Limit state of one run of one instance.

    Parameters
    ----------
    instance : lab.deployments.Instance
        The instance.
    boot : str
        Boot id of the run.
    slots : list of str
        Share slots of its data centre.
    total_slots : int
        Share slots of the fleet.
    limits : dict of str to TeamLimit
        Limits by team, including the weight store.
    now : float
        Current time, in seconds.
    """

    def __init__(self, *, instance, boot, slots, total_slots, limits, now):
        self.instance = instance
        self.owner = SlotOwner(instance.name, boot)
        self.table = SlotTable(retention=RETENTION_S)
        self.next_offset = 0
        self.slot_manager = SlotManager(
            owner=self.owner,
            slots=slots,
            table=self.table,
            authority=AUTHORITY_S,
            lease=LEASE_S,
            retention=RETENTION_S,
            now=now,
        )
        prefix = f"{instance.name}/{boot}"
        lender = ShareLender(owner=prefix, total_slots=total_slots, lease=LEASE_S)
        for team, limit in limits.items():
            lender.set_team(team, limit, now=now)
        self.exchange = ShareExchange(
            owner=self.owner,
            slot_manager=self.slot_manager,
            lender=lender,
            pools=PoolHolder(holder=prefix, lease=LEASE_S),
        )


class Limits:
    """Limit state of all instances, and the messages between them.

    Parameters
    ----------
    replay : lab.replay.Replay
        Delivers the messages.
    view : lab.membership.View
        Membership as seen by each instance.
    """

    def __init__(self, *, replay, view):
        self.replay = replay
        self.view = view
        self.log = StateLog(replay=replay)
        self.running = {}
        self.boots = 0
        self.limits = {
            team.name: TeamLimit(team.rate, team.burst)
            for team in replay.deployment.teams
        }
        self.limits[WEIGHT_STORE] = TeamLimit(WEIGHT_STORE_RATE, WEIGHT_STORE_BURST)
        self.slots = [
            (f"slot-{number}", instance.data_centre)
            for number, instance in enumerate(replay.deployment.instances)
        ]

    def start(self, instance):
        """Start the limit state of one instance.

        Parameters
        ----------
        instance : lab.deployments.Instance
            The instance.
        """
        self.boots += 1
        cores = InstanceLimits(
            instance=instance,
            boot=f"boot-{self.boots}",
            slots=[
                name
                for name, slot_data_centre in self.slots
                if slot_data_centre == instance.data_centre
            ],
            total_slots=len(self.slots),
            limits=self.limits,
            now=self.replay.now,
        )
        self.running[instance.name] = cores
        self.replay.scheduler.call_later(0.0, self._tick, cores)
        self.replay.scheduler.call_later(
            REQUEST_INTERVAL_S * self.boots / 10, self._request_shares, cores
        )

    def remove_instance(self, instance):
        """Drop the state of a failed instance."""
        del self.running[instance.name]

    def is_running(self, cores):
        """Return whether this run of an instance is still active."""
        return self.running.get(cores.instance.name) is cores

    def draw(self, instance, team, tokens, done, *, first_attempt_at=None):
        """Charge a team at its pool holder, or locally if that gives no decision.

        Parameters
        ----------
        instance : lab.deployments.Instance
            Instance that received the request.
        team : str
            Team to charge.
        tokens : float
            Tokens to charge.
        done : callable
            Called with ``(holder, receipt)`` or ``(None, reason)``.
        first_attempt_at : float or None
            Time of the first attempt, in seconds.
        """
        cores = self.running.get(instance.name)
        if cores is None:
            return
        first_attempt_at = (
            self.replay.now if first_attempt_at is None else first_attempt_at
        )
        members = self.view.members(instance)
        holder = cores.exchange.holder_of(team, members)
        if holder == instance.name:
            answer = cores.exchange.draw_pooled(team, tokens, now=self.replay.now)
            self._handle_draw_answer(
                cores, team, tokens, done, first_attempt_at, holder, answer
            )
            return
        call = _Call(self.replay, instance, self.view.instance(holder))
        call.run(
            functools.partial(self._serve_draw, holder, team, tokens),
            functools.partial(
                self._handle_draw_answer,
                cores,
                team,
                tokens,
                done,
                first_attempt_at,
                holder,
            ),
        )

    def refund(self, instance, holder, team, receipt, tokens):
        """Refund the unused tokens of a request.

        Parameters
        ----------
        instance : lab.deployments.Instance
            Instance that received the request.
        holder : str
            Instance that made the charge.
        team : str
            Team that was charged.
        receipt : skylarkpost.limits.Receipt
            Receipt of the charge.
        tokens : float
            Tokens to refund.
        """
        holder_data_centre = self.view.instance(holder).data_centre
        self.replay.send(
            instance.data_centre,
            holder_data_centre,
            self._refund,
            holder,
            team,
            receipt,
            tokens,
        )

    def _refund(self, holder, team, receipt, tokens):
        cores = self.running.get(holder)
        if cores is not None:
            cores.exchange.refund(team, receipt, tokens, now=self.replay.now)

    def _serve_draw(self, holder, team, tokens):
        cores = self.running.get(holder)
        if cores is None:
            return _NO_ANSWER
        return cores.exchange.draw_pooled(team, tokens, now=self.replay.now)

    def _handle_draw_answer(
        self, cores, team, tokens, done, first_attempt_at, holder, answer
    ):
        if not self.is_running(cores):
            return
        if isinstance(answer, DrawGranted):
            done(holder, answer.receipt)
            return
        if isinstance(answer, DrawRefused):
            done(None, "over-rate")
            return
        now = self.replay.now
        receipt = cores.exchange.draw_local(team, tokens, now=now)
        if receipt is not None:
            done(cores.instance.name, receipt)
        elif now - first_attempt_at < RETRY_LIMIT_S:
            retry = functools.partial(
                self.draw,
                cores.instance,
                team,
                tokens,
                done,
                first_attempt_at=first_attempt_at,
            )
            self.replay.scheduler.call_later(CALL_TIMEOUT_S, retry)
        else:
            done(None, "limit-unreachable")

    def _tick(self, cores):
        if not self.is_running(cores):
            return
        now = self.replay.now
        if self.replay.platform_reachable(cores.instance.data_centre):
            self._read_log(cores, now)
        neighbours = [
            Neighbour(self.running[name].owner, now)
            for name in self.view.neighbours(cores.instance)
            if name in self.running
        ]
        commands = cores.slot_manager.tick(now, log_time=now, neighbours=neighbours)
        for command in commands:
            self._carry_out(cores, command)
        self.replay.scheduler.call_later(TICK_S, self._tick, cores)

    def _read_log(self, cores, now):
        for record in self.log.records[cores.next_offset :]:
            cores.table.apply(record.data, record.offset, record.time)
        cores.next_offset = len(self.log.records)
        cores.table.note_caught_up()
        cores.slot_manager.note_log_read(now, now)

    def _carry_out(self, cores, command):
        local_data_centre = cores.instance.data_centre
        if isinstance(command, AppendRecord):
            self.log.append(command.record, data_centre=local_data_centre)
            return
        owner = command.owner
        other = self.running.get(owner.instance) if owner else None
        if other is not None and other.owner == owner:
            other.slot_manager.yield_slot(command.slot, command.claim)
            cores.slot_manager.note_yielded(command.slot, owner, self.replay.now)

    def _request_shares(self, cores):
        if not self.is_running(cores):
            return
        members = self.view.members(cores.instance)
        for lender in members:
            request = cores.exchange.build_request(lender, members)
            if request is not None:
                self._send_request(cores, lender, request)
            returns = cores.exchange.collect_returns(
                lender, members, now=self.replay.now
            )
            self._send_returns(cores, lender, returns)
        self.replay.scheduler.call_later(
            REQUEST_INTERVAL_S, self._request_shares, cores
        )

    def _send_request(self, cores, lender, request):
        requested_at = self.replay.now
        call = _Call(self.replay, cores.instance, self.view.instance(lender))
        call.run(
            functools.partial(self._serve_request, lender, request),
            functools.partial(self._handle_answer, cores, lender, requested_at),
        )

    def _serve_request(self, lender, request):
        cores = self.running.get(lender)
        if cores is None:
            return _NO_ANSWER
        members = self.view.members(cores.instance)
        return cores.exchange.answer(request, members, now=self.replay.now)

    def _handle_answer(self, cores, lender, requested_at, answer):
        if not self.is_running(cores) or answer is _NO_ANSWER:
            return
        returns = cores.exchange.handle_answer(
            lender, answer, requested_at=requested_at, now=self.replay.now
        )
        self._send_returns(cores, lender, returns)

    def _send_returns(self, cores, lender, returns):
        local_data_centre = cores.instance.data_centre
        lender_data_centre = self.view.instance(lender).data_centre
        for message in returns:
            self.replay.send(
                local_data_centre,
                lender_data_centre,
                self._handle_return,
                lender,
                message,
            )

    def _handle_return(self, lender, message):
        cores = self.running.get(lender)
        if cores is not None:
            cores.exchange.handle_return(message, now=self.replay.now)


_NO_ANSWER = object()


class _Call:
    """One remote call between two instances, with a timeout."""

    def __init__(self, replay, caller, callee):
        self.replay = replay
        self.caller = caller
        self.callee = callee
        self.ended = False

    def run(self, serve, on_answer):
        """Call `serve` there, then `on_answer` here with its answer or `_NO_ANSWER`."""
        self.on_answer = on_answer
        self.replay.scheduler.call_later(CALL_TIMEOUT_S, self._end, _NO_ANSWER)
        caller_data_centre, callee_data_centre = (
            self.caller.data_centre,
            self.callee.data_centre,
        )
        self.replay.send(caller_data_centre, callee_data_centre, self._serve, serve)

    def _serve(self, serve):
        answer = serve()
        if answer is not _NO_ANSWER:
            caller_data_centre, callee_data_centre = (
                self.caller.data_centre,
                self.callee.data_centre,
            )
            self.replay.send(callee_data_centre, caller_data_centre, self._end, answer)

    def _end(self, answer):
        if not self.ended:
            self.ended = True
            self.on_answer(answer)
