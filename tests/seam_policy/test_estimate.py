"""Tests of the estimators and of the fair queue's weights."""

import math

import pytest

from seam_policy import estimate
from seam_policy import fair


def test_mean_follows_a_change_and_ignores_non_finite_samples():
    mean = estimate.Ewma(9.0)
    for sample in [1.0] * 10 + [math.nan, math.inf] + [3.0] * 60:
        mean.add(sample)
    assert mean.value == pytest.approx(3.0, rel=0.01)
    assert mean.value <= mean.high() < 3.1


def test_prefill_estimate_counts_backlog_at_the_measured_rate():
    engine = estimate.EngineEstimates()
    for _ in range(50):
        engine.prefill.add(2000, 0.5)
    engine.prefill.add(0, 1.0)
    assert engine.prefill_s(1000, backlog_tokens=3000) == pytest.approx(1.0)


def test_peak_rate_is_hardly_lowered_by_queued_work():
    rate = estimate.PeakRate(8000.0)
    for _ in range(20):
        rate.add(1000, 0.0625)
        rate.add(1000, 0.25)
    assert rate.rate == pytest.approx(16_000, rel=0.02)
    for _ in range(400):
        rate.add(1000, 0.125)
    assert rate.rate == pytest.approx(8000, rel=0.05)


def test_arrival_rate_decays_when_arrivals_end():
    arrivals = estimate.ArrivalRate(10.0)
    for tenth in range(1000):
        arrivals.add(tenth / 10)
    assert arrivals.rate(100.0) == pytest.approx(10.0, rel=0.05)
    assert arrivals.rate(200.0) < 0.01


def test_service_follows_the_weights_and_idle_time_gives_no_credit():
    queue = fair.FairQueue({"big": 3.0})
    for number in range(400):
        key = number.to_bytes(4, "big")
        queue.push(("big", "small")[number % 2], key, (number % 2, key))
    served = [0, 0]
    for _ in range(200):
        which, key = queue.head()
        served[which] += 1
        queue.serve(("big", "small")[which], 100.0)
        queue.remove(("big", "small")[which], key)
    assert served == [150, 50]
    for number in range(100):
        queue.push("late", b"l%d" % number, (2, b"l%d" % number))
    turns = []
    for _ in range(8):
        which, key = queue.head()
        turns.append(which)
        queue.serve(("big", "small", "late")[which], 100.0)
        queue.remove(("big", "small", "late")[which], key)
    assert turns.count(2) <= 3


def test_running_mean_is_the_mean_of_few_samples():
    mean = estimate.RunningMean(gain=0.1)
    for sample in (10.0, 20.0, 60.0, math.nan):
        mean.add(sample)
    assert mean.mean == estimate.Mean(30.0, 3.0)


def test_running_mean_follows_a_change():
    mean = estimate.RunningMean(gain=0.1)
    for sample in [10.0] * 50 + [20.0] * 50:
        mean.add(sample)
    assert 19.0 < mean.mean.value < 20.0
    assert mean.mean.weight == 10.0


def test_pooled_mean_weighs_by_samples():
    means = [estimate.Mean(10.0, 30.0), estimate.Mean(40.0, 9.0)]
    assert estimate.pooled_mean(means, 20.0) == (300 + 360 + 20) / 40
    assert estimate.pooled_mean([], 20.0) == 20.0


def test_median_rate_ignores_single_outliers():
    rate = estimate.MedianRate(5.0)
    assert (rate.rate, len(rate)) == (5.0, 0)
    for units in (10, 11, 500, 9, 10, 0):
        rate.add(units, 1.0)
    assert rate.rate == 10.0
    assert rate.mean() == estimate.Mean(10.0, 5)
