from hypothesis import given, settings
from hypothesis import strategies as st

from skylarkpost.stewardship import TicketRequest
from skylarkpost.stewardship.queue import FairQueue


def request(name, *, team="t", urgency=5, tokens=100, weight=1.0, lora="a@1"):
    return TicketRequest(name, "i-1", lora, team, weight, urgency, tokens, 1e9)


def queue(**changes):
    return FairQueue(**({"limit": 100, "order": "fair", "ageing": 2.0} | changes))


def serve(fair, now, count):
    served = []
    for _ in range(count):
        entry = fair.pop(now)
        if entry is None:
            break
        fair.shares.charge(
            entry.request.team, weight=entry.request.weight, cost=entry.request.tokens
        )
        served.append(entry.request)
    return served


def test_teams_share_by_tokens_and_weight():
    fair = queue()
    for n in range(30):
        fair.add(request(f"big-{n}", team="big", tokens=200), ready=True, now=0.0)
        fair.add(request(f"small-{n}", team="small", weight=2.0), ready=True, now=0.0)
    served = serve(fair, 0.0, 30)
    tokens = dict.fromkeys(("big", "small"), 0)
    for each in served:
        tokens[each.team] += each.tokens
    assert 1.6 <= tokens["small"] / tokens["big"] <= 2.4


def test_late_small_team_does_not_wait_behind_a_large_one():
    fair = queue()
    for n in range(50):
        fair.add(request(f"big-{n}", team="big"), ready=True, now=0.0)
    serve(fair, 0.0, 20)
    fair.add(request("small", team="small"), ready=True, now=0.0)
    assert "small" in {each.ticket_id for each in serve(fair, 0.0, 2)}


def test_urgent_requests_go_first_and_ageing_raises_the_others():
    fair = queue()
    fair.add(request("slow", urgency=0), ready=True, now=0.0)
    fair.add(request("urgent", urgency=9), ready=True, now=10.0)
    assert serve(fair, 10.0, 1)[0].ticket_id == "urgent"
    fair.add(request("urgent-2", urgency=9), ready=True, now=18.5)
    assert serve(fair, 18.5, 1)[0].ticket_id == "slow"


def test_requests_waiting_for_a_load_do_not_block_others():
    fair = queue()
    fair.add(request("cold", lora="c@1", urgency=9), ready=False, now=0.0)
    fair.add(request("warm"), ready=True, now=0.0)
    assert serve(fair, 0.0, 9)[0].ticket_id == "warm"
    assert fair.pop(0.0) is None
    fair.set_ready("c@1", ready=True)
    assert serve(fair, 0.0, 9)[0].ticket_id == "cold"


ADAPTERS = st.sampled_from(["a@1", "b@1", "c@1"])
STEPS = st.one_of(
    st.tuples(
        st.just("add"),
        ADAPTERS,
        st.sampled_from("xyz"),
        st.integers(0, 9),
        st.floats(0, 5),
    ),
    st.tuples(st.just("pop")),
    st.tuples(st.just("ready"), ADAPTERS, st.booleans()),
    st.tuples(st.just("remove"), st.integers(0, 40)),
)


@settings(derandomize=True, max_examples=150, deadline=None)
@given(st.lists(STEPS, max_size=60))
def test_nothing_is_lost_and_only_usable_adapters_are_served(steps):
    fair = queue(limit=8)
    usable, waiting = {"a@1"}, {}
    for number, step in enumerate(steps):
        now = float(number)
        if step[0] == "add":
            _, lora, team, urgency, life = step
            name = str(number)
            waiting[name] = TicketRequest(
                name, "i", lora, team, 1.0, urgency, 10, now + 20 + life
            )
            gone = fair.add(waiting[name], ready=lora in usable, now=now)
            if gone is not None:
                del waiting[gone.request.ticket_id]
        elif step[0] == "pop":
            entry = fair.pop(now)
            ready = {n for n, r in waiting.items() if r.lora_name in usable}
            assert (entry is not None) == bool(ready)
            if entry is not None:
                assert entry.request.ticket_id in ready
                del waiting[entry.request.ticket_id]
        elif step[0] == "ready":
            fair.set_ready(step[1], ready=step[2])
            (usable.add if step[2] else usable.discard)(step[1])
        elif fair.remove(str(step[1])) is not None:
            del waiting[str(step[1])]
        for entry in fair.expire(now):
            del waiting[entry.request.ticket_id]
        assert set(fair.entries) == set(waiting)
        assert sum(fair.team_counts.values()) == len(waiting) <= 8
        blocked = {w.lora_name: w.count for w in fair.blocked_adapters(now)}
        kept = [r.lora_name for r in waiting.values() if r.lora_name not in usable]
        assert blocked == {name: kept.count(name) for name in kept}


def test_waiting_suspect_does_not_block_other_requests():
    fair = queue()
    suspect = request("s")._replace(suspect=True)
    fair.add(suspect, ready=True, now=0.0)
    fair.add(request("a"), ready=True, now=1.0)
    assert fair.pop(2.0, suspects=False).request.ticket_id == "a"
    assert fair.pop(2.0, suspects=False) is None
    assert fair.pop(2.0).request.ticket_id == "s"
