"""Keeps the rate limits that endpoints name for all instances together.

Each instance that may send to a limited endpoint has a share of its rate and a
token bucket for it. An endpoint that takes no more than a few requests a second
gets them from a few instances only, so that the requests that all buckets hold
stay few. A limit holds until the endpoint says otherwise, or was not heard for
long; the rate then grows step by step. This handles endpoints in need before
which the same load arrives at many instances, and endpoints that are relieved
all at once.
"""

from collections.abc import Iterable
import math

import attrs

from seam_policy import rendezvous

MIN_RATE = 0.2
"""Requests a second that any endpoint gets, as it could not say otherwise that
its limit has ended."""
FULL_BURST_S = 0.5
"""Time whose requests may be sent at once where one instance has the whole
rate."""
SPARE_SENDERS = 2
"""Instances that may send to an endpoint of any rate."""
EXPIRE_S = 10.0
"""Time after which a limit that was not heard again no longer holds."""
RECOVERY_S = 4.0
"""Time in which the rate grows after a limit has ended."""
GROWTH_PER_S = 3.0
"""Factor by which it grows each second."""
FULL_SHARE = 1.0
PREFILL_FACTOR = 1.5
PREFILL_EXTRA_RATE = 0.95
"""Prefills a second."""


@attrs.define
class _Limit:
    rate: float | None
    """Requests a second; None if the endpoint names no limit any more."""
    heard_at: float
    before: float = 0.0
    """Rate before the limit ended."""
    tokens: float = 0.0
    refilled_at: float = 0.0


class RateLimits:
    """The limits of endpoints and one instance's tokens for them."""

    def __init__(self) -> None:
        """Starts without limits."""
        self._limits: dict[str, _Limit] = {}

    def heard(
        self, key: str, rate: float | None, at: float, now: float
    ) -> bool:
        """Records what an endpoint said at a time; returns whether it is new.

        Args:
            key: the endpoint's key.
            rate: requests a second that it takes; None if it named no limit.
            at: when it said so.
            now: current time.
        """
        known = self._limits.get(key)
        if known is None:
            if rate is None:
                return False
            self._limits[key] = _Limit(rate, at, refilled_at=now)
            return True
        if at < known.heard_at:
            return False
        known.heard_at = at
        if rate == known.rate:
            return False
        if rate is None:
            known.before = known.rate
        known.rate = rate
        return True

    def remove(self, key: str) -> None:
        """Forgets an endpoint that has ended."""
        self._limits.pop(key, None)

    def named(self, now: float) -> dict[str, tuple[float, float]]:
        """Returns rate and time of the limits that hold, by endpoint."""
        for key in tuple(self._limits):
            self._expire(key, now)
        return {
            key: (limit.rate, limit.heard_at)
            for key, limit in self._limits.items()
            if limit.rate is not None
        }

    def rate(self, key: str, now: float) -> float:
        """Returns the requests a second that an endpoint gets from all."""
        self._expire(key, now)
        limit = self._limits.get(key)
        if limit is None:
            return math.inf
        if limit.rate is not None:
            return max(MIN_RATE, limit.rate)
        ended_s = now - limit.heard_at
        return max(MIN_RATE, limit.before) * GROWTH_PER_S**ended_s

    def wait_s(self, key: str, rate: float, share: float, now: float) -> float:
        """Returns the time until a request may be sent; 0 for at once.

        Args:
            key: the endpoint's key.
            rate: requests a second that it gets from all instances.
            share: this instance's part of that rate.
            now: current time.
        """
        limit = self._limits.get(key)
        if limit is None or math.isinf(rate):
            return 0.0
        self._refill(limit, rate, share, now)
        if limit.tokens >= 1.0:
            return 0.0
        if share <= 0.0:
            return math.inf
        return (1.0 - limit.tokens) / (rate * share)

    def take(self, key: str) -> None:
        """Takes the token of a request that is sent."""
        limit = self._limits.get(key)
        if limit is not None:
            limit.tokens = max(0.0, limit.tokens - 1.0)

    def _refill(
        self, limit: _Limit, rate: float, share: float, now: float
    ) -> None:
        burst = 1.0
        if share >= FULL_SHARE:
            burst = max(burst, rate * FULL_BURST_S)
        gained = rate * share * max(0.0, now - limit.refilled_at)
        limit.tokens = min(burst, limit.tokens + gained)
        limit.refilled_at = now

    def _expire(self, key: str, now: float) -> None:
        limit = self._limits.get(key)
        if limit is None:
            return
        if limit.rate is not None and now - limit.heard_at > EXPIRE_S:
            limit.before, limit.rate = limit.rate, None
            limit.heard_at = now
        if limit.rate is None and now - limit.heard_at > RECOVERY_S:
            del self._limits[key]


def prefill_rate(rate: float) -> float:
    """Returns the prefills a second that a limited engine gets from all.

    A prefill is only a part of a request, and a decode engine that does it in
    addition delays all of its streams. So a prefill engine gets what operators
    tolerate above its limit, which is half again and some requests more.

    Args:
        rate: requests a second that the engine takes.
    """
    return PREFILL_FACTOR * rate + PREFILL_EXTRA_RATE


def sender_share(
    key: str, rate: float, own_name: str, names: Iterable[str]
) -> float:
    """Returns an instance's part of an endpoint's rate.

    The instances that may send to the endpoint are found by hashing, about two
    for each request a second. A bucket holds one request, so all buckets
    together hold no more than the endpoint takes in two seconds.

    Args:
        key: the endpoint's key.
        rate: requests a second that it takes from all.
        own_name: the instance's name.
        names: names of all live instances, the own one included.
    """
    all_names = set(names)
    count = min(len(all_names), int(2 * rate) + SPARE_SENDERS)
    seed = key.encode()
    own_weight = (rendezvous.weight(seed, own_name), own_name)
    ahead = sum(
        (rendezvous.weight(seed, name), name) > own_weight for name in all_names
    )
    return 1.0 / count if ahead < count else 0.0
