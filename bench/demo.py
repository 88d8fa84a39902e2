"""Sends demo requests against stand-ins and prints each outcome."""

import asyncio
import json
import random
import signal
import sys
import time

import attrs

from bench import caller
from bench import cluster
from bench import hold
from seam_model import ids
from standins import engine_parts

REQUESTS = 12
TOKENS = 40
DRAIN_TIMEOUT_S = 30.0


@attrs.define
class Tally:
    """Outcome counts of the demo's requests."""

    answered: int = 0
    refused_not_run: int = 0
    lost: int = 0
    doubled: int = 0
    total: int = 0

    def line(self) -> str:
        """Returns the summary line."""
        state = "failed" if self.lost or self.doubled else "ok"
        return (
            f"demo: {state} requests={self.total} answered={self.answered} "
            f"refused_not_run={self.refused_not_run} lost={self.lost} "
            f"doubled={self.doubled}"
        )


class Demo:
    """Sends the demo's requests to one cluster."""

    def __init__(self, clu: cluster.Cluster):
        """Prepares the demo on a started cluster."""
        self._cluster = clu
        self._rng = random.Random(1)
        self._tally = Tally()
        workspace = "cebu-branch-1"
        self._caller = caller.Caller(
            clu.client, workspace, clu.token(workspace)
        )

    async def run(self) -> Tally:
        """Sends every kind of request and drains an instance."""
        urls = await self._entry_urls()
        model = [self._model_request(urls, n) for n in range(REQUESTS)]
        jobs = [asyncio.ensure_future(job) for job in model]
        jobs.append(asyncio.ensure_future(self._cancel_request(urls[0])))
        await asyncio.sleep(0.2)
        drained = asyncio.ensure_future(self._drain("e2"))
        await asyncio.gather(*jobs)
        await drained
        url = (await self._entry_urls())[0]
        await self._repeat_order(url)
        await self._lookup(url)
        await self._count_repeated_orders()
        return self._tally

    def _new_id(self) -> str:
        return ids.make_uuid7(time.time(), self._rng)

    def _print(self, what: str) -> None:
        print(what, flush=True)

    async def _entry_urls(self) -> list[str]:
        url = self._cluster.url("e1") + "/v1/entry?workspace=cebu-branch-1"
        answer = await self._cluster.get(url)
        return [each["url"] for each in json.loads(answer.body)["instances"]]

    # Requests

    async def _model_request(self, urls: list[str], number: int) -> None:
        await asyncio.sleep(number * 0.05)
        self._tally.total += 1
        fields = {
            "id": self._new_id(),
            "model": cluster.MODEL,
            "rank": "urgent" if number % 2 else "other",
            "prompt": f"sponsor file {number} " * 100,
            "max_tokens": TOKENS,
        }
        answer = await self._caller.generate(urls[number % len(urls)], fields)
        for url in urls:
            if answer.refusal and answer.refusal["ran"] == "no":
                answer = await self._caller.generate(url, fields)
        self._record_answer(f"generate {number}", answer)

    def _record_answer(self, name: str, answer: caller.Answer) -> None:
        expected_texts = [
            engine_parts.token_text(answer.request_id, seq)
            for seq in range(1, TOKENS + 1)
        ]
        if answer.done and answer.texts == expected_texts:
            self._tally.answered += 1
            self._print(f"{name}: answered, {TOKENS} tokens in sequence")
        elif answer.refusal and answer.refusal["ran"] == "no":
            self._tally.refused_not_run += 1
            self._print(f"{name}: refused, not run: {answer.refusal['detail']}")
        else:
            self._tally.lost += 1
            self._print(f"{name}: lost: {answer.status} {answer.refusal}")

    async def _cancel_request(self, url: str) -> None:
        self._tally.total += 1
        fields = {
            "id": self._new_id(),
            "model": cluster.MODEL,
            "prompt": "a text that nobody waits for",
            "max_tokens": 400,
        }
        job = asyncio.ensure_future(self._caller.generate(url, fields))
        await asyncio.sleep(0.6)
        status = await self._caller.cancel(url, fields["id"])
        answer = await job
        if status == 204 and not answer.done:
            self._tally.answered += 1
            self._print(f"cancel: cancelled after {len(answer.texts)} tokens")
        else:
            self._tally.lost += 1
            self._print(f"cancel: not cancelled: {status}")

    async def _repeat_order(self, url: str) -> None:
        key = self._new_id()
        body = b'{"plank": 17}'
        for name in ("order", "repeat of the order"):
            self._tally.total += 1
            answer = await self._caller.call(
                url, cluster.SERVICE, "reserve", body, key
            )
            self._record_call(name, answer.status, answer.body)

    async def _lookup(self, url: str) -> None:
        self._tally.total += 1
        answer = await self._caller.call(
            url, cluster.SERVICE, "lookup", b'{"plank": 17}'
        )
        self._record_call("lookup", answer.status, answer.body)

    def _record_call(self, name: str, status: int, body: bytes) -> None:
        if status == 200:
            self._tally.answered += 1
        else:
            self._tally.lost += 1
        self._print(f"{name}: {status} {body.decode()[:60]}")

    # Drain of an instance

    async def _drain(self, name: str) -> None:
        process = self._cluster.processes[name]
        process.signal(signal.SIGTERM)
        code = await asyncio.wait_for(process.proc.wait(), DRAIN_TIMEOUT_S)
        self._print(f"drain: {name} left with exit code {code}")
        if code != 0:
            self._tally.lost += 1

    async def _count_repeated_orders(self) -> None:
        """Counts repeated executions of orders at the service endpoints."""
        executed: list[str] = []
        for name, _ in self._cluster.layout.services:
            for call in (await self._cluster.history(name))["executions"]:
                if call["key"]:
                    executed.append(call["key"])
        self._tally.doubled += len(executed) - len(set(executed))


async def main(keep_running: bool = False) -> int:
    """Starts the cluster, runs the demo and returns the exit code.

    With `keep_running`, keeps the cluster up for manual use and runs no demo.
    """
    clu = cluster.Cluster()
    try:
        await clu.start()
        if keep_running:
            await hold.hold(clu)
            return 0
        tally = await Demo(clu).run()
    finally:
        await clu.close()
    print(tally.line())
    return 1 if tally.lost or tally.doubled else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main("--hold" in sys.argv[1:])))
