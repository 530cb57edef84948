import pytest

from skylarkpost.stewardship.prefill import Preamble, PreambleCache, PrefillBacklog


def test_cached_prefix_is_not_prefilled_again():
    memory = PreambleCache(capacity=10_000)
    parts = (Preamble(1, 2500.0), Preamble(2, 6300.0), Preamble(3, 9000.0))
    assert memory.uncached_tokens(parts, 9200) == 9200
    memory.note_prompt(parts)
    assert memory.uncached_tokens(parts, 9200) == 200
    other = (*parts[:2], Preamble(4, 8000.0))
    assert memory.uncached_tokens(other, 8100) == 1800


def test_least_recently_used_prefix_is_evicted_first():
    memory = PreambleCache(capacity=5_000)
    for key in (1, 2):
        memory.note_prompt((Preamble(key, 2000.0),))
    memory.note_prompt((Preamble(1, 2000.0),))
    memory.note_prompt((Preamble(3, 2000.0),))
    kept = [
        key
        for key in (1, 2, 3)
        if not memory.uncached_tokens((Preamble(key, 2000),), 2000)
    ]
    assert kept == [1, 3]
    assert memory.tokens <= 5_000


def test_urgent_prompts_do_not_wait_for_less_urgent_ones():
    backlog = PrefillBacklog(now=0.0)
    for _ in range(10):
        backlog.add(0.225, urgency=8, now=0.0)
    assert backlog.ahead(9, now=0.0) == 0.0
    assert backlog.ahead(8, now=0.0) == pytest.approx(2.25)
    backlog.add(1.0, urgency=9, now=0.0)
    # The urgent second is prefilled first, so the others make no progress.
    assert backlog.ahead(8, now=1.0) == pytest.approx(2.25)
    assert backlog.ahead(8, now=4.0) == 0.0
