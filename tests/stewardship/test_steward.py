import pytest

from skylarkpost.gateway.stewardship import POLICY
from skylarkpost.outcomes import Reason
from skylarkpost.stewardship import (
    Authority,
    FenceTarget,
    GrantTicket,
    LoadAdapter,
    Permissions,
    RefuseTicket,
    RequestLoadPermit,
    StewardPolicy,
    TargetSteward,
    TicketRequest,
    UnloadAdapter,
)
from tests.stewardship.fakes import FakeEngine, FakeTarget


class Bench:
    """A steward and a fake engine that execute all commands immediately."""

    def __init__(self, *, target=FakeTarget(), failing=(), **options):  # noqa: B008
        self.engine = FakeEngine(target, report_lag=0.0)
        self.failing = set(failing)
        self.steward = TargetSteward(
            target=target, fencing_number=7, instance="i-1", now=0.0, **options
        )
        self.granted, self.refused, self.orders = {}, {}, []
        self.report(0.0)

    def execute(self, commands, now):
        pending = list(commands)
        while pending:
            command = pending.pop(0)
            pending += self.execute_one(command, now)

    def execute_one(self, command, now):
        steward = self.steward
        self.orders.append(command)
        if isinstance(command, GrantTicket):
            self.granted[command.ticket_id] = command
            assert command.lora_name in self.engine.resident
        elif isinstance(command, RefuseTicket):
            self.refused[command.ticket_id] = command
        elif isinstance(command, RequestLoadPermit):
            return steward.permit_granted(now)
        elif isinstance(command, LoadAdapter):
            done = command.lora_name not in self.failing
            done = done and self.engine.load(command.lora_name, command.boot, 7)
            return steward.order_ended(command, now, succeeded=done)
        elif isinstance(command, UnloadAdapter):
            done = self.engine.unload(command.lora_name, command.boot, 7)
            return steward.order_ended(command, now, succeeded=done)
        elif isinstance(command, FenceTarget):
            seen = self.engine.admits(command.boot, command.fencing_number)
            return steward.fence_ended(command, now, succeeded=seen)
        return []

    def report(self, now):
        self.engine.reports = []
        self.execute(self.steward.report(self.engine.report(now), now), now)

    def submit(self, ticket_id, lora_name, now, **changes):
        values = {"team": "t", "weight": 1.0, "urgency": 5, "tokens": 100}
        values |= {"holder": "i-1", "deadline": now + 60.0} | changes
        request = TicketRequest(ticket_id=ticket_id, lora_name=lora_name, **values)
        self.execute(self.steward.request(request, now), now)

    def release(self, ticket_id, now, **options):
        self.execute(self.steward.return_ticket(ticket_id, now, **options), now)

    def tick(self, now):
        self.execute(self.steward.tick(now), now)


def test_requests_wait_for_their_adapter_and_versions_are_distinct_adapters():
    bench = Bench()
    bench.submit("r1", "a@1", 1.0)
    bench.submit("r2", "a@2", 1.0)
    assert bench.granted["r1"].lora_name == "a@1"
    assert bench.granted["r2"].lora_name == "a@2"
    assert bench.engine.resident == {"a@1", "a@2"}


def test_adapter_with_live_ticket_is_evicted_only_after_the_last_return():
    bench = Bench()
    bench.submit("r1", "a@1", 1.0)
    bench.submit("r2", "b@1", 1.0)
    bench.submit("r3", "c@1", 1.0)
    assert "r3" not in bench.granted
    for step in range(10):
        bench.report(1.0 + step)
        bench.execute(bench.steward.renew([_held(bench, "r1")], 1.0 + step), 0.0)
        bench.steward.ledger.renew("r2", 1.0 + step)
    assert "r3" not in bench.granted
    bench.release("r2", 11.0)
    bench.report(11.2)
    assert bench.granted["r3"].lora_name == "c@1"
    assert bench.engine.resident == {"a@1", "c@1"}


def _held(bench, ticket_id):
    bench.steward.ledger.renew(ticket_id, 0.0)
    return (bench.steward.ledger.tickets[ticket_id], "another boot")


