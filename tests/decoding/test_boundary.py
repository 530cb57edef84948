"""Odd bytes become values: no decoder of foreign bytes raises."""

import json

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from skylarkpost.config.snapshot import decode_snapshot
from skylarkpost.decoding import Malformed, decode_json, decode_msgpack, is_address
from skylarkpost.platform import (
    EngineCodec,
    decode_adapter_version,
    decode_configuration,
    decode_target,
)
from skylarkpost.quarantine import crash_news
from skylarkpost.quarantine.crash_news import CrashNews
from skylarkpost.stewardship.leases import decode_lease
from skylarkpost.stewardship.summary import decode_summaries
from skylarkpost.targets.calls import error_code
from skylarkpost.targets.reports import decode_health, decode_load
from tests.platform.test_decoding import CONFIGURATION, SERVER

DEEP = b"[" * 60_000 + b"]" * 60_000
REPORT = {"models": [], "busy": False, "seq": 1, "waiting": 0, "running": 0}
VERSION = {"model": "m", "adapter": "a", "version": 2}
LEASE = {"holder": "i-1", "as_of": 3}
AT = {"requested_at": 0.0, "answered_at": 0.0}
JSON_DECODERS = {
    "target": (lambda data: decode_target("i-1", data), SERVER),
    "configuration": (decode_configuration, json.loads(CONFIGURATION)),
    "adapter-version": (decode_adapter_version, VERSION),
    "report": (EngineCodec.decode_report, REPORT),
    "lease": (decode_lease, LEASE),
    "crash-news": (lambda data: crash_news.decode(data, CrashNews), {}),
    "engine-load": (lambda data: decode_load(data, **AT), {}),
    "engine-health": (lambda data: decode_health(data, **AT), {}),
    "engine-error": (error_code, {"error": {"code": "x"}}),
}
ODD_VALUES = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(2**70), 2**70),
    st.sampled_from([1e308, -1.5, 10**400, "", "x", "٣", [], {}, [[]], {"a": [1]}]),
)


@pytest.mark.parametrize("name", JSON_DECODERS)
def test_deep_nesting_costs_the_payload_and_nothing_else(name):
    """Guards against a decoder's RecursionError that ends whoever reads the topic."""
    decode, values = JSON_DECODERS[name]
    unasked = json.dumps(values | {"unasked": 0}).encode().replace(b": 0}", b": @}")
    for payload in (DEEP, unasked.replace(b"@", DEEP), b"", b"\xff\x00", b"9" * 5000):
        found = decode(payload)
        assert isinstance(found, Malformed) or not found


@pytest.mark.parametrize("name", JSON_DECODERS)
@seed(32)
@settings(max_examples=60, database=None, deadline=None)
@given(data=st.data())
def test_an_odd_field_never_raises(name, data):
    decode, values = JSON_DECODERS[name]
    changed = dict(values)
    for key in data.draw(st.lists(st.sampled_from(sorted(values) or ["x"]))):
        changed[key] = data.draw(ODD_VALUES)
    decode(json.dumps(changed).encode())


@seed(32)
@settings(max_examples=200, database=None, deadline=None)
@given(payload=st.binary(max_size=64))
def test_odd_bytes_never_raise(payload):
    for decode, _ in JSON_DECODERS.values():
        decode(payload)
    decode_summaries(payload)
    decode_snapshot(payload)


def test_both_formats_name_the_reason():
    assert decode_json(DEEP, list) == Malformed("nested too deeply")
    assert decode_msgpack(b"\x91" * 60_000, list) == Malformed("nested too deeply")
    assert "Expected" in decode_json(b"{}", list).detail


@pytest.mark.parametrize(
    ("change", "is_taken"),
    [
        ({"address": "10.128.0.9:65535"}, True),
        ({"address": "10.128.0.9:70000"}, False),
        ({"address": "10.128.0.9:0"}, False),
        ({"address": "10.128.0.9:٣"}, False),
        ({"address": "10.128.0.9:" + "9" * 5000}, False),
        ({"address": "10.128.0:80"}, False),
        ({"address": "host.example:80"}, False),
        ({"slots": -1}, False),
        ({"born": 2**60}, False),
        ({"seq": -1}, False),
        ({"remainingMs": -5}, False),
        ({"models": [{"name": "m", "version": 1, "adapters": ["a@1_0"]}]}, False),
        (
            {"models": [{"name": "m", "version": 1, "adapters": ["a@" + "9" * 5000]}]},
            False,
        ),
    ],
)
def test_the_range_of_each_field_of_a_target_is_checked(change, is_taken):
    """Guards against values that pass the decoder and fail later."""
    found = decode_target("i-1", json.dumps(SERVER | change).encode())
    assert isinstance(found, Malformed) is not is_taken


@pytest.mark.parametrize("name", ["i-1\r\nX-Model: b", "", "i 1", "é", "x" * 300])
def test_an_id_that_cannot_be_sent_in_a_header_names_no_target(name):
    assert isinstance(decode_target(name, json.dumps(SERVER).encode()), Malformed)


def test_an_address_has_four_numbers_and_a_port():
    assert is_address("127.0.0.1:1")
    assert not is_address("127.0.0.1")
