from hypothesis import given, settings
from hypothesis import strategies as st

from tests.membership.simulation import Simulation

PLACES = {"e-1": "ikeja", "e-2": "ikeja", "e-3": "lekki", "e-4": "yaba"}


def others(name, state="live"):
    return {other: state for other in PLACES if other != name}


def settled(seconds=3.0, **options):
    simulation = Simulation(PLACES, **options)
    simulation.run(seconds)
    return simulation


def test_all_find_each_other():
    simulation = settled()
    for name in PLACES:
        assert simulation.states(name) == others(name)


def test_a_member_that_ended_is_silent_only_after_a_probe():
    simulation = settled()
    simulation.end("e-2")
    simulation.run(1.4)
    assert simulation.states("e-1")["e-2"] == "live"
    simulation.run(1.8)
    assert simulation.states("e-1") == others("e-1") | {"e-2": "silent"}


def test_a_silent_connection_is_replaced_before_anyone_is_called_silent():
    simulation = settled()
    simulation.silence("e-1", "e-2")
    for _ in range(60):
        simulation.run(0.1)
        assert simulation.states("e-1")["e-2"] == "live"
    assert ("e-1", "e-2") not in simulation.connections


def test_a_paused_member_is_silent_and_suspects_no_other_after_resuming():
    simulation = settled()
    simulation.pause("e-1", 6.0)
    simulation.run(4.0)
    assert simulation.states("e-2")["e-1"] == "silent"
    simulation.run(2.05)
    for _ in range(10):
        assert simulation.states("e-1") == others("e-1")
        simulation.run(0.1)
    simulation.run(1.0)
    assert simulation.states("e-2")["e-1"] == "live"


def test_a_restart_with_the_same_id_ends_the_old_boot_for_good():
    simulation = settled()
    old = simulation.nodes["e-2"]
    # The old process is paused, so that it resumes after its replacement started.
    simulation.pause("e-2", 8.0)
    simulation.run(0.1)
    new = simulation.start("e-2")
    simulation.run(3.0)
    boots = {m.instance: m.boot for m in simulation.nodes["e-1"].core.members()}
    assert boots["e-2"] == new.core.boot
    simulation.run(6.0)
    boots = {m.instance: m.boot for m in simulation.nodes["e-1"].core.members()}
    assert boots["e-2"] == new.core.boot
    assert old.core.superseded
    assert not new.core.superseded


def test_a_restart_whose_clock_was_set_back_is_accepted_once_the_old_boot_is_silent():
    simulation = settled()
    simulation.clock_error = -500.0
    simulation.end("e-2")
    simulation.run(0.2)
    restarted = simulation.start("e-2").core
    simulation.run(6.0)
    for name in ("e-1", "e-3", "e-4"):
        core = simulation.nodes[name].core
        assert core.roster.records["e-2"].boot == restarted.boot
        assert simulation.states(name)["e-2"] == "live"
    assert not restarted.superseded


def test_digests_go_out_once_and_again_to_a_new_boot():
    simulation = settled()
    digests = simulation.nodes["e-1"].core.digests
    digests.publish("load", b"1")
    simulation.run(1.2)
    digests.publish("load", b"1")
    digests.publish("load", b"2")
    simulation.run(3.0)
    for name in ("e-2", "e-3", "e-4"):
        received = [d.payload for _, d in simulation.nodes[name].received]
        assert received == [b"1", b"2"]
    restarted = simulation.restart("e-3")
    simulation.run(3.0)
    assert [d.payload for _, d in restarted.received] == [b"2"]


def wide_fleet():
    places = {f"{place}-{i}": place for place in "abc" for i in range(6)}
    simulation = Simulation(places)
    for node in simulation.nodes.values():
        node.core.digests.relayed_topics.add("demand")
    simulation.run(4.0)
    return simulation


def test_a_relayed_topic_of_one_instance_reaches_all_others_once():
    simulation = wide_fleet()
    digests = simulation.nodes["a-0"].core.digests
    for payload in (b"1", b"2"):
        digests.publish("demand", payload)
        digests.publish("other", payload)
        simulation.run(2.0)
    delivered = {}
    for name, node in simulation.nodes.items():
        for topic in ("demand", "other"):
            payloads = [d.payload for _, d in node.received if d.topic == topic]
            delivered[name, topic] = payloads
    for name in simulation.nodes:
        if name != "a-0":
            assert delivered[name, "demand"] == [b"1", b"2"]
    far = [name for name in simulation.nodes if name[0] != "a"]
    assert len([name for name in far if delivered[name, "other"]]) == 4


