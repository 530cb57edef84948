import types

import pytest

from skylarkpost.config import ConfigStore
from skylarkpost.config.key_filter import KeyFilter
from skylarkpost.config.profile_filter import ProfileFilter
from skylarkpost.config.withdrawals import WithdrawalHandler
from skylarkpost.filters import Exchange
from skylarkpost.metrics import Metrics
from skylarkpost.outcomes import Reason, RunState

ITEMS = [
    ("key", "ab" * 32, {"team": "depot"}),
    ("profile", "plan", {"base_model": "b", "adapter": "a", "teams": ["depot"]}),
    ("profile", "verse", {"base_model": "b", "teams": ["shop"]}),
    ("route", "clock", {"pool": "clocks", "open": True, "methods": ["GET"]}),
    ("route", "book", {"pool": "desk"}),
]


class FakeConfig:
    """Fake configuration that is always up to date."""

    def __init__(self):
        self.store = ConfigStore()

    async def confirm_after_pause(self):
        pass


@pytest.fixture
def services():
    config = FakeConfig()
    services = types.SimpleNamespace(
        controllers={"config": config},
        exchanges={},
        metrics=Metrics(),
        settings=types.SimpleNamespace(
            requests=types.SimpleNamespace(default_max_tokens=256)
        ),
    )
    config.store.subscribe("key", WithdrawalHandler(services=services).note_key_change)
    for kind, name, body in ITEMS:
        publish(services, kind, name, body)
    return services


def publish(services, kind, name, body):
    store = services.controllers["config"].store
    offset = store.applied_offset + 1
    record = {
        "type": "change",
        "change_id": f"c{offset}",
        "author": "op",
        "reason": "",
        "kind": kind,
        "name": name,
        "expected_version": None,
        "body": body,
        "made_at": 0.0,
    }
    store.apply(record=record, offset=offset, time=0.0, now=0.0)


def exchange(*, path="/v1/chat/completions", key="ab" * 32, model=None, method="POST"):
    made = Exchange(
        request_id="r1",
        method=method,
        path=path,
        query="",
        headers={},
        body=b"",
        key_hash=key,
        received_at=0.0,
        deadline=60.0,
    )
    if model is not None:
        messages = [{"role": "user", "content": "x" * 40}]
        made.content = {"model": model, "messages": messages}
    return made


async def run(services, request):
    for step in (KeyFilter, ProfileFilter):
        outcome = await step(services=services).apply(request)
        if outcome is not None:
            return outcome.reason
    return None


async def test_a_model_request_gets_team_profile_and_tokens(services):
    request = exchange(model="plan")
    assert await run(services, request) is None
    assert request.team == "depot"
    assert request.profile.adapter == "a"
    assert (request.prompt_tokens, request.output_tokens) == (14, 256)


async def test_a_key_counts_only_for_its_team_unless_the_route_is_open(services):
    refused = {
        Reason.KEY_MISSING: exchange(key=None, model="plan"),
        Reason.KEY_UNKNOWN: exchange(key="cd" * 32, model="plan"),
        Reason.PROFILE_FORBIDDEN: exchange(model="verse"),
        Reason.PROFILE_UNKNOWN: exchange(model="other"),
        Reason.ROUTE_UNKNOWN: exchange(path="/services/other/x"),
        Reason.METHOD_NOT_ALLOWED: exchange(path="/services/book", method="DELETE"),
    }
    for reason, request in refused.items():
        assert await run(services, request) == reason
    opened = exchange(path="/services/clock/now", key="cd" * 32, method="GET")
    assert await run(services, opened) is None
    assert opened.team is None
    assert opened.route.name == "clock"


async def test_an_open_route_does_not_open_model_requests(services):
    request = exchange(path="/services/clock/now", key=None, model="plan")
    assert await run(services, request) == Reason.KEY_MISSING


async def test_a_withdrawal_ends_queued_requests_and_open_streams(services):
    queued, streaming, other = (exchange(model="plan") for _ in range(3))
    for index, request in enumerate((queued, streaming, other)):
        await run(services, request)
        services.exchanges[str(index)] = request
    streaming.dispatched = True
    other.key_hash = "ef" * 32
    publish(services, "key", "ab" * 32, None)
    assert queued.cancelled.run_state == RunState.NOT_RUN
    assert streaming.cancelled.run_state == RunState.UNKNOWN
    assert streaming.cancelled.reason == Reason.KEY_WITHDRAWN
    assert streaming.cancel_event.is_set()
    assert other.cancelled is None
    assert await run(services, exchange(model="plan")) == Reason.KEY_WITHDRAWN


async def test_a_key_given_to_another_team_ends_the_first_teams_requests(services):
    request = exchange(model="plan")
    await run(services, request)
    services.exchanges["0"] = request
    publish(services, "key", "ab" * 32, {"team": "depot", "label": "renamed"})
    assert request.cancelled is None
    publish(services, "key", "ab" * 32, {"team": "shop"})
    assert request.cancelled is not None
