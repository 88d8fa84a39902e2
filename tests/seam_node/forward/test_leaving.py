"""Planned stops of an instance whose requests wait to be sent."""

import asyncio

import pytest

from standins import forward_endpoint
from standins import forward_world

EXIT_S = 2.6
"""Time from a stop to the exit with the grace period of the tests."""
SLACK_S = 0.2
SHORT_MS = 300
"""Deadline of a call that an instance still takes while it leaves."""
KEPT = 40
"""Connections that callers keep open."""
LONG = "100,1800"
"""Tokens of a stream that takes some 1.5 s at the expected rate."""
ROUTES = [
    *forward_world.DEFAULT_ROUTES,
    forward_world.route(
        "patient",
        "streaming",
        forward_world.ENGINES,
        target_latency_ms=4000,
        timeout_ms=20_000,
    ),
]


async def refuse_holds(endpoint, received, writer):
    """Answers as an engine whose places are all taken."""
    if received.target.startswith("/sycamoreseam/hold-take"):
        status = "503 Service Unavailable"
        writer.write(forward_endpoint.answer(received, b"", status))
    else:
        await forward_endpoint.reply_engine(endpoint, received, writer)


async def prefill_slowly(endpoint, received, writer):
    if received.prefills:
        await asyncio.sleep(forward_world.WAIT_S)
    await forward_endpoint.reply_engine(endpoint, received, writer)


async def patient_world(world):
    world.store.put("config", "main", forward_world.configuration(2, ROUTES))
    await world.until(lambda: world.node.routes.table.version == 2)
    return await world.engines()


async def send_patient(world, tokens="100,50"):
    caller = await world.connect()
    caller.send("/patient/1", deadline_ms=20_000, Model="m", Token_Count=tokens)
    return caller


@pytest.mark.parametrize("before_stop", [True, False])
def test_request_that_waits_for_a_place_is_refused_before_the_exit(before_stop):
    """Guards against closing its connection without an answer at the exit."""

    async def scenario(world):
        _, decode = await patient_world(world)
        decode.reply = refuse_holds
        if before_stop:
            caller = await send_patient(world)
            await world.until(lambda: decode.received)
        leaving = asyncio.ensure_future(world.node.leave())
        if not before_stop:
            await asyncio.sleep(0)
            caller = await send_patient(world)
        response = await caller.read()
        assert (response.status, response.complete) == (503, True)
        assert float(response.headers["retry-after"]) < 0.1
        assert decode.ran == []
        await leaving

    forward_world.run_scenario(scenario)


def test_request_is_refused_during_a_slow_prefill_and_its_hold_released():
    """Guards against cutting a stream off that begins just before the exit."""

    async def scenario(world):
        prefill, decode = await patient_world(world)
        prefill.reply = prefill_slowly
        caller = await send_patient(world, LONG)
        await world.until(lambda: prefill.received)
        leaving = asyncio.ensure_future(world.node.leave())
        response = await caller.read()
        assert (response.status, response.complete) == (503, True)
        assert decode.ran == []
        await world.until(lambda: decode.released)
        await leaving

    forward_world.run_scenario(scenario)


def test_waiting_request_that_is_too_long_is_refused_as_the_stop_begins():
    """Guards against holding a request that no longer has the time to run."""

    async def scenario(world):
        _, decode = await patient_world(world)
        decode.reply = refuse_holds
        caller = await send_patient(world, "100,9000")
        await world.until(lambda: decode.received)
        loop = asyncio.get_running_loop()
        stopped_at = loop.time()
        leaving = asyncio.ensure_future(world.node.leave())
        response = await caller.read()
        assert response.status == 503
        assert loop.time() - stopped_at < SLACK_S
        await leaving

    forward_world.run_scenario(scenario)


