"""Tests of the choice of a prefill engine, with a simulated burst."""

from seam_policy import prefill_choice


def engine(key, waiting=0, one_way_s=0.0, local=True, failure_share=0.0):
    record = prefill_choice.PrefillStats()
    if waiting:
        record.enqueue("earlier", waiting, 0.0)
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
    for number in range(30):
        chosen = prefill_choice.choose(engines, 5000, 0.0)
        chosen.record.enqueue(number, 5000, 0.0)
        counts[chosen.key] += 1
    assert set(counts.values()) == {10}


def test_the_queue_consists_of_prompts_that_have_not_completed():
    record = prefill_choice.PrefillStats()
    record.enqueue("one", 8000, 10.0)
    assert round(record.queued_s(10.0), 3) == 0.2
    record.enqueue("two", 8000, 10.1)
    assert round(record.queued_s(10.1), 3) == 0.3
    # A slow engine does not get its queue shortened by time alone.
    assert round(record.queued_s(11.0), 3) == 0.2
    record.complete("one", 11.0)
    record.complete("one", 11.0)
    assert round(record.queued_s(11.1), 3) == 0.1
    record.complete("two", 11.2)
    assert record.queued_s(11.2) == 0.0


def test_a_prompt_whose_completion_is_not_heard_of_lapses():
    record = prefill_choice.PrefillStats()
    record.enqueue("lost", 400_000, 10.0)
    record.enqueue("other", 8000, 10.1)
    lapsed_at = 10.2 + prefill_choice.PROMPT_LAPSE_S
    assert record.queued_s(lapsed_at) == 0.0


def test_a_cached_prompt_does_not_count_as_a_fast_engine():
    """A prompt that is sent again is partly kept by the engine."""
    record = prefill_choice.PrefillStats()
    for number in range(12):
        record.add_sample(3000, 0.005 if number % 4 == 0 else 0.1)
    assert round(record.tokens_s) == 30_000


def test_prompts_that_waited_tell_the_rate_without_the_network():
    record = prefill_choice.PrefillStats()
    for _ in range(3):
        record.add_sample(3000, 0.14)
    for number in range(6):
        record.enqueue(number, 3000, 0.0)
    for number in range(6):
        record.complete(number, 0.1 * (number + 1), failed=False)
    assert round(record.tokens_s) == 30_000


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
