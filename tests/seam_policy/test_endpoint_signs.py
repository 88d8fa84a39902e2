"""Signs of endpoints, over orders of events and clocks that step."""

import itertools

import hypothesis
from hypothesis import strategies

from seam_policy import endpoint_signs

KEYS = ("a/1", "a/2", "b/1")
steps = strategies.one_of(
    strategies.tuples(strategies.just("leave"), strategies.sampled_from(KEYS)),
    strategies.tuples(
        strategies.just("pause"),
        strategies.sampled_from(KEYS),
        strategies.floats(0.0, 1e12),
    ),
    strategies.tuples(strategies.just("wait"), strategies.floats(0.0, 100.0)),
)


@hypothesis.settings(derandomize=True, deadline=None, database=None)
@hypothesis.given(strategies.lists(steps, max_size=30))
def test_signs_hold_for_their_incarnation_and_no_other(events):
    signs = endpoint_signs.EndpointSigns()
    left, until, now = set(), {}, 100.0
    for kind, *values in events:
        if kind == "leave":
            is_new = signs.heard_leaving(values[0], "GET / 200", now)
            assert is_new == (values[0] not in left)
            left.add(values[0])
        elif kind == "pause":
            key, pause_s = values
            was_pausing = until.get(key, 0.0) > now
            begins = signs.heard_pause(key, pause_s, now)
            assert begins == (pause_s > 0 and not was_pausing)
            until[key] = now + min(pause_s, endpoint_signs.MAX_PAUSE_S)
        else:
            now += values[0]
        for key in KEYS:
            assert (signs.leaving(key) is not None) == (key in left)
            expected_s = max(0.0, until.get(key, now) - now)
            assert signs.pause_left_s(key, now) == expected_s
            assert (key in signs.pausing(now)) == (expected_s > 0)


def test_a_clock_that_steps_back_shuts_no_endpoint_out_for_good():
    signs = endpoint_signs.EndpointSigns()
    signs.heard_pause("a/1", 5.0, 1000.0)
    assert signs.pause_left_s("a/1", 10.0) == 0.0
    assert signs.pausing(10.0) == set()


def test_memory_is_bounded_and_the_oldest_signs_go_first():
    signs = endpoint_signs.EndpointSigns()
    for number in range(endpoint_signs.MAX_KEYS + 5):
        signs.heard_leaving(f"e/{number}", "GET / 200", 0.0)
    assert signs.leaving("e/4") is None
    assert signs.leaving("e/5") is not None
    for number in range(100):
        signs.heard_pause(f"e/{number}", 1.0, float(number * 2))
    assert len(signs.pausing(198.5)) == 1
    assert len(signs._pauses) <= 2


def test_returns_are_spread_from_the_first_end_of_a_pause():
    returns = endpoint_signs.PauseReturns()
    times = [returns.assign(0.0, (2.0, 1.0), 4.0) for _ in range(20)]
    assert times[0] == 1.0
    steps_s = {round(b - a, 6) for a, b in itertools.pairwise(times)}
    assert steps_s == {endpoint_signs.RETURN_STEP_S}


def test_a_caller_without_the_time_is_told_when_the_pause_ends():
    returns = endpoint_signs.PauseReturns()
    assert returns.assign(0.0, (3.0,), 0.5) == 3.0
