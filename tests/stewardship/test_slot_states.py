"""Random histories of one engine's orders, against the steward of the gateway.

The engine may answer an order, leave it unanswered and carry it out late, or refuse it
for a count that is no longer right. It may restart under its id.
"""

import math

from hypothesis import HealthCheck, seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
)

from skylarkpost.gateway.stewardship import POLICY
from skylarkpost.stewardship import (
    AdapterLoad,
    GrantTicket,
    LoadAdapter,
    LoadReport,
    RefuseTicket,
    RequestLoadPermit,
    ReturnLoadPermit,
    TargetSteward,
    TicketRequest,
)
from tests.stewardship.fakes import FakeTarget

SLOTS = 3
ADAPTERS = ["a", "b", "c", "d", "e"]
PATIENCE_S = 200.0
REPORT_AGE_S = 0.3
REPORT_SETTLE_S = 0.4
CALM_STEPS = 100
MAX_BOOTS = 3


class OneEngine:
    """Adapters of an engine that carries out orders under a count."""

    def __init__(self):
        self.boot = 0
        self.restart()

    def restart(self):
        self.boot += 1
        self.count = 0
        self.versions = {}

    def carry_out(self, order, count):
        """Carry out an order; return whether its count was right."""
        if count != self.count:
            return False
        self.count += 1
        name, _, version = order.lora_name.rpartition("@")
        if isinstance(order, LoadAdapter):
            self.versions[name] = int(version)
            assert len(self.versions) <= SLOTS, "ordered to hold more than fits"
        else:
            self.versions.pop(name, None)
        return True


