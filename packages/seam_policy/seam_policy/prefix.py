"""Approximate index of the prompt prefixes that engines hold.

A prompt is split into chunks of fixed size; the hash of each chunk includes the
previous hash, so that one hash identifies a whole prefix. Cache events arrive
late and with gaps, so entries are only hints: the confidence in an engine's
entries falls when events of the engine were missed.
"""

import collections
import hashlib

CHUNK_CHARS = 1024
"""Prompt characters per chunk."""
_MAX_CHUNKS = 256
_HASH_BYTES = 8
_MISSED_EVENT_FACTOR = 0.98
_MIN_CONFIDENCE = 0.1
_CONFIDENCE_GAIN = 0.02


def prefix_hashes(prompt: str, model: str = "") -> tuple[int, ...]:
    """Returns the hashes of all prefixes of whole chunks, shortest first.

    Prefixes of different models (or models with adapters) never match.
    """
    previous = model.encode()
    hashes = []
    chunk_count = min(len(prompt) // CHUNK_CHARS, _MAX_CHUNKS)
    for number in range(chunk_count):
        start = number * CHUNK_CHARS
        chunk = prompt[start : start + CHUNK_CHARS].encode()
        state = hashlib.blake2b(digest_size=_HASH_BYTES)
        state.update(len(previous).to_bytes(4, "big"))
        state.update(previous)
        state.update(chunk)
        previous = state.digest()
        hashes.append(int.from_bytes(previous, "big"))
    return tuple(hashes)


class _EngineCache:
    """Prefixes of one engine, least recently used first."""

    def __init__(self, capacity: int):
        self.capacity = capacity
        self.entries: collections.OrderedDict[int, None]
        self.entries = collections.OrderedDict()
        self.last_seq: int | None = None
        self.confidence = 1.0

    def store(self, prefix_hash: int) -> None:
        self.entries[prefix_hash] = None
        self.entries.move_to_end(prefix_hash)
        while len(self.entries) > self.capacity:
            self.entries.popitem(last=False)

    def evict(self, prefix_hash: int) -> None:
        self.entries.pop(prefix_hash, None)

    def apply_gap(self, count: int) -> None:
        """Lowers the confidence and evicts old entries after missed events.

        At most the older half of the entries is evicted.
        """
        self.confidence = max(
            _MIN_CONFIDENCE, self.confidence * _MISSED_EVENT_FACTOR**count
        )
        # Each missed event may have evicted one of the oldest entries.
        oldest = min(count, len(self.entries) // 2)
        for _ in range(oldest):
            self.entries.popitem(last=False)

    def raise_confidence(self) -> None:
        self.confidence += (1.0 - self.confidence) * _CONFIDENCE_GAIN


class PrefixIndex:
    """Estimates how much of a prompt is in an engine's cache."""

    def __init__(self, capacity: int = 4096, max_engines: int = 1024):
        """Creates an empty index of bounded size.

        Args:
            capacity: maximum number of prefixes per engine.
            max_engines: maximum number of engines; the least recently used
                one is evicted.
        """
        self._capacity = capacity
        self._max_engines = max_engines
        self._engines: collections.OrderedDict[str, _EngineCache]
        self._engines = collections.OrderedDict()

    def __len__(self) -> int:
        """Returns the number of engines in the index."""
        return len(self._engines)

    def confidence(self, engine: str) -> float:
        """Returns the confidence in an engine's entries, in [0, 1]."""
        cache = self._engines.get(engine)
        return cache.confidence if cache else 0.0

    def record_event(
        self, engine: str, seq: int, prefix_hash: int, stored: bool
    ) -> None:
        """Applies a cache event; a gap in `seq` lowers the confidence.

        An event older than the last one is applied only if it is an eviction:
        a prefix stored then may have been evicted since.
        """
        cache = self._cache(engine)
        out_of_order = cache.last_seq is not None and seq <= cache.last_seq
        if not out_of_order:
            self._advance(cache, seq)
        if not stored:
            cache.evict(prefix_hash)
        elif not out_of_order:
            cache.store(prefix_hash)

    def record_prefill(self, engine: str, hashes: tuple[int, ...]) -> None:
        """Records a prefill before the engine's cache events report it."""
        cache = self._cache(engine)
        # The shortest prefix is stored last, since an engine evicts it last.
        for prefix_hash in reversed(hashes):
            cache.store(prefix_hash)

    def record_prefill_result(
        self, engine: str, expected_tokens: int, cached_tokens: int
    ) -> None:
        """Adjusts the confidence by the tokens that were actually cached."""
        cache = self._engines.get(engine)
        if cache is None or expected_tokens <= 0:
            return
        share = min(1.0, max(0.0, cached_tokens / expected_tokens))
        cache.confidence += (share - cache.confidence) * _CONFIDENCE_GAIN
        cache.confidence = max(_MIN_CONFIDENCE, cache.confidence)

    def match(self, engine: str, hashes: tuple[int, ...]) -> int:
        """Returns how many leading chunks the engine probably has cached."""
        cache = self._engines.get(engine)
        if cache is None:
            return 0
        matched = 0
        for prefix_hash in hashes:
            if prefix_hash not in cache.entries:
                break
            matched += 1
        return matched

    def expected_tokens(
        self, engine: str, hashes: tuple[int, ...], prompt_tokens: int
    ) -> int:
        """Returns the expected cached tokens: the match times the confidence.

        Args:
            engine: name of the engine.
            hashes: result of `prefix_hashes` for the prompt.
            prompt_tokens: length of the whole prompt.
        """
        if not hashes:
            return 0
        share = self.match(engine, hashes) / len(hashes)
        return int(prompt_tokens * share * self.confidence(engine))

    def forget(self, engine: str) -> None:
        """Removes an engine, such as one that restarted or changed model."""
        self._engines.pop(engine, None)

    def _cache(self, engine: str) -> _EngineCache:
        cache = self._engines.get(engine)
        if cache is None:
            cache = _EngineCache(self._capacity)
            self._engines[engine] = cache
        self._engines.move_to_end(engine)
        while len(self._engines) > self._max_engines:
            self._engines.popitem(last=False)
        return cache

    def _advance(self, cache: _EngineCache, seq: int) -> None:
        missed = 0 if cache.last_seq is None else seq - cache.last_seq - 1
        if missed:
            cache.apply_gap(missed)
        else:
            cache.raise_confidence()
        cache.last_seq = seq
