"""Split of engines between the stages."""

from seam_policy import stage_balance

LOAD = stage_balance.Workload(5000.0, 4000.0, 1200.0, 50_000.0)
SMALL = stage_balance.EngineSize(24, 71_867)
LARGE = stage_balance.EngineSize(64, 100_615)
NARROW = stage_balance.EngineSize(12, 66_117)


def wanted(prefill, decode, size=SMALL, load=LOAD):
    split = stage_balance.target_split(
        stage_balance.StageSplit(prefill, decode), size, load
    )
    return split.prefill, split.decode


def test_idle_prefill_engine_becomes_a_decode_engine():
    assert wanted(3, 3) == (2, 4)


def test_a_split_that_fits_stays():
    assert wanted(2, 4) == (2, 4)
    assert wanted(2, 3, LARGE) == (2, 3)


def test_long_prompts_ask_for_prefill_engines():
    load = stage_balance.Workload(30_000.0, 400.0, 1200.0, 50_000.0)
    assert wanted(1, 5, load=load)[0] > 1


def test_each_stage_keeps_an_engine():
    load = stage_balance.Workload(10.0, 8000.0, 1200.0, 50_000.0)
    assert wanted(1, 1, load=load) == (1, 1)
    assert wanted(2, 2, load=load) == (1, 3)


def test_a_stage_that_lost_its_last_engine_gets_one():
    """Engines are taken away, the last ones of a stage among them."""
    assert wanted(0, 5)[0] >= 1
    assert wanted(4, 0)[1] >= 1


def test_one_engine_alone_decodes():
    """A prefill engine by itself can answer nothing."""
    assert wanted(0, 1) == (0, 1)
    assert wanted(1, 0) == (0, 1)
    assert wanted(0, 0) == (0, 0)


def test_wanted_split_is_stable():
    for prefill in range(1, 6):
        best = wanted(prefill, 6 - prefill)
        assert wanted(*best) == best


def test_a_large_service_is_split_to_the_engine():
    """Each of many engines is a small part of the rate; all of them count."""
    assert wanted(8, 14, NARROW) == (6, 16)
    assert wanted(7, 15, NARROW) == (6, 16)


def test_wanted_split_of_a_large_service_is_stable():
    for prefill in range(1, 22):
        best = wanted(prefill, 22 - prefill, NARROW)
        assert wanted(*best, NARROW) == best
