"""Callers that ask again, told by the time that they have left."""

import random

from seam_policy import returning_callers

TIMEOUT_S = 14.0


def first_asks(callers, count=200):
    chance = random.Random(7)
    return [
        callers.is_returning("draft", chance.uniform(12.2, 14.0), TIMEOUT_S)
        for _ in range(count)
    ]


def test_callers_that_first_ask_differ_in_how_long_they_wait():
    assert not any(first_asks(returning_callers.ReturningCallers()))


def test_a_caller_that_was_sent_away_is_back():
    callers = returning_callers.ReturningCallers()
    first_asks(callers)
    assert callers.is_returning("draft", 11.5, TIMEOUT_S)


def test_a_longer_timeout_makes_nobody_late():
    """The operator's change moves the timeout, not the callers' patience."""
    callers = returning_callers.ReturningCallers()
    first_asks(callers)
    assert not callers.is_returning("draft", 12.3, 2 * TIMEOUT_S)


def test_a_shorter_timeout_makes_nobody_late():
    callers = returning_callers.ReturningCallers()
    first_asks(callers)
    assert not callers.is_returning("draft", 12.3, TIMEOUT_S / 2)


def test_callers_that_become_less_patient_are_learnt():
    callers = returning_callers.ReturningCallers()
    first_asks(callers)
    back = [callers.is_returning("draft", 10.0, TIMEOUT_S) for _ in range(100)]
    assert back[0]
    assert not back[-1]


def test_each_route_has_callers_of_its_own():
    callers = returning_callers.ReturningCallers()
    first_asks(callers)
    assert not callers.is_returning("other", 5.0, TIMEOUT_S)


def test_a_caller_that_says_nothing_is_not_back():
    callers = returning_callers.ReturningCallers()
    assert not callers.is_returning("draft", None, TIMEOUT_S)


def test_routes_that_are_gone_are_forgotten():
    callers = returning_callers.ReturningCallers()
    first_asks(callers)
    callers.retain({"other"})
    assert not callers.is_returning("draft", 5.0, TIMEOUT_S)
