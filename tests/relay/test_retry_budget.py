from skylarkpost.relay import RetryBudget


def test_retries_stay_a_fraction_of_first_tries():
    budget = RetryBudget(ratio=0.1, reserve=5.0)
    retries = 0
    for _ in range(1000):
        budget.record_first_attempt()
        while budget.take():
            retries += 1
    assert retries <= 5 + 0.1 * 1000


def test_an_idle_time_saves_up_no_more_than_the_reserve():
    budget = RetryBudget(ratio=0.1, reserve=3.0)
    for _ in range(1000):
        budget.record_first_attempt()
    assert sum(budget.take() for _ in range(100)) == 3


def test_parts_of_one_slack_hold_together_however_many_instances_come():
    # Instances that start one after the other each know of those before.
    slack, budgets = 56.0, []
    for count in range(1, 28):
        budgets.append(RetryBudget(ratio=0.1, reserve=slack / count))
        for budget in budgets:
            budget.resize(slack / count)
    assert sum(budget.balance for budget in budgets) <= slack + 1e-9
    grown = budgets[0]
    grown.resize(slack)
    assert grown.balance < slack / 20
    grown.record_first_attempt()
    assert grown.balance > slack / 27
