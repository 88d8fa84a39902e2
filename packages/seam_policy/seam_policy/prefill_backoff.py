"""Back-off for prefill engines whose KV caches are lost before the transfer.

Every prefill is wasted at an engine whose KV caches are gone before they are
fetched. It gets no prompts for a pause that doubles each time; meanwhile other
engines prefill, or decode engines do it themselves. This handles engines whose
KV handles expire immediately.
"""

FIRST_PAUSE_S = 1.0
MAX_PAUSE_S = 4.0


class PrefillBackoff:
    """Pauses of one engine, doubled until a KV cache is fetched again."""

    def __init__(self) -> None:
        """Starts with the shortest pause."""
        self._pause_s = FIRST_PAUSE_S

    def record_kv_lost(self) -> float:
        """Records a lost KV cache and returns the pause in seconds."""
        pause_s = self._pause_s
        self._pause_s = min(MAX_PAUSE_S, 2 * pause_s)
        return pause_s

    def record_kv_fetched(self) -> None:
        """Records a KV cache that was fetched, which resets the pause."""
        self._pause_s = FIRST_PAUSE_S
