"""Tests of the retry times of refused callers."""

import itertools

import pytest

from seam_policy import retry_after_schedule

STEP_S, MOST_S = 0.7, 4.6


def test_retries_after_a_burst_are_spread_out():
    schedule = retry_after_schedule.RetryAfterSchedule()
    times = [schedule.assign(0.0, STEP_S, MOST_S) for _ in range(5)]
    assert times[0] == retry_after_schedule.MIN_RETRY_AFTER_S
    steps = [b - a for a, b in itertools.pairwise(times)]
    assert all(abs(step - STEP_S) < 1e-9 for step in steps)


def test_no_delay_exceeds_the_time_the_caller_can_wait():
    schedule = retry_after_schedule.RetryAfterSchedule()
    times = [schedule.assign(0.0, STEP_S, MOST_S) for _ in range(50)]
    assert max(times) <= MOST_S


def test_the_schedule_is_empty_again_after_the_burst():
    schedule = retry_after_schedule.RetryAfterSchedule()
    for _ in range(50):
        schedule.assign(0.0, STEP_S, MOST_S)
    again = schedule.assign(30.0, STEP_S, MOST_S)
    assert again == pytest.approx(retry_after_schedule.MIN_RETRY_AFTER_S)


def test_caller_without_time_left_gets_no_delay():
    schedule = retry_after_schedule.RetryAfterSchedule()
    assert schedule.assign(0.0, STEP_S, 0.0) == 0.0
