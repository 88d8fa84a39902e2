"""How streams ended at each engine, whichever instance sent them."""

from collections.abc import Callable

import attrs

from seam_model import forwarding
from seam_node.forward import call_stats
from seam_node.forward import heartbeats
from seam_node.forward import recent_events


@attrs.frozen
class _Outcome:
    """How a stream of this instance ended."""

    key: str
    failed: bool


class StreamOutcomes:
    """Notes outcomes of all instances in the engines' records.

    An engine that fails all its streams at once always has room, so each
    instance by itself would lose some streams there before it knew.
    """

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
        self._own: recent_events.OwnEvents[_Outcome] = recent_events.OwnEvents()
        self._heard = recent_events.HeardEvents()

    def note(self, engine: forwarding.Endpoint, failed: bool) -> None:
        """Takes how a stream of this instance ended."""
        now = self._now()
        self._stats.call(engine).note(0.0, failed, now)
        self._own.add(_Outcome(engine.key, failed), now)
        if failed:
            self._tell()

    def recent(self) -> tuple[heartbeats.StreamEnded, ...]:
        """Returns the outcomes that other instances are told of."""
        return tuple(
            heartbeats.StreamEnded(each.number, each.what.key, each.what.failed)
            for each in self._own.recent(self._now())
        )

    def take(self, beat: heartbeats.Heartbeat) -> None:
        """Notes the outcomes of another instance that are new."""
        now = self._now()
        for ended in self._heard.new(beat.entry, beat.ended):
            record = self._stats.known_call(ended.key)
            if record is not None:
                record.note(0.0, ended.failed, now)
