"""Tests of one instance's share of the retry budget."""

from seam_policy import retry_share

RATIO, ALLOWANCE, WINDOW_S, INSTANCES = 0.2, 52, 10.0, 6


def share():
    return retry_share.RetryShare(RATIO, ALLOWANCE, WINDOW_S)


def spend_all(budget, now):
    spent = 0
    while budget.take("service", now, INSTANCES):
        spent += 1
    return spent


def test_all_instances_together_stay_within_the_budget():
    requests = 300
    spent = 0
    for _ in range(INSTANCES):
        budget = share()
        for number in range(requests // INSTANCES):
            budget.record_request("service", number * 0.01)
        spent += spend_all(budget, 1.0)
    assert spent <= RATIO * requests + ALLOWANCE


def test_spent_retries_are_available_again_after_the_window():
    budget = share()
    first = spend_all(budget, 0.0)
    assert first > 0
    assert spend_all(budget, WINDOW_S - 0.1) == 0
    assert spend_all(budget, WINDOW_S + 0.1) == first


def test_every_sliding_window_stays_within_the_share():
    budget = share()
    times = []
    for step in range(400):
        now = step * 0.1
        budget.record_request("service", now)
        if budget.take("service", now, INSTANCES):
            times.append(now)
    for start in times:
        inside = [t for t in times if start <= t < start + WINDOW_S]
        requests = WINDOW_S / 0.1
        assert len(inside) <= RATIO * requests + ALLOWANCE / INSTANCES


def test_services_are_counted_separately():
    budget = share()
    spend_all(budget, 0.0)
    assert budget.take("other", 0.0, INSTANCES)
