"""How long a prefill engine gets no prompts after one was read in vain.

An engine whose KV caches are gone before they are fetched makes every prompt
that it reads a waste. It gets none for a while, longer each time; meanwhile
other engines read, or decode engines do it themselves. Answers the load
pattern of handles that lapse at once at some engines.
"""

FIRST_PAUSE_S = 1.0
LONGEST_PAUSE_S = 4.0


class PrefillBackoff:
    """Pauses of one engine, doubled until a cache is fetched again."""

    def __init__(self) -> None:
        """Starts with a short pause."""
        self._pause_s = FIRST_PAUSE_S

    def record_kv_lost(self) -> float:
        """Takes a cache that was gone; returns the pause in seconds."""
        pause_s = self._pause_s
        self._pause_s = min(LONGEST_PAUSE_S, 2 * pause_s)
        return pause_s

    def record_kv_fetched(self) -> None:
        """Takes a cache that was there."""
        self._pause_s = FIRST_PAUSE_S