class SlotStates(RuleBasedStateMachine):
    """Drives a steward as the gateway's client of an engine does."""

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.engine = OneEngine()
        self.newest = dict.fromkeys(ADAPTERS, 1)
        self.loaded = {}
        self.steward = TargetSteward(
            target=FakeTarget(slots=SLOTS, fencing=False),
            fencing_number=1,
            instance="i-1",
            now=0.0,
            policy=POLICY,
            current_lora_name=self.current_lora_name,
        )
        self.count = None
        self.last_order_at = -math.inf
        self.permits = 0
        self.orders = []
        self.late = []
        self.waiting = {}
        self.running = {}
        self.asked = 0
        self.states = []
        self.note_state()
        self.read_report()

    def current_lora_name(self, lora_name):
        name = lora_name.rpartition("@")[0]
        return f"{name}@{self.newest[name]}"

    def note_state(self):
        self.states.append((self.now, dict(self.engine.versions), self.engine.count))
        del self.states[:-50]

    def execute(self, commands):
        for command in commands:
            if isinstance(command, GrantTicket):
                del self.waiting[command.ticket_id]
                self.running[command.ticket_id] = command.lora_name
            elif isinstance(command, RefuseTicket):
                del self.waiting[command.ticket_id]
            elif isinstance(command, RequestLoadPermit):
                self.permits += 1
            elif not isinstance(command, ReturnLoadPermit):
                self.orders.append(command)
            if isinstance(command, LoadAdapter):
                name, _, version = command.lora_name.rpartition("@")
                assert int(version) >= self.loaded.get(name, 0), "an older version"
                self.loaded[name] = int(version)

    def read_report(self, *, age=0.0):
        due = [each for each in self.states if each[0] <= self.now - age]
        _, versions, count = due[-1] if due else self.states[0]
        if self.now >= self.last_order_at + REPORT_SETTLE_S:
            self.count = count
        names = [f"{name}@{version}" for name, version in versions.items()]
        used = list(self.running.values())
        report = LoadReport(
            boot=f"boot-{self.engine.boot}",
            taken_at=self.now,
            slots=SLOTS,
            resident={name: AdapterLoad(used.count(name), 0) for name in names},
            loading=frozenset(),
            running=len(used),
            waiting=0,
            batch_limit=4,
        )
        self.execute(self.steward.report(report, self.now))

    def take_order(self):
        if self.count is not None:
            self.last_order_at = self.now
        return self.orders.pop(0)

    @initialize(count=st.integers(0, SLOTS))
    def fill_slots(self, count):
        for name in ADAPTERS[:count]:
            self.ask(name, 1)
            self.decide_permit(True)
            self.answer_order()
            self.end_request(True)
            self.now += 1.0
            self.read_report()

    @rule(name=st.sampled_from(ADAPTERS), count=st.integers(1, 3))
    def ask(self, name, count):
        for _ in range(count):
            self.asked += 1
            ticket_id = f"t{self.asked}"
            self.waiting[ticket_id] = self.now
            request = TicketRequest(
                ticket_id=ticket_id,
                holder="i-1",
                lora_name=f"{name}@{self.newest[name]}",
                team="t",
                weight=1.0,
                urgency=5,
                tokens=100,
                deadline=self.now + PATIENCE_S,
            )
            self.execute(self.steward.request(request, self.now))

    @precondition(lambda self: self.running)
    @rule(certain=st.booleans())
    def end_request(self, certain):
        ticket_id = next(iter(self.running))
        del self.running[ticket_id]
        self.execute(self.steward.return_ticket(ticket_id, self.now, certain=certain))

    @rule(name=st.sampled_from(ADAPTERS))
    def name_new_version(self, name):
        self.newest[name] += 1

    @precondition(lambda self: self.permits)
    @rule(is_granted=st.sampled_from([True, True, True, False]))
    def decide_permit(self, is_granted):
        self.permits -= 1
        if is_granted:
            self.execute(self.steward.permit_granted(self.now))
        else:
            self.execute(self.steward.permit_denied(self.now))

    @precondition(lambda self: self.orders)
    @rule()
    def answer_order(self):
        order = self.take_order()
        if order.boot != f"boot-{self.engine.boot}":
            self.execute(self.steward.order_ended(order, self.now, succeeded=False))
            return
        if self.count is None or not self.engine.carry_out(order, self.count):
            self.count = None
            self.execute(self.steward.order_withdrawn(order, self.now))
            return
        self.count += 1
        self.note_state()
        self.execute(self.steward.order_ended(order, self.now, succeeded=True))

    @precondition(lambda self: self.orders)
    @rule()
    def refuse_order(self):
        order = self.take_order()
        self.execute(self.steward.order_ended(order, self.now, succeeded=False))

    @precondition(lambda self: self.orders and self.count is not None)
    @rule(asked_meanwhile=st.booleans())
    def lose_order(self, asked_meanwhile):
        if asked_meanwhile:
            self.ask(self.orders[0].lora_name.rpartition("@")[0], 1)
        order = self.take_order()
        self.late.append((order, self.count))
        self.count = None
        self.execute(
            self.steward.order_ended(order, self.now, succeeded=False, certain=False)
        )

    @precondition(lambda self: self.late)
    @rule()
    def carry_out_late(self):
        self.engine.carry_out(*self.late.pop(0))
        self.note_state()

    @rule(age=st.floats(0.0, REPORT_AGE_S))
    def report(self, age):
        self.read_report(age=age)

    @rule(seconds=st.sampled_from([0.05, 0.5, 2.0, 6.0]))
    def wait(self, seconds):
        self.now += seconds
        self.execute(self.steward.tick(self.now))

    @precondition(lambda self: self.engine.boot < MAX_BOOTS)
    @rule()
    def restart(self):
        self.engine.restart()
        self.states.clear()
        self.note_state()
        self.running.clear()
        self.read_report()

    @rule(name=st.sampled_from(ADAPTERS))
    def hear_of_barred_adapter(self, name):
        lora_name = f"{name}@{self.newest[name]}"
        self.steward.slots.bar(lora_name, self.now + POLICY.order_linger)

    def teardown(self):
        """In calm, each waiting request is answered."""
        for _ in range(CALM_STEPS):
            self.now += 0.2
            while self.permits:
                self.decide_permit(True)
            # An order that was not given is tried again after a delay.
            for _ in range(len(self.orders)):
                self.answer_order()
            self.read_report()
            while self.running:
                self.end_request(True)
            self.execute(self.steward.tick(self.now))
        assert self.waiting == {}


# Guards against orders whose late execution or loss breaks an assertion of the steward.
TestSlotStates = seed(32)(SlotStates.TestCase)
TestSlotStates.settings = settings(
    max_examples=200,
    stateful_step_count=40,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
