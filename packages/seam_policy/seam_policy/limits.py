"""Rate and concurrency limits of workspaces."""

import collections
import enum

import attrs

_IDLE_S = 120.0
_MAX_WORKSPACES = 10_000


class TokenBucket:
    """Allows a mean rate with bursts."""

    def __init__(self, rate: float, burst: float, now: float):
        """Starts full.

        Args:
            rate: tokens a second.
            burst: most tokens that can be saved up.
            now: monotonic seconds.
        """
        self.rate = rate
        self.burst = burst
        self._tokens = burst
        self._at = now

    def take(self, now: float, count: float = 1.0) -> bool:
        """Takes tokens, or none and returns False if there are too few."""
        self._refill(now)
        if self._tokens < count:
            return False
        self._tokens -= count
        return True

    def wait_s(self, now: float, count: float = 1.0) -> float:
        """Returns the time until `count` tokens are there, in seconds."""
        self._refill(now)
        short = count - self._tokens
        if short <= 0:
            return 0.0
        return short / self.rate if self.rate > 0 else float("inf")

    def is_full(self, now: float) -> bool:
        """Tells whether the bucket is in its first state."""
        self._refill(now)
        return self._tokens >= self.burst

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self._at)
        self._tokens = min(self.burst, self._tokens + elapsed * self.rate)
        self._at = max(self._at, now)


@attrs.frozen
class WorkspaceLimits:
    """Limits of one workspace on one instance."""

    rate: float
    """Requests a second."""
    burst: float
    concurrent: int
    """Requests that run at once."""


class LimitKind(enum.Enum):
    """Which limit a request met."""

    RATE = "rate"
    CONCURRENCY = "concurrency"
    WORKSPACES = "workspaces"
    """Too many workspaces are active to track another."""


@attrs.frozen
class Limited:
    """The request is over a limit of its workspace."""

    kind: LimitKind
    retry_after_s: float


@attrs.define
class _Usage:
    bucket: TokenBucket
    running: int
    used_at: float


class WorkspaceLimiter:
    """Applies limits to each workspace, in bounded memory."""

    def __init__(
        self,
        defaults: WorkspaceLimits,
        exceptions: dict[str, WorkspaceLimits] | None = None,
        max_workspaces: int = _MAX_WORKSPACES,
    ):
        """Takes the default limits and those of single workspaces."""
        self._defaults = defaults
        self._exceptions = dict(exceptions or {})
        self._max_workspaces = max_workspaces
        self._usage: collections.OrderedDict[str, _Usage]
        self._usage = collections.OrderedDict()

    def __len__(self) -> int:
        """Returns the number of workspaces that are tracked."""
        return len(self._usage)

    def configure(
        self,
        defaults: WorkspaceLimits,
        exceptions: dict[str, WorkspaceLimits],
    ) -> None:
        """Puts new limits in force, running requests still counted."""
        self._defaults = defaults
        self._exceptions = dict(exceptions)
        for workspace, usage in self._usage.items():
            limits = self._limits(workspace)
            usage.bucket.rate = limits.rate
            usage.bucket.burst = limits.burst

    def acquire(self, workspace: str, now: float) -> Limited | None:
        """Counts a request in; returns the limit it met, else None."""
        self._evict(now)
        usage = self._usage.get(workspace)
        if usage is None:
            if len(self._usage) >= self._max_workspaces:
                return Limited(LimitKind.WORKSPACES, 1.0)
            usage = self._track(workspace, now)
        usage.used_at = now
        self._usage.move_to_end(workspace)
        if usage.running >= self._limits(workspace).concurrent:
            return Limited(LimitKind.CONCURRENCY, 1.0)
        if not usage.bucket.take(now):
            return Limited(LimitKind.RATE, usage.bucket.wait_s(now))
        usage.running += 1
        return None

    def release(self, workspace: str, now: float) -> None:
        """Counts a request out that `enter` let in."""
        usage = self._usage.get(workspace)
        if usage is None or usage.running == 0:
            return
        usage.running -= 1
        usage.used_at = now
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
        """Forgets the longest idle workspace once nothing is lost by it."""
        if not self._usage:
            return
        workspace, usage = next(iter(self._usage.items()))
        if now - usage.used_at < _IDLE_S:
            return
        if usage.running or not usage.bucket.is_full(now):
            usage.used_at = now
            self._usage.move_to_end(workspace)
            return
        del self._usage[workspace]
