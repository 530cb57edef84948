import json
import types

import pytest

from skylarkpost.filters import Exchange
from skylarkpost.frontend.identify import IdentifyFilter
from skylarkpost.outcomes import Reason, RunState

CHAT = {"model": "plan", "messages": [{"role": "user", "content": "hello"}]}


def identify(*, ready=True, leaving=False):
    config = types.SimpleNamespace(is_ready=lambda: ready)
    services = types.SimpleNamespace(leaving=leaving, controllers={"config": config})
    return IdentifyFilter(services=services)


def exchange(*, method="POST", path="/v1/chat/completions", headers=None, body=None):
    return Exchange(
        request_id="r",
        method=method,
        path=path,
        query="",
        headers=headers or {},
        body=json.dumps(CHAT).encode() if body is None else body,
        key_hash=None,
        received_at=0.0,
        deadline=1.0,
    )


async def test_a_model_request_passes_with_its_content():
    request = exchange()
    assert await identify().apply(request) is None
    assert request.content == CHAT


@pytest.mark.parametrize(
    ("state", "changes", "reason"),
    [
        ({"ready": False}, {}, Reason.NOT_READY),
        ({"leaving": True}, {}, Reason.SHUTTING_DOWN),
        ({}, {"method": "GET"}, Reason.METHOD_NOT_ALLOWED),
        ({}, {"headers": {"content-encoding": "gzip"}}, Reason.BAD_REQUEST),
        ({}, {"body": b"{"}, Reason.BAD_REQUEST),
        ({}, {"body": b'{"x": "skp_' + b"a" * 43 + b'"}'}, Reason.KEY_IN_CONTENT),
    ],
)
async def test_an_invalid_or_unservable_request_is_refused_as_not_run(
    state, changes, reason
):
    refused = await identify(**state).apply(exchange(**changes))
    assert (refused.reason, refused.run_state) == (reason, RunState.NOT_RUN)
