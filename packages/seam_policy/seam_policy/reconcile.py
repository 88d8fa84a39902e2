"""Reconciles a ledger's grants with an engine's delayed load reports."""

import collections
from collections.abc import Collection
from collections.abc import Mapping

import attrs

START_GRACE_S = 2.0
"""Time after a grant's start in which a report may not include it yet."""
MIN_DIFFERENCE_DURATION_S = 2.0
"""Time that a difference must persist before it is acted on."""
REPORT_LAG_S = 3.0
"""Maximum age of the load in a report."""
FOREIGN_TTL_S = 10.0
"""Time for which reported foreign streams count without a newer report."""


@attrs.frozen
class _EndedStream:
    ended_at: float
    kv_blocks: int


class Reconciler:
    """Finds grants that the engine lacks and streams that the ledger lacks.

    Streams without a grant in the ledger are called foreign.
    """

    def __init__(self):
        """Starts without any report."""
        self._recent_ends: collections.deque[_EndedStream] = collections.deque()
        self._missing_since: dict[bytes, float] = {}
        self._surplus_since: float | None = None
        self._surplus = 0
        self._foreign_slots = 0
        self._foreign_kv = 0
        self._foreign_until = 0.0

    def record_end(self, kv_blocks: int, now: float) -> None:
        """Records the end of a stream, which reports may still include."""
        self._recent_ends.append(_EndedStream(now, kv_blocks))
        self._prune_ends(now)

    def find_lost(
        self,
        running: int,
        starts: Mapping[bytes, float],
        now: float,
        age_s: float,
        streams: Collection[bytes] | None,
    ) -> list[bytes]:
        """Returns the grants that the engine has persistently lacked.

        Args:
            running: number of streams in the report.
            starts: start time of each grant, in monotonic seconds.
            now: current time, in monotonic seconds.
            age_s: age of the report.
            streams: ids of the streams in the report; None if not listed.
        """
        due = now - age_s - START_GRACE_S
        established = [key for key, start in starts.items() if start <= due]
        if streams is not None:
            return self._lost_by_id(established, streams, now)
        return self._lost_by_count(running, established, starts, now)

    def count_foreign(
        self, running: int, kv_used: int, held: int, kv_held: int, now: float
    ) -> None:
        """Counts the streams and KV blocks of the engine without a grant.

        Streams that ended within the reports' lag may still be listed, so they
        are not counted as foreign.
        """
        self._prune_ends(now)
        recent_kv = sum(end.kv_blocks for end in self._recent_ends)
        self._foreign_slots = max(0, running - held - len(self._recent_ends))
        self._foreign_kv = max(0, kv_used - kv_held - recent_kv)
        self._foreign_until = now + FOREIGN_TTL_S

    def foreign_slots(self, now: float) -> int:
        """Returns the slots that foreign streams use."""
        return self._foreign_slots if now < self._foreign_until else 0

    def foreign_kv(self, now: float) -> int:
        """Returns the KV blocks that foreign streams use."""
        return self._foreign_kv if now < self._foreign_until else 0

    def _lost_by_id(
        self, established: list[bytes], streams: Collection[bytes], now: float
    ) -> list[bytes]:
        missing = [key for key in established if key not in streams]
        self._missing_since = {
            key: self._missing_since.get(key, now) for key in missing
        }
        return [
            key
            for key, since in self._missing_since.items()
            if now - since >= MIN_DIFFERENCE_DURATION_S
        ]

    def _lost_by_count(
        self,
        running: int,
        established: list[bytes],
        starts: Mapping[bytes, float],
        now: float,
    ) -> list[bytes]:
        surplus = len(established) - running
        if surplus <= 0:
            self._surplus_since = None
            return []
        if self._surplus_since is None:
            self._surplus_since = now
            self._surplus = surplus
        self._surplus = min(self._surplus, surplus)
        if now - self._surplus_since < MIN_DIFFERENCE_DURATION_S:
            return []
        self._surplus_since = None
        established.sort(key=lambda key: (starts[key], key))
        return established[: self._surplus]

    def _prune_ends(self, now: float) -> None:
        while (
            self._recent_ends
            and self._recent_ends[0].ended_at < now - REPORT_LAG_S
        ):
            self._recent_ends.popleft()
