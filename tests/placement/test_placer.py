from skylarkpost.placement import PlacementRequest, Placer, Preamble, rendezvous_order
from skylarkpost.placement.outstanding import ServicePlacer
from skylarkpost.stewardship import (
    TargetSummary,
    adapter_hash,
    decode_summaries,
    encode_summaries,
)
from tests.stewardship.fakes import FakeTarget

ENGINES = [FakeTarget(name=f"e-{n}", data_centre=f"dc-{n % 3}") for n in range(6)]
REQUEST = PlacementRequest("a@1", True, 5, 800, (Preamble(17, 640.0),))


def summary(name, **changes):
    values = {
        "target": name,
        "steward": "i-1",
        "fencing_number": 1,
        "full_powers": True,
        "boot": "b",
        "open": True,
        "room": 8,
        "batch_limit": 8,
        "queued": 0,
        "queued_urgent": (0,) * 10,
        "service_time": 2.0,
        "load_wait": 0.6,
        "free_slots": 1,
        "victim_worth": 0.0,
        "made_at": 0.0,
        "resident": frozenset(),
    }
    return TargetSummary(**(values | changes))


def make_placer(*summaries):
    placer = Placer(data_centre="dc-0")
    for each in summaries:
        placer.note_summary(each, 0.0)
    return placer


def test_summaries_round_trip_and_malformed_ones_decode_to_none():
    known = [summary("e-1", resident=frozenset({1, 2}))]
    assert decode_summaries(encode_summaries(known)) == known
    assert decode_summaries(b"\xff") is None


def test_a_resident_adapter_is_preferred_until_queueing_costs_more_than_a_load():
    here = frozenset({adapter_hash("a@1")})
    idle = [summary(e.name) for e in ENGINES if e.name != "e-3"]
    placer = make_placer(summary("e-3", resident=here), *idle)
    assert placer.rank(REQUEST, ENGINES, 0.1)[0][0] == "e-3"
    busy = summary(
        "e-3", resident=here, room=0, queued=20, queued_urgent=(20,) * 10, made_at=1.0
    )
    placer.note_summary(busy, 1.0)
    assert placer.rank(REQUEST, ENGINES, 1.1)[0][0] != "e-3"


def test_a_load_goes_to_the_target_with_the_least_valuable_eviction():
    preferred_name = rendezvous_order("a@1", [e.name for e in ENGINES])[0]
    worths = {e.name: 4.0 for e in ENGINES} | {"e-2": 0.1}
    placer = make_placer(
        *(summary(e.name, victim_worth=worths[e.name]) for e in ENGINES)
    )
    assert preferred_name != "e-2"
    assert placer.rank(REQUEST, ENGINES, 0.1)[0][0] == "e-2"


def test_a_stale_summary_of_an_idle_target_does_not_attract_every_request():
    placer = make_placer(*(summary(e.name, room=2) for e in ENGINES))
    chosen = []
    for n in range(24):
        request = REQUEST._replace(lora_name="base", needs_adapter=False)
        name = placer.rank(request, ENGINES, 0.1)[0][0]
        placer.note_sent(name, f"r{n}", request, 0.1)
        chosen.append(name)
    assert max(chosen.count(name) for name in chosen) <= 6


def test_an_adapter_keeps_its_preferred_target_and_avoided_targets_rank_last():
    placer = make_placer(*(summary(e.name) for e in ENGINES))
    preferred_name = rendezvous_order("a@1", [e.name for e in ENGINES])[0]
    assert placer.rank(REQUEST, ENGINES, 0.1)[0][0] == preferred_name
    ranked = placer.rank(REQUEST, ENGINES, 0.1, avoid=frozenset({preferred_name}))
    assert ranked[-1][0] == preferred_name


def test_a_request_prefers_the_target_that_cached_its_prefix():
    placer = make_placer(*(summary(e.name) for e in ENGINES))
    base = REQUEST._replace(lora_name="base", needs_adapter=False, prompt_tokens=8000)
    base = base._replace(preambles=(Preamble(17, 6400.0),))
    placer.note_sent("e-4", "r1", base, 0.0)
    placer.note_ended("e-4", "r1")
    assert placer.rank(base, ENGINES, 0.1)[0][0] == "e-4"


def test_a_summary_of_an_older_steward_is_dropped_until_the_newer_one_expires():
    placer = make_placer(summary("e-1", fencing_number=5))
    placer.note_summary(summary("e-1", fencing_number=4, made_at=9.0), 1.0)
    assert placer.summaries["e-1"].fencing_number == 5
    placer.note_summary(summary("e-1", fencing_number=4, made_at=9.0), 60.0)
    assert placer.summaries["e-1"].fencing_number == 4


def test_rendezvous_moves_only_the_keys_of_the_member_that_left():
    members = [f"e-{n}" for n in range(6)]
    for n in range(200):
        order = rendezvous_order(f"a{n}@1", members)
        assert rendezvous_order(f"a{n}@1", members[:5]) == [
            each for each in order if each != "e-5"
        ]


def test_plain_services_are_chosen_by_outstanding_calls_and_recent_failures():
    services = [FakeTarget(name=f"s-{n}", kind="service") for n in range(3)]
    placer = ServicePlacer(data_centre="dc-1")
    tickets = [
        placer.choose(services, request_id="r", avoid=frozenset(), now=0.0)
        for _ in range(6)
    ]
    names = [ticket.target for ticket in tickets]
    assert sorted(names.count(s.name) for s in services) == [2, 2, 2]
    for ticket in tickets:
        placer.note_finished(ticket, succeeded=ticket.target != "s-1", now=1.0)
        placer.note_finished(ticket, succeeded=True, now=1.0)
    later = [
        placer.choose(services, request_id=f"r{n}", avoid=frozenset(), now=2.0)
        for n in range(4)
    ]
    assert "s-1" not in {ticket.target for ticket in later}
    assert placer.choose([], request_id="r", avoid=frozenset(), now=2.0) is None


MANY = [FakeTarget(name=f"m-{n}", data_centre="dc-0") for n in range(60)]


def test_of_many_targets_only_preferred_ones_and_holders_are_ranked():
    preferred = rendezvous_order("a@1", [target.name for target in MANY])[:8]
    holder = next(target.name for target in MANY if target.name not in preferred)
    idle = [summary(target.name) for target in MANY if target.name != holder]
    placer = make_placer(
        summary(holder, resident=frozenset({adapter_hash("a@1")})), *idle
    )
    ranked = [name for name, _ in placer.rank(REQUEST, MANY, 0.1)]
    assert ranked[0] == holder
    assert set(ranked) == {*preferred, holder}


def test_when_all_preferred_targets_are_full_every_target_is_ranked():
    preferred = rendezvous_order("a@1", [target.name for target in MANY])[:8]
    full = {"room": 0, "queued": 9, "queued_urgent": (9,) * 10}
    placer = make_placer(
        *(summary(t.name, **(full if t.name in preferred else {})) for t in MANY)
    )
    ranked = placer.rank(REQUEST, MANY, 0.1)
    assert len(ranked) == len(MANY)
    assert ranked[0][0] not in preferred


def test_requests_for_the_base_model_rank_every_target():
    placer = make_placer(*(summary(target.name) for target in MANY))
    base = PlacementRequest("granite", False, 5, 800, (Preamble(17, 640.0),))
    assert len(placer.rank(base, MANY, 0.1)) == len(MANY)
