"""Estimates the queues of prefill engines from the prompts of all instances."""

from collections.abc import Callable

import attrs

from seam_model import forwarding
from seam_node.forward import call_stats
from seam_node.forward import heartbeats
from seam_node.forward import recent_events


@attrs.frozen
class _Prompt:
    """A prompt that this instance sent to the engine `key`."""

    key: str
    tokens: int


class PrefillQueues:
    """Adds the prompts of all instances to the records of the engines."""

    def __init__(
        self,
        stats: call_stats.CallStats,
        notify_peers: Callable[[], None],
        now: Callable[[], float],
    ):
        """Starts with no prompts.

        Args:
            stats: records of the engines.
            notify_peers: sends a heartbeat to the peers immediately.
            now: the clock.
        """
        self._stats = stats
        self._notify_peers = notify_peers
        self._now = now
        self._local: recent_events.LocalEvents[_Prompt] = (
            recent_events.LocalEvents()
        )
        self._received = recent_events.ReceivedEvents()

    def record_sent(self, engine: forwarding.Endpoint, tokens: int) -> float:
        """Records a prompt sent now; returns its expected time in the queue."""
        now = self._now()
        record = self._stats.prefill(engine)
        queued_s = record.queued_s(now)
        record.enqueue(tokens, now)
        self._local.add(_Prompt(engine.key, tokens), now)
        self._notify_peers()
        return queued_s

    def recent(self) -> tuple[heartbeats.PrefillSent, ...]:
        """Returns the recent prompts to include in the heartbeat."""
        now = self._now()
        return tuple(
            heartbeats.PrefillSent(
                each.number,
                each.payload.key,
                each.payload.tokens,
                now - each.at,
            )
            for each in self._local.recent(now)
        )

    def merge(self, heartbeat: heartbeats.Heartbeat) -> None:
        """Records the prompts of a peer's heartbeat that are new."""
        for sent in self._received.select_new(
            heartbeat.entry, heartbeat.prefills
        ):
            record = self._stats.existing_prefill(sent.key)
            if record is not None:
                record.enqueue(sent.tokens, self._now() - sent.age_s)
