"""Measures one instance against going to the stand-in engine directly.

Run by `make bench`. Everything talks over loopback; the instance's processor
time is read from the system, and the load comes from processes of its own.
"""

import argparse
import asyncio
from collections.abc import Sequence
import json
import multiprocessing
import os
import random
import sys
import time
from typing import Any

import attrs
import psutil

from bench import caller
from bench import cluster
from seam_model import config
from seam_model import endpoints
from seam_model import ids
from seam_node.adapters import curl

WORKSPACE = "cebu-branch-1"
FIRST_TOKEN_REQUESTS = 150
CALL_COUNT = 4000
CALL_WORKERS = 16
STREAMS = 150
STREAM_TOKENS = 1500
OPEN_STREAMS = 200
LOADERS = 3
READ_BYTES = 1 << 20
FIRST_TOKEN_S = 60.0
"""Wide, so that a burst to one prefill engine is queued and not refused."""
SEND_TRIES = 50
SEND_PAUSE_S = 0.1
MEASURES = ("first_token", "relay", "calls", "memory")


@attrs.frozen
class Target:
    """Where a load process sends to."""

    port: int
    token: str


@attrs.frozen
class Usage:
    """What a process used over a while."""

    cpu_s: float
    wall_s: float


def _layout() -> cluster.Layout:
    fast = ("--step-ms", "4", "--slots", "400", "--kv-blocks", "20000")
    decode = endpoints.EngineRole.DECODE
    return cluster.Layout(
        engines=(
            cluster.EngineSpec("p1", endpoints.EngineRole.PREFILL, "cebu-a"),
            *(
                cluster.EngineSpec(f"d{n}", decode, "cebu-a", fast)
                for n in range(1, 4)
            ),
        ),
        services=(("ledger-1", "cebu-a"),),
        instances=(("e1", "cebu-a"), ("e2", "cebu-a"), ("e3", "cebu-a")),
    )


class BenchCluster(cluster.Cluster):
    """A cluster without limits per workspace and with larger engines."""

    def defaults(self, shipped: config.Defaults) -> config.Defaults:
        """Returns defaults whose limits the load does not reach."""
        wide = config.WorkspaceLimits(100000.0, 100000, 10000)
        return attrs.evolve(shipped, workspace=wide)

    async def register(self, record: endpoints.EndpointRecord) -> None:
        """Registers engines with the size that the stand-ins have."""
        if record.kind == "engine":
            record = attrs.evolve(record, slots=400, kv_blocks=20000)
        await super().register(record)


# Load processes


def _new_id(rng: random.Random) -> str:
    return ids.make_uuid7(time.time(), rng)


def _body(rng: random.Random, tokens: int) -> dict[str, Any]:
    return {
        "id": _new_id(rng),
        "workspace": WORKSPACE,
        "model": cluster.MODEL,
        "rank": "urgent",
        "prompt": "sponsor file " * 20,
        "max_tokens": tokens,
        "deadline_s": 600.0,
        "first_token_s": FIRST_TOKEN_S,
    }


async def _post(target: Target, body: dict[str, Any]) -> Any:
    reader, writer = await asyncio.open_connection("127.0.0.1", target.port)
    data = json.dumps(body).encode()
    writer.write(
        f"POST /v1/generate HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
        f"Authorization: Bearer {target.token}\r\n"
        f"Content-Length: {len(data)}\r\n\r\n".encode()
        + data
    )
    return reader, writer


async def _drain(target: Target, rng: random.Random, tokens: int) -> int:
    """Sends a request until it is taken; returns how many events came."""
    for _ in range(SEND_TRIES):
        reader, writer = await _post(target, _body(rng, tokens))
        count = 0
        while data := await reader.read(READ_BYTES):
            count += data.count(b"id: ")
        writer.close()
        if count:
            return count
        await asyncio.sleep(SEND_PAUSE_S)
    return 0


