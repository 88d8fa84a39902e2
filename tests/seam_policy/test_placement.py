"""Tests of the order of decode engines and the choice of prefill engines."""

import attrs
import pytest

from seam_policy import placement

NEED = placement.DecodeRequirements(b"r" * 16, "m", 1000, "dc0")


def _decode(name, **changes):
    fields = {"data_centre": "dc0", "models": ("m",), "free_slots": 5}
    fields |= {"free_slots_age_s": 0.0}
    return placement.DecodeCandidate(name, **(fields | changes))


@pytest.mark.parametrize(
    "policy",
    [
        placement.PowerOfTwoChoices(),
        placement.RoundRobin(),
        placement.LeastLoaded(),
    ],
)
def test_ineligible_engines_are_excluded(policy):
    need = attrs.evolve(NEED, adapter="x")
    candidates = [
        _decode("leaving", leaving=True, adapters=("x",)),
        _decode("silent", silent=True, adapters=("x",)),
        _decode("model", models=("n",), adapters=("x",)),
        _decode("adapter"),
        _decode("good", adapters=("x",)),
    ]
    names = [each.name for each in policy.order(need, candidates, 1)]
    assert names == ["good"]
    assert policy.order(need, [], 1) == ()


def _firsts(candidates, count=300):
    policy = placement.PowerOfTwoChoices()
    firsts = []
    for number in range(count):
        need = attrs.evolve(NEED, request_id=number.to_bytes(16, "big"))
        firsts.append(policy.order(need, candidates, 7)[0].name)
    return firsts


def test_instances_with_the_same_stale_hints_do_not_herd():
    candidates = [_decode(f"e{number}", free_slots=3) for number in range(6)]
    candidates[0] = _decode("e0", free_slots=6)
    firsts = _firsts(candidates)
    assert max(firsts.count(f"e{number}") for number in range(6)) < 120


def test_local_engines_come_first_unless_they_are_full():
    far = _decode("far", data_centre="dc1", free_slots=20, link_s=0.005)
    assert set(_firsts([_decode("near", free_slots=2), far])) == {"near"}
    full = _decode("near", free_slots=0, wait_s=2.0)
    assert set(_firsts([full, far])) == {"far"}


def test_stale_hint_of_no_free_slots_does_not_exclude_an_engine():
    stale = [
        _decode(f"e{number}", free_slots=0, wait_s=9.0, free_slots_age_s=60.0)
        for number in range(2)
    ]
    assert set(_firsts(stale)) == {"e0", "e1"}


def test_prefix_match_decides_between_equal_engines():
    pair = [_decode("cold"), _decode("warm", prefix_tokens=900)]
    assert set(_firsts(pair)) == {"warm"}


def _prefill(name, **changes):
    return placement.PrefillCandidate(name, ("m",), **changes)


def _choose(*candidates, seed=1):
    need = placement.PrefillRequirements(b"r" * 16, "m", 4000, 100_000)
    return placement.choose_prefill(need, candidates, seed)


def test_prefill_weighs_cache_against_backlog():
    warm = _prefill("warm", prefix_tokens=3000)
    cold = _prefill("cold")
    assert [each.name for each in _choose(cold, warm)] == ["warm", "cold"]
    busy = attrs.evolve(warm, backlog_tokens=4000)
    assert [each.name for each in _choose(cold, busy)] == ["cold", "warm"]


def test_link_too_slow_for_the_kv_lifetime_is_excluded():
    # 400 MB take 0.4 s alone and 1.2 s while two other transfers run.
    assert [each.name for each in _choose(_prefill("alone"))] == ["alone"]
    assert _choose(_prefill("shared", link_transfers=2)) == ()
    assert _choose(_prefill("slow", link_bytes_s=2e8)) == ()
