"""A worker's old announcement reaches the store after its newer ones."""

import asyncio
import os
import pathlib
import sys
import tempfile

from platform_standin import BOUNDS
from platform_standin import Instance
from platform_standin import Record
from platform_standin import Store
from platform_standin import now
import servers

FOLDER = pathlib.Path(__file__).parent
ZONES = ("cebu-a", "cebu-b", "iloilo-a")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DRAIN_S = BOUNDS["drain_ms"] / 1000
STABLE_S = BOUNDS["stable_window_ms"] / 1000
LATE_S = 5.8
"""How long after it was sent the old announcement is done (at most 6 s)."""
DRAINS_AFTER_S = STABLE_S + 0.3
SERVES_ON_S = 6.0
"""How long a worker that leaves goes on; it may be many seconds."""
CLIENTS = 40


async def traffic(instances, record, until):
    async def one(number):
        instance = instances[number % len(instances)]
        client = servers.Client(instance.host, instance.front, record)
        await asyncio.sleep(number * 0.03)
        while now() < until:
            if number % 3:
                await client.send("POST", "/pule252/2f", {"Deadline-Ms": "600"})
            else:
                await client.send("GET", "/puxa403/2f", {"Deadline-Ms": "600"})
            await asyncio.sleep(0.6)
        client.close()

    await asyncio.gather(*(one(number) for number in range(CLIENTS)))


async def play(folder, record) -> int:
    store = Store(record)
    await store.start()
    ledger = "wuno96b"
    store.put(
        "config",
        "main",
        servers.config(
            7,
            [
                servers.route(
                    "r-1", "/pule252/", ledger, "non_idempotent", 600, 1
                ),
                servers.route("r-2", "/puxa403/", ledger, "idempotent", 600, 2),
            ],
            [servers.service(ledger)],
        ),
    )
    workers = [
        servers.Worker(ledger, zone, store.port, record)
        for zone in (*ZONES, "bohol-a")
    ]
    instances = [
        Instance(number, zone, f"127.0.0.1:{store.port}", folder, record)
        for number, zone in enumerate(ZONES, 1)
    ]
    try:
        for each in workers:
            await each.start()
        for each in instances:
            await each.start()
        for each in instances:
            await each.until_ready()
        await asyncio.sleep(3.0)
        return await leave(store, workers, instances, record)
    finally:
        for each in workers:
            each.end()
        for each in instances:
            await each.end()
        store.close()


async def leave(store, workers, instances, record) -> int:
    leaver = workers[0]
    flow = asyncio.ensure_future(traffic(instances, record, now() + 14.0))
    await asyncio.sleep(2.0)
    if TROUBLE:
        target = f"/sycamoreseam/objects/servers/{leaver.id}"
        left = [LATE_S]

        def late(request):
            is_beat = request.method == "PUT" and request.path == target
            return left.pop() if is_beat and left else None

        store.late.append(late)
        while left:
            await asyncio.sleep(0.01)
    await asyncio.sleep(DRAINS_AFTER_S)
    acknowledged_at = await leaver.drain()
    record("check", draining_acknowledged=f"{acknowledged_at:.3f}")
    await asyncio.sleep(SERVES_ON_S)
    leaver.end()
    await flow
    late_arrivals = [
        (at, request)
        for at, request in leaver.arrivals
        if at > acknowledged_at + DRAIN_S
    ]
    for at, request in late_arrivals:
        record(
            "broken",
            request=request,
            reached=leaver.id,
            after_acknowledgement_s=f"{at - acknowledged_at:.3f}",
        )
    elsewhere = sum(len(each.ran) for each in workers[1:])
    record(
        "check",
        ran_elsewhere=elsewhere,
        ran_at_leaver=len(leaver.ran),
        reached_too_late=len(late_arrivals),
    )
    if elsewhere < 100 or not leaver.ran:
        return 2
    return 1 if late_arrivals else 0


def main() -> int:
    record = Record(FOLDER / "record.txt")
    try:
        with tempfile.TemporaryDirectory() as folder:
            folder = os.environ.get("CASE_LOGS") or folder
            return asyncio.run(play(pathlib.Path(folder), record))
    except Exception as exc:
        record("failed", error=repr(exc))
        return 2
    finally:
        record.close()


if __name__ == "__main__":
    sys.exit(main())
