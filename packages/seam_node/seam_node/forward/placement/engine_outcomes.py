"""Adds the outcomes of streams and prefills to the records of engines."""

from collections.abc import Callable
from collections.abc import Iterable

from seam_node import logs
from seam_node.forward.endpoints import call_stats
from seam_node.forward.fleet import messages
from seam_policy import decode_choice
from seam_policy import endpoint_choice
from seam_policy import stream_ledger

REFUSED_PREFILL_PAUSE_S = 0.7
"""Pause of a prefill engine that refuses: it is changing its stage."""


class EngineOutcomes:
    """Records outcomes of this instance and of those that report to it.

    An engine that fails every stream immediately always has free capacity, so
    each instance would lose several streams there before it avoided the
    engine by its own experience.
    """

    def __init__(
        self,
        stats: call_stats.CallStats,
        now: Callable[[], float],
        log: logs.Log,
    ):
        """Takes the records of the engines, the clock and the log."""
        self._stats = stats
        self._now = now
        self._log = log

    def add(self, engine: str, failed: bool) -> None:
        """Adds the outcome of a stream at a decode engine."""
        record = self._stats.existing_call(engine)
        if record is not None:
            self._add(engine, record, failed)

    def add_prefill(self, ended: messages.PrefillEnded) -> None:
        """Adds the outcome of a prefill."""
        now = self._now()
        prefill = self._stats.existing_prefill(ended.engine)
        record = self._stats.existing_call(ended.engine)
        if prefill is None or record is None:
            return
        served = ended.outcome is messages.Outcome.SERVED
        stream_id = stream_ledger.StreamId(ended.holder, ended.number)
        prefill.complete(stream_id, now, not served)
        if served:
            prefill.add_sample(ended.tokens, ended.took_s, ended.queued_s)
        if ended.outcome is messages.Outcome.FULL:
            self._stats.exclude(ended.engine, now + REFUSED_PREFILL_PAUSE_S)
        elif ended.outcome is not messages.Outcome.UNKNOWN:
            self._add(ended.engine, record, not served)

    def exclude(self, excluded: Iterable[messages.ExcludedEngine]) -> None:
        """Adds the engines that another instance excludes."""
        now = self._now()
        for each in excluded:
            self._stats.exclude(each.key, now + each.remaining_s)

    def excluded(self) -> tuple[messages.ExcludedEngine, ...]:
        """Returns the engines that this instance excludes."""
        now = self._now()
        return tuple(
            messages.ExcludedEngine(key, until - now)
            for key, until in self._stats.excluded(now).items()
        )

    def _add(
        self,
        engine: str,
        record: endpoint_choice.EndpointStats,
        failed: bool,
    ) -> None:
        now = self._now()
        before = record.failure_share(now)
        record.add_outcome(0.0, failed, now)
        share = record.failure_share(now)
        if before < decode_choice.MAX_FAILURE_SHARE <= share:
            self._log.event(
                "engine_failing",
                "warning",
                endpoint=engine,
                failing=round(share, 2),
            )
