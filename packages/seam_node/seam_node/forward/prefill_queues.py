"""Which prompts wait at prefill engines, whichever instance sent them."""

from collections.abc import Callable

import attrs

from seam_model import forwarding
from seam_node.forward import call_stats
from seam_node.forward import heartbeats
from seam_node.forward import recent_events


@attrs.frozen
class _Prompt:
    """A prompt that this instance sent."""

    key: str
    tokens: int


class PrefillQueues:
    """Books prompts of all instances in the engines' records."""

    def __init__(
        self,
        stats: call_stats.CallStats,
        tell: Callable[[], None],
        now: Callable[[], float],
    ):
        """Takes the records, what tells the other instances and the clock."""
        self._stats = stats
        self._tell = tell
        self._now = now
        self._own: recent_events.OwnEvents[_Prompt] = recent_events.OwnEvents()
        self._heard = recent_events.HeardEvents()

    def send(self, engine: forwarding.Endpoint, tokens: int) -> float:
        """Books a prompt that is sent now; returns how long it should wait."""
        now = self._now()
        record = self._stats.prefill(engine)
        queued_s = record.queued_s(now)
        record.enqueue(tokens, now)
        self._own.add(_Prompt(engine.key, tokens), now)
        self._tell()
        return queued_s

    def recent(self) -> tuple[heartbeats.PrefillSent, ...]:
        """Returns the prompts that other instances are told of."""
        now = self._now()
        return tuple(
            heartbeats.PrefillSent(
                each.number, each.what.key, each.what.tokens, now - each.at
            )
            for each in self._own.recent(now)
        )

    def take(self, beat: heartbeats.Heartbeat) -> None:
        """Books the prompts of another instance that are new."""
        for sent in self._heard.new(beat.entry, beat.prefills):
            record = self._stats.known_prefill(sent.key)
            if record is not None:
                record.enqueue(sent.tokens, self._now() - sent.age_s)