def _stream_load(target: Target, streams: int, seed: int, out: Any) -> None:
    rng = random.Random(seed)

    async def run() -> int:
        jobs = [_drain(target, rng, STREAM_TOKENS) for _ in range(streams)]
        return sum(await asyncio.gather(*jobs))

    out.put(asyncio.run(run()))


def _call_load(target: Target, calls: int, out: Any) -> None:
    head = (
        "POST /v1/services/plank-ledger/lookup HTTP/1.1\r\nHost: x\r\n"
        f"Authorization: Bearer {target.token}\r\nX-Workspace: {WORKSPACE}\r\n"
        "Content-Length: 2\r\n\r\n{}"
    ).encode()

    async def worker(count: int) -> int:
        reader, writer = await asyncio.open_connection("127.0.0.1", target.port)
        done = 0
        for _ in range(count):
            writer.write(head)
            answer = await reader.readuntil(b"\r\n\r\n")
            size = int(
                answer.lower().split(b"content-length: ")[1].split(b"\r")[0]
            )
            await reader.readexactly(size)
            done += answer.startswith(b"HTTP/1.1 200")
        writer.close()
        return done

    async def run() -> int:
        share = calls // CALL_WORKERS
        return sum(
            await asyncio.gather(*(worker(share) for _ in range(CALL_WORKERS)))
        )

    out.put(asyncio.run(run()))


async def _in_processes(work: Any, jobs: list[tuple]) -> int:
    """Runs `work` in a process for each job; returns the sum."""
    context = multiprocessing.get_context("spawn")
    out = context.Queue()
    started = [context.Process(target=work, args=(*j, out)) for j in jobs]
    for each in started:
        each.start()
    results = [await asyncio.to_thread(out.get) for _ in started]
    for each in started:
        each.join()
    return sum(results)


# Measures


