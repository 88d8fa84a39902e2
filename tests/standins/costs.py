"""Time and memory costs of model work on the stand-in engines."""

import attrs

OUTPUT_TOKENS_PER_PREFILL_TOKEN = 50 / 1000
"""Output tokens that cost as much as the prefill of one token."""
KV_BYTES_PER_TOKEN = 160_000
PREFIX_CACHE_CHUNKS = 4096
"""Capacity of an engine's prefix cache, in prompt chunks."""
CACHE_EVENT_LAG_S = 0.5
CACHE_EVENT_LOSS_SHARE = 0.05
"""Share of cache events that are never published."""


@attrs.frozen
class Costs:
    """Costs and limits of one engine."""

    step_s: float = 0.025
    """Duration of one decode step; a step advances every stream."""
    slots: int = 20
    kv_blocks: int = 400
    """Memory capacity in blocks of `KV_BLOCK_TOKENS` tokens."""
    kv_ttl_s: float = 0.8
    """Time to live of the KV cache of a finished prefill."""
    link_bytes_per_s: float = 12.5e9
    load_lag_s: float = 1.0
    finished_retention_s: float = 6.0
    """Time for which the text of a finished, fully read stream is kept."""

    def prefill_s(self, tokens: int) -> float:
        """Returns the duration of a prefill of `tokens` uncached tokens."""
        output_token_s = self.step_s / self.slots
        return tokens * OUTPUT_TOKENS_PER_PREFILL_TOKEN * output_token_s
