"""Prefix cache of an engine, with delayed and incomplete cache events."""

import asyncio
import collections
import random

from seam_model import endpoints
from seam_policy import prefix
from standins import costs


class PrefixCache:
    """Prompt prefixes with LRU eviction."""

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._pieces: collections.OrderedDict = collections.OrderedDict()
        self._events: list[tuple[float, endpoints.CacheEvent]] = []
        self._seq = 0

    def cached_tokens(self, prompt: str, model: str, tokens: int) -> int:
        """Returns the number of a prompt's tokens that need no prefill."""
        hits = 0
        for value in prefix.prefix_hashes(prompt, model):
            if value not in self._pieces:
                break
            self._pieces.move_to_end(value)
            hits += 1
        chars = max(len(prompt), 1)
        return tokens * hits * prefix.CHUNK_CHARS // chars

    def store(self, prompt: str, model: str) -> None:
        """Stores every prefix of a prompt; evicts the least recently used."""
        for value in prefix.prefix_hashes(prompt, model):
            if value not in self._pieces:
                self._publish(value, stored=True)
            self._pieces[value] = None
        while len(self._pieces) > costs.PREFIX_CACHE_CHUNKS:
            value, _ = self._pieces.popitem(last=False)
            self._publish(value, stored=False)

    def events(self, after: int) -> tuple[endpoints.CacheEvent, ...]:
        """Returns the published events after a sequence number."""
        until = asyncio.get_running_loop().time() - costs.CACHE_EVENT_LAG_S
        found = [e for at, e in self._events if e.seq > after and at <= until]
        return tuple(found)

    def _publish(self, value: int, stored: bool) -> None:
        self._seq += 1
        if self._rng.random() >= costs.CACHE_EVENT_LOSS_SHARE:
            event = endpoints.CacheEvent(self._seq, value, stored)
            now = asyncio.get_running_loop().time()
            self._events.append((now, event))
