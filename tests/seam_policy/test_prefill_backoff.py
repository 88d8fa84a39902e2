"""Tests of the back-off for engines that lose their KV caches at once."""

from seam_policy import prefill_backoff


def replay(lapses_until, seconds, step_s=0.05):
    """Offers a prompt each step; returns the number of wasted prefills."""
    backoff = prefill_backoff.PrefillBackoff()
    wasted = 0
    paused_until = 0.0
    for number in range(round(seconds / step_s)):
        now = number * step_s
        if now < paused_until:
            continue
        if now < lapses_until:
            wasted += 1
            paused_until = now + backoff.record_kv_lost()
        else:
            backoff.record_kv_fetched()
    return wasted


def test_few_prefills_are_wasted_while_kv_is_lost():
    assert replay(lapses_until=4.0, seconds=10.0) <= 3


def test_pauses_grow_and_start_anew_once_a_cache_was_fetched():
    backoff = prefill_backoff.PrefillBackoff()
    assert [backoff.record_kv_lost() for _ in range(4)] == [1.0, 2.0, 4.0, 4.0]
    backoff.record_kv_fetched()
    assert backoff.record_kv_lost() == 1.0
