"""Tests of the split of engines between the stages."""

from seam_policy import stage_balance

LOAD = stage_balance.Workload(5000.0, 4000.0, 1200.0, 50_000.0)
SMALL = stage_balance.EngineSize(24, 71_867)
LARGE = stage_balance.EngineSize(64, 100_615)
NARROW = stage_balance.EngineSize(12, 66_117)


def target(prefill, decode, size=SMALL, load=LOAD):
    split = stage_balance.target_split(
        stage_balance.StageSplit(prefill, decode), size, load
    )
    return split.prefill, split.decode


def test_idle_prefill_engine_becomes_a_decode_engine():
    assert target(3, 3) == (2, 4)


def test_balanced_split_is_kept():
    assert target(2, 4) == (2, 4)
    assert target(2, 3, LARGE) == (2, 3)


def test_long_prompts_need_more_prefill_engines():
    load = stage_balance.Workload(30_000.0, 400.0, 1200.0, 50_000.0)
    assert target(1, 5, load=load)[0] > 1


def test_each_stage_keeps_an_engine():
    load = stage_balance.Workload(10.0, 8000.0, 1200.0, 50_000.0)
    assert target(1, 1, load=load) == (1, 1)
    assert target(2, 2, load=load) == (1, 3)


def test_stage_without_an_engine_gets_one():
    """Engines may be removed, including the last one of a stage."""
    assert target(0, 5)[0] >= 1
    assert target(4, 0)[1] >= 1


def test_single_engine_decodes():
    """A prefill engine alone can't answer requests."""
    assert target(0, 1) == (0, 1)
    assert target(1, 0) == (0, 1)
    assert target(0, 0) == (0, 0)


def test_target_split_is_stable():
    for prefill in range(1, 6):
        best = target(prefill, 6 - prefill)
        assert target(*best) == best


def test_large_service_is_split_exactly():
    """One of many engines changes the rate only a little, but still counts."""
    assert target(8, 14, NARROW) == (5, 17)
    assert target(6, 16, NARROW) == (5, 17)


def test_target_split_of_a_large_service_is_stable():
    for prefill in range(1, 22):
        best = target(prefill, 22 - prefill, NARROW)
        assert target(*best, NARROW) == best


def test_an_assumed_load_leaves_engines_in_each_stage():
    """Guards against a split that fits no load but the assumed one."""
    size = stage_balance.EngineSize(64, 34_618)
    split = stage_balance.StageSplit(4, 5)
    assumed = stage_balance.target_split(split, size, LOAD, observed=False)
    assert (assumed.prefill, assumed.decode) == (2, 7)
    pair = stage_balance.StageSplit(1, 1)
    assert stage_balance.target_split(pair, size, LOAD, observed=False) == pair
