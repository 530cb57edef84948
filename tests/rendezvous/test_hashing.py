from skylarkpost.rendezvous import choose_member, choose_members

MEMBERS = [f"entry-{number}" for number in range(12)]
KEYS = [f"team-{number}" for number in range(200)]


def test_only_the_keys_of_a_member_that_left_move():
    for key in KEYS:
        before = choose_member(key, MEMBERS)
        after = choose_member(key, [m for m in MEMBERS if m != "entry-5"])
        assert after == before or before == "entry-5"


def test_the_order_of_the_candidates_does_not_matter():
    for key in KEYS:
        assert choose_member(key, MEMBERS) == choose_member(key, MEMBERS[::-1])


def test_an_added_candidate_changes_at_most_one_choice():
    for key in KEYS:
        before = set(choose_members(key, MEMBERS, 3))
        after = set(choose_members(key, [*MEMBERS, "entry-new"], 3))
        assert len(before - after) <= 1
        assert choose_members(key, MEMBERS, 1) == [choose_member(key, MEMBERS)]


def test_without_candidates_nothing_is_chosen():
    assert choose_member("k", []) is None
    assert choose_members("k", [], 2) == []
