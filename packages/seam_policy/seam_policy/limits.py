"""Rate and concurrency limits for each workspace."""

import collections
import enum

import attrs

_IDLE_EVICTION_S = 120.0
_MAX_WORKSPACES = 10_000


class TokenBucket:
    """Token bucket that limits the mean rate and allows bursts."""

    def __init__(self, rate: float, burst: float, now: float):
        """Creates a full bucket.

        Args:
            rate: refill rate, in tokens per second.
            burst: capacity, in tokens.
            now: current time, in monotonic seconds.
        """
        self.rate = rate
        self.burst = burst
        self._tokens = burst
        self._refilled_at = now

    def take(self, now: float, count: float = 1.0) -> bool:
        """Takes `count` tokens; takes none and returns False if too few."""
        self._refill(now)
        if self._tokens < count:
            return False
        self._tokens -= count
        return True

    def wait_s(self, now: float, count: float = 1.0) -> float:
        """Returns the seconds until `count` tokens are available."""
        self._refill(now)
        missing = count - self._tokens
        if missing <= 0:
            return 0.0
        return missing / self.rate if self.rate > 0 else float("inf")

    def is_full(self, now: float) -> bool:
        """Returns whether the bucket is full, as a new one is."""
        self._refill(now)
        return self._tokens >= self.burst

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self._refilled_at)
        self._tokens = min(self.burst, self._tokens + elapsed * self.rate)
        self._refilled_at = max(self._refilled_at, now)


@attrs.frozen
class WorkspaceLimits:
    """Limits of one workspace on one instance."""

    rate: float
    """Requests per second."""
    burst: float
    concurrent: int
    """Maximum number of requests in flight."""


class LimitKind(enum.Enum):
    """The limit that rejected a request."""

    RATE = "rate"
    CONCURRENCY = "concurrency"
    WORKSPACES = "workspaces"
    """Too many workspaces are tracked to add another."""


@attrs.frozen
class Limited:
    """Rejection of a request that exceeds a limit."""

    kind: LimitKind
    retry_after_s: float


@attrs.define
class _Usage:
    bucket: TokenBucket
    running: int
    last_used_at: float


class WorkspaceLimiter:
    """Enforces the limits of each workspace in bounded memory."""

    def __init__(
        self,
        defaults: WorkspaceLimits,
        exceptions: dict[str, WorkspaceLimits] | None = None,
        max_workspaces: int = _MAX_WORKSPACES,
    ):
        """Creates a limiter with default and per-workspace limits."""
        self._defaults = defaults
        self._exceptions = dict(exceptions or {})
        self._max_workspaces = max_workspaces
        self._usage: collections.OrderedDict[str, _Usage]
        self._usage = collections.OrderedDict()

    def __len__(self) -> int:
        """Returns the number of tracked workspaces."""
        return len(self._usage)

    def configure(
        self,
        defaults: WorkspaceLimits,
        exceptions: dict[str, WorkspaceLimits],
    ) -> None:
        """Applies new limits; requests in flight still count."""
        self._defaults = defaults
        self._exceptions = dict(exceptions)
        for workspace, usage in self._usage.items():
            limits = self._limits(workspace)
            usage.bucket.rate = limits.rate
            usage.bucket.burst = limits.burst

    def acquire(self, workspace: str, now: float) -> Limited | None:
        """Admits a request, or returns the limit that rejects it."""
        self._evict(now)
        usage = self._usage.get(workspace)
        if usage is None:
            if len(self._usage) >= self._max_workspaces:
                return Limited(LimitKind.WORKSPACES, 1.0)
            usage = self._track(workspace, now)
        usage.last_used_at = now
        self._usage.move_to_end(workspace)
        if usage.running >= self._limits(workspace).concurrent:
            return Limited(LimitKind.CONCURRENCY, 1.0)
        if not usage.bucket.take(now):
            return Limited(LimitKind.RATE, usage.bucket.wait_s(now))
        usage.running += 1
        return None

    def release(self, workspace: str, now: float) -> None:
        """Releases a request that `acquire` admitted."""
        usage = self._usage.get(workspace)
        if usage is None or usage.running == 0:
            return
        usage.running -= 1
        usage.last_used_at = now
        self._usage.move_to_end(workspace)

    def _limits(self, workspace: str) -> WorkspaceLimits:
        return self._exceptions.get(workspace, self._defaults)

    def _track(self, workspace: str, now: float) -> _Usage:
        limits = self._limits(workspace)
        bucket = TokenBucket(limits.rate, limits.burst, now)
        usage = _Usage(bucket, 0, now)
        self._usage[workspace] = usage
        return usage

    def _evict(self, now: float) -> None:
        """Evicts the longest idle workspace unless that would lose state.

        State is lost while requests are in flight or the bucket is not full.
        """
        if not self._usage:
            return
        workspace, usage = next(iter(self._usage.items()))
        if now - usage.last_used_at < _IDLE_EVICTION_S:
            return
        if usage.running or not usage.bucket.is_full(now):
            usage.last_used_at = now
            self._usage.move_to_end(workspace)
            return
        del self._usage[workspace]
