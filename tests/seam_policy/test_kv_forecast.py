"""Forecast of KV cache memory, under a replayed burst."""

import random

import pytest

from seam_policy import kv_forecast
from seam_policy import output_length

KV_TOKENS = 71_867
TOKENS_S = 1200.0
PROMPT, LIKELY, MOST = 5000, 3400, 7670


def size(prompt=PROMPT, likely=LIKELY):
    return kv_forecast.StreamSize(prompt, likely, MOST)


def test_need_now_is_what_the_stream_holds():
    first = kv_forecast.stream_demand(size(), 1000.0, TOKENS_S)[0]
    assert first.mean == PROMPT + 1000
    assert first.variance == 0


def test_need_falls_once_the_stream_should_have_ended():
    found = kv_forecast.stream_demand(size(), 3000.0, TOKENS_S)
    assert found[-1].mean < found[0].mean


def test_a_stream_over_its_longest_output_needs_nothing_more():
    found = kv_forecast.stream_demand(size(), MOST + 1.0, TOKENS_S)
    assert found[-1].mean == 0


def test_profiles_add_up():
    forecast = kv_forecast.EngineForecast(TOKENS_S)
    forecast.add("a", size(), 0.0)
    one = forecast.profile(0.0)
    forecast.add("b", size(), 0.0)
    two = forecast.profile(0.0)
    assert two.slots == 2
    assert two.demands[0].mean == 2 * one.demands[0].mean
    forecast.remove("a")
    assert len(forecast) == 1


def test_an_old_forecast_is_read_at_its_age():
    forecast = kv_forecast.EngineForecast(TOKENS_S)
    forecast.add("a", size(), 0.0)
    old, new = forecast.profile(0.0).aged(0.3), forecast.profile(0.3)
    assert old.demands[0].mean == pytest.approx(new.demands[0].mean, rel=0.01)
    assert forecast.profile(0.0).aged(99.0).demands[0].mean < PROMPT


def play_burst(admit, seed):
    """Offers a stream each 20 ms to one engine for 20 s.

    Returns how many streams it served and how often memory ran out.
    """
    rng = random.Random(seed)
    forecast = kv_forecast.EngineForecast(TOKENS_S)
    lengths = output_length.OutputLengthEstimator()
    running = {}
    served = overflows = 0
    for step in range(1000):
        now = step * 0.02
        for key, (start, length, _) in list(running.items()):
            if (now - start) * TOKENS_S >= length:
                forecast.remove(key)
                del running[key]
                served += 1
        held = sum(
            own.prompt_tokens + (now - start) * TOKENS_S
            for start, _, own in running.values()
        )
        if held > KV_TOKENS:
            overflows += 1
        length = min(MOST, rng.lognormvariate(8.13, 0.46))
        hint = round(length * rng.lognormvariate(0, 0.46))
        likely = lengths.expected_tokens(hint, MOST)
        own = size(round(rng.lognormvariate(8.4, 0.45)), likely)
        if admit(forecast, running, own, now):
            forecast.add(str(step), own, now)
            running[str(step)] = (now, length, own)
    return served, overflows


def by_forecast(forecast, running, own, now):
    added = kv_forecast.DemandProfile(
        1, kv_forecast.stream_demand(own, 0.0, TOKENS_S)
    )
    return (forecast.profile(now) + added).peak() <= KV_TOKENS


def by_longest_output(forecast, running, own, now):
    del forecast, now
    held = sum(each.prompt_tokens + MOST for _, _, each in running.values())
    return held + own.prompt_tokens + MOST <= KV_TOKENS


@pytest.mark.parametrize("seed", range(3))
def test_burst_serves_more_streams_than_holding_the_longest_output(seed):
    forecast_served, overflows = play_burst(by_forecast, seed)
    longest_served, _ = play_burst(by_longest_output, seed)
    assert forecast_served > 1.2 * longest_served
    assert overflows < 50
