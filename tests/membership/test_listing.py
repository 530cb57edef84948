from skylarkpost.listing import ListedInstance
from skylarkpost.membership import PauseDetector, TargetListing
from skylarkpost.rendezvous import choose_members


def entry(name, state="live", role="target"):
    return ListedInstance(name, role, f"127.0.0.1:{name}", "yaba", state)


def entries(**states):
    return {name: entry(name, state) for name, state in states.items()}


def test_a_target_is_unknown_before_the_first_list_and_then_absent():
    listing = TargetListing()
    assert listing.target_state("t") == "unknown"
    listing.apply_list(entries(t="leaving"), 1.0)
    assert listing.target_state("t") == "leaving"
    listing.apply_list({}, 2.0)
    assert listing.target_state("t") == "absent"


def test_an_older_list_changes_nothing():
    listing = TargetListing()
    listing.apply_list(entries(t="leaving"), 2.0)
    listing.apply_list(entries(t="live"), 1.0)
    assert listing.target_state("t") == "leaving"


def test_an_instance_cut_from_the_platform_learns_of_changes_from_peers():
    connected, cut = TargetListing(), TargetListing()
    for listing in (connected, cut):
        listing.apply_list(entries(t="live", u="live"), 1.0)
    connected.apply_list(entries(t="leaving"), 2.0)
    cut.apply_changes(connected.encode_changes())
    assert cut.target_state("t") == "leaving"
    assert cut.target_state("u") == "absent"
    assert cut.encode_changes() == connected.encode_changes()
    # A list older than the peer's change does not undo the change.
    cut.apply_list(entries(t="live", u="live"), 1.5)
    assert cut.target_state("t") == "leaving"
    cut.apply_list(entries(t="live", u="live"), 3.0)
    assert cut.target_state("t") == "live"


def test_changes_are_passed_to_peers_for_a_limited_time():
    listing = TargetListing()
    listing.apply_list(entries(t="live"), 1.0)
    listing.apply_list(entries(t="leaving"), 2.0)
    listing.apply_list(entries(t="leaving"), 100.0)
    assert listing.changes == {}


def test_a_pause_is_detected_by_the_first_observation_after_it():
    detector = PauseDetector(now=0.0)
    for step in range(1, 40):
        assert detector.observe(now=step * 0.05) == 0.0
    assert detector.last_resumed_at is None
    assert detector.observe(now=9.0) > 1.0
    detector.observe(now=9.01)
    assert detector.last_resumed_at == 9.0


def test_partners_change_little_when_a_candidate_disappears():
    candidates = [f"e-{number}" for number in range(20)]
    before = choose_members("me", candidates, 2)
    after = choose_members("me", [c for c in candidates if c != before[0]], 2)
    assert before[1] == after[0]
