"""Benchmarks one instance against direct calls to the stand-in engines.

Run by `make bench`. All traffic uses loopback. The instance's CPU time is read
from the operating system, and the load comes from separate processes.
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
LOAD_PROCESSES = 3
READ_BYTES = 1 << 20
FIRST_TOKEN_TARGET_S = 60.0
"""Long enough that a burst to one prefill engine is queued, not refused."""
SEND_ATTEMPTS = 50
RETRY_DELAY_S = 0.1
MEASURES = ("first_token", "relay", "calls", "memory")


@attrs.frozen
class Target:
    """Instance port and workspace token that a load process uses."""

    port: int
    token: str


@attrs.frozen
class Usage:
    """CPU time and wall time of a measured interval."""

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
    """A cluster with raised workspace limits and larger engines."""

    def defaults(self, shipped: config.Defaults) -> config.Defaults:
        """Returns defaults with workspace limits above the load."""
        raised_limits = config.WorkspaceLimits(100000.0, 100000, 10000)
        return attrs.evolve(shipped, workspace=raised_limits)

    async def register(self, record: endpoints.EndpointRecord) -> None:
        """Registers engines with the capacity that the stand-ins start with."""
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
        "first_token_s": FIRST_TOKEN_TARGET_S,
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


async def _send_and_read(
    target: Target, rng: random.Random, tokens: int
) -> int:
    """Retries a request until accepted; returns its number of events."""
    for _ in range(SEND_ATTEMPTS):
        reader, writer = await _post(target, _body(rng, tokens))
        count = 0
        while data := await reader.read(READ_BYTES):
            count += data.count(b"id: ")
        writer.close()
        if count:
            return count
        await asyncio.sleep(RETRY_DELAY_S)
    return 0


def _stream_load(
    target: Target, streams: int, seed: int, result_queue: Any
) -> None:
    rng = random.Random(seed)

    async def run() -> int:
        jobs = [
            _send_and_read(target, rng, STREAM_TOKENS) for _ in range(streams)
        ]
        return sum(await asyncio.gather(*jobs))

    result_queue.put(asyncio.run(run()))


def _call_load(target: Target, calls: int, result_queue: Any) -> None:
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

    result_queue.put(asyncio.run(run()))


async def _run_in_processes(work: Any, jobs: list[tuple]) -> int:
    """Runs `work` in one process per job; returns the sum of the results."""
    context = multiprocessing.get_context("spawn")
    result_queue = context.Queue()
    started = [
        context.Process(target=work, args=(*j, result_queue)) for j in jobs
    ]
    for each in started:
        each.start()
    results = [await asyncio.to_thread(result_queue.get) for _ in started]
    for each in started:
        each.join()
    return sum(results)


# Benchmarks


class Bench:
    """Runs the benchmarks and prints each figure once measured."""

    def __init__(self, clu: cluster.Cluster):
        """Prepares benchmarks of instance `e1` in a started cluster."""
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
        """Runs the named benchmarks after a warm-up."""
        measures = (
            self._measure_first_token,
            self._measure_relay,
            self._measure_calls,
            self._measure_memory,
        )
        await self._warm_up()
        for name, work in zip(MEASURES, measures, strict=True):
            if name in names:
                await work()

    def _record(self, name: str, value: float, target: str) -> None:
        self.figures[name] = value
        print(f"{name:<44} {value:>12.2f}   target {target}", flush=True)

    async def _usage(self, work: Any) -> tuple[Any, Usage]:
        before, start_s = self._process.cpu_times(), time.monotonic()
        result = await work
        after, end_s = self._process.cpu_times(), time.monotonic()
        cpu_s = after.user + after.system - before.user - before.system
        return result, Usage(cpu_s, end_s - start_s)

    async def _warm_up(self) -> None:
        for _ in range(100):
            body = _body(self._rng, 4)
            url = self._cluster.url("e1")
            answer = await self._caller.generate(url, body)
            if answer.done:
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(
            f"instance answered no warm-up request: {answer.refusal}"
        )

    async def _measure_first_token(self) -> None:
        direct, routed = [], []
        for _ in range(FIRST_TOKEN_REQUESTS):
            direct.append(await self._direct_first_token_s())
            routed.append(await self._routed_first_token_s())
        for share, name in ((0.5, "median"), (0.95, "p95")):
            routed_s, direct_s = (
                _quantile(routed, share),
                _quantile(direct, share),
            )
            self._record(f"first token {name}, direct, ms", direct_s * 1e3, "-")
            self._record(
                f"first token {name}, through, ms", routed_s * 1e3, "-"
            )
            target = "5" if name == "p95" else "-"
            added = (routed_s - direct_s) * 1e3
            self._record(f"first token {name}, added, ms", added, target)

    async def _direct_first_token_s(self) -> float:
        """Calls prefill and decode at the engines; returns first-token time."""
        clu, rid = self._cluster, _new_id(self._rng)
        start_s = time.monotonic()
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
        return await self._first_data_s(
            clu.url("d1") + "/v1/decode", json.dumps(order).encode(), start_s
        )

    async def _routed_first_token_s(self) -> float:
        start_s = time.monotonic()
        body = json.dumps(_body(self._rng, 2)).encode()
        url = self._cluster.url("e1") + "/v1/generate"
        return await self._first_data_s(url, body, start_s)

    async def _first_data_s(
        self, url: str, body: bytes, start_s: float
    ) -> float:
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
            raise RuntimeError(f"request failed with status {resp.code}")
        return times[0] - start_s

    async def _measure_relay(self) -> None:
        share = STREAMS // LOAD_PROCESSES
        jobs = [(self._target, share, seed) for seed in range(LOAD_PROCESSES)]
        work = _run_in_processes(_stream_load, jobs)
        events, usage = await self._usage(work)
        self._record("tokens relayed", events, str(STREAMS * STREAM_TOKENS))
        self._record("  a second of wall time", events / usage.wall_s, "-")
        self._record("  a core-second", events / usage.cpu_s, "25000")

    async def _measure_calls(self) -> None:
        jobs = [(self._target, CALL_COUNT // 2)] * 2
        calls, usage = await self._usage(_run_in_processes(_call_load, jobs))
        self._record("plain calls answered", calls, str(CALL_COUNT))
        self._record("  a second of wall time", calls / usage.wall_s, "-")
        self._record("  a core-second", calls / usage.cpu_s, "1000")

    async def _measure_memory(self) -> None:
        before = self._process.memory_info().rss
        jobs = []
        for _ in range(OPEN_STREAMS):
            work = _send_and_read(self._target, self._rng, 4000)
            jobs.append(asyncio.ensure_future(work))
        await asyncio.sleep(4.0)
        growth_bytes = self._process.memory_info().rss - before
        open_count = sum(not job.done() for job in jobs)
        self._record("streams open", open_count, str(OPEN_STREAMS))
        self._record(
            "  KiB of memory each", growth_bytes / 1024 / open_count, "32"
        )
        for job in jobs:
            job.cancel()
        await asyncio.gather(*jobs, return_exceptions=True)


def _quantile(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


async def main() -> int:
    """Starts a cluster, runs the benchmarks and prints the figures."""
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
