"""Requests for tickets, on their way to a steward with another clock."""

import math

import pytest

from skylarkpost.stewardship.conversion import request_from_wire, request_to_wire
from skylarkpost.stewardship.messages import TicketRequest

REQUEST = TicketRequest("1", "entry-1", "a@1", "t", 1.0, 9, 10, deadline=103.0)


@pytest.mark.parametrize("left", [0.8, -2.0])
def test_times_are_told_as_seconds_left(left):
    sent = REQUEST._replace(goal_at=100.0 + left, give_up_at=102.5)
    message = request_to_wire(sent, "e1", 100.0)
    received = request_from_wire(message, 7.0)
    # A goal that is past is told as one that is nearly past.
    assert received.goal_at == pytest.approx(7.0 + max(0.001, left))
    assert received.give_up_at == pytest.approx(9.5)
    assert received.deadline == pytest.approx(10.0)


def test_a_holder_that_names_no_goal_is_never_late():
    received = request_from_wire(request_to_wire(REQUEST, "e1", 100.0), 7.0)
    assert math.isinf(received.goal_at)
    assert math.isinf(received.give_up_at)
