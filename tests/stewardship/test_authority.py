from skylarkpost.stewardship import Authority


def authority():
    return Authority(lease=3.0, settle=2.0, gap=1.0)


def test_log_read_renews_authority_for_one_lease():
    held = authority()
    assert not held.is_valid(0.0)
    held.note_log_read(0.0, 0.5)
    assert held.is_valid(1.0) and held.is_valid(2.0) and held.is_valid(3.0)
    assert not held.is_valid(3.5)
    assert held.gained_at == 0.5


def test_confirmations_from_before_a_pause_are_discarded():
    held = authority()
    held.note_log_read(10.0, 10.0)
    assert held.is_valid(10.5)
    assert not held.is_valid(12.0)
    held.note_log_read(11.9, 12.1)
    assert not held.is_valid(12.2)
    held.note_log_read(12.2, 12.4)
    assert held.is_valid(12.5)
    assert held.gained_at == 12.4


def test_neighbours_confirm_only_after_the_settling_time():
    held = authority()
    held.note_resumed(5.0)
    held.note_neighbours([5.5], 6.0)
    assert not held.is_valid(6.1)
    held.note_neighbours([6.8, 4.0], 7.0)
    assert not held.is_valid(7.0)
    held.note_neighbours([6.8, 7.1], 7.2)
    assert held.is_valid(7.2)
    alone = authority()
    alone.note_neighbours([], 1.0)
    assert alone.is_valid(1.0)
