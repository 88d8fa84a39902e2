"""Tracks whether the platform's store is reachable, for all watches."""

import asyncio
from collections.abc import Callable

from seam_model import platform_errors
from seam_node import logs
from seam_node.ports import catalog
from seam_policy import store_position

PROBE_TIMEOUTS_S = (0.5, 1.0)
"""Alternating timeouts of probes while the store is unreachable; the longer
one also detects a store that answers slowly."""
PROBE_INTERVAL_S = 0.15
RARE_PROBE_INTERVAL_S = 1.0
"""The same while another instance would tell of the store's recovery."""


class StoreLink:
    """Lets one watch at a time probe an unreachable store; the others wait."""

    def __init__(
        self,
        now: Callable[[], float],
        log: logs.Log,
        count_outcome: Callable[[str], None],
        others_probe: Callable[[], bool] = lambda: False,
        unconfirmed_s: float = 0.0,
    ):
        """Starts with a reachable store.

        Args:
            now: the clock.
            log: where loss and recovery of the store are logged.
            count_outcome: counts the outcome of each call, by code.
            others_probe: returns whether another instance probes the store and
                would tell of its recovery.
            unconfirmed_s: time after a restore in which the store may show
                objects that have changed or gone since the copy.
        """
        self._now = now
        self._log = log
        self._count_outcome = count_outcome
        self._others_probe = others_probe
        self._unconfirmed_s = unconfirmed_s
        self._unconfirmed_until = float("-inf")
        self._reachable = asyncio.Event()
        self._reachable.set()
        self._probe_lock = asyncio.Lock()
        self._probe_count = 0
        self.recovered_at = float("-inf")
        """Time at which the last outage or restore was found to be over."""
        self.era = 0
        """Latest era of the store that was heard of; 0 if none."""
        self.on_restored: list[Callable[[], None]] = []
        """Called once the store is found to have been restored."""

    @property
    def unreachable(self) -> bool:
        """Whether the last call failed."""
        return not self._reachable.is_set()

    def record_failure(self, error: platform_errors.PlatformError) -> None:
        """Records a failed call."""
        self._count_outcome(error.code)
        if not self.unreachable:
            self._reachable.clear()
            self._probe_count = 0
            self._log.error("store_lost", error)

    def record_success(self) -> None:
        """Records a successful call."""
        self._count_outcome("ok")
        if self.unreachable:
            self.recovered_at = self._now()
            self._reachable.set()
            self._log.event("store_regained", probes=self._probe_count)

    def note_other_source(self) -> None:
        """Ends an outage, as another instance tells what the store has."""
        if self.unreachable:
            self.recovered_at = self._now()
            self._reachable.set()
            self._log.event("store_bypassed", probes=self._probe_count)

    def note_era(self, era: int) -> None:
        """Records the era of a state of the store."""
        if era <= self.era:
            return
        before, self.era = self.era, era
        if not before:
            return
        # What was announced since the copy is missing until it is repeated.
        self.recovered_at = self._now()
        self._unconfirmed_until = self._now() + self._unconfirmed_s
        self._log.event("store_restored", "warning", era=era, before=before)
        for handle in self.on_restored:
            handle()

    def is_unconfirmed(self) -> bool:
        """Returns whether the store may show what has changed since a copy."""
        return self.unconfirmed_left_s() > 0

    def unconfirmed_left_s(self) -> float:
        """Returns for how long it may, in seconds."""
        return max(0.0, self._unconfirmed_until - self._now())

    def log_listing(
        self,
        kind: catalog.Kind,
        position: store_position.Position,
        before: store_position.Position | None,
        count: int,
    ) -> None:
        """Logs that all objects of a kind were listed."""
        self._log.event(
            "store_listed",
            kind=kind.value,
            position=position,
            before=before or "none",
            objects=count,
        )

    def log_crossing(
        self,
        kind: catalog.Kind,
        before: store_position.Position,
        position: store_position.Position,
    ) -> None:
        """Logs that a watch was answered by a later era of the store."""
        self._log.event(
            "watch_crossed_restore",
            "warning",
            kind=kind.value,
            before=before,
            position=position,
        )

    async def acquire_turn(self) -> bool:
        """Waits until this watch may call the store.

        Returns True if the call is a probe; the caller must then call
        `release_turn` afterwards.
        """
        if not self.unreachable:
            return False
        await self._probe_lock.acquire()
        if not self.unreachable:
            self._probe_lock.release()
            return False
        if self._probe_count:
            await self._wait_between_probes()
        self._probe_count += 1
        return True

    def release_turn(self) -> None:
        """Ends a probe, so that another watch may probe."""
        self._probe_lock.release()

    def probe_timeout_s(self) -> float:
        """Returns the timeout of the current probe."""
        return PROBE_TIMEOUTS_S[self._probe_count % len(PROBE_TIMEOUTS_S)]

    async def _wait_between_probes(self) -> None:
        try:
            await asyncio.sleep(
                RARE_PROBE_INTERVAL_S
                if self._others_probe()
                else PROBE_INTERVAL_S
            )
        except asyncio.CancelledError:
            self._probe_lock.release()
            raise
