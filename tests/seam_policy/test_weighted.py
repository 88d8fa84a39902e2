"""Tests of the weighted choice by a key."""

import collections

from seam_policy import weighted


def test_shares_follow_the_weights():
    counts = collections.Counter(
        weighted.pick([90, 10], f"id-{number}") for number in range(5000)
    )
    assert 0.08 < counts[1] / 5000 < 0.12


def test_same_key_same_choice():
    picks = {weighted.pick([1, 1, 1], "one-id") for _ in range(10)}
    assert len(picks) == 1


def test_zero_weights_take_the_first():
    assert weighted.pick([0, 0], "id") == 0
    assert weighted.pick([5], "id") == 0


def test_entry_with_zero_weight_is_never_picked():
    picks = {weighted.pick([1, 0], f"id-{number}") for number in range(500)}
    assert picks == {0}
