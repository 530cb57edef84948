from skylarkpost.relay import RetryBudget


def test_retries_stay_a_fraction_of_first_tries():
    budget = RetryBudget(ratio=0.1, reserve=5.0)
    retries = 0
    for _ in range(1000):
        budget.first_try()
        while budget.take():
            retries += 1
    assert retries <= 5 + 0.1 * 1000


def test_an_idle_time_saves_up_no_more_than_the_reserve():
    budget = RetryBudget(ratio=0.1, reserve=3.0)
    for _ in range(1000):
        budget.first_try()
    assert sum(budget.take() for _ in range(100)) == 3
