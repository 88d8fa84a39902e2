"""Tests of the order of decode engines."""

from seam_policy import decode_choice
from seam_policy import kv_forecast
from seam_policy import rendezvous

KV_TOKENS = 70_000


def profile(slots, tokens):
    demands = tuple(
        kv_forecast.Demand(tokens, 0.0) for _ in kv_forecast.HORIZONS_S
    )
    return kv_forecast.DemandProfile(slots, demands)


def engine(
    key,
    tokens=0,
    slots=0,
    local=False,
    full_until=0.0,
    failure_share=0.0,
    jitter=0.0,
):
    return decode_choice.DecodeCandidate(
        key,
        24,
        KV_TOKENS,
        profile(slots, tokens),
        local,
        full_until,
        failure_share,
        jitter,
    )


def keys(engines, added=None, now=0.0):
    added = added or profile(1, 7000)
    return [each.key for each in decode_choice.order(engines, added, now)]


def test_most_free_memory_first():
    assert keys([engine("a", 40_000), engine("b", 20_000)]) == ["b", "a"]


def test_local_data_centre_gets_a_small_bonus():
    near = engine("near", 14_000, local=True)
    assert keys([engine("far", 7000), near])[0] == "near"
    assert keys([engine("far", 0), engine("n", 35_000, local=True)])[0] == "far"


def test_engines_without_capacity_are_excluded():
    full = engine("full", 65_000)
    crowded = engine("crowded", slots=24)
    assert keys([full, crowded, engine("c")]) == ["c"]


def test_engine_that_reported_full_is_excluded_for_a_time():
    engines = [engine("a", full_until=2.0)]
    assert keys(engines, now=1.0) == []
    assert keys(engines, now=2.0) == ["a"]


def test_engine_that_fails_part_of_its_streams_comes_last():
    degraded = engine("grey", failure_share=0.4)
    assert keys([degraded, engine("a", 40_000)]) == ["a", "grey"]
    assert keys([degraded, engine("a", 65_000)]) == ["grey"]


def test_simultaneous_requests_are_spread_over_equal_engines():
    """Many instances choose at the same time from the same heartbeats."""
    counts = dict.fromkeys("abcd", 0)
    for number in range(400):
        request = b"request-%d" % number
        engines = [
            engine(key, 30_000, jitter=rendezvous.uniform(request, key))
            for key in counts
        ]
        counts[keys(engines)[0]] += 1
    assert min(counts.values()) > 60


def test_jitter_does_not_outweigh_a_stream():
    engines = [engine("a", 40_000, jitter=1.0), engine("b", 32_000)]
    assert keys(engines)[0] == "b"


def test_engine_that_fails_most_streams_is_excluded_even_if_others_are_full():
    """It reports healthy and always has capacity, because it fails at once."""
    failing = engine("liar", failure_share=0.8)
    assert keys([failing, engine("full", 65_000)]) == []
    assert keys([failing]) == ["liar"]
