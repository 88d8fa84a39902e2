"""Deeply nested entries of another writer hold every instance up."""

import asyncio
import os
import pathlib
import sys
import tempfile

from platform_standin import Instance
from platform_standin import Record
from platform_standin import Store
from platform_standin import now
import servers

FOLDER = pathlib.Path(__file__).parent
ZONES = ("cebu-a", "cebu-b", "iloilo-a")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
VALUE_BYTES = 1_048_576
ENTRIES = int(os.environ.get("ENTRIES", "4"))
WRITE_GAP_S = 0.02
TIMEOUT_S = 0.6
"""The route's timeout."""
HALF_S = 0.5
JUDGED_S = 30.0
CLIENTS = 36
LEAST = 8
SHARE = 0.25


class Traffic:
    """Clients that note how long each request had no final answer."""

    def __init__(self, instances, record):
        self._instances, self._record = instances, record
        self.ends: list[tuple[float, float, int]] = []
        """When it was sent, how long it took, its status."""
        self.until = float("inf")

    async def run(self) -> None:
        await asyncio.gather(*(self._client(each) for each in range(CLIENTS)))

    async def _client(self, number) -> None:
        instance = self._instances[number % len(self._instances)]
        client = servers.Client(instance.host, instance.front, self._record)
        await asyncio.sleep(number * 0.03)
        while now() < self.until:
            sent_at, status = now(), 0
            try:
                async with asyncio.timeout(10.0):
                    _, status, _ = await client.send(
                        "POST", "/pule252/2f", {"Deadline-Ms": "600"}
                    )
            except TimeoutError:
                client.close()
            self.ends.append((sent_at, now() - sent_at, status))
            await asyncio.sleep(0.4)

    def counts(self, since, until) -> dict[str, int]:
        """Counts the requests that were sent in some time."""
        found = [(took, s) for at, took, s in self.ends if since <= at < until]
        return {
            "sent": len(found),
            "served": sum(s == 200 for _, s in found),
            "unanswered_at_timeout": sum(t > TIMEOUT_S for t, _ in found),
            "unanswered_later": sum(t > TIMEOUT_S + HALF_S for t, _ in found),
        }


def entry(size: int) -> bytes:
    """Returns a worker's entry with lists inside one another; valid JSON."""
    head = (
        b'{"service":"wuno96b","address":"127.0.9.9:80","zone":"cebu-a",'
        b'"version":"v1","slots":4,"state":"ready","cold_remaining_ms":0,'
        b'"sequence":1,"models":'
    )
    count = max(1, (size - len(head) - 2) // 5)
    return head + b"[[]," * count + b"0" + b"]" * count + b"}"


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
        await asyncio.sleep(3.0)
        return await hold_up(store, traffic, record)
    finally:
        for each in workers:
            each.end()
        for each in instances:
            await each.end()
        store.close()


class Lag:
    """Measures how long the event loop of this script was held up at most."""

    def __init__(self):
        self.most_s = 0.0

    async def run(self) -> None:
        while True:
            before = now()
            await asyncio.sleep(0.01)
            self.most_s = max(self.most_s, now() - before - 0.01)


async def hold_up(store, traffic, record) -> int:
    flow = asyncio.ensure_future(traffic.run())
    lag = Lag()
    measuring = asyncio.ensure_future(lag.run())
    await asyncio.sleep(5.0)
    written_at = now()
    for number in range(ENTRIES):
        text = entry(VALUE_BYTES - 2000 if TROUBLE else 300)
        store.put_bytes("servers", f"i-other-{number}", text)
        await asyncio.sleep(WRITE_GAP_S)
    record("check", entries=ENTRIES, bytes=len(text))
    traffic.until = written_at + JUDGED_S
    await flow
    measuring.cancel()
    record("check", own_loop_held_up_s=f"{lag.most_s:.3f}")
    record("check", before=traffic.counts(0.0, written_at))
    for second in range(0, int(JUDGED_S), 5):
        at = written_at + second
        record("check", after_s=second, counts=traffic.counts(at, at + 5))
    counts = traffic.counts(written_at, written_at + JUDGED_S)
    record("check", after=counts)
    if not counts["served"]:
        return 2
    late, later = counts["unanswered_at_timeout"], counts["unanswered_later"]
    is_broken = later >= LEAST and later > SHARE * late
    if is_broken:
        record("broken", no_final_answer=later, of=late)
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