def test_relayed_digests_of_an_ended_boot_are_dropped():
    simulation = wide_fleet()
    simulation.nodes["a-0"].core.digests.publish("demand", b"old")
    simulation.run(2.0)
    restarted = simulation.restart("a-0")
    restarted.core.digests.relayed_topics.add("demand")
    restarted.core.digests.publish("demand", b"new")
    simulation.run(6.0)
    for name, node in simulation.nodes.items():
        if name == "a-0":
            continue
        topics = node.core.digests.received["a-0", restarted.core.boot]
        assert topics["demand"].payload == b"new"
        late = [d.payload for _, d in node.received if d.topic == "demand"]
        assert late[-1] == b"new"


def test_leaving_is_announced_at_once():
    simulation = settled()
    node = simulation.nodes["e-1"]
    for command in node.core.leave(now=simulation.now):
        simulation.send(node, command)
    simulation.run(0.2)
    for name in ("e-2", "e-3", "e-4"):
        assert simulation.states(name)["e-1"] == "leaving"
    # Without a list, only silent members that announced leaving are removed.
    simulation.listed = False
    for node in simulation.nodes.values():
        node.core.note_list_unavailable()
    simulation.end("e-1")
    simulation.end("e-2")
    simulation.run(15.0)
    assert simulation.states("e-3") == {"e-2": "silent", "e-4": "live"}


def test_an_answer_to_an_earlier_heartbeat_proves_nothing():
    simulation = settled()
    core = simulation.nodes["e-1"].core
    simulation.run(1.0)
    (earlier,) = [c for c in core.leave(now=simulation.now) if c.instance == "e-2"]
    (later,) = [c for c in core.leave(now=simulation.now) if c.instance == "e-2"]
    other = simulation.nodes["e-2"].core
    reply, _ = other.handle_heartbeat(later.heartbeat, now=simulation.now)
    assert not core.handle_reply(earlier, reply, now=simulation.now)
    assert core.handle_reply(later, reply, now=simulation.now)
    assert not core.handle_reply(later, reply, now=simulation.now)


def test_lists_of_two_boots_have_different_versions():
    simulation = Simulation(PLACES)
    cores = [simulation.nodes["e-2"].core, simulation.restart("e-2").core]
    assert cores[0].list_version != cores[1].list_version


def test_the_list_may_fail_once_members_know_each_other():
    simulation = settled()
    simulation.listed = False
    for node in simulation.nodes.values():
        node.core.note_list_unavailable()
    restarted = simulation.restart("e-4")
    simulation.run(4.0)
    # The others still send heartbeats to its address, from which it learns of them.
    assert simulation.states("e-4") == others("e-4")
    assert restarted.core.roster.records["e-1"].heard_at is not None


def test_unlisted_members_are_removed_only_when_silent():
    simulation = settled()
    simulation.unlisted = {"e-4"}
    simulation.run(12.0)
    assert simulation.states("e-1")["e-4"] == "live"
    simulation.end("e-4")
    simulation.run(8.0)
    assert simulation.states("e-1")["e-4"] == "silent"
    simulation.run(12.0)
    assert "e-4" not in simulation.states("e-1")


def test_between_data_centres_two_partners_report_the_rest():
    places = {f"a-{i}": "a" for i in range(3)} | {f"b-{i}": "b" for i in range(5)}
    simulation = Simulation(places)
    simulation.run(5.0)
    core = simulation.nodes["a-0"].core
    partners = {r.instance for r in (*core.partners.local, *core.partners.remote)}
    assert len([p for p in partners if p.startswith("b")]) == 2
    assert set(simulation.states("a-0").values()) == {"live"}
    ended = next(p for p in partners if p.startswith("b"))
    simulation.end(ended)
    unmonitored = next(n for n in places if n.startswith("b") and n not in partners)
    simulation.end(unmonitored)
    simulation.run(6.0)
    states = simulation.states("a-0")
    assert (states[ended], states[unmonitored]) == ("silent", "silent")
    assert list(states.values()).count("live") == 5
    simulation.cut = {"b"}
    simulation.run(6.0)
    assert {s for n, s in simulation.states("a-0").items() if n[0] == "b"} == {"silent"}
    assert {s for n, s in simulation.states("a-0").items() if n[0] == "a"} == {"live"}
    simulation.cut = set()
    simulation.run(25.0)
    assert list(simulation.states("a-0").values()).count("live") == 5


def test_the_state_of_a_former_partner_is_taken_from_other_members():
    places = {"a-0": "a"} | {f"b-{i}": "b" for i in range(5)}
    simulation = Simulation(places)
    simulation.run(5.0)
    core = simulation.nodes["a-0"].core
    best = core.partners.remote[0].instance
    before = {r.instance for r in core.partners.remote}
    simulation.end(best)
    simulation.run(5.0)
    (substitute,) = {r.instance for r in core.partners.remote} - before
    simulation.restart(best)
    simulation.run(15.0)
    assert {r.instance for r in core.partners.remote} == before
    assert set(simulation.states("a-0").values()) == {"live"}
    simulation.end(substitute)
    simulation.run(5.0)
    assert simulation.states("a-0")[substitute] == "silent"
    simulation.restart(substitute)
    simulation.run(5.0)
    assert simulation.states("a-0")[substitute] == "live"
    boots = {m.instance: m.boot for m in core.members()}
    assert boots[substitute] == simulation.nodes[substitute].core.boot