def test_expired_ticket_prevents_eviction_until_a_later_report():
    bench = Bench(target=FakeTarget(slots=1))
    bench.submit("r1", "a@1", 1.0)
    bench.engine.run("r1", "a@1", bench.engine.boot, 7)
    bench.submit("r2", "b@1", 1.5)
    for second in range(2, 30):
        bench.report(float(second))
    assert bench.engine.resident == {"a@1"}
    old_report = bench.engine.report(29.0)
    bench.engine.end("r1")
    bench.execute(bench.steward.report(old_report, 30.0), 30.0)
    assert bench.engine.resident == {"a@1"}
    bench.report(31.5)
    bench.report(33.0)
    assert bench.granted["r2"].lora_name == "b@1"
    assert bench.engine.evicted_in_use == 0


def test_report_delayed_in_transit_does_not_allow_eviction():
    bench = Bench(target=FakeTarget(slots=1))
    bench.submit("r1", "a@1", 1.0)
    bench.report(2.0)
    bench.submit("r2", "b@1", 3.0)
    held_up = bench.engine.report(12.9)
    bench.tick(13.1)
    assert not bench.steward.ledger.tickets
    bench.execute(bench.steward.report(held_up, 14.5), 14.5)
    assert bench.engine.resident == {"a@1"}
    bench.report(14.6)
    assert bench.engine.resident == {"b@1"}


def test_uncertain_end_counts_as_use_until_a_report_shows_none():
    bench = Bench(target=FakeTarget(slots=1))
    bench.submit("r1", "a@1", 1.0)
    bench.submit("r2", "b@1", 1.5)
    bench.release("r1", 2.0, certain=False)
    assert "r2" not in bench.granted
    bench.report(3.5)
    assert "r2" in bench.granted


def test_failing_adapter_backs_off_and_does_not_block_other_loads():
    bench = Bench(failing={"bad@1"})
    bench.submit("r1", "bad@1", 1.0)
    bench.submit("r2", "bad@1", 1.1)
    bench.submit("r3", "good@1", 1.1)
    assert bench.refused["r1"].reason is Reason.LOAD_FAILED
    assert bench.refused["r2"].reason is Reason.LOAD_FAILED
    assert bench.refused["r2"].retry_after > 0.5
    assert "r3" in bench.granted
    bench.submit("r4", "bad@1", 2.1)
    bench.submit("r5", "bad@1", 3.5)
    loads = [o for o in bench.orders if isinstance(o, LoadAdapter)]
    assert [o.lora_name for o in loads].count("bad@1") == 2


def test_engine_restart_clears_residency_and_prefetches_by_demand():
    bench = Bench()
    bench.submit("r1", "a@1", 1.0)
    bench.submit("r2", "a@1", 1.1)
    bench.submit("r3", "b@1", 1.2)
    first_boot = bench.granted["r1"].boot
    bench.engine.restart(5.0)
    bench.report(5.5)
    assert not bench.steward.ledger.tickets
    assert bench.engine.resident == {"a@1", "b@1"}
    loads = [o for o in bench.orders if isinstance(o, LoadAdapter)]
    assert [o.lora_name for o in loads][-2:] == ["a@1", "b@1"]
    assert bench.granted["r1"].boot == first_boot != bench.engine.boot


def test_full_queue_refuses_the_team_with_the_largest_share():
    bench = Bench(policy=StewardPolicy(queue_limit=4, batch_slack=0))
    for n in range(8):
        bench.submit(f"large-{n}", "a@1", 1.0, team="large")
    bench.submit("small", "a@1", 1.1, team="small")
    assert "small" not in bench.refused
    assert bench.refused["large-7"].reason is Reason.QUEUE_FULL
    assert bench.refused["large-7"].retry_after > 0
    bench.release("large-0", 2.0)
    assert "small" in bench.granted


def test_limited_steward_uses_free_slots_and_never_evicts():
    bench = Bench(permissions=Permissions.LIMITED)
    bench.submit("r1", "a@1", 1.0)
    bench.submit("r2", "b@1", 1.0)
    bench.release("r1", 2.0)
    bench.report(5.0)
    bench.submit("r3", "c@1", 20.0)
    bench.report(40.0)
    assert bench.refused["r3"].reason is Reason.NO_TARGET
    assert bench.engine.resident == {"a@1", "b@1"}
    assert bench.steward.evicts_from() is None


@pytest.mark.parametrize("fencing", [True, False])
def test_new_steward_waits_until_its_predecessor_cannot_act(fencing):
    bench = Bench(target=FakeTarget(fencing=fencing), predecessor=True)
    bench.engine.resident = {"a@1", "b@1"}
    bench.report(0.1)
    bench.submit("r1", "a@1", 0.2)
    bench.submit("r2", "c@1", 0.2)
    assert ("r1" in bench.granted) == fencing
    if fencing:
        assert not bench.engine.unload("a@1", bench.engine.boot, 6)
    assert bench.engine.resident == {"a@1", "b@1"}
    for step in range(1, 200):
        bench.report(step * 0.1)
        if not fencing and step * 0.1 < 20.0:
            assert "r2" not in bench.granted
    for step in range(200, 300):
        bench.report(step * 0.1)
    assert "r2" in bench.granted
    assert ("r1" in bench.granted) and bench.engine.evicted_in_use == 0


