"""Tests of the expected output lengths."""

import math
import random

from seam_policy import output_length

MAX_OUTPUT = 7670


def test_first_estimate_is_used_unchanged():
    lengths = output_length.OutputLengthEstimator()
    assert lengths.expected_tokens(1400, MAX_OUTPUT) == 1400


def test_estimates_regress_towards_the_mean():
    lengths = output_length.OutputLengthEstimator()
    for _ in range(200):
        lengths.expected_tokens(3400, MAX_OUTPUT)
    assert 3400 < lengths.expected_tokens(10_000, MAX_OUTPUT) < 7000
    assert 1000 < lengths.expected_tokens(500, MAX_OUTPUT) < 3400


def test_blended_estimates_have_a_smaller_error():
    rng = random.Random(5)
    lengths = output_length.OutputLengthEstimator()
    raw_error = blended_error = 0.0
    for _ in range(2000):
        log_length = rng.gauss(8.15, 0.46)
        log_hint = log_length + rng.gauss(0, 0.46)
        expected = lengths.expected_tokens(round(math.exp(log_hint)), 10**9)
        raw_error += (log_hint - log_length) ** 2
        blended_error += (math.log(expected) - log_length) ** 2
    assert blended_error < 0.7 * raw_error


def test_never_above_the_maximum_output():
    assert (
        output_length.OutputLengthEstimator().expected_tokens(
            99_999, MAX_OUTPUT
        )
        == MAX_OUTPUT
    )
