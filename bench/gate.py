"""Simulates an overloaded plain service with and without the service gate.

The service has a fixed number of workers and runs on virtual time. Urgent
calls arrive at a steady rate, with a flood of calls of the other rank on top.
The same seed gives the same table.
"""

import asyncio
import random
import sys

import attrs

from seam_model import config_check
from seam_model import endpoints
from seam_node.controllers import engines
from seam_node.controllers import service_gate
from seam_policy import slot_requests
from standins import virtual_loop

SERVICE = "vault-desk"
ENDPOINTS = 3
WORKERS = 8
"""Calls that one endpoint processes concurrently."""
MEAN_SERVICE_TIME_S = 0.02
DEADLINE_S = 2.0
URGENT_PER_S = 120.0
TARGET_LATENCY_S = 0.25
"""Latency up to which an answer counts as in target."""
RUN_DURATION_S = 30.0
ADMISSION = attrs.evolve(
    config_check.initial().defaults.admission,
    service_slots=2 * WORKERS,
    service_target_s=0.1,
)


@attrs.define
class Outcome:
    """Outcome counts of one rank's calls."""

    offered: int = 0
    in_target: int = 0
    answered: int = 0
    refused: int = 0
    late: int = 0

    def share(self, count: int) -> float:
        """Returns a count as a share of the offered calls."""
        return count / self.offered if self.offered else 0.0


class WorkerPool:
    """A service whose calls queue for a fixed number of workers."""

    def __init__(self, workers: int):
        """Creates a pool with the given number of workers."""
        self._idle_workers = asyncio.Semaphore(workers)

    async def call(self, service_time_s: float) -> None:
        """Waits for an idle worker, then occupies it for the service time."""
        async with self._idle_workers:
            await asyncio.sleep(service_time_s)


class Flood:
    """One run of urgent calls and a flood of calls of the other rank."""

    def __init__(
        self,
        gated: bool,
        other_per_s: float,
        seed: int,
        run_s: float = RUN_DURATION_S,
    ):
        """Prepares a run; `gated` sends the calls through a service gate."""
        self._gated = gated
        self._run_s = run_s
        self._rng = random.Random(seed)
        self._rates = (URGENT_PER_S, other_per_s)
        clk = virtual_loop.VirtualClock()
        directory = engines.EngineDirectory(None, clk)
        directory.update(_endpoint_records())
        self._gates = service_gate.ServiceGates(directory, clk)
        self._workers = WorkerPool(WORKERS * ENDPOINTS)
        self.outcomes = (Outcome(), Outcome())

    async def run(self) -> None:
        """Sends the calls of both ranks and waits for the last outcome."""
        ranks = (slot_requests.URGENT, slot_requests.OTHER)
        await asyncio.gather(*(self._arrivals(rank) for rank in ranks))

    async def _arrivals(self, rank: int) -> None:
        loop = asyncio.get_running_loop()
        end_s = loop.time() + self._run_s
        calls = []
        while loop.time() < end_s and self._rates[rank]:
            await asyncio.sleep(self._rng.expovariate(self._rates[rank]))
            service_time_s = self._rng.expovariate(1 / MEAN_SERVICE_TIME_S)
            calls.append(
                asyncio.ensure_future(self._call(rank, service_time_s))
            )
        await asyncio.gather(*calls)

    async def _call(self, rank: int, service_time_s: float) -> None:
        loop = asyncio.get_running_loop()
        outcome = self.outcomes[rank]
        outcome.offered += 1
        arrived_at_s = loop.time()
        permit = await self._acquire(rank)
        if self._gated and permit is None:
            outcome.refused += 1
            return
        try:
            async with asyncio.timeout_at(arrived_at_s + DEADLINE_S):
                await self._workers.call(service_time_s)
        except TimeoutError:
            outcome.late += 1
        else:
            outcome.answered += 1
            outcome.in_target += loop.time() - arrived_at_s <= TARGET_LATENCY_S
        if permit is not None:
            self._gates.release(permit, loop.time() - arrived_at_s, False)

    async def _acquire(self, rank: int) -> service_gate.Permit | None:
        if not self._gated:
            return None
        share = service_gate.CallerShare(rank, f"w{rank}")
        entered = await self._gates.acquire(
            SERVICE, share, DEADLINE_S / 2, ADMISSION
        )
        return entered.ok if entered.is_ok() else None


def _endpoint_records() -> list[endpoints.EndpointRecord]:
    return [
        endpoints.EndpointRecord(
            f"desk-{number}", "service", "", "fukuoka", service=SERVICE
        )
        for number in range(ENDPOINTS)
    ]


async def measure(
    gated: bool, other_per_s: float, seed: int, run_s: float = RUN_DURATION_S
) -> Flood:
    """Runs one flood on the running loop."""
    flood = Flood(gated, other_per_s, seed, run_s)
    await flood.run()
    return flood


def main() -> int:
    """Prints the outcomes as shares of the offered calls."""
    print("flood/s gate  rank    offered in_target answered refused late")
    for other_per_s in (300.0, 3000.0):
        for gated in (False, True):
            run = virtual_loop.run(measure(gated, other_per_s, 1))
            for rank, outcome in zip(
                ("urgent", "other"), run.outcomes, strict=True
            ):
                print(
                    f"{other_per_s:7.0f} {'yes' if gated else 'no ':4}  "
                    f"{rank:6} {outcome.offered:8} "
                    f"{outcome.share(outcome.in_target):9.3f} "
                    f"{outcome.share(outcome.answered):8.3f} "
                    f"{outcome.share(outcome.refused):7.3f} "
                    f"{outcome.share(outcome.late):5.3f}"
                )
    return 0


if __name__ == "__main__":
    sys.exit(main())
