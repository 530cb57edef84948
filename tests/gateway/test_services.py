"""Control calls on connections that requests have used before."""

from types import SimpleNamespace

from skylarkpost.gateway.services import GatewayServices
from skylarkpost.transport import ResponseHead


def is_request_answer(headers):
    counted = []
    services = SimpleNamespace(metrics=SimpleNamespace(count_event=counted.append))
    head = ResponseHead(200, headers)
    return GatewayServices._is_request_answer(services, head), counted


def test_an_answer_that_names_an_attempt_is_not_that_of_an_order():
    assert is_request_answer([("x-attempt-id", "9c41")]) == (
        True,
        ["late-answer-dropped"],
    )


def test_an_answer_without_attempt_belongs_to_the_order():
    assert is_request_answer([("content-type", "application/json")]) == (False, [])
