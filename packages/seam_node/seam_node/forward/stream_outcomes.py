"""How streams ended at each engine, whichever instance sent them."""

from collections.abc import Callable

import attrs

from seam_model import forwarding
from seam_node import logs
from seam_node.forward import call_stats
from seam_node.forward import heartbeats
from seam_node.forward import recent_events
from seam_policy import decode_choice
from seam_policy import endpoint_choice


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
        log: logs.Log,
    ):
        """Takes the records, what tells the other instances, clock and log."""
        self._stats = stats
        self._tell = tell
        self._now = now
        self._log = log
        self._own: recent_events.OwnEvents[_Outcome] = recent_events.OwnEvents()
        self._heard = recent_events.HeardEvents()

    def note(
        self, engine: forwarding.Endpoint, failed: bool, started: bool
    ) -> None:
        """Takes how a stream of this instance ended.

        A failure after the first event may be that of the connection alone,
        so the other instances are not told of it.

        Args:
            engine: where it ran.
            failed: whether the engine is to blame.
            started: whether an event had come.
        """
        now = self._now()
        self._note(engine.key, self._stats.call(engine), failed, now)
        if failed and started:
            return
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
                self._note(ended.key, record, ended.failed, now)

    def _note(
        self,
        key: str,
        record: endpoint_choice.EndpointStats,
        failed: bool,
        now: float,
    ) -> None:
        before = record.failure_share(now)
        record.add_outcome(0.0, failed, now)
        share = record.failure_share(now)
        if before < decode_choice.MAX_FAILURE_SHARE <= share:
            self._log.event(
                "engine_failing",
                "warning",
                endpoint=key,
                failing=round(share, 2),
            )
