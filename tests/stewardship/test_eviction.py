from skylarkpost.stewardship.eviction import (
    AdapterUsage,
    eviction_policy,
    expected_rate,
)


def usage(*, rate=0.0, idle_for=0.0):
    return AdapterUsage(lora_name="a@1", rate=rate, idle_for=idle_for, load_cost=0.5)


def test_recently_used_adapter_scores_higher_than_one_long_idle():
    worth = eviction_policy("worth")
    assert worth(usage(idle_for=5.0)) > worth(usage(idle_for=120.0))


def test_popular_adapter_scores_higher_than_one_with_a_single_past_request():
    worth = eviction_policy("worth")
    assert worth(usage(rate=0.01, idle_for=60.0)) > worth(usage(idle_for=60.0))
    assert expected_rate(usage(rate=0.01, idle_for=1e6)) == 0.01
