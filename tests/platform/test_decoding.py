"""Tests of the codecs with payloads from the platform's documentation."""

import json

import pytest

from skylarkpost.discovery import TargetState
from skylarkpost.platform import (
    EngineCodec,
    HeaderCodec,
    Malformed,
    decode_adapter_version,
    decode_configuration,
    decode_target,
)
from skylarkpost.routing import RouteKind, key_digest
from skylarkpost.targets.state import EngineOrder, EngineState, OrderVerdict

CONFIGURATION = (
    b'{"version":7,"routes":[{"name":"r-828m82t","host":"ficu95.example",'
    b'"pathPrefix":"/pufi791/","routeKind":"streaming","timeoutMs":15000,'
    b'"latencyGoalMs":1000,"priority":1,"service":"huvo11a","attempts":2,'
    b'"public":false,"sticky":true,"resumable":true,"gapTargetMs":300},'
    b'{"name":"r-nr26tta","host":"ficu95.example","pathPrefix":"/lohu930/",'
    b'"routeKind":"unsafe","timeoutMs":5000,"latencyGoalMs":800,"priority":1,'
    b'"split":[{"service":"huvo11a","weight":90},{"service":"wuno96b","weight":10}],'
    b'"attempts":1,"public":false,"sticky":true,"resumable":false}],'
    b'"services":[{"name":"huvo11a","healthPath":"/healthz","maxConns":370,'
    b'"protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacity":277092,'
    b'"kvTokenBytes":163840,"models":[{"name":"daka510000",'
    b'"weightsMb":65099.99999999999,"loadS":2.9,"adapters":3000,"adapterMb":12.0}],'
    b'"weightsMb":66500.0,"adapterSlots":8,"loadsPerS":2.8}},{"name":"wuno96b",'
    b'"healthPath":"/healthz","maxConns":110,"protocol":"h1","tls":false}],'
    b'"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,'
    b'"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"hule930",'
    b'"apiKeys":["i9n73hh2b9wu3fexd9dn"],"priority":1,"unit":"tokens",'
    b'"plainTokens":200,"ratePerS":73559,"burst":73559}]}'
)
SERVER = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "windhoek-a",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "coldLeftMs": 0,
    "stage": "both",
    "models": [{"name": "daka510000", "version": 1, "adapters": ["a3@2"]}],
    "seq": 4,
    "born": 1779365922739,
}


def server(**changes):
    values = {k: v for k, v in (SERVER | changes).items() if v is not ...}
    return json.dumps(values).encode()


def test_a_configuration_is_decoded():
    found = decode_configuration(CONFIGURATION)
    assert found.version == 7
    first, second = found.routes
    assert (first.kind, first.timeout, first.gap_target) == (RouteKind.STREAM, 15, 0.3)
    assert first.is_resumable
    assert first.max_targets == 2
    assert [each.service for each in second.services] == ["huvo11a", "wuno96b"]
    assert second.gap_target is None
    engine = found.services["huvo11a"].engine
    assert (engine.adapter_slots, engine.models[0].load_time) == (8, 2.9)
    assert found.services["wuno96b"].engine is None
    team = found.teams["hule930"]
    assert team.key_digests == (key_digest(b"i9n73hh2b9wu3fexd9dn"),)
    assert team.counts_tokens
    assert b"i9n73hh2b9wu3fexd9dn" not in repr(found).encode()
    assert found.bounds.idle_timeout == 15.0


@pytest.mark.parametrize(
    "payload",
    [
        b"",
        b"{",
        b"\xff\xfe",
        b"[]",
        b'{"version": "7", "routes": [], "services": [], "limits": {}}',
        CONFIGURATION.replace(b'"version":7,', b""),
        CONFIGURATION.replace(b'"unsafe"', b'"perhaps"'),
        CONFIGURATION.replace(b'"timeoutMs":5000,', b""),
    ],
)
def test_an_invalid_configuration_is_malformed(payload):
    assert isinstance(decode_configuration(payload), Malformed)


def test_unknown_fields_are_ignored():
    payload = CONFIGURATION.replace(b'"version":7,', b'"version":7,"colour":"red",')
    assert decode_configuration(payload).version == 7


def test_an_announcement_is_decoded_to_a_target():
    found = decode_target("i-1", server())
    assert found.state is TargetState.READY
    assert found.models[0].adapters == {"a3": 2}
    assert (found.orders_accepted, found.boot) == (4, "i-1/1779365922739")
    assert found.remaining_time is None
    assert decode_target("i-1", server(remainingMs=1500)).remaining_time == 1.5


@pytest.mark.parametrize(
    "changes",
    [
        {"state": "resting"},
        {"service": ...},
        {"address": "nowhere"},
        {"address": 5},
        {"slots": "many"},
        {"born": ...},
        {"born": 1.5},
        {"models": [{"name": "m", "version": 1, "adapters": ["a@x"]}]},
    ],
)
def test_an_invalid_announcement_is_malformed(changes):
    found = decode_target("i-1", server(**changes))
    assert isinstance(found, Malformed)
    assert "i-1" in found.detail


def test_an_announcement_that_is_not_utf8_is_malformed():
    assert isinstance(decode_target("i-1", b"\x80\x81"), Malformed)


