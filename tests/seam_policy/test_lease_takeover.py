"""Takeover of leases in stores that were and were not restored."""

import pytest

from seam_policy import lease_takeover

DURATION_S = 6.0
ORDER_TIMEOUT_S = 4.0


def wait_s(stored):
    return lease_takeover.takeover_wait_s(stored, DURATION_S, ORDER_TIMEOUT_S)


def lease(store_era=1, written_era=1, duration_s=DURATION_S, fence=1):
    return lease_takeover.StoredLease(
        store_era, True, written_era, duration_s, fence
    )


@pytest.mark.parametrize("era", [0, 1])
def test_a_lease_that_never_was_is_taken_at_once(era):
    assert wait_s(lease_takeover.StoredLease(era, exists=False)) == 0


@pytest.mark.parametrize(
    "stored",
    [
        lease_takeover.StoredLease(2, exists=False),
        lease(store_era=2),
        lease(store_era=2, duration_s=0.0),
        lease(store_era=9, written_era=8, duration_s=0.0),
        lease(store_era=2, written_era=0),
    ],
)
def test_a_lease_of_an_era_before_is_waited_for_in_full(stored):
    assert wait_s(stored) == DURATION_S + ORDER_TIMEOUT_S


def test_a_longer_lease_is_waited_for():
    assert wait_s(lease(store_era=2, duration_s=15.0)) == 15.0 + ORDER_TIMEOUT_S


def test_a_released_lease_is_free_after_the_last_order():
    assert wait_s(lease(3, 3, duration_s=0.0)) == ORDER_TIMEOUT_S


def test_tokens_rise_over_eras():
    first = lease_takeover.next_fence(lease_takeover.StoredLease(1, False))
    second = lease_takeover.next_fence(lease(fence=first))
    lost = lease_takeover.next_fence(lease_takeover.StoredLease(2, False))
    older = lease_takeover.next_fence(lease(store_era=2, fence=first))
    later = lease_takeover.next_fence(lease(3, 2, fence=older))
    assert first < second < lost <= older < later
    assert later < 2**31
