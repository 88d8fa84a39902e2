"""Token buckets whose level may go below zero.

A request is admitted while the level is above zero, and the level may go
negative by it, so that small requests do not starve large ones. This handles
callers whose requests differ much in size.
"""

from collections.abc import Iterator
from collections.abc import Mapping

import attrs

MIN_WAIT_S = 0.001
"""Shortest wait for a bucket whose level is not above zero."""
FULL_SHARE = 1.0


@attrs.frozen
class Limit:
    """Rate and size of a bucket."""

    rate: float
    """Units per second."""
    burst: float
    """Highest level, in units."""
    max_debt: float
    """Lowest level, in units below zero.

    What was used beyond that has broken the limit's bound already; collecting
    it later would only prolong the refusals.
    """

    def scaled(self, share: float) -> "Limit":
        """Returns the limit for a share of the rate."""
        return attrs.evolve(
            self, rate=self.rate * share, burst=self.burst * share
        )


class TokenBucket:
    """The level of one bucket over time."""

    def __init__(self, limit: Limit, level: float, now: float):
        """Creates a bucket with a level at a time."""
        self.limit = limit
        self._level = min(level, limit.burst)
        self._updated_at = now

    def level(self, now: float) -> float:
        """Returns the units left; negative after too much use."""
        elapsed_s = max(0.0, now - self._updated_at)
        self._level = min(
            self.limit.burst, self._level + elapsed_s * self.limit.rate
        )
        self._updated_at = max(now, self._updated_at)
        return self._level

    def wait_s(self, now: float) -> float:
        """Returns the seconds until the level is above zero; 0 if it is."""
        level = self.level(now)
        if level > 0:
            return 0.0
        return max(MIN_WAIT_S, -level / self.limit.rate)

    def charge(self, cost: float, now: float) -> None:
        """Takes units; a negative cost is a refund."""
        level = self.level(now) - cost
        self._level = min(self.limit.burst, level)

    def charge_used(self, cost: float, now: float) -> None:
        """Takes units that were used without asking, down to the lowest level.

        See `Limit.max_debt`.
        """
        before = self.level(now)
        lowest = min(before, -self.limit.max_debt)
        self._level = max(before - cost, lowest)

    def change(self, limit: Limit, now: float) -> None:
        """Sets another limit from a time on; caps the level by it."""
        level = self.level(now)
        self.limit = limit
        self._level = min(level, limit.burst)

    def drain(self, now: float) -> None:
        """Empties the bucket, as what was used of it is not known."""
        self._level = min(0.0, self.level(now))


class BucketSet:
    """Buckets by name, of which all have the same share of their limit."""

    def __init__(self) -> None:
        """Creates an empty set with the full share."""
        self._limits: dict[str, Limit] = {}
        self._buckets: dict[str, TokenBucket] = {}
        self._share = FULL_SHARE

    def __contains__(self, name: str) -> bool:
        """Returns whether there is a bucket of a name."""
        return name in self._buckets

    def __iter__(self) -> Iterator[tuple[str, TokenBucket]]:
        """Iterates over the names and buckets."""
        return iter(self._buckets.items())

    def find(self, name: str) -> TokenBucket | None:
        """Returns the bucket of a name, or None."""
        return self._buckets.get(name)

    def configure(
        self, limits: Mapping[str, Limit], starts_full: bool, now: float
    ) -> None:
        """Sets the limits; buckets without one are removed.

        Args:
            limits: limits by name, for the full share.
            starts_full: whether new buckets are full; otherwise empty.
            now: current time.
        """
        self._limits = dict(limits)
        for name in set(self._buckets) - set(limits):
            del self._buckets[name]
        for name, limit in limits.items():
            scaled = limit.scaled(self._share)
            if name in self._buckets:
                self._buckets[name].change(scaled, now)
            else:
                level = scaled.burst if starts_full else 0.0
                self._buckets[name] = TokenBucket(scaled, level, now)

    def set_share(self, share: float, now: float) -> None:
        """Sets the share of the limits that may be used.

        Buckets are emptied as it shrinks, since others may be using the rest.
        """
        if share == self._share:
            return
        shrinks = share < self._share
        self._share = share
        for name, bucket in self._buckets.items():
            bucket.change(self._limits[name].scaled(share), now)
            if shrinks:
                bucket.drain(now)
