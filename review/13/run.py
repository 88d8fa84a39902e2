"""All instances restart while one entry of another writer can't be read."""

import asyncio
import json
import os
import pathlib
import signal
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
DOWN_S = 1.0
CLIENTS = 24
JUDGED_S = 6.0
"""How long after `recover_s` requests are counted."""


class Traffic:
    """Clients that note when they sent what and how it was answered."""

    def __init__(self, instances, record):
        self._instances, self._record = instances, record
        self.ends: list[tuple[float, int]] = []
        self.until = float("inf")

    async def run(self) -> None:
        await asyncio.gather(*(self._client(each) for each in range(CLIENTS)))

    async def _client(self, number) -> None:
        await asyncio.sleep(number * 0.03)
        client = None
        while now() < self.until:
            if client is None:
                number += 1
                instance = self._instances[number % len(self._instances)]
                client = servers.Client(
                    instance.host, instance.front, self._record
                )
            sent_at = now()
            method, target = (
                ("POST", "/pule252/2f") if number % 3 else ("GET", "/puxa403/2f")
            )
            async with asyncio.timeout(5.0):
                _, status, _ = await client.send(
                    method, target, {"Deadline-Ms": "600"}
                )
            self.ends.append((sent_at, status))
            if status != 200:
                client.close()
                client = None
            await asyncio.sleep(0.6)

    def served(self, since, until) -> tuple[int, int]:
        """Returns how many requests of a time were served, and how many sent."""
        found = [s for at, s in self.ends if since <= at < until]
        return sum(s == 200 for s in found), len(found)


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
    traffic = Traffic(instances, record)
    try:
        for each in workers:
            await each.start()
        for each in instances:
            await each.start()
        for each in instances:
            await each.until_ready()
        await asyncio.sleep(2.0)
        return await restart(store, workers, instances, traffic, record)
    finally:
        for each in workers:
            each.end()
        for each in instances:
            await each.end()
        store.close()


async def restart(store, workers, instances, traffic, record) -> int:
    flow = asyncio.ensure_future(traffic.run())
    await asyncio.sleep(3.0)
    if TROUBLE:
        # An entry that was only half written.
        text = json.dumps(workers[0].spec()).encode()
        store.put_bytes("servers", "i-other", text[: len(text) // 2])
        record("check", unreadable=text[: len(text) // 2])
    await asyncio.sleep(3.0)
    killed_at = now()
    before = traffic.served(0.0, killed_at)
    for each in instances:
        each.signal(signal.SIGKILL)
    await asyncio.sleep(DOWN_S)
    for each in instances:
        await each.end()
        await each.start()
    back_at = now()
    since = back_at + BOUNDS["recover_s"]
    traffic.until = since + JUDGED_S
    await flow
    after = traffic.served(since, since + JUDGED_S)
    ready = [await each.is_ready() for each in instances]
    record("check", served_before=before, served_after=after, ready=ready)
    if before[0] * 4 < before[1] or after[1] < 30:
        return 2
    is_broken = after[0] * 4 < after[1]
    if is_broken:
        record("broken", served=after[0], of=after[1])
    return 1 if is_broken else 0


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
