"""Shares the outcomes of streams at decode engines between instances."""

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
    """Outcome of a stream that this instance ran at the engine `key`."""

    key: str
    failed: bool


class StreamOutcomes:
    """Adds the outcomes of all instances to the records of the engines.

    An engine that fails every stream immediately always has free capacity, so
    without sharing each instance would lose several streams there before it
    stopped choosing the engine.
    """

    def __init__(
        self,
        stats: call_stats.CallStats,
        notify_peers: Callable[[], None],
        now: Callable[[], float],
        log: logs.Log,
    ):
        """Starts with no outcomes.

        Args:
            stats: records of the engines.
            notify_peers: sends a heartbeat to the peers immediately.
            now: the clock.
            log: where engines with many failures are logged.
        """
        self._stats = stats
        self._notify_peers = notify_peers
        self._now = now
        self._log = log
        self._local: recent_events.LocalEvents[_Outcome] = (
            recent_events.LocalEvents()
        )
        self._received = recent_events.ReceivedEvents()

    def record(
        self, engine: forwarding.Endpoint, failed: bool, started: bool
    ) -> None:
        """Records how a stream of this instance ended.

        A failure after the first event may be caused by this instance's
        connection alone, so it is not shared with the other instances.

        Args:
            engine: the engine that ran the stream.
            failed: whether the engine caused the stream to fail.
            started: whether at least one event was received.
        """
        now = self._now()
        self._add_to_record(engine.key, self._stats.call(engine), failed, now)
        if failed and started:
            return
        self._local.add(_Outcome(engine.key, failed), now)
        if failed:
            self._notify_peers()

    def recent(self) -> tuple[heartbeats.StreamEnded, ...]:
        """Returns the recent outcomes to include in the heartbeat."""
        return tuple(
            heartbeats.StreamEnded(
                each.number, each.payload.key, each.payload.failed
            )
            for each in self._local.recent(self._now())
        )

    def merge(self, heartbeat: heartbeats.Heartbeat) -> None:
        """Records the outcomes of a peer's heartbeat that are new."""
        now = self._now()
        for ended in self._received.select_new(
            heartbeat.entry, heartbeat.ended
        ):
            record = self._stats.existing_call(ended.key)
            if record is not None:
                self._add_to_record(ended.key, record, ended.failed, now)

    def _add_to_record(
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
