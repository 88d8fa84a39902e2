"""Expected output lengths."""

import math
import random

from seam_policy import output_length

MOST = 7670


def test_first_estimate_is_taken_as_it_is():
    lengths = output_length.OutputLengthEstimator()
    assert lengths.expected_tokens(1400, MOST) == 1400


def test_estimates_are_drawn_towards_the_usual_length():
    lengths = output_length.OutputLengthEstimator()
    for _ in range(200):
        lengths.expected_tokens(3400, MOST)
    assert 3400 < lengths.expected_tokens(10_000, MOST) < 7000
    assert 1000 < lengths.expected_tokens(500, MOST) < 3400


def test_blended_guesses_are_nearer_than_estimates():
    rng = random.Random(5)
    lengths = output_length.OutputLengthEstimator()
    raw = blended = 0.0
    for _ in range(2000):
        log_length = rng.gauss(8.15, 0.46)
        log_hint = log_length + rng.gauss(0, 0.46)
        likely = lengths.expected_tokens(round(math.exp(log_hint)), 10**9)
        raw += (log_hint - log_length) ** 2
        blended += (math.log(likely) - log_length) ** 2
    assert blended < 0.7 * raw


def test_never_over_the_longest_output():
    assert (
        output_length.OutputLengthEstimator().expected_tokens(99_999, MOST)
        == MOST
    )