def test_stream_that_runs_as_the_instance_leaves_is_not_interrupted():
    async def scenario(world):
        _, decode = await patient_world(world)

        async def stream_slowly(endpoint, received, writer):
            if received.target.startswith("/sycamoreseam/"):
                await forward_endpoint.reply_engine(endpoint, received, writer)
                return
            await asyncio.sleep(EXIT_S - 0.6)
            await forward_endpoint.reply_stream(endpoint, received, writer)

        decode.reply = stream_slowly
        caller = await send_patient(world, "100,9000")
        await world.until(
            lambda: any("kv-source" in each.headers for each in decode.received)
        )
        leaving = asyncio.ensure_future(world.node.leave())
        response = await caller.read()
        assert (response.status, response.complete) == (200, True)
        await leaving

    forward_world.run_scenario(scenario)


@pytest.mark.parametrize("path", ["/read/x", "/write/x"])
def test_call_that_runs_at_the_exit_gets_an_answer(path):
    """Guards against a closed connection without an answer."""

    async def scenario(world):
        async def hang(endpoint, received, writer):
            await asyncio.sleep(forward_world.WAIT_S)

        endpoint = await world.endpoint("e-1", reply=hang)
        caller = await world.connect()
        caller.send(path)
        await world.until(lambda: endpoint.received)
        await world.node.leave()
        closing = asyncio.ensure_future(world.node.caller_server.close())
        response = await caller.read()
        # It may have run, so nothing is promised.
        assert (response.status, response.complete) == (502, True)
        await closing

    forward_world.run_scenario(scenario)


async def keep_connections(world):
    """Returns callers whose connections have carried a request and are idle."""
    callers = [await world.connect() for _ in range(KEPT)]
    for each in callers:
        assert (await each.request("/write/x")).status == 200
    return callers


async def outcome(caller):
    """Returns the status of a complete answer; None if there is none."""
    try:
        response = await caller.read()
    except (ConnectionError, asyncio.IncompleteReadError):
        return None
    return response.status if response.complete else None


def unanswered_runs(endpoint, sent, statuses):
    """Returns the requests that ran and got no answer."""
    ran = {each.request_id for each in endpoint.ran}
    answered = {
        own for own, status in zip(sent, statuses, strict=True) if status
    }
    return ran & set(sent) - answered


def test_call_sent_as_the_connections_are_closed_is_answered_or_not_run():
    """Guards against calls that run while their connections are closed."""

    async def scenario(world):
        endpoint = await world.endpoint("e-1")
        callers = await keep_connections(world)
        await world.node.leave()
        sent = [each.send("/write/x", deadline_ms=SHORT_MS) for each in callers]
        await world.node.caller_server.close()
        statuses = [await outcome(each) for each in callers]
        assert unanswered_runs(endpoint, sent, statuses) == set()

    forward_world.run_scenario(scenario)


def test_calls_that_arrive_before_the_exit_are_refused_beside_a_running_one():
    """Guards against closed connections, and calls that run for nobody."""

    async def scenario(world):
        endpoint = await world.endpoint("e-1")
        callers = await keep_connections(world)

        async def hang(endpoint, received, writer):
            await asyncio.sleep(forward_world.WAIT_S)

        endpoint.reply = hang
        last = await world.connect()
        last.send("/write/last")
        await world.until(
            lambda: any(r.target == "/write/last" for r in endpoint.received)
        )
        await world.node.leave()
        ran = len(endpoint.received)
        for each in callers:
            each.send("/write/x")
        await world.node.caller_server.close()
        statuses = [await outcome(each) for each in callers]
        assert statuses == [503] * KEPT
        assert len(endpoint.received) == ran

    forward_world.run_scenario(scenario)


def test_calls_through_a_whole_stop_are_answered_or_not_run():
    """Guards against a moment of the stop in which calls get lost."""

    async def scenario(world):
        endpoint = await world.endpoint("e-1")
        callers = await keep_connections(world)

        async def stop():
            await world.node.leave()
            await world.node.caller_server.close()

        stopping = asyncio.ensure_future(stop())
        sent, statuses = [], []
        while not stopping.done() and callers:
            caller = callers.pop()
            sent.append(caller.send("/write/x", deadline_ms=SHORT_MS))
            statuses.append(asyncio.ensure_future(outcome(caller)))
            await asyncio.sleep(EXIT_S / KEPT)
        await stopping
        statuses = [await each for each in statuses]
        assert unanswered_runs(endpoint, sent, statuses) == set()
        assert 200 in statuses

    forward_world.run_scenario(scenario)
