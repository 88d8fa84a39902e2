"""Acquires, renews and releases one named lease in the platform's store.

Validity is counted on the monotonic clock from before the renewal was sent,
so a holder that was paused finds its lease expired before it acts. The
fencing token increases at every change of holder, also if the store is
restored from a copy in between.
"""

import asyncio
from collections.abc import Callable
from typing import Any

import attrs
import expression

from seam_model import codec
from seam_model import platform_errors
from seam_node import task
from seam_node.ports import clock as clock_port
from seam_node.ports import objects
from seam_policy import lease_takeover

PREFIX = "leases/"
DURATION_S = 15.0
RENEWALS_PER_DURATION = 3


@attrs.frozen
class LeaseRecord:
    """A lease as stored in the platform."""

    holder: str
    incarnation: int
    fence: int
    duration_s: float
    nonce: int
    """Number of the holder's write, to identify it when its answer is lost."""
    era: int = 0
    """Era of the store that the holder knew of when it wrote."""


@attrs.frozen
class Tick:
    """Requests a renewal of the lease or an attempt to acquire it."""


@attrs.frozen
class Observe:
    """Requests a read of the lease, so that its age is known."""


@attrs.frozen
class Release:
    """Requests the final release of the lease."""


@attrs.frozen
class _Observation:
    version: int
    era: int
    record: LeaseRecord | None
    since_s: float
    """Monotonic time at which this version of this era was first observed."""

    def stored(self) -> lease_takeover.StoredLease:
        """Returns what decides on taking the lease."""
        if self.record is None:
            return lease_takeover.StoredLease(self.era, exists=False)
        return lease_takeover.StoredLease(
            self.era,
            exists=True,
            written_era=self.record.era,
            duration_s=self.record.duration_s,
            fence=self.record.fence,
        )


class LeaseController(task.Task):
    """Acquires and renews the lease `name` while `is_wanted` returns True.

    `order_timeout_s` is the longest timeout of an order to an engine that
    ignores fencing tokens; a new holder waits for that time after the old
    lease has expired.
    """

    def __init__(
        self,
        name: str,
        holder: str,
        incarnation: int,
        platform: objects.ObjectStore,
        clock: clock_port.Clock,
        is_wanted: Callable[[], bool],
        order_timeout_s: float,
        duration_s: float = DURATION_S,
        takes_over_own: bool = False,
    ):
        """Starts without the lease.

        With `takes_over_own`, a restarted holder takes its lease over without
        waiting. Its former process must have ended.
        """
        super().__init__(f"lease/{name}")
        self._key = PREFIX + name
        self._holder = holder
        self._incarnation = incarnation
        self._platform = platform
        self._clock = clock
        self._is_wanted = is_wanted
        self._order_timeout_s = order_timeout_s
        self._duration_s = duration_s
        self._takes_over_own = takes_over_own
        self._observed: _Observation | None = None
        self._valid_until_s = float("-inf")
        self._last_fence = 0
        self._nonce = 0
        self._released = False

    async def start(self) -> None:
        """Starts the mailbox loop and the renewal timer."""
        await super().start()
        self.spawn(self._timer())

    def valid_for(self, now: float) -> float:
        """Returns the seconds for which the lease is certainly held, or 0.

        `now` is monotonic time in seconds, read just before acting.
        """
        return max(0.0, self._valid_until_s - now)

    def fence(self) -> int:
        """Returns the fencing token of the lease last held, or 0."""
        return self._last_fence

    async def receive(self, message: Any) -> Any:
        """Handles `Tick`, `Observe` and `Release`."""
        if isinstance(message, Release):
            self._released = True
            await self._release()
        elif isinstance(message, Observe):
            await self._observe()
        elif not self._released:
            await self._tick()

    async def _timer(self) -> None:
        while True:
            self.tell(Tick())
            await asyncio.sleep(self._duration_s / RENEWALS_PER_DURATION)

    async def _tick(self) -> None:
        # Without a lease held or wanted, no platform call is made.
        if not self._is_wanted() and not self._is_held():
            return
        await self._observe()
        if self._observed is None:
            return
        if self._is_held():
            await self._renew(self._observed.record)
        elif self._is_wanted() and self._may_take(self._observed):
            await self._acquire(self._observed)

    async def _observe(self) -> None:
        got = await self._platform.get(self._key)
        if got.is_error():
            if not isinstance(got.error, platform_errors.ObjectMissing):
                return
            version, record = objects.ABSENT, None
        else:
            parsed = codec.from_json(got.ok.data, LeaseRecord)
            if parsed.is_error():
                return
            version, record = got.ok.version, parsed.ok
        era = self._platform.era
        known = self._observed
        if known is None or (known.era, known.version) != (era, version):
            # Read after the answer, so that the wait is never too short.
            now = self._clock.monotonic()
            self._observed = _Observation(version, era, record, now)

    def _is_held(self) -> bool:
        """Returns whether the store shows that this process has the lease."""
        return (
            self._observed is not None
            and self._is_own(self._observed.record)
            and not self._observed.stored().may_be_outdated
        )

    def _is_own(self, record: LeaseRecord | None) -> bool:
        return (
            record is not None
            and record.holder == self._holder
            and record.incarnation == self._incarnation
        )

    def _may_take(self, observed: _Observation) -> bool:
        stored = observed.stored()
        now = self._clock.monotonic()
        if stored.may_be_outdated:
            if self.valid_for(now) > 0:
                # Nobody else can have had it since this holder wrote it.
                return True
        elif self._takes_over_own and self._is_of_holder(observed.record):
            return True
        wait_s = lease_takeover.takeover_wait_s(
            stored, self._duration_s, self._order_timeout_s
        )
        return wait_s == 0 or now - observed.since_s > wait_s

    def _is_of_holder(self, record: LeaseRecord | None) -> bool:
        return record is not None and record.holder == self._holder

    async def _acquire(self, observed: _Observation) -> None:
        fence = lease_takeover.next_fence(observed.stored())
        await self._write(self._duration_s, fence)

    async def _renew(self, record: LeaseRecord) -> None:
        if self._is_wanted():
            await self._write(self._duration_s, record.fence)
        elif record.duration_s > 0:
            await self._release()

    async def _release(self) -> None:
        if not self._is_held():
            return
        self._valid_until_s = float("-inf")
        await self._write(0.0, self._observed.record.fence)
        self._valid_until_s = float("-inf")

    async def _write(self, duration_s: float, fence: int) -> None:
        self._nonce += 1
        record = LeaseRecord(
            self._holder,
            self._incarnation,
            fence,
            duration_s,
            self._nonce,
            self._observed.era,
        )
        sent_s = self._clock.monotonic()
        put = await self._platform.put(
            self._key, codec.to_json(record), self._observed.version
        )
        if put.is_ok():
            self._observed = _Observation(
                put.ok, self._platform.era, record, self._clock.monotonic()
            )
        else:
            await self._read_back(put)
        # Only the write sent above extends the lease: an earlier write of this
        # holder found in the store does not prove that this one succeeded.
        # One that a restore came before met a version of another state.
        if self._observed.record == record:
            if self._observed.era != record.era:
                return
            self._valid_until_s = sent_s + duration_s
            self._last_fence = fence
        elif not self._is_own(self._observed.record):
            self._valid_until_s = float("-inf")

    async def _read_back(
        self, put: expression.Result[int, platform_errors.PlatformError]
    ) -> None:
        if not isinstance(put.error, platform_errors.PlatformUnavailable):
            await self._observe()
