from skylarkpost.stewardship.held_tickets import HeldTickets, Ticket


def make_held_tickets():
    holder = HeldTickets(lease=9.0, dispatch_margin=1.0)
    ticket = Ticket("r1", "engine", "e-1", "a:1", "b", "a@1", 3, 10.0, steward="i-1")
    holder.add(ticket)
    return holder, ticket


def test_no_dispatch_on_a_ticket_about_to_expire():
    holder, _ticket = make_held_tickets()
    assert holder.may_dispatch("r1", 8.9)
    assert not holder.may_dispatch("r1", 9.1)
    assert not holder.may_dispatch("unknown", 1.0)


def test_renewals_are_due_after_a_third_and_start_when_sent():
    holder, ticket = make_held_tickets()
    assert holder.due_renewals(2.0) == {}
    assert holder.due_renewals(5.0) == {"e-1": [ticket]}
    assert holder.due_renewals(5.1) == {}
    holder.note_renewed(["r1"], sent_at=5.0, steward="i-2", fencing_number=7)
    assert holder.tickets["r1"].expires_at == 14.0
    assert holder.tickets["r1"].fencing_number == 7


def test_a_return_stays_pending_until_it_is_confirmed_or_expires():
    holder, _ = make_held_tickets()
    holder.end("r1", unused_tokens=5, certain=True, now=6.0)
    assert not holder.tickets
    assert holder.due_returns(7.0)["e-1"][0].unused_tokens == 5
    assert holder.due_returns(7.1)
    holder.note_returned(["r1"])
    assert not holder.due_returns(7.2)
    holder.queue_return("r2", "e-1", 0, certain=True, now=8.0)
    assert not holder.due_returns(27.0)
