"""Approximate index of the prompt prefixes that engines hold.

A prompt is cut into pieces of fixed size; the hash of each piece covers the
hash of the one before, so that one hash names a whole prefix. Cache events
arrive late and with gaps: entries are hints that lose weight when events of
their engine were missed.
"""

import collections
import hashlib

CHUNK_CHARS = 1024
"""Characters of a prompt in one piece."""
_MAX_PIECES = 256
_HASH_BYTES = 8
_GAP_TRUST_FACTOR = 0.98
_LEAST_TRUST = 0.1
_TRUST_GAIN = 0.02


def prefix_hashes(prompt: str, model: str = "") -> tuple[int, ...]:
    """Returns the hashes of the whole-piece prefixes, shortest first.

    Prefixes of different models (or models with adapters) never match.
    """
    previous = model.encode()
    hashes = []
    whole = min(len(prompt) // CHUNK_CHARS, _MAX_PIECES)
    for number in range(whole):
        start = number * CHUNK_CHARS
        piece = prompt[start : start + CHUNK_CHARS].encode()
        state = hashlib.blake2b(digest_size=_HASH_BYTES)
        state.update(len(previous).to_bytes(4, "big"))
        state.update(previous)
        state.update(piece)
        previous = state.digest()
        hashes.append(int.from_bytes(previous, "big"))
    return tuple(hashes)


class _EngineCache:
    """Prefixes of one engine, the least recently used first."""

    def __init__(self, capacity: int):
        self.capacity = capacity
        self.entries: collections.OrderedDict[int, None]
        self.entries = collections.OrderedDict()
        self.last_seq: int | None = None
        self.trust = 1.0

    def store(self, prefix_hash: int) -> None:
        self.entries[prefix_hash] = None
        self.entries.move_to_end(prefix_hash)
        while len(self.entries) > self.capacity:
            self.entries.popitem(last=False)

    def evict(self, prefix_hash: int) -> None:
        self.entries.pop(prefix_hash, None)

    def miss(self, count: int) -> None:
        """Lowers trust after missed events and ages the older half."""
        self.trust = max(_LEAST_TRUST, self.trust * _GAP_TRUST_FACTOR**count)
        # Each missed event may have evicted one of the oldest entries.
        oldest = min(count, len(self.entries) // 2)
        for _ in range(oldest):
            self.entries.popitem(last=False)

    def regain(self) -> None:
        self.trust += (1.0 - self.trust) * _TRUST_GAIN


class PrefixIndex:
    """Tells how much of a prompt an engine probably holds."""

    def __init__(self, capacity: int = 4096, max_engines: int = 1024):
        """Bounds the memory.

        Args:
            capacity: prefixes kept of each engine.
            max_engines: engines kept; the longest unused is forgotten.
        """
        self._capacity = capacity
        self._max_engines = max_engines
        self._engines: collections.OrderedDict[str, _EngineCache]
        self._engines = collections.OrderedDict()

    def __len__(self) -> int:
        """Returns the number of engines that are kept."""
        return len(self._engines)

    def trust(self, engine: str) -> float:
        """Returns the trust in an engine's entries, in [0, 1]."""
        cache = self._engines.get(engine)
        return cache.trust if cache else 0.0

    def note_event(
        self, engine: str, seq: int, prefix_hash: int, stored: bool
    ) -> None:
        """Takes a cache event; a gap in `seq` lowers the trust.

        An event older than the last one is applied only if it evicts, since
        the engine may have evicted since what it stored then.
        """
        cache = self._cache(engine)
        late = cache.last_seq is not None and seq <= cache.last_seq
        if not late:
            self._advance(cache, seq)
        if not stored:
            cache.evict(prefix_hash)
        elif not late:
            cache.store(prefix_hash)

    def record_prefill(self, engine: str, hashes: tuple[int, ...]) -> None:
        """Records a prefill of ours before the engine's events tell of it."""
        cache = self._cache(engine)
        # The shortest prefix goes in last, since an engine evicts it last.
        for prefix_hash in reversed(hashes):
            cache.store(prefix_hash)

    def note_prefill_result(
        self, engine: str, expected_tokens: int, cached_tokens: int
    ) -> None:
        """Compares a match with what the engine then found in its cache."""
        cache = self._engines.get(engine)
        if cache is None or expected_tokens <= 0:
            return
        share = min(1.0, max(0.0, cached_tokens / expected_tokens))
        cache.trust += (share - cache.trust) * _TRUST_GAIN
        cache.trust = max(_LEAST_TRUST, cache.trust)

    def match(self, engine: str, hashes: tuple[int, ...]) -> int:
        """Returns how many leading pieces the engine probably holds."""
        cache = self._engines.get(engine)
        if cache is None:
            return 0
        pieces = 0
        for prefix_hash in hashes:
            if prefix_hash not in cache.entries:
                break
            pieces += 1
        return pieces

    def expected_tokens(
        self, engine: str, hashes: tuple[int, ...], prompt_tokens: int
    ) -> int:
        """Returns the expected cached tokens: the match times the trust.

        Args:
            engine: name of the engine.
            hashes: what `prefix_hashes` gave for the prompt.
            prompt_tokens: tokens of the whole prompt.
        """
        if not hashes:
            return 0
        share = self.match(engine, hashes) / len(hashes)
        return int(prompt_tokens * share * self.trust(engine))

    def forget(self, engine: str) -> None:
        """Drops an engine, such as one that restarted or changed model."""
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
            cache.miss(missed)
        else:
            cache.regain()
        cache.last_seq = seq
