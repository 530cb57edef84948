from lab.engine import Engine
from lab.scheduler import Scheduler
from lab.traces import Request
from lab.weights import WeightStore


class Listener:
    def __init__(self):
        self.events = []

    def first_token(self, job):
        self.events.append(("first", job.request.number))

    def finished(self, job):
        self.events.append(("finished", job.request.number))

    def aborted(self, job):
        self.events.append(("aborted", job.request.number))


class Job:
    def __init__(self, number, adapter="a", preamble=1000):
        self.request = Request(number, 0.0, "t", "x", adapter, 0, preamble, 10, 5, 5)


def make_engine():
    scheduler = Scheduler()
    listener = Listener()
    store = WeightStore(scheduler=scheduler)
    engine = Engine(
        name="e", data_centre="x", scheduler=scheduler, store=store, listener=listener
    )
    return engine, scheduler, listener


def load(engine, scheduler, adapter):
    results = []
    engine.load(adapter, results.append)
    scheduler.run(until=scheduler.now + 10)
    return results


def test_request_for_unloaded_adapter_is_refused():
    engine, _, listener = make_engine()
    assert not engine.submit(Job(1), priority=0)
    assert listener.events == []


def test_second_request_hits_the_preamble_cache():
    engine, scheduler, listener = make_engine()
    assert load(engine, scheduler, "a") == [True]
    for number in (1, 2):
        assert engine.submit(Job(number), priority=0)
        scheduler.run(until=scheduler.now + 10)
    assert engine.preamble_hits == 1000
    assert engine.preamble_tokens == 2000
    assert listener.events == [
        ("first", 1),
        ("finished", 1),
        ("first", 2),
        ("finished", 2),
    ]


def test_restart_empties_the_engine_and_aborts_requests():
    engine, scheduler, listener = make_engine()
    load(engine, scheduler, "a")
    engine.submit(Job(1), priority=0)
    engine.restart()
    scheduler.run(until=scheduler.now + 10)
    assert listener.events == [("aborted", 1)]
    assert engine.resident == {}
    assert engine.report().boot == 2


def test_load_beyond_the_slots_is_refused():
    engine, scheduler, _ = make_engine()
    for number in range(8):
        assert load(engine, scheduler, f"a{number}") == [True]
    assert load(engine, scheduler, "one-too-many") == [False]


def test_urgent_requests_run_first():
    engine, scheduler, listener = make_engine()
    load(engine, scheduler, "a")
    for number in range(9):
        engine.submit(Job(number), priority=1)
    engine.submit(Job(9), priority=0)
    scheduler.run(until=scheduler.now + 10)
    first_tokens = [number for kind, number in listener.events if kind == "first"]
    assert first_tokens.index(9) < first_tokens.index(8)