def test_a_report_is_decoded_to_an_engine_state():
    payload = (
        b'{"stage":"both","models":[{"name":"daka510000","version":1,'
        b'"adapters":["a1@1"]}],"busy":false,"seq":2,"waiting":1,"running":12,'
        b'"kvUsed":41000,"kvTotal":90000,"handles":0,"pending":["daka510000/a9@3"]}'
    )
    found = EngineCodec.decode_report(payload)
    assert isinstance(found, EngineState)
    assert found.pending == {"daka510000": ("a9@3",)}
    assert found.orders_accepted == 2
    assert isinstance(EngineCodec.decode_report(b"[]"), Malformed)


def test_an_order_has_holder_fencing_number_and_precondition():
    order = EngineOrder(True, "m", "a3", 5, "node-7", 41, 2)
    assert json.loads(EngineCodec.encode_order(order)) == {
        "op": "load",
        "model": "m",
        "adapter": "a3",
        "version": 5,
        "holder": "node-7",
        "fence": 41,
        "precondition": 2,
    }


@pytest.mark.parametrize(
    ("status", "verdict"),
    [
        (200, OrderVerdict.HOLDS),
        (202, OrderVerdict.STARTED),
        (409, OrderVerdict.CONFLICT),
        (412, OrderVerdict.FENCED),
        (421, OrderVerdict.OTHER_TARGET),
        (503, OrderVerdict.REFUSED),
        (400, OrderVerdict.INVALID),
        (418, OrderVerdict.UNKNOWN),
    ],
)
def test_each_status_of_an_order_maps_to_a_verdict(status, verdict):
    assert EngineCodec.decode_order_reply(status, b"").verdict is verdict


def test_an_adapter_version_is_decoded():
    payload = b'{"model":"m","adapter":"a3","version":2}'
    assert decode_adapter_version(payload) == ("m", "a3", 2)
    assert isinstance(decode_adapter_version(b'{"model":"m"}'), Malformed)


def test_request_headers_become_metadata():
    found = HeaderCodec.read_request(
        [
            ("x-attempt-id", "9c41"),
            ("x-model", "daka510000/a3"),
            ("x-token-count", "1460,80"),
            ("x-prompt-prefix", "5c1e07a2:800, 91bd3f06:410"),
            ("x-deadline-ms", "5000"),
            ("authorization", "Bearer secret"),
        ]
    )
    assert (found.model, found.adapter) == ("daka510000", "a3")
    assert (found.prompt_tokens, found.output_tokens) == (1460, 80)
    assert [part.tokens for part in found.prompt_parts] == [800, 410]
    assert (found.timeout, found.key) == (5.0, "secret")


@pytest.mark.parametrize(
    "headers",
    [
        [("x-deadline-ms", "soon"), ("x-token-count", "many")],
        [("x-deadline-ms", "-5"), ("x-prompt-prefix", "nothing")],
        [("x-deadline-ms", "inf"), ("authorization", "Basic x")],
    ],
)
def test_invalid_headers_count_as_missing(headers):
    found = HeaderCodec.read_request(headers)
    assert found.timeout is None
    assert found.prompt_tokens is None
    assert found.prompt_parts == ()
    assert found.key is None


def test_reserved_headers_of_callers_are_replaced():
    headers = HeaderCodec.for_target(
        [
            ("host", "h"),
            ("authorization", "Bearer secret"),
            ("x-tenant", "forged"),
            ("x-hold", "forged"),
            ("x-pin-ms", "9"),
            ("kv-from", "forged"),
            ("x-expect-version", "1"),
            ("x-attempt-id", "9c41"),
        ],
        target="i-1",
        team="depot",
        timeout=1.2345,
        urgency_rank=0,
    )
    assert dict(headers) == {
        "host": "h",
        "x-attempt-id": "9c41",
        "x-expect-instance": "i-1",
        "x-deadline-ms": "1234",
        "x-tenant": "depot",
        "x-request-priority": "0",
    }


@pytest.mark.parametrize(
    ("status", "headers", "not_executed"),
    [
        (503, [("x-not-executed", "1"), ("x-attempt-id", "a")], True),
        (503, [("x-attempt-id", "a")], False),
        (421, [], True),
        (400, [], False),
        (400, [("x-attempt-id", "a")], False),
        (500, [], False),
    ],
)
def test_only_some_responses_prove_that_a_request_was_not_run(
    status, headers, not_executed
):
    assert HeaderCodec.read_answer(status, headers).not_executed is not_executed


@pytest.mark.parametrize("value", ["", "²", "٣", "-1", "1_0", "9" * 5000, "1,2,3", "x"])
@pytest.mark.parametrize(
    "name",
    ["x-deadline-ms", "x-token-count", "x-prompt-prefix", "last-event-id", "x-model"],
)
def test_an_odd_header_of_a_caller_counts_as_missing(name, value):
    """Guards against a header that raises outside the handler of faults."""
    for sent in (value, f"aa:{value}", f"{value},{value}"):
        found = HeaderCodec.read_request([(name, sent), (name, sent)])
        assert found.prompt_tokens is None or found.prompt_tokens >= 0
        assert all(part.tokens >= 0 for part in found.prompt_parts)


def test_a_refusal_without_an_id_does_not_say_that_nothing_ran():
    """Guards against a 400 of a target that ran the request."""
    assert not HeaderCodec.read_answer(400, []).not_executed
    assert HeaderCodec.read_answer(400, [("x-not-executed", "1")]).not_executed
