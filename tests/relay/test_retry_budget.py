from skylarkpost.relay import RetryBudget


def test_retries_stay_a_fraction_of_first_attempts():
    budget = RetryBudget(ratio=0.1, reserve=5.0)
    retries = 0
    for _ in range(1000):
        budget.record_first_attempt()
        while budget.take():
            retries += 1
    assert retries <= 5 + 0.1 * 1000


def test_the_balance_never_exceeds_the_reserve():
    budget = RetryBudget(ratio=0.1, reserve=3.0)
    for _ in range(1000):
        budget.record_first_attempt()
    assert sum(budget.take() for _ in range(100)) == 3


def test_budgets_of_all_instances_stay_within_the_slack_as_instances_start():
    # Instances start one after another, and each knows of those started before.
    slack, budgets = 56.0, []
    for count in range(1, 28):
        budgets.append(RetryBudget(ratio=0.1, reserve=slack / count))
        for budget in budgets:
            budget.resize(slack / count)
    assert sum(budget.balance for budget in budgets) <= slack + 1e-9
    budget_to_grow = budgets[0]
    budget_to_grow.resize(slack)
    assert budget_to_grow.balance < slack / 20
    budget_to_grow.record_first_attempt()
    assert budget_to_grow.balance > slack / 27
