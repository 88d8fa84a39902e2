"""Tests of detecting returning callers by the time they have left."""

import random

from seam_policy import returning_callers

TIMEOUT_S = 14.0


def first_requests(callers, count=200):
    chance = random.Random(7)
    return [
        callers.is_returning("draft", chance.uniform(12.2, 14.0), TIMEOUT_S)
        for _ in range(count)
    ]


def test_varying_waits_of_first_requests_are_not_returns():
    assert not any(first_requests(returning_callers.ReturningCallers()))


def test_refused_caller_with_less_time_left_is_returning():
    callers = returning_callers.ReturningCallers()
    first_requests(callers)
    assert callers.is_returning("draft", 11.5, TIMEOUT_S)


def test_longer_timeout_marks_no_caller_as_returning():
    """The operator changes the route's timeout, not the callers' waits."""
    callers = returning_callers.ReturningCallers()
    first_requests(callers)
    assert not callers.is_returning("draft", 12.3, 2 * TIMEOUT_S)


def test_shorter_timeout_marks_no_caller_as_returning():
    callers = returning_callers.ReturningCallers()
    first_requests(callers)
    assert not callers.is_returning("draft", 12.3, TIMEOUT_S / 2)


def test_longest_wait_adapts_to_shorter_waits():
    callers = returning_callers.ReturningCallers()
    first_requests(callers)
    returning = [
        callers.is_returning("draft", 10.0, TIMEOUT_S) for _ in range(100)
    ]
    assert returning[0]
    assert not returning[-1]


def test_routes_are_tracked_separately():
    callers = returning_callers.ReturningCallers()
    first_requests(callers)
    assert not callers.is_returning("other", 5.0, TIMEOUT_S)


def test_caller_without_stated_wait_is_not_returning():
    callers = returning_callers.ReturningCallers()
    assert not callers.is_returning("draft", None, TIMEOUT_S)


def test_state_of_removed_routes_is_dropped():
    callers = returning_callers.ReturningCallers()
    first_requests(callers)
    callers.retain({"other"})
    assert not callers.is_returning("draft", 5.0, TIMEOUT_S)
