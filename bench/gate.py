"""Measures calls of a plain service under a flood, with and without a gate.

Calls go to a service that works on a fixed number of them at once, on virtual
time. Urgent lookups come at a steady rate; a flood of the other rank comes on
top. The same seed gives the same table.
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
"""Calls that one endpoint works on at once."""
SERVICE_S = 0.02
DEADLINE_S = 2.0
URGENT_PER_S = 120.0
TARGET_S = 0.25
"""Within which an urgent answer counts."""
RUN_S = 30.0
ADMISSION = attrs.evolve(
    config_check.initial().defaults.admission,
    service_slots=2 * WORKERS,
    service_target_s=0.1,
)


@attrs.define
class Outcome:
    """What became of one rank's calls."""

    offered: int = 0
    in_target: int = 0
    answered: int = 0
    refused: int = 0
    late: int = 0

    def share(self, count: int) -> float:
        """Returns a count as a share of the calls offered."""
        return count / self.offered if self.offered else 0.0


class Desk:
    """A service whose calls queue for a fixed number of workers."""

    def __init__(self, workers: int):
        """Takes the number of workers."""
        self._free = asyncio.Semaphore(workers)

    async def call(self, took_s: float) -> None:
        """Waits for a worker and for its work."""
        async with self._free:
            await asyncio.sleep(took_s)


class Flood:
    """One run of urgent calls and a flood of others."""

    def __init__(
        self,
        gated: bool,
        other_per_s: float,
        seed: int,
        run_s: float = RUN_S,
    ):
        """Takes whether calls pass a gate, and the flood's rate."""
        self._gated = gated
        self._run_s = run_s
        self._rng = random.Random(seed)
        self._rates = (URGENT_PER_S, other_per_s)
        clk = virtual_loop.VirtualClock()
        directory = engines.EngineDirectory(None, clk)
        directory.update(_records())
        self._gates = service_gate.ServiceGates(directory, clk)
        self._desk = Desk(WORKERS * ENDPOINTS)
        self.outcomes = (Outcome(), Outcome())

    async def run(self) -> None:
        """Sends both ranks' calls and waits for the last answer."""
        ranks = (slot_requests.URGENT, slot_requests.OTHER)
        await asyncio.gather(*(self._arrivals(rank) for rank in ranks))

    async def _arrivals(self, rank: int) -> None:
        loop = asyncio.get_running_loop()
        end = loop.time() + self._run_s
        calls = []
        while loop.time() < end and self._rates[rank]:
            await asyncio.sleep(self._rng.expovariate(self._rates[rank]))
            took_s = self._rng.expovariate(1 / SERVICE_S)
            calls.append(asyncio.ensure_future(self._call(rank, took_s)))
        await asyncio.gather(*calls)

    async def _call(self, rank: int, took_s: float) -> None:
        loop = asyncio.get_running_loop()
        outcome = self.outcomes[rank]
        outcome.offered += 1
        arrived = loop.time()
        permit = await self._enter(rank)
        if self._gated and permit is None:
            outcome.refused += 1
            return
        try:
            async with asyncio.timeout_at(arrived + DEADLINE_S):
                await self._desk.call(took_s)
        except TimeoutError:
            outcome.late += 1
        else:
            outcome.answered += 1
            outcome.in_target += loop.time() - arrived <= TARGET_S
        if permit is not None:
            self._gates.release(permit, loop.time() - arrived, False)

    async def _enter(self, rank: int) -> service_gate.Permit | None:
        if not self._gated:
            return None
        share = service_gate.CallerShare(rank, f"w{rank}")
        entered = await self._gates.acquire(
            SERVICE, share, DEADLINE_S / 2, ADMISSION
        )
        return entered.ok if entered.is_ok() else None


def _records() -> list[endpoints.EndpointRecord]:
    return [
        endpoints.EndpointRecord(
            f"desk-{number}", "service", "", "fukuoka", service=SERVICE
        )
        for number in range(ENDPOINTS)
    ]


async def measure(
    gated: bool, other_per_s: float, seed: int, run_s: float = RUN_S
) -> Flood:
    """Runs one flood on the running loop."""
    flood = Flood(gated, other_per_s, seed, run_s)
    await flood.run()
    return flood


def main() -> int:
    """Prints a table of shares of the calls offered."""
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
