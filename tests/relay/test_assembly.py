import json

from skylarkpost.relay.assembly import assemble_answer, count_generated


def chunk(**choice):
    return json.dumps(
        {
            "id": "x",
            "object": "chat.completion.chunk",
            "model": "a@1",
            "choices": [{"index": 0, "finish_reason": None, **choice}],
        }
    ).encode()


USAGE = json.dumps({"choices": [], "usage": {"completion_tokens": 2}}).encode()


def test_chat_chunks_become_one_message():
    events = [
        chunk(delta={"role": "assistant", "content": "Good"}),
        chunk(delta={"content": " day"}),
        chunk(delta={}, finish_reason="stop"),
        USAGE,
        b"[DONE]",
    ]
    answer = assemble_answer(events)
    assert answer["object"] == "chat.completion"
    message = {"role": "assistant", "content": "Good day"}
    expected = {"index": 0, "message": message, "finish_reason": "stop"}
    assert answer["choices"] == [expected]
    assert answer["usage"] == {"completion_tokens": 2}
    assert count_generated(events) == 2


def test_text_completions_keep_their_text():
    answer = assemble_answer([chunk(text="a"), chunk(text="b", finish_reason="length")])
    expected = {"index": 0, "text": "ab", "finish_reason": "length"}
    assert answer["choices"] == [expected]


def test_without_usage_each_event_counts_as_a_token():
    assert count_generated([chunk(text="a"), chunk(text="b")]) == 2
