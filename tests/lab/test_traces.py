import io

from lab.deployments import DEPLOYMENTS
from lab.scenarios import scenarios
from lab.traces import make_trace, read_trace, write_trace

KALAHARI = DEPLOYMENTS["kalahari"]


def test_same_seed_same_trace():
    one = make_trace(KALAHARI, seed=5, duration=60)
    assert one == make_trace(KALAHARI, seed=5, duration=60)
    assert one != make_trace(KALAHARI, seed=6, duration=60)


def test_file_round_trip():
    trace = make_trace(KALAHARI, seed=5, duration=30)
    file = io.StringIO()
    write_trace(trace, file)
    file.seek(0)
    assert read_trace(file) == trace


def test_overloading_team_sends_five_times_its_rate():
    trace = scenarios["overload"].trace(KALAHARI, seed=1)
    team = KALAHARI.teams[0]
    tokens = sum(
        request.preamble_tokens + request.tail_tokens + request.max_tokens
        for request in trace
        if request.team == team.name and 360 <= request.at < 720
    )
    assert 4.9 <= tokens / (team.rate * 360) <= 5.1


def test_teams_keep_their_weights():
    trace = make_trace(KALAHARI, seed=1)
    largest = sum(request.team == KALAHARI.teams[0].name for request in trace)
    assert 0.25 <= largest / len(trace) <= 0.55
