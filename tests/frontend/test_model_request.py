import json

from skylarkpost.frontend import InvalidContent, parse_content

CHAT = {"model": "plan", "messages": [{"role": "user", "content": "hello"}]}


def parse(content, path="/v1/chat/completions"):
    return parse_content(path=path, body=json.dumps(content).encode())


def test_only_the_fields_that_were_set_are_kept():
    assert parse(CHAT) == CHAT


def test_every_validation_error_names_its_field():
    bad = parse({**CHAT, "max_tokens": 0, "temperature": 3, "priority": -9})
    assert isinstance(bad, InvalidContent)
    for name in ("max_tokens", "temperature", "priority"):
        assert name in bad.message


def test_what_is_not_json_is_refused():
    assert isinstance(parse_content(path="/v1/completions", body=b"{"), InvalidContent)


def test_a_completion_needs_a_prompt():
    assert "prompt" in parse({"model": "plan"}, path="/v1/completions").message
