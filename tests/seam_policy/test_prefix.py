"""Tests of the prefix index under late and missing cache events."""

from seam_policy import prefix

PROMPT = "".join(chr(97 + number % 26) for number in range(5 * 1024 + 10))
HASHES = prefix.prefix_hashes(PROMPT, "m")


def test_hashes_identify_whole_prefixes():
    assert len(HASHES) == 5
    other = prefix.prefix_hashes(PROMPT[:2048] + "?" * 2048, "m")
    assert other[:2] == HASHES[:2]
    assert not set(other[2:]) & set(HASHES)
    assert not set(prefix.prefix_hashes(PROMPT, "n")) & set(HASHES)


def test_own_prefill_counts_before_events_and_eviction_ends_the_match():
    index = prefix.PrefixIndex()
    index.record_prefill("e", HASHES)
    assert index.match("e", HASHES) == 5
    index.record_event("e", 1, HASHES[3], stored=False)
    assert index.match("e", HASHES) == 3
    assert index.match("other", HASHES) == 0


def test_gap_lowers_confidence_and_evicts_the_oldest_entries():
    index = prefix.PrefixIndex()
    for seq, prefix_hash in enumerate(HASHES):
        index.record_event("e", seq, prefix_hash, stored=True)
    before = index.expected_tokens("e", HASHES, 1000)
    index.record_event("e", 60, 1, stored=True)
    assert index.confidence("e") < 0.5
    assert index.match("e", HASHES) == 0
    assert index.expected_tokens("e", HASHES, 1000) < before
    low = index.confidence("e")
    for seq in range(61, 200):
        index.record_event("e", seq, seq, stored=True)
    assert index.confidence("e") > low


def test_late_store_does_not_undo_a_newer_eviction():
    index = prefix.PrefixIndex()
    index.record_event("e", 2, HASHES[0], stored=False)
    index.record_event("e", 1, HASHES[0], stored=True)
    assert index.match("e", HASHES) == 0


def test_memory_is_bounded():
    index = prefix.PrefixIndex(capacity=3, max_engines=2)
    index.record_prefill("e0", HASHES)
    assert index.match("e0", HASHES) == 3
    index.record_prefill("e1", HASHES)
    index.record_prefill("e2", HASHES)
    assert len(index) == 2
    assert index.match("e0", HASHES) == 0
