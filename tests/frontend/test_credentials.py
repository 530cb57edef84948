import json
import urllib.parse

import pytest

from skylarkpost.config.keys import hash_key
from skylarkpost.frontend import contains_key, extract_credentials

KEY = "skp_" + "aB3-_" * 8


def found(*, path="/", query="", headers=None, body=b""):
    return contains_key(path=path, query=query, headers=headers or {}, body=body)


@pytest.mark.parametrize(
    "headers",
    [
        {"authorization": f"Bearer {KEY}"},
        {"authorization": f"bearer  {KEY} "},
        {"x-api-key": KEY},
        {"api-key": KEY},
    ],
)
def test_each_accepted_form_gives_the_hash_and_forwards_nothing(headers):
    credentials = extract_credentials(headers)
    assert credentials.key_hash == hash_key(KEY)
    assert credentials.headers == {}


def test_headers_off_the_list_are_not_forwarded():
    headers = {"cookie": KEY, "x-other": "1", "accept": "application/json"}
    assert extract_credentials(headers).headers == {"accept": "application/json"}


def test_other_schemes_show_no_key():
    assert extract_credentials({"authorization": f"Basic {KEY}"}).key_hash is None


@pytest.mark.parametrize(
    "request_parts",
    [
        {"path": f"/services/till/{KEY}"},
        {"query": f"api_key={KEY}"},
        {"query": "k=" + urllib.parse.quote(KEY.replace("s", "%73", 1))},
        {"query": "k=" + "".join(f"%{ord(c):02x}" for c in KEY)},
        {"headers": {"user-agent": f"tool {KEY}"}},
        {"body": KEY.encode()},
        {"body": json.dumps({"note": KEY}).encode()},
        {
            "body": (
                '{"note": "' + "".join(f"\\u{ord(c):04x}" for c in KEY) + '"}'
            ).encode()
        },
    ],
)
def test_a_key_in_what_would_be_forwarded_is_found(request_parts):
    assert found(**request_parts)


def test_ordinary_content_holds_no_key():
    assert not found(
        path="/services/till/pay",
        query="q=100%25&skp_=1",
        headers={"accept": "*/*"},
        body=b'{"text": "a \\u0041 \\ud800 skp_short"}',
    )
