"""Measures one forwarding process, and what its log costs.

Run by `make forward-bench`. All traffic uses loopback; callers and endpoints
share this process, the instance has its own.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import statistics
import tempfile
import time

import attrs

from standins import forward_endpoint
from standins import forward_process
from standins import forward_world
from standins import object_store

CALLS = 6000
CALL_CONNS = 16
STREAMS = 600
STREAM_CONNS = 4
WARM_UP_CALLS = 200
RELOAD_S = 1.0
CALL_BODY = b"y" * 1000
HEAD_END = b"\r\n\r\n"
STREAM_END = b"0\r\n\r\n"


@attrs.frozen
class Case:
    """Log level, and whether somebody reads the log."""

    name: str
    level: str
    is_read: bool = True


CASES = (
    Case("log on", "info"),
    Case("log off", "error"),
    Case("log not read", "info", is_read=False),
)


@attrs.frozen
class Row:
    """One case's figures, per request where nothing else is said."""

    case: str
    calls_per_s: float
    call_ms: float
    """Processor time of the instance."""
    stream_ms: float
    """Processor time of the instance."""
    first_byte_ms: float
    """Median time from a model request to the head of its stream."""
    log_bytes: float
    """Zero for a log that is not read."""


class Load:
    """Callers of one process."""

    def __init__(self, process: forward_process.Process):
        """Takes the process."""
        self._process = process

    async def run(
        self, count: int, conns: int, path: str, **request: object
    ) -> list[float]:
        """Sends requests; returns the time to each answer's head."""
        times: list[float] = []
        await asyncio.gather(
            *(
                self._send_many(count // conns, path, request, times)
                for _ in range(conns)
            )
        )
        return times

    async def _send_many(
        self, count: int, path: str, request: dict, times: list[float]
    ) -> None:
        caller = await self._process.connect()
        for _ in range(count):
            sent_at = time.perf_counter()
            caller.send(path, **request)
            head = await caller.reader.readuntil(HEAD_END)
            times.append(time.perf_counter() - sent_at)
            if b" 200 " not in head.partition(b"\r\n")[0]:
                raise RuntimeError(f"refused: {head!r}")
            if b"chunked" in head.lower():
                await caller.reader.readuntil(STREAM_END)
            else:
                await caller.reader.readexactly(_length(head))
        caller.close()


async def measure(case: Case, folder: pathlib.Path) -> Row:
    """Starts everything, and measures calls and then streams."""
    async with contextlib.AsyncExitStack() as stack:
        store = object_store.ObjectStore()
        server = object_store.StoreServer(store)
        server.start()
        stack.push_async_callback(server.close)
        await _start_endpoints(store, stack)
        process = forward_process.Process(folder, server.port)
        process.write_settings()
        stack.push_async_callback(process.close)
        if case.is_read:
            await process.start()
            await process.find_ports(process.output.read_text)
        else:
            reader, writer = os.pipe()
            stack.callback(os.close, reader)
            stack.callback(os.close, writer)
            await process.start(writer)
            await process.find_ports(lambda: os.read(reader, 512).decode())
        await process.until_ready()
        # The first lines tell the ports, so the level is set later.
        process.write_settings(case.level)
        process.signal(signal.SIGHUP)
        await asyncio.sleep(RELOAD_S)
        return await _measure_started(case, process)


async def _measure_started(case: Case, process: forward_process.Process) -> Row:
    load = Load(process)
    await load.run(WARM_UP_CALLS, 1, "/write/x")
    log_before = process.output.stat().st_size
    used_before_s, started_at = process.processor_s(), time.perf_counter()
    await load.run(CALLS, CALL_CONNS, "/write/x", body=CALL_BODY)
    took_s = time.perf_counter() - started_at
    used_s = process.processor_s()
    first_bytes_s = await load.run(
        STREAMS, STREAM_CONNS, "/draft/1", Model="m", Token_Count="100,50"
    )
    stream_s = process.processor_s() - used_s
    written = process.output.stat().st_size - log_before
    return Row(
        case.name,
        round(CALLS / took_s),
        round((used_s - used_before_s) / CALLS * 1000, 3),
        round(stream_s / STREAMS * 1000, 2),
        round(statistics.median(first_bytes_s) * 1000, 1),
        round(written / (CALLS + STREAMS)),
    )


async def _start_endpoints(
    store: object_store.ObjectStore, stack: contextlib.AsyncExitStack
) -> None:
    routes = forward_world.DEFAULT_ROUTES
    store.put("config", "main", forward_world.configuration(1, routes))
    plain = forward_endpoint.Endpoint("e-1", forward_endpoint.reply_whole)
    endpoints = [(plain, (forward_world.CALLS,))]
    for name, stage in (
        ("prefill-1", "prefill"),
        ("decode-1", "decode"),
        ("decode-2", "decode"),
    ):
        engine = forward_endpoint.Endpoint(name, forward_endpoint.reply_engine)
        endpoints.append((engine, (forward_world.ENGINES, stage)))
    for each, args in endpoints:
        await each.start()
        stack.push_async_callback(each.close)
        store.put("servers", each.id, each.entry(*args))


def _length(head: bytes) -> int:
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return int(line.partition(b":")[2])
    raise RuntimeError(f"no length: {head!r}")


def main() -> None:
    """Prints one row of figures for each case."""
    for case in CASES:
        with tempfile.TemporaryDirectory(prefix="seam-") as folder:
            row = asyncio.run(measure(case, pathlib.Path(folder)))
        print(json.dumps(attrs.asdict(row)), flush=True)


if __name__ == "__main__":
    main()
