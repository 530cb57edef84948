from skylarkpost.discovery import TargetDirectory, TargetEntry, TargetState


def entry(name="t", started_at_ms=1, **changes):
    values = {
        "name": name,
        "service": "desk",
        "address": "127.0.0.1:1",
        "data_centre": "yaba",
        "slots": 6,
        "state": TargetState.READY,
        "started_at_ms": started_at_ms,
        "orders_accepted": 0,
        "models": (),
        "remaining_time": None,
    }
    return TargetEntry(**(values | changes))


def test_a_leaving_target_is_not_usable():
    directory = TargetDirectory(expiry_grace=2.0)
    directory.put(entry(state=TargetState.LEAVING), 0.0)
    assert directory.usable(0.0) == []


def test_an_announcement_of_an_earlier_run_is_ignored():
    directory = TargetDirectory(expiry_grace=2.0)
    directory.put(entry(started_at_ms=5), 0.0)
    assert not directory.put(entry(started_at_ms=4), 0.0)
    assert directory.find("t", 0.0).started_at_ms == 5


def test_a_removed_target_is_not_usable():
    directory = TargetDirectory(expiry_grace=2.0)
    directory.put(entry(), 0.0)
    directory.drop("t", 1.0, after_outage=False)
    assert directory.usable(1.0) == []


def test_an_entry_that_expired_in_an_outage_stays_usable_for_the_grace_period():
    directory = TargetDirectory(expiry_grace=2.0)
    directory.put(entry(), 0.0)
    directory.put(entry("leaving", state=TargetState.LEAVING), 0.0)
    directory.drop("t", 1.0, after_outage=True)
    directory.drop("leaving", 1.0, after_outage=True)
    assert [each.name for each in directory.usable(2.9)] == ["t"]
    assert directory.usable(3.0) == []
    directory.put(entry(), 3.5)
    assert [each.name for each in directory.usable(9.0)] == ["t"]


def test_the_targets_of_a_service_are_the_same_object_until_one_changes():
    directory = TargetDirectory(expiry_grace=2.0)
    directory.put(entry(), 0.0)
    directory.put(entry("other", service="engines"), 0.0)
    before = directory.of_service("desk", 0.0)
    directory.put(entry(), 1.0)
    assert directory.of_service("desk", 1.0) is before
    directory.put(entry(state=TargetState.LEAVING), 2.0)
    assert directory.of_service("desk", 2.0) == ()
    assert [each.name for each in directory.of_service("engines", 2.0)] == ["other"]


def test_a_target_whose_grace_period_ends_leaves_its_service():
    directory = TargetDirectory(expiry_grace=2.0)
    directory.put(entry(), 0.0)
    directory.drop("t", 1.0, after_outage=True)
    assert [each.name for each in directory.of_service("desk", 2.9)] == ["t"]
    assert directory.of_service("desk", 3.0) == ()
    directory.put(entry(), 4.0)
    assert [each.name for each in directory.of_service("desk", 4.0)] == ["t"]


def test_a_target_that_leaves_is_not_used_again_after_a_restore():
    directory = TargetDirectory(expiry_grace=2.0, silence=4.8)
    directory.put(entry(state=TargetState.LEAVING), 0.0)
    directory.note_restore(1.0)
    assert directory.is_outdated(entry(), 1.0)
    assert not directory.put(entry(), 1.0)
    assert directory.usable(9.0) == []
    # A new run of the target isn't leaving.
    directory.put(entry(started_at_ms=2), 1.5)
    assert [each.name for each in directory.usable(1.5)] == ["t"]


def test_a_gone_target_that_a_restored_store_offers_is_believed_only_after_a_while():
    directory = TargetDirectory(expiry_grace=2.0, silence=4.8)
    for name in ("gone", "back"):
        directory.put(entry(name), 0.0)
        directory.drop(name, 1.0, after_outage=False)
    directory.note_restore(10.0)
    directory.put(entry("gone"), 10.0)
    directory.put(entry("back"), 10.0)
    assert directory.of_service("desk", 12.0) == ()
    directory.drop("gone", 13.0, after_outage=False)
    assert directory.of_service("desk", 14.7) == ()
    assert [each.name for each in directory.of_service("desk", 14.9)] == ["back"]


def test_a_target_that_a_restored_store_lacks_is_used_until_it_must_have_written_again():
    directory = TargetDirectory(expiry_grace=2.0, silence=4.8)
    directory.put(entry(), 0.0)
    directory.note_restore(1.0)
    directory.lose("t", 1.0)
    assert [each.name for each in directory.usable(2.9)] == ["t"]
    assert directory.usable(3.1) == []
    directory.put(entry(), 3.2)
    assert [each.name for each in directory.usable(3.2)] == ["t"]


def test_targets_of_an_evacuated_data_centre_are_usable_but_get_no_requests():
    directory = TargetDirectory(expiry_grace=2.0)
    directory.put(entry("a"), 0.0)
    directory.put(entry("b", data_centre="lekki"), 0.0)
    assert directory.of_service("desk", 0.0) is directory.usable_of_service("desk", 0.0)
    directory.set_evacuated(frozenset({"yaba"}))
    assert [each.name for each in directory.of_service("desk", 0.0)] == ["b"]
    assert len(directory.usable_of_service("desk", 0.0)) == 2
    # An entry that expires meanwhile stays out, and so does a later announcement.
    directory.drop("a", 1.0, after_outage=True)
    directory.put(entry("c"), 1.0)
    assert [each.name for each in directory.of_service("desk", 1.0)] == ["b"]
    directory.set_evacuated(frozenset())
    assert {each.name for each in directory.of_service("desk", 1.0)} == {"a", "b", "c"}


def test_a_run_after_the_announced_one_is_newer():
    directory = TargetDirectory(expiry_grace=2.0)
    directory.put(entry(started_at_ms=5), 0.0)
    assert directory.is_newer_run("t/6")
    assert not directory.is_newer_run("t/5")
    assert not directory.is_newer_run("t/4")
    assert not directory.is_newer_run("other/6")
    assert not directory.is_newer_run("t/odd")
