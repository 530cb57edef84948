from lab.scheduler import Scheduler
from lab.weights import WeightStore


def times_of(count):
    scheduler = Scheduler()
    store = WeightStore(scheduler=scheduler)
    times = []
    for _ in range(count):
        store.fetch(lambda: times.append(scheduler.now))
    scheduler.run(until=1000)
    return times


def test_eight_loads_take_a_quarter_second():
    assert times_of(8) == [0.25] * 8


def test_further_loads_are_rate_limited():
    times = times_of(38)
    assert len(times) == 38
    assert 10.0 <= times[-1] <= 10.5


def test_transfers_slow_down_above_the_concurrency_limit():
    assert times_of(16)[0] == 0.25
    assert times_of(40)[8] > 1 / 3 + 0.25
