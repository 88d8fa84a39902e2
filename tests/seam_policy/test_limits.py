"""Tests of the rate and concurrency limits of workspaces."""

from seam_policy import limits

DEFAULTS = limits.WorkspaceLimits(rate=10.0, burst=5.0, concurrent=3)


def test_rate_and_concurrency_are_limited_per_workspace():
    limiter = limits.WorkspaceLimiter(DEFAULTS)
    assert [limiter.acquire("a", 0.0) for _ in range(3)] == [None] * 3
    assert limiter.acquire("a", 0.0).kind is limits.LimitKind.CONCURRENCY
    assert limiter.acquire("b", 0.0) is None
    for _ in range(2):
        limiter.release("a", 0.0)
        assert limiter.acquire("a", 0.0) is None
    limiter.release("a", 0.0)
    limited = limiter.acquire("a", 0.0)
    assert limited == limits.Limited(limits.LimitKind.RATE, 0.1)
    assert limiter.acquire("a", 0.11) is None


def test_exception_raises_the_limit_of_one_workspace():
    limiter = limits.WorkspaceLimiter(DEFAULTS)
    limiter.acquire("a", 0.0)
    limiter.configure(DEFAULTS, {"a": limits.WorkspaceLimits(10.0, 50.0, 1)})
    assert limiter.acquire("a", 0.0).kind is limits.LimitKind.CONCURRENCY
    assert limiter.acquire("b", 0.0) is None


def test_memory_is_bounded_and_requests_in_flight_are_never_evicted():
    limiter = limits.WorkspaceLimiter(DEFAULTS, max_workspaces=10)
    for number in range(20):
        limiter.acquire(f"w{number}", 0.0)
    assert len(limiter) == 10
    for number in range(1, 10):
        limiter.release(f"w{number}", 1.0)
    for step in range(20):
        limiter.acquire("w0", 500.0 + step)
    assert len(limiter) == 1
    assert limiter.acquire("w0", 520.0).kind is limits.LimitKind.CONCURRENCY
