"""What model work costs on the stand-in engines."""

import attrs

OUTPUT_TOKENS_PER_PREFILL_TOKEN = 50 / 1000
"""Output tokens that cost as much as the prefill of one token."""
KV_BYTES_PER_TOKEN = 160_000
PREFIX_PIECES = 4096
"""Pieces that an engine's prefix cache holds."""
CACHE_EVENT_LAG_S = 0.5
CACHE_EVENT_LOSS = 0.05
"""Share of cache events that are never published."""


@attrs.frozen
class Costs:
    """Costs and limits of one engine."""

    step_s: float = 0.025
    """Time of one decode step, which serves every stream."""
    slots: int = 20
    kv_blocks: int = 400
    """Pieces of memory, of `KV_BLOCK_TOKENS` tokens each."""
    kv_life_s: float = 0.8
    """Time for which the KV cache of a finished prefill is held."""
    link_bytes_per_s: float = 12.5e9
    load_lag_s: float = 1.0
    finished_keep_s: float = 6.0
    """Time for which the text of a finished and read stream is kept."""

    def prefill_s(self, tokens: int) -> float:
        """Returns the time of a prefill of `tokens` uncached tokens."""
        output_token_s = self.step_s / self.slots
        return tokens * OUTPUT_TOKENS_PER_PREFILL_TOKEN * output_token_s
