"""Endpoints that say that they leave or want a pause, under steady load.

The store tells nothing of it. Guards against requests that reach them all the
same, and against callers that are not served though other endpoints are free.
"""

import asyncio
import contextlib
import os
import time

from standins import forward_endpoint
from standins import forward_process
from standins import forward_world
from standins import object_store

RATE_PER_S = 20
LOAD_S = float(os.environ.get("SIGNS_LOAD_S", "6"))
CALM_S = 1.0
"""Time with load before an endpoint says anything."""
CROSSING_S = 0.5
"""Time in which requests may still be on their way to it."""
PAUSE_S = 3.0
MAX_IN_PAUSE = 2


class Fleet:
    """One process, its store, and three endpoints of each kind."""

    def __init__(self, process, plain, engines):
        self.process = process
        self.plain = plain
        self.engines = engines


def timed(reply):
    """Returns a reply that records when each request came."""

    async def wrapped(endpoint, received, writer):
        endpoint.times.append((time.monotonic(), received))
        await reply(endpoint, received, writer)

    return wrapped


@contextlib.asynccontextmanager
async def started(tmp_path):
    store = object_store.ObjectStore()
    server = object_store.StoreServer(store)
    server.start()
    routes = forward_world.DEFAULT_ROUTES
    store.put("config", "main", forward_world.configuration(1, routes))
    plain, engines = [], []
    for number in range(3):
        each = forward_endpoint.Endpoint(
            f"e-{number}", timed(forward_endpoint.reply_whole)
        )
        plain.append((each, each.entry, (forward_world.CALLS,)))
    for stage in ("prefill", "decode", "decode", "decode"):
        each = forward_endpoint.Endpoint(
            f"{stage}-{len(engines)}", timed(forward_endpoint.reply_engine)
        )
        engines.append((each, each.entry, (forward_world.ENGINES, stage)))
    for each, entry, args in (*plain, *engines):
        each.times = []
        await each.start()
        store.put("servers", each.id, entry(*args))
    process = forward_process.Process(tmp_path, server.port)
    process.write_settings()
    await process.start()
    try:
        await process.find_ports(process.output.read_text)
        await process.until_ready()
        yield Fleet(process, [e for e, *_ in plain], [e for e, *_ in engines])
    finally:
        await process.close()
        for each, *_ in (*plain, *engines):
            await each.close()
        await server.close()


async def send(process, path, **fields):
    """Sends one request; returns the time and the status of its answer."""
    sent_at = time.monotonic()
    caller = await process.connect()
    caller.send(path, **fields)
    response = await caller.read()
    caller.close()
    return sent_at, response.status if response.complete else 0


async def load(process, on_calm):
    """Sends plain calls and model requests in turn, at a steady rate."""
    requests = []
    count = int((CALM_S + LOAD_S) * RATE_PER_S)
    for number in range(count):
        if number == int(CALM_S * RATE_PER_S):
            on_calm()
        if number % 2:
            sent = send(process, "/draft/1", Model="m", Token_Count="100,50")
        else:
            sent = send(process, "/write/x")
        requests.append(asyncio.ensure_future(sent))
        await asyncio.sleep(1 / RATE_PER_S)
    return [status for _, status in await asyncio.gather(*requests)]


def test_endpoints_that_say_that_they_leave_get_nothing_late(tmp_path):
    async def main():
        async with started(tmp_path) as fleet:
            leaving = (fleet.plain[0], fleet.engines[1])
            said_at = {}

            def say_it(endpoint, reply):
                async def wrapped(endpoint, received, writer):
                    said_at.setdefault(endpoint.id, time.monotonic())
                    await reply(endpoint, received, writer)

                endpoint.fields = {"Server-Leaving": "1"}
                endpoint.reply = timed(wrapped)

            def begin():
                say_it(leaving[0], forward_endpoint.reply_whole)
                say_it(leaving[1], forward_endpoint.reply_engine)

            statuses = await load(fleet.process, begin)
            assert set(statuses) == {200}
            assert len(said_at) == 2
            for each in leaving:
                late = [
                    received.target
                    for at, received in each.times
                    if at > said_at[each.id] + CROSSING_S
                    and received.method != "DELETE"
                ]
                assert late == []

    asyncio.run(main())


def test_engine_that_wants_a_pause_gets_two_requests_in_it_at_most(tmp_path):
    async def main():
        async with started(tmp_path) as fleet:
            pausing = fleet.engines[1]
            refused_at = []

            async def refuse(endpoint, received, writer):
                refused_at.append(time.monotonic())
                writer.write(
                    forward_endpoint.refusal(received, Retry_After="3")
                )

            def begin():
                pausing.reply = timed(refuse)

            statuses = await load(fleet.process, begin)
            assert set(statuses) == {200}
            assert refused_at
            times = [at for at, _ in pausing.times]
            for asked_at in refused_at:
                inside = [
                    at
                    for at in times
                    if asked_at + CROSSING_S < at < asked_at + PAUSE_S
                ]
                assert len(inside) <= MAX_IN_PAUSE

    asyncio.run(main())
