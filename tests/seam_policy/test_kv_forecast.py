"""Tests of the KV cache memory forecast, with a simulated burst."""

import random

import pytest

from seam_policy import kv_forecast
from seam_policy import output_length

KV_TOKENS = 71_867
TOKENS_S = 1200.0
PROMPT, EXPECTED, MAX_OUTPUT = 5000, 3400, 7670


def size(prompt=PROMPT, expected=EXPECTED):
    return kv_forecast.StreamSize(prompt, expected, MAX_OUTPUT)


def test_current_demand_is_what_the_stream_holds():
    first = kv_forecast.stream_demand(size(), 1000.0, TOKENS_S)[0]
    assert first.mean == PROMPT + 1000
    assert first.variance == 0


def test_demand_falls_after_the_expected_end():
    demands = kv_forecast.stream_demand(size(), 3000.0, TOKENS_S)
    assert demands[-1].mean < demands[0].mean


def test_no_demand_after_the_maximum_output():
    demands = kv_forecast.stream_demand(size(), MAX_OUTPUT + 1.0, TOKENS_S)
    assert demands[-1].mean == 0


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


def test_old_forecast_is_shifted_by_its_age():
    forecast = kv_forecast.EngineForecast(TOKENS_S)
    forecast.add("a", size(), 0.0)
    old, new = forecast.profile(0.0).aged(0.3), forecast.profile(0.3)
    assert old.demands[0].mean == pytest.approx(new.demands[0].mean, rel=0.01)
    assert forecast.profile(0.0).aged(99.0).demands[0].mean < PROMPT


def simulate_burst(admit, seed):
    """Offers a stream every 20 ms to one engine for 20 s.

    Returns the number of streams served and of steps with too little memory.
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
            stream_size.prompt_tokens + (now - start) * TOKENS_S
            for start, _, stream_size in running.values()
        )
        if held > KV_TOKENS:
            overflows += 1
        length = min(MAX_OUTPUT, rng.lognormvariate(8.13, 0.46))
        hint = round(length * rng.lognormvariate(0, 0.46))
        expected = lengths.expected_tokens(hint, MAX_OUTPUT)
        stream_size = size(round(rng.lognormvariate(8.4, 0.45)), expected)
        if admit(forecast, running, stream_size, now):
            forecast.add(str(step), stream_size, now)
            running[str(step)] = (now, length, stream_size)
    return served, overflows


def by_forecast(forecast, running, stream_size, now):
    added = kv_forecast.DemandProfile(
        1, kv_forecast.stream_demand(stream_size, 0.0, TOKENS_S)
    )
    return (forecast.profile(now) + added).peak() <= KV_TOKENS


def by_maximum_output(forecast, running, stream_size, now):
    del forecast, now
    held = sum(
        each.prompt_tokens + MAX_OUTPUT for _, _, each in running.values()
    )
    return held + stream_size.prompt_tokens + MAX_OUTPUT <= KV_TOKENS


@pytest.mark.parametrize("seed", range(3))
def test_burst_serves_more_streams_than_reserving_the_maximum_output(seed):
    forecast_served, overflows = simulate_burst(by_forecast, seed)
    maximum_served, _ = simulate_burst(by_maximum_output, seed)
    assert forecast_served > 1.2 * maximum_served
    assert overflows < 50
