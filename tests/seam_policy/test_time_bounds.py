"""Timeouts that are derived from a deployment's time bounds."""

import pytest

from seam_policy import time_bounds


@pytest.mark.parametrize("settle_s", [1.5, 2.0, 3.0, 4.5, 10.0])
def test_a_silent_watch_is_replaced_within_the_settling_time(settle_s):
    wait_s = time_bounds.watch_wait_s(settle_s)
    assert 0 < wait_s <= settle_s - time_bounds.RELIST_S
    assert wait_s <= time_bounds.MAX_WATCH_WAIT_S


def test_watches_do_not_spin_where_the_settling_time_is_very_short():
    wait_s = time_bounds.watch_wait_s(0.1)
    assert wait_s == time_bounds.MIN_WATCH_WAIT_S


def test_a_working_watch_keeps_the_copy_up_to_date():
    wait_s = time_bounds.watch_wait_s(3.0)
    assert time_bounds.up_to_date_s(wait_s) > wait_s + time_bounds.RELIST_S


@pytest.mark.parametrize("handover_s", [0.0, 0.5, 3.0, 12.5])
def test_orders_of_two_holders_are_apart(handover_s):
    last_arrival_s = 1.0 + time_bounds.ORDER_ARRIVAL_MARGIN_S
    found_s = time_bounds.lease_handover_s(handover_s, order_timeout_s=1.0)
    assert found_s - last_arrival_s >= handover_s


def test_a_leaving_instance_accepts_callers_that_cannot_know_yet():
    accept_s = time_bounds.accept_s(cache_s=1.0, grace_s=8.0)
    assert accept_s >= 3.0
    assert 8.0 - accept_s >= 4.0


def test_a_short_grace_period_is_not_spent_on_accepting():
    assert time_bounds.accept_s(cache_s=5.0, grace_s=3.0) == 1.5


@pytest.mark.parametrize("apply_s", [1.0, 1.3, 2.0, 3.0, 4.0, 10.0])
def test_a_source_that_hears_nothing_is_found_out_in_time(apply_s):
    """The follower reads every half wait, then lists by itself."""
    wait_s = time_bounds.source_wait_s(apply_s)
    found_s = time_bounds.source_max_age_s(apply_s) + wait_s / 2
    assert wait_s < time_bounds.source_max_age_s(apply_s)
    assert found_s <= 0.75 * apply_s
