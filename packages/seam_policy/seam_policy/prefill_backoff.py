"""Back-off for prefill engines whose KV caches are lost before the transfer.

An engine whose KV caches are gone before they are fetched makes every prompt
sent to it a waste. It gets none for a pause that doubles each time; meanwhile
other engines prefill, or decode engines do it themselves. This handles engines
whose KV handles expire at once.
"""

FIRST_PAUSE_S = 1.0
LONGEST_PAUSE_S = 4.0


class PrefillBackoff:
    """Pauses of one engine, doubled until a cache is fetched again."""

    def __init__(self) -> None:
        """Starts with a short pause."""
        self._pause_s = FIRST_PAUSE_S

    def record_kv_lost(self) -> float:
        """Records a lost KV cache and returns the pause in seconds."""
        pause_s = self._pause_s
        self._pause_s = min(LONGEST_PAUSE_S, 2 * pause_s)
        return pause_s

    def record_kv_fetched(self) -> None:
        """Records a KV cache that was fetched, which resets the pause."""
        self._pause_s = FIRST_PAUSE_S
