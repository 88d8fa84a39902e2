"""The bound on the bytes that an instance holds for its callers.

Guards against an instance that is killed for its memory, with all its streams,
and against small requests that suffer from large ones.
"""

import asyncio

import pytest

from seam_policy import memory_budget
from standins import forward_endpoint
from standins import forward_world

SIZE = 3_000_000
TOTAL = 9_900_000


def limit_memory(world, total=TOTAL):
    """Leaves so many bytes for bodies."""
    budget = memory_budget.MemoryBudget(0)
    budget.total_bytes = lambda: total
    world.node.memory._budget = budget


async def hold_back_runs(world):
    """Starts engines whose runs wait; returns the event that ends the wait."""
    prefill, decode = await world.engines()
    may_go_on = asyncio.Event()

    async def wait(endpoint, received, writer):
        received.body = b""
        if received.prefills:
            await may_go_on.wait()
        await forward_endpoint.reply_engine(endpoint, received, writer)

    prefill.reply = wait
    return prefill, decode, may_go_on


async def send_model(world, size=SIZE, **headers):
    caller = await world.connect()
    caller.send(
        "/long/1", body=b"x" * size, Model="m", Token_Count="100,50", **headers
    )
    return caller


def holds_bodies(world, count):
    """Returns whether just that many bodies are held."""
    return world.node.memory.held_bytes == count * SIZE


async def fill(world, count):
    callers = [await send_model(world) for _ in range(count)]
    await world.until(lambda: holds_bodies(world, count))
    return callers


def test_large_body_without_room_is_refused_and_small_ones_are_served():
    async def scenario(world):
        prefill, _, may_go_on = await hold_back_runs(world)
        plain = await world.endpoint("e-1")
        limit_memory(world)
        callers = await fill(world, 2)
        await world.until(lambda: len(prefill.received) == 2)
        refused = await send_model(world)
        response = await refused.read()
        assert (response.status, response.complete) == (503, True)
        assert 0 < float(response.headers["retry-after"]) <= 1.0
        assert len(prefill.received) == 2
        # Its connection goes on, and small requests are served meanwhile.
        small = await refused.request("/write/x", body=b"y" * 1000)
        assert (small.status, plain.ran[0].body) == (200, b"y" * 1000)
        may_go_on.set()
        for caller in callers:
            assert (await caller.read()).status == 200
        await world.until(lambda: world.node.memory.held_bytes == 0)
        assert world.node.memory.refused == 1

    forward_world.run_scenario(scenario)


def test_body_waits_for_room_that_comes_in_time():
    async def scenario(world):
        prefill, _, may_go_on = await hold_back_runs(world)
        limit_memory(world)
        callers = await fill(world, 2)
        callers.append(await send_model(world))
        await asyncio.sleep(0.15)
        assert len(prefill.received) == 2
        may_go_on.set()
        for caller in callers:
            assert (await caller.read()).status == 200
        assert world.node.memory.refused == 0

    forward_world.run_scenario(scenario)


def test_body_that_can_never_fit_is_refused_at_once():
    async def scenario(world):
        await hold_back_runs(world)
        limit_memory(world, SIZE)
        loop = asyncio.get_running_loop()
        started = loop.time()
        caller = await send_model(world)
        assert (await caller.read()).status == 503
        assert loop.time() - started < 0.3

    forward_world.run_scenario(scenario)


def test_body_in_chunks_without_end_is_refused_and_dropped():
    async def scenario(world):
        await hold_back_runs(world)
        limit_memory(world, 1_000_000)
        caller = await world.connect()
        caller.writer.write(
            b"POST /long/1 HTTP/1.1\r\nHost: app.example\r\nRequest-Id: c-1\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
        )
        piece = forward_endpoint.chunk(b"z" * 60_000)
        for _ in range(40):
            caller.writer.write(piece)
        response = await caller.read()
        assert response.status == 503
        await world.until(lambda: world.node.memory.held_bytes == 0)

    forward_world.run_scenario(scenario)


async def send_slowly(world):
    """Sends the head of a large body and the first bytes of it."""
    caller = await world.connect()
    caller.writer.write(
        b"POST /write/1 HTTP/1.1\r\nHost: app.example\r\nRequest-Id: c-1\r\n"
        b"Content-Length: %d\r\n\r\nxxx" % SIZE
    )
    return caller