class Bench:
    """The measures, each printed as it comes."""

    def __init__(self, clu: cluster.Cluster):
        """Takes a started cluster."""
        self._cluster = clu
        self._rng = random.Random(3)
        process = clu.processes["e1"]
        self._process = psutil.Process(process.proc.pid)
        self._target = Target(
            int(process.url.rsplit(":", 1)[1]), clu.token(WORKSPACE)
        )
        self._caller = caller.Caller(
            clu.client, WORKSPACE, clu.token(WORKSPACE)
        )
        self.figures: dict[str, float] = {}

    async def run(self, names: Sequence[str]) -> None:
        """Runs the named measures."""
        works = (self._first_token, self._relay, self._calls, self._memory)
        await self._warm_up()
        for name, work in zip(MEASURES, works, strict=True):
            if name in names:
                await work()

    def _note(self, name: str, value: float, target: str) -> None:
        self.figures[name] = value
        print(f"{name:<44} {value:>12.2f}   target {target}", flush=True)

    async def _usage(self, work: Any) -> tuple[Any, Usage]:
        before, start = self._process.cpu_times(), time.monotonic()
        result = await work
        after, end = self._process.cpu_times(), time.monotonic()
        cpu_s = after.user + after.system - before.user - before.system
        return result, Usage(cpu_s, end - start)

    async def _warm_up(self) -> None:
        for _ in range(100):
            body = _body(self._rng, 4)
            url = self._cluster.url("e1")
            answer = await self._caller.generate(url, body)
            if answer.done:
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"the instance does not serve: {answer.refusal}")

    async def _first_token(self) -> None:
        direct, through = [], []
        for _ in range(FIRST_TOKEN_REQUESTS):
            direct.append(await self._direct_first())
            through.append(await self._through_first())
        for share, name in ((0.5, "median"), (0.95, "p95")):
            ours, theirs = _at(through, share), _at(direct, share)
            self._note(f"first token {name}, direct, ms", theirs * 1e3, "-")
            self._note(f"first token {name}, through, ms", ours * 1e3, "-")
            target = "5" if name == "p95" else "-"
            added = (ours - theirs) * 1e3
            self._note(f"first token {name}, added, ms", added, target)

    async def _direct_first(self) -> float:
        """Orders prefill and decode at the engines themselves."""
        clu, rid = self._cluster, _new_id(self._rng)
        start = time.monotonic()
        order = {
            "request_id": rid,
            "incarnation": 1,
            "model": cluster.MODEL,
            "prompt": "sponsor file " * 20,
            "prompt_tokens": 66,
            "rank": 0,
            "adapter": "",
        }
        done = await curl.exchange(
            clu.client,
            "POST",
            clu.url("p1") + "/v1/prefill",
            5.0,
            json.dumps(order).encode(),
        )
        order = {
            "request_id": rid,
            "incarnation": 1,
            "model": cluster.MODEL,
            "prompt_tokens": 66,
            "max_tokens": 2,
            "rank": 0,
            "adapter": "",
            "source_url": clu.url("p1"),
            "kv_handle": json.loads(done.body)["kv_handle"],
            "owner": "bench/1",
        }
        return await self._first_data(
            clu.url("d1") + "/v1/decode", json.dumps(order).encode(), start
        )

    async def _through_first(self) -> float:
        start = time.monotonic()
        body = json.dumps(_body(self._rng, 2)).encode()
        url = self._cluster.url("e1") + "/v1/generate"
        return await self._first_data(url, body, start)

    async def _first_data(self, url: str, body: bytes, start: float) -> float:
        times: list[float] = []
        req = curl.httpclient.HTTPRequest(
            url,
            method="POST",
            body=body,
            headers={
                "Authorization": f"Bearer {self._target.token}",
                "Expect": "",
            },
            streaming_callback=lambda _: times.append(time.monotonic()),
        )
        resp = await self._cluster.client.fetch(req, raise_error=False)
        if resp.code != 200:
            raise RuntimeError(f"refused: {resp.code}")
        return times[0] - start

    async def _relay(self) -> None:
        share = STREAMS // LOADERS
        jobs = [(self._target, share, seed) for seed in range(LOADERS)]
        work = _in_processes(_stream_load, jobs)
        events, used = await self._usage(work)
        self._note("tokens relayed", events, str(STREAMS * STREAM_TOKENS))
        self._note("  a second of wall time", events / used.wall_s, "-")
        self._note("  a core-second", events / used.cpu_s, "25000")

    async def _calls(self) -> None:
        jobs = [(self._target, CALL_COUNT // 2)] * 2
        calls, used = await self._usage(_in_processes(_call_load, jobs))
        self._note("plain calls answered", calls, str(CALL_COUNT))
        self._note("  a second of wall time", calls / used.wall_s, "-")
        self._note("  a core-second", calls / used.cpu_s, "1000")

    async def _memory(self) -> None:
        before = self._process.memory_info().rss
        jobs = []
        for _ in range(OPEN_STREAMS):
            work = _drain(self._target, self._rng, 4000)
            jobs.append(asyncio.ensure_future(work))
        await asyncio.sleep(4.0)
        grown = self._process.memory_info().rss - before
        still = sum(not job.done() for job in jobs)
        self._note("streams open", still, str(OPEN_STREAMS))
        self._note("  KiB of memory each", grown / 1024 / still, "32")
        for job in jobs:
            job.cancel()
        await asyncio.gather(*jobs, return_exceptions=True)


def _at(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


async def main() -> int:
    """Starts a cluster, measures and prints."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--json", default="")
    parser.add_argument(
        "--only", default="", help="One of " + ", ".join(MEASURES) + "."
    )
    args = parser.parse_args()
    print(f"load average before: {os.getloadavg()[0]:.2f}")
    clu = BenchCluster(_layout())
    try:
        await clu.start()
        bench = Bench(clu)
        await bench.run((args.only,) if args.only else MEASURES)
    finally:
        await clu.close()
    if args.json:
        with open(args.json, "w", encoding="utf-8") as out:
            json.dump(bench.figures, out, indent=1)
    return 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
