"""Compares object layouts of order claims by platform calls and latency.

Each layout gets the same seeded arrivals on a virtual-time event loop with an
in-memory platform, so every run prints the same table. Each order is claimed,
runs for a fixed time and has its outcome recorded. All messages go to one
store; the latency excludes the hop from an instance to the shard's owner.

Run: python -m bench.claims
"""

import asyncio
from collections.abc import Callable
import random
import statistics

import attrs

from seam_model import claims
from seam_model import ids
from seam_model import peers
from seam_node.controllers import claim_store
from tests.seam_node.controllers import claim_fakes

SEED = 7
RATES_PER_S = (2, 20, 200)
RUN_DURATION_S = 60.0
SERVICE_TIME_S = 0.05
LATENCY_MIN_S = 0.004
LATENCY_SPREAD_S = 0.004
PLATFORM_BYTES_PER_S = 100e6
RESPONSE_BODY = b"x" * 200
LINGER_S = claim_store.OUTCOME_LINGER_S


@attrs.frozen
class ClaimLayout:
    """A layout of claims in platform objects."""

    name: str
    object_key: Callable[[bytes], str]
    linger_s: float


def _bucketed(bucket_s: int) -> Callable[[bytes], str]:
    def object_key(key: bytes) -> str:
        bucket = int(ids.uuid7_wall_s(ids.unpack(key)) // bucket_s)
        return f"{bucket}/{claims.shard_of(key)}"

    return object_key


LAYOUTS = (
    ClaimLayout("object for each key", lambda key: key.hex(), 0.0),
    ClaimLayout("16 shards", lambda key: str(claims.shard_of(key)), 0.0),
    ClaimLayout("16 shards, 10 s buckets", _bucketed(10), 0.0),
    ClaimLayout("10 s buckets, linger", _bucketed(10), LINGER_S),
    ClaimLayout("2 s buckets, linger", _bucketed(2), LINGER_S),
    ClaimLayout("1 s buckets, linger", _bucketed(1), LINGER_S),
)


class MeteredPlatform(claim_fakes.Platform):
    """A platform that counts written bytes and is slower for large objects."""

    def __init__(self, rng: random.Random):
        """Creates a platform that draws latencies from `rng`."""
        super().__init__()
        self._rng = rng
        self.bytes_written = 0

    async def put(self, key, data, expected):
        """Writes after a random latency plus a transfer time by size."""
        self.bytes_written += len(data)
        self.latency_s = (
            LATENCY_MIN_S
            + self._rng.random() * LATENCY_SPREAD_S
            + len(data) / PLATFORM_BYTES_PER_S
        )
        return await super().put(key, data, expected)


@attrs.define
class Run:
    """Measurements of one run."""

    platform: MeteredPlatform
    store: claim_store.ClaimStore
    latencies_s: list[float] = attrs.field(factory=list)


async def _claim_order(run: Run, key: bytes, nonce: bytes) -> None:
    loop = asyncio.get_running_loop()
    start_s = loop.time()
    req = peers.ClaimRequest(key, b"d" * 8, "a", nonce)
    answer = await run.store.submit(req)
    assert answer.state == claims.ClaimState.CLAIMED.value
    run.latencies_s.append(loop.time() - start_s)
    await asyncio.sleep(SERVICE_TIME_S)
    msg = peers.ClaimOutcome(key, nonce, 201, "application/json", RESPONSE_BODY)
    stored = await run.store.submit(msg)
    assert stored.stored


async def _run_layout(layout: ClaimLayout, rate_per_s: float) -> Run:
    rng = random.Random(SEED)
    platform = MeteredPlatform(random.Random(SEED + 1))
    store = claim_store.ClaimStore(
        platform, asyncio.ensure_future, layout.linger_s, layout.object_key
    )
    run = Run(platform, store)
    clock = claim_fakes.Clock()
    end_s = clock.monotonic() + RUN_DURATION_S
    orders = []
    while clock.monotonic() < end_s:
        key = ids.pack(ids.make_uuid7(clock.wall(), rng))
        nonce = rng.randbytes(claims.NONCE_BYTES)
        orders.append(asyncio.ensure_future(_claim_order(run, key, nonce)))
        await asyncio.sleep(rng.expovariate(rate_per_s))
    await asyncio.gather(*orders)
    return run


def _row(layout: ClaimLayout, rate_per_s: int, run: Run) -> str:
    count = len(run.latencies_s)
    percentiles = statistics.quantiles(run.latencies_s, n=100)
    calls = len(run.platform.calls)
    deletes = len(run.platform.objects)
    largest = max(len(data) for _, data in run.platform.objects.values())
    return (
        f"| {rate_per_s} | {layout.name} | {calls / count:.2f} "
        f"| {(calls + deletes) / count:.2f} "
        f"| {run.platform.bytes_written / count:.0f} | {largest} "
        f"| {percentiles[49] * 1000:.1f} | {percentiles[98] * 1000:.1f} |"
    )


def main() -> None:
    """Prints a table of all rates and layouts."""
    print(
        "| orders/s | way | calls/order | with deletes | bytes/order "
        "| largest object, bytes | claim p50, ms | p99, ms |"
    )
    print("|---|---|---|---|---|---|---|---|")
    for rate_per_s in RATES_PER_S:
        for layout in LAYOUTS:
            run = claim_fakes.run(_run_layout(layout, rate_per_s))
            print(_row(layout, rate_per_s, run), flush=True)


if __name__ == "__main__":
    main()