def test_idleness_reported_before_the_predecessor_ended_does_not_allow_eviction():
    bench = Bench(target=FakeTarget(fencing=False, slots=1), predecessor=True)
    bench.engine.resident = {"a@1"}
    bench.report(0.1)
    bench.report(10.0)
    bench.submit("r1", "c@1", 20.5)
    bench.tick(20.6)
    assert bench.engine.resident == {"a@1"}
    bench.report(21.5)
    assert bench.engine.resident == {"c@1"}


def test_regained_authority_allows_eviction_only_after_a_ticket_lease():
    authority = Authority(lease=3.0, settle=2.0, gap=1000.0)
    bench = Bench(authority=authority)
    authority.note_log_read(1.0, 1.0)
    bench.report(1.0)
    bench.submit("r1", "a@1", 1.1)
    assert bench.granted
    authority.note_log_read(100.0, 100.0)
    assert bench.steward.evicts_from() == 112.0


def test_unanswered_unload_bars_the_adapter_until_the_order_cannot_arrive():
    bench = Bench(target=FakeTarget(slots=1))
    bench.submit("r1", "a@1", 1.0)
    bench.release("r1", 1.1)
    request = TicketRequest("r2", "i-1", "b@1", "t", 1.0, 5, 100, 90.0)
    steward = bench.steward
    (permit,) = steward.request(request, 2.0)
    assert isinstance(permit, RequestLoadPermit)
    (unload,) = steward.permit_granted(2.0)
    assert isinstance(unload, UnloadAdapter)
    assert steward.order_ended(unload, 4.0, succeeded=False, certain=False) == []
    bench.submit("r3", "a@1", 4.1)
    assert bench.refused["r3"].reason is Reason.NO_TARGET
    bench.report(4.5)
    bench.report(5.5)
    assert "r2" in bench.granted
    assert bench.engine.resident == {"b@1"}


def test_request_that_arrives_after_its_return_is_refused():
    bench = Bench()
    bench.release("r1", 1.0)
    bench.submit("r1", "a@1", 1.1)
    assert bench.refused["r1"].reason is Reason.NO_TARGET
    assert not bench.steward.ledger.tickets


def test_repeated_request_gets_the_same_ticket():
    bench = Bench()
    bench.submit("r1", "a@1", 1.0)
    bench.submit("r1", "a@1", 1.1)
    assert len(bench.steward.ledger) == 1


def test_only_one_suspect_runs_on_an_engine_at_a_time():
    bench = Bench()
    bench.submit("s1", "a@1", 1.0, suspect=True)
    bench.submit("s2", "a@1", 1.0, suspect=True)
    bench.submit("r1", "a@1", 1.0)
    assert {"s1", "r1"} <= bench.granted.keys()
    assert "s2" not in bench.granted
    bench.release("s1", 2.0)
    assert "s2" in bench.granted


def test_a_request_is_refused_at_once_if_running_streams_hold_all_adapter_slots():
    bench = Bench()
    slots = bench.steward.target.slots
    for number in range(slots):
        bench.submit(f"r{number}", f"a{number}@1", 1.0)
    assert len(bench.granted) == slots
    bench.submit("late", "other@1", 1.1, patience=0.6)
    assert bench.refused["late"].reason is Reason.QUEUE_FULL
    assert bench.refused["late"].retry_after > 0.6
    # An idle adapter can be evicted, so its slot is not waited for.
    bench.release("r0", 1.2)
    bench.tick(1.2)
    bench.submit("early", "other@1", 1.3, patience=1.1)
    assert "early" not in bench.refused


def test_an_adapter_that_is_loading_does_not_wait_for_a_slot_as_well():
    bench = Bench(failing={"a@1"})
    slots = bench.steward.target.slots
    assert slots == 2
    request = TicketRequest(
        ticket_id="r1",
        lora_name="a@1",
        team="t",
        weight=1.0,
        urgency=5,
        tokens=100,
        holder="i-1",
        deadline=60.0,
    )
    # The load is ordered and stays in progress.
    [permit] = bench.steward.request(request, 1.0)
    assert isinstance(permit, RequestLoadPermit)
    [load] = bench.steward.permit_granted(1.0)
    assert isinstance(load, LoadAdapter)
    load_cost = bench.steward.slots.load_cost
    assert bench.steward.summary(1.1).load_wait <= 2 * load_cost