def test_a_listed_newer_boot_does_not_replace_one_that_answers():
    simulation = settled()
    core = simulation.nodes["e-1"].core
    known = core.roster.records["e-2"].as_info(silent=False)
    core.roster.merge_listed(known._replace(boot="ffffffff-0"), now=simulation.now)
    simulation.run(2.0)
    assert simulation.states("e-1")["e-2"] == "live"
    assert core.roster.records["e-2"].boot == known.boot


FAULT = st.one_of(
    st.tuples(st.just("restart"), st.sampled_from(sorted(PLACES)), st.none()),
    st.tuples(st.just("replace"), st.sampled_from(sorted(PLACES)), st.floats(0.3, 8.0)),
    st.tuples(st.just("pause"), st.sampled_from(sorted(PLACES)), st.floats(0.3, 8.0)),
    st.tuples(st.just("cut"), st.sampled_from(sorted(PLACES.values())), st.none()),
    st.tuples(st.just("heal"), st.none(), st.none()),
    st.tuples(st.just("loss"), st.none(), st.floats(0.0, 0.4)),
    st.tuples(st.just("delay"), st.none(), st.floats(0.001, 0.8)),
    st.tuples(st.just("list"), st.none(), st.booleans()),
    st.tuples(
        st.just("silence"),
        st.sampled_from(sorted(PLACES)),
        st.sampled_from(sorted(PLACES)),
    ),
)


@settings(derandomize=True, max_examples=80, deadline=None, database=None)
@given(
    faults=st.lists(st.tuples(FAULT, st.floats(0.0, 4.0)), max_size=12),
    seed=st.integers(0, 1000),
)
def test_under_random_faults_no_member_is_wrongly_believed_and_all_recover(
    faults, seed
):
    simulation = settled(seed=seed)
    for (kind, subject, value), seconds in faults:
        inject(simulation, kind, subject, value)
        simulation.run(seconds)
    heal(simulation)
    for name in PLACES:
        assert simulation.states(name) == others(name)
        for member in simulation.nodes[name].core.members():
            assert member.boot == simulation.nodes[member.instance].core.boot
        assert not simulation.nodes[name].core.superseded


def inject(simulation, kind, subject, value):
    if kind == "restart":
        simulation.restart(subject)
    elif kind == "replace":
        # The replaced process resumes after its pause.
        simulation.pause(subject, value)
        simulation.start(subject)
    elif kind == "pause":
        simulation.pause(subject, value)
    elif kind == "cut":
        simulation.cut = {subject}
    elif kind == "heal":
        simulation.cut = set()
    elif kind == "loss":
        simulation.loss = value
    elif kind == "delay":
        simulation.longest_delay = value
    elif kind == "list":
        simulation.listed = value
    elif kind == "silence" and subject != value:
        simulation.silence(subject, value)


def heal(simulation):
    simulation.cut = set()
    simulation.loss = 0.0
    simulation.longest_delay = 0.005
    simulation.listed = True
    simulation.run(20.0)


def large_data_centre(members=16):
    simulation = Simulation({f"a-{i}": "a" for i in range(members)})
    simulation.run(5.0)
    return simulation


def test_heartbeats_of_a_large_data_centre_stay_within_their_rate():
    simulation = large_data_centre()
    before = simulation.nodes["a-0"].core.sequence
    simulation.run(10.0)
    assert simulation.nodes["a-0"].core.sequence - before <= 110


def test_a_digest_reaches_a_large_data_centre_with_either_ends_heartbeat():
    simulation = large_data_centre()
    simulation.nodes["a-0"].core.digests.publish("demand", b"1")
    simulation.run(1.7)
    for name, node in simulation.nodes.items():
        received = [each.payload for _, each in node.received]
        assert received == ([] if name == "a-0" else [b"1"])


def test_an_ended_member_of_a_large_data_centre_is_silent_within_seconds():
    simulation = large_data_centre()
    simulation.end("a-3")
    simulation.run(4.2)
    for name in simulation.nodes:
        if name != "a-3":
            assert simulation.states(name)["a-3"] == "silent"


def test_digests_seen_of_an_earlier_boot_are_sent_again_by_the_next():
    simulation = large_data_centre(3)
    for payload in (b"1", b"2", b"3"):
        simulation.nodes["a-0"].core.digests.publish("demand", payload)
        simulation.run(1.0)
    restarted = simulation.restart("a-0")
    restarted.core.digests.publish("demand", b"4")
    simulation.run(3.0)
    for name in ("a-1", "a-2"):
        received = simulation.nodes[name].core.digests.received
        assert received["a-0", restarted.core.boot]["demand"].payload == b"4"