def test_slow_bodies_do_not_keep_the_memory_from_others():
    async def scenario(world):
        plain = await world.endpoint("e-1")
        limit_memory(world)
        slow = [await send_slowly(world) for _ in range(2)]
        await world.until(lambda: holds_bodies(world, 2))
        await asyncio.sleep(1.1)
        response = await world.request("/write/2", body=b"y" * SIZE)
        assert response.status == 200
        assert world.node.memory.refused == 1
        # The oldest was refused; the other one is served, slow as it is.
        assert (await slow[0].read()).status == 503
        slow[1].writer.write(b"x" * (SIZE - 3))
        assert (await slow[1].read()).status == 200
        assert [len(each.body) for each in plain.ran] == [SIZE, SIZE]
        await world.until(lambda: world.node.memory.held_bytes == 0)

    forward_world.run_scenario(scenario)


def test_slow_bodies_that_nobody_waits_for_are_read():
    async def scenario(world):
        await world.endpoint("e-1")
        limit_memory(world)
        slow = [await send_slowly(world) for _ in range(2)]
        await asyncio.sleep(1.1)
        for caller in slow:
            caller.writer.write(b"x" * (SIZE - 3))
        for caller in slow:
            assert (await caller.read()).status == 200
        assert world.node.memory.refused == 0

    forward_world.run_scenario(scenario)


def test_caller_that_asks_first_is_told_before_it_sends():
    async def scenario(world):
        await hold_back_runs(world)
        limit_memory(world, SIZE)
        caller = await world.connect()
        caller.writer.write(
            b"POST /long/1 HTTP/1.1\r\nHost: app.example\r\nRequest-Id: c-1\r\n"
            b"Expect: 100-continue\r\nContent-Length: %d\r\n\r\n" % SIZE
        )
        response = await caller.read()
        assert response.status == 503

    forward_world.run_scenario(scenario)


@pytest.mark.parametrize("at", ["while it waits", "in the body", "in the run"])
def test_memory_of_a_caller_that_leaves_is_given_back(at):
    async def scenario(world):
        await hold_back_runs(world)
        limit_memory(world)
        held = 0
        if at == "while it waits":
            callers = await fill(world, 2)
            held = 2
            leaving = await send_model(world)
            await asyncio.sleep(0.1)
        elif at == "in the body":
            leaving = await world.connect()
            leaving.writer.write(
                b"POST /long/1 HTTP/1.1\r\nHost: app.example\r\n"
                b"Request-Id: c-1\r\nContent-Length: %d\r\n\r\nxxx" % SIZE
            )
            await world.until(lambda: holds_bodies(world, 1))
        else:
            (leaving,) = await fill(world, 1)
            await asyncio.sleep(0.1)
        leaving.writer.transport.abort()
        await asyncio.sleep(0.7)
        if held:
            assert holds_bodies(world, held)
            callers.clear()
        else:
            assert world.node.memory.held_bytes == 0

    forward_world.run_scenario(scenario)


@pytest.mark.parametrize("length", ["99999999999", "600000000000000000000"])
def test_body_over_the_limit_of_one_is_no_question_of_memory(length):
    async def scenario(world):
        caller = await world.connect()
        caller.writer.write(
            b"POST /long/1 HTTP/1.1\r\nHost: app.example\r\nRequest-Id: c-1\r\n"
            b"Content-Length: %s\r\n\r\n" % length.encode()
        )
        line = await caller.reader.readline()
        assert b" 400 " in line
        assert await caller.reader.read() == b"\r\n"
        assert world.node.memory.refused == 0

    forward_world.run_scenario(scenario)


def test_equal_lengths_stated_twice_are_one_length():
    async def scenario(world):
        plain = await world.endpoint("e-1")
        caller = await world.connect()
        caller.writer.write(
            b"POST /write/1 HTTP/1.1\r\nHost: app.example\r\n"
            b"Request-Id: c-1\r\nContent-Length: 3\r\nContent-Length: 3\r\n"
            b"\r\nxyz"
        )
        assert (await caller.read()).status == 200
        assert plain.ran[0].body == b"xyz"
        await world.until(lambda: world.node.memory.held_bytes == 0)

    forward_world.run_scenario(scenario)
