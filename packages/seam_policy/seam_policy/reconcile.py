"""Compares a ledger's grants with an engine's lagging load reports."""

import collections
from collections.abc import Collection
from collections.abc import Mapping

import attrs

START_GRACE_S = 2.0
"""Time after a grant's start in which the engine may not show it yet."""
CONFIRM_S = 2.0
"""Time that a difference must last before it is acted on."""
REPORT_LAG_S = 3.0
"""Longest age of the load that a report shows."""
FOREIGN_LIFE_S = 10.0
"""Time that a report of foreign streams counts without a newer one."""


@attrs.frozen
class _End:
    at: float
    kv_blocks: int


class Reconciler:
    """Finds grants the engine lacks and streams the ledger lacks."""

    def __init__(self):
        """Starts with nothing seen."""
        self._ends: collections.deque[_End] = collections.deque()
        self._missing_since: dict[bytes, float] = {}
        self._surplus_since: float | None = None
        self._surplus = 0
        self._foreign_slots = 0
        self._foreign_kv = 0
        self._foreign_until = 0.0

    def note_end(self, kv_blocks: int, now: float) -> None:
        """Records that a stream ended, which reports may still show."""
        self._ends.append(_End(now, kv_blocks))
        self._forget_ends(now)

    def lost(
        self,
        running: int,
        starts: Mapping[bytes, float],
        now: float,
        age_s: float,
        streams: Collection[bytes] | None,
    ) -> list[bytes]:
        """Returns the grants that the engine has lacked for long enough.

        Args:
            running: streams that the engine held.
            starts: start time of each grant, monotonic seconds.
            now: monotonic seconds.
            age_s: age of the report.
            streams: ids that the engine held, or None if not listed.
        """
        due = now - age_s - START_GRACE_S
        settled = [key for key, start in starts.items() if start <= due]
        if streams is not None:
            return self._lost_by_id(settled, streams, now)
        return self._lost_by_count(running, settled, starts, now)

    def count_foreign(
        self, running: int, kv_used: int, held: int, kv_held: int, now: float
    ) -> None:
        """Counts what the engine holds beyond the grants.

        Streams that ended within the reports' lag may still be shown, so they
        are not taken for foreign ones.
        """
        self._forget_ends(now)
        recent_kv = sum(end.kv_blocks for end in self._ends)
        self._foreign_slots = max(0, running - held - len(self._ends))
        self._foreign_kv = max(0, kv_used - kv_held - recent_kv)
        self._foreign_until = now + FOREIGN_LIFE_S

    def foreign_slots(self, now: float) -> int:
        """Returns the slots that foreign streams use."""
        return self._foreign_slots if now < self._foreign_until else 0

    def foreign_kv(self, now: float) -> int:
        """Returns the KV blocks that foreign streams use."""
        return self._foreign_kv if now < self._foreign_until else 0

    def _lost_by_id(
        self, settled: list[bytes], streams: Collection[bytes], now: float
    ) -> list[bytes]:
        missing = [key for key in settled if key not in streams]
        self._missing_since = {
            key: self._missing_since.get(key, now) for key in missing
        }
        return [
            key
            for key, since in self._missing_since.items()
            if now - since >= CONFIRM_S
        ]

    def _lost_by_count(
        self,
        running: int,
        settled: list[bytes],
        starts: Mapping[bytes, float],
        now: float,
    ) -> list[bytes]:
        surplus = len(settled) - running
        if surplus <= 0:
            self._surplus_since = None
            return []
        if self._surplus_since is None:
            self._surplus_since = now
            self._surplus = surplus
        self._surplus = min(self._surplus, surplus)
        if now - self._surplus_since < CONFIRM_S:
            return []
        self._surplus_since = None
        settled.sort(key=lambda key: (starts[key], key))
        return settled[: self._surplus]

    def _forget_ends(self, now: float) -> None:
        while self._ends and self._ends[0].at < now - REPORT_LAG_S:
            self._ends.popleft()
