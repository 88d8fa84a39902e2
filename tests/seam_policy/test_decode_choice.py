"""Order of decode engines."""

from seam_policy import decode_choice
from seam_policy import kv_forecast
from seam_policy import rendezvous

KV_TOKENS = 70_000


def profile(slots, tokens):
    needs = tuple(
        kv_forecast.Demand(tokens, 0.0) for _ in kv_forecast.HORIZONS_S
    )
    return kv_forecast.DemandProfile(slots, needs)


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


def test_own_data_centre_is_worth_a_little():
    near = engine("near", 14_000, local=True)
    assert keys([engine("far", 7000), near])[0] == "near"
    assert keys([engine("far", 0), engine("n", 35_000, local=True)])[0] == "far"


def test_engines_without_room_are_left_out():
    full = engine("full", 65_000)
    crowded = engine("crowded", slots=24)
    assert keys([full, crowded, engine("c")]) == ["c"]


def test_engine_that_said_it_was_full_waits():
    engines = [engine("a", full_until=2.0)]
    assert keys(engines, now=1.0) == []
    assert keys(engines, now=2.0) == ["a"]


def test_an_engine_that_fails_part_of_its_streams_comes_last():
    grey = engine("grey", failure_share=0.4)
    assert keys([grey, engine("a", 40_000)]) == ["a", "grey"]
    assert keys([grey, engine("a", 65_000)]) == ["grey"]


def test_requests_of_the_same_moment_are_spread_over_equal_engines():
    """Many instances decide on the same heartbeats."""
    counts = dict.fromkeys("abcd", 0)
    for number in range(400):
        request = b"request-%d" % number
        engines = [
            engine(key, 30_000, jitter=rendezvous.uniform(request, key))
            for key in counts
        ]
        counts[keys(engines)[0]] += 1
    assert min(counts.values()) > 60


def test_a_draw_does_not_outweigh_a_stream():
    engines = [engine("a", 40_000, jitter=1.0), engine("b", 32_000)]
    assert keys(engines)[0] == "b"


def test_an_engine_that_fails_nearly_all_gets_nothing_while_others_are_full():
    """It says that it is healthy and always has room, as it fails at once."""
    liar = engine("liar", failure_share=0.8)
    assert keys([liar, engine("full", 65_000)]) == []
    assert keys([liar]) == ["liar"]
