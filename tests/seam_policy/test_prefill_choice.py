"""Tests of the choice of a prefill engine, with a simulated burst."""

from seam_policy import prefill_choice


def engine(key, waiting=0, one_way_s=0.0, local=True, failure_share=0.0):
    record = prefill_choice.PrefillStats()
    record.enqueue(waiting, 0.0)
    return prefill_choice.PrefillCandidate(
        key, one_way_s, local, record, failure_share
    )


def test_shorter_queue_wins():
    engines = [engine("a", waiting=20_000), engine("b", one_way_s=0.0045)]
    assert prefill_choice.choose(engines, 5000, 0.0).key == "b"


def test_the_decode_engines_data_centre_wins_at_equal_queues():
    engines = [engine("a", local=False), engine("b")]
    assert prefill_choice.choose(engines, 5000, 0.0).key == "b"


def test_a_burst_is_spread_over_the_engines():
    engines = [engine("a"), engine("b"), engine("c")]
    counts = dict.fromkeys("abc", 0)
    for _ in range(30):
        chosen = prefill_choice.choose(engines, 5000, 0.0)
        chosen.record.enqueue(5000, 0.0)
        counts[chosen.key] += 1
    assert set(counts.values()) == {10}


def test_queue_drains_without_a_message():
    record = prefill_choice.PrefillStats()
    record.enqueue(8000, 10.0)
    assert round(record.queued_s(10.0), 3) == 0.2
    record.enqueue(8000, 10.1)
    assert round(record.queued_s(10.1), 3) == 0.3
    assert record.queued_s(10.5) == 0.0


def test_expected_wait_is_not_counted_as_engine_delay():
    record = prefill_choice.PrefillStats()
    record.add_sample(5000, 0.1)
    for _ in range(10):
        record.add_sample(5000, 0.3, queued_s=0.2)
    assert record.delay.value < 0.01


def test_slow_engine_is_avoided_by_its_measured_delay():
    engines = [engine("a"), engine("b")]
    for _ in range(10):
        engines[0].record.add_sample(5000, 0.5)
        engines[1].record.add_sample(5000, 0.1)
    assert prefill_choice.choose(engines, 5000, 0.0).key == "b"


def test_engine_that_fails_part_of_its_prefills_is_avoided():
    engines = [engine("grey", failure_share=0.4), engine("a", waiting=10_000)]
    assert prefill_choice.choose(engines, 5000, 0.0).key == "a"


def test_no_engine():
    assert prefill_choice.choose([], 5000, 0.0) is None