def test_an_unload_refused_after_a_lost_one_leaves_its_adapter_barred():
    """Guards against a late order whose conflict makes a barred adapter usable."""
    bench = Bench(target=FakeTarget(slots=1), policy=POLICY)
    bench.submit("r1", "a@1", 1.0)
    bench.release("r1", 1.1)
    bench.report(2.0)
    commands = bench.steward.request(_request("r2", "b@1", 2.0), 2.0)
    commands = bench.steward.permit_granted(2.0)
    [unload] = [each for each in commands if isinstance(each, UnloadAdapter)]
    assert bench.steward.request(_request("r3", "a@1", 2.1), 2.1) == []
    bench.steward.order_ended(unload, 2.9, succeeded=False, certain=False)
    commands = bench.steward.report(bench.engine.report(3.5), 3.5)
    [repeated] = [each for each in commands if isinstance(each, UnloadAdapter)]
    bench.engine.resident.clear()
    commands = bench.steward.order_withdrawn(repeated, 3.6)
    assert not any(isinstance(each, GrantTicket) for each in commands)
    bench.execute(commands, 3.6)
    bench.report(4.5)
    assert bench.granted["r2"].lora_name == "b@1"
    assert not bench.steward.slots.is_usable("a@1")


def test_an_adapter_barred_by_a_predecessor_is_not_granted():
    """Guards against a handover that leaves requests ready for a barred adapter."""
    bench = Bench(target=FakeTarget(batch_limit=1), policy=POLICY)
    bench.submit("r1", "a@1", 1.0)
    bench.submit("r2", "a@1", 1.0)
    bench.submit("r3", "a@1", 1.0)
    assert "r3" not in bench.granted
    bench.steward.slots.bar("a@1", 6.0)
    bench.release("r1", 1.1)
    bench.release("r2", 1.1)
    assert "r3" not in bench.granted
    bench.report(5.0)
    bench.tick(6.1)
    assert bench.granted["r3"].lora_name == "a@1"


def test_after_a_restart_only_the_version_in_force_is_loaded_without_a_request():
    """Guards against an old version that is loaded over the new one."""
    in_force = {"a": 1, "b": 1}
    bench = Bench(
        target=FakeTarget(slots=3),
        policy=POLICY,
        current_lora_name=lambda name: f"{name[0]}@{in_force[name[0]]}",
    )
    for number in range(6):
        bench.submit(f"r{number}", "a@1", 1.0)
        bench.release(f"r{number}", 1.0)
    bench.submit("b1", "b@1", 1.0)
    bench.release("b1", 1.1)
    in_force["a"] = 2
    bench.report(2.0)
    bench.submit("r7", "a@1", 2.0)
    bench.release("r7", 2.1)
    assert bench.granted["r7"].lora_name == "a@2"
    bench.orders.clear()
    bench.engine.restart(3.0)
    bench.report(3.5)
    for step in range(20):
        bench.report(4.0 + step / 10)
    loads = [each.lora_name for each in bench.orders if isinstance(each, LoadAdapter)]
    assert sorted(loads) == ["a@2", "b@1"]


def test_requests_that_wait_for_two_versions_get_the_one_in_force():
    """Guards against versions that replace each other before any request runs."""
    in_force = {"a": 1}
    bench = Bench(
        target=FakeTarget(slots=1, batch_limit=2),
        policy=POLICY,
        current_lora_name=lambda name: f"{name[0]}@{in_force.get(name[0], 1)}",
    )
    bench.submit("r1", "b@1", 1.0)
    bench.submit("r2", "a@1", 1.0)
    in_force["a"] = 2
    bench.submit("r3", "a@2", 1.1)
    bench.release("r1", 1.2)
    bench.report(2.0)
    bench.report(2.5)
    assert bench.granted["r2"].lora_name == bench.granted["r3"].lora_name == "a@2"


def _request(ticket_id, lora_name, now):
    values = {"team": "t", "weight": 1.0, "urgency": 5, "tokens": 100}
    values |= {"holder": "i-1", "deadline": now + 60.0}
    return TicketRequest(ticket_id=ticket_id, lora_name=lora_name, **values)
