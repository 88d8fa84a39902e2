"""Tests of the retry budget and of hedging."""

from seam_policy import hedge
from seam_policy import retry


def test_retries_stay_a_share_of_successes():
    budget = retry.RetryBudget(ratio=0.1, capacity=10.0, start=0.0)
    assert not budget.take()
    for _ in range(101):
        budget.record_success()
    taken = sum(budget.take() for _ in range(50))
    assert taken == 10


def test_budget_is_exhausted_without_successes():
    budget = retry.RetryBudget(start=3.0)
    assert [budget.take() for _ in range(5)] == [True] * 3 + [False] * 2


def test_only_idempotent_calls_are_hedged_and_only_within_the_budget():
    policy = hedge.HedgePolicy(retry.RetryBudget(start=1.0))
    assert policy.plan(True, 2, 1.0) is None
    for _ in range(100):
        policy.record_latency(0.02)
    assert policy.plan(False, 2, 1.0) is None
    assert policy.plan(True, 1, 1.0) is None
    assert policy.plan(True, 2, 0.01) is None
    assert 0.01 < policy.plan(True, 2, 1.0).delay_s < 0.05
    assert [policy.take(), policy.take()] == [True, False]
