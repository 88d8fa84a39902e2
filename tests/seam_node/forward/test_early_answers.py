"""Answers that come while the request is still being written.

Guards against a part of an answer that is taken for all of it, as its end is
that of the connection.
"""

import asyncio

import pytest

from standins import connection_ends
from standins import forward_endpoint
from standins import forward_world

UPLOAD_BYTES = 4_000_000
MODEL = {"Model": "m", "Token_Count": "100,50"}
PART = b"x" * 3000
EVENT = forward_endpoint.event(1)
HALF_AN_EVENT = EVENT[:-1]


def upload():
    """Returns a body that small buffers do not hold."""
    return b"u" * UPLOAD_BYTES


ends = pytest.mark.parametrize(
    "end", [connection_ends.reset, connection_ends.reset_after_end]
)
signed_or_not = pytest.mark.parametrize("is_signed", [True, False])


def head(received, is_signed=True, status="200 OK", **extra):
    """Returns a head of an answer without length."""
    seal = {} if is_signed else {"Server_Seal": ""}
    return forward_endpoint.answer(
        received, b"", status, **{"Content_Length": "", **seal, **extra}
    )


def is_run(received):
    return received.runs


def answers_early(part, end, is_signed=True, concerned=is_run, **extra):
    """Returns a reply that sends a part of a body and ends the connection."""

    async def reply(endpoint, received, writer):
        if not concerned(received):
            await forward_endpoint.reply_engine(endpoint, received, writer)
            return
        endpoint.ran.append(received)
        writer.write(head(received, is_signed, **extra) + part)
        await writer.drain()
        # The bytes arrive before the end of the connection.
        await asyncio.sleep(0.05)
        await end(writer)

    return reply


async def early_endpoint(world, name, service, reply, stage="", only=is_run):
    """Starts an endpoint that reads no body of the requests concerned."""
    endpoint = await world.endpoint(
        name, service, reply, stage, small_buffers=True
    )
    endpoint.answers_early = only
    return endpoint


async def send(world, path, **options):
    """Returns the answer; None if the connection was closed without one."""
    caller = await world.connect()
    caller.send(path, body=upload(), **options)
    try:
        return await caller.read()
    except asyncio.IncompleteReadError:
        return None
    finally:
        caller.close()


def is_failure(response):
    """Returns whether an answer tells neither success nor what has run."""
    if response is None or not response.complete:
        return True
    return response.status in (502, 504)


@ends
@signed_or_not
@pytest.mark.parametrize("path", ["/write/x", "/read/x"])
def test_part_of_an_early_plain_answer_is_no_answer(path, is_signed, end):
    async def scenario(world):
        reply = answers_early(PART, end, is_signed)
        endpoint = await early_endpoint(world, "e-1", "calls", reply)
        response = await send(world, path)
        assert response.status == 502
        assert endpoint.ran

    forward_world.run_scenario(scenario)


@ends
@pytest.mark.parametrize("path", ["/write/x", "/read/x"])
def test_refusal_that_breaks_off_promises_nothing(path, end):
    async def scenario(world):
        reply = answers_early(
            PART,
            end,
            is_signed=False,
            status="503 Service Unavailable",
            Not_Executed="1",
        )
        await early_endpoint(world, "e-1", "calls", reply)
        response = await send(world, path)
        assert response.status == 502

    forward_world.run_scenario(scenario)


@ends
@signed_or_not
@pytest.mark.parametrize("part", [PART, EVENT, EVENT + HALF_AN_EVENT])
@pytest.mark.parametrize("path", ["/draft/1", "/long/1"])
def test_part_of_an_early_stream_is_not_complete(path, part, is_signed, end):
    async def scenario(world):
        await world.engine("prefill-1", "prefill")
        reply = answers_early(part, end, is_signed)
        decode = await early_endpoint(
            world, "decode-1", "engines", reply, "decode"
        )
        response = await send(world, path, **MODEL)
        assert is_failure(response)
        assert decode.ran

    forward_world.run_scenario(scenario)


@ends
def test_resumable_stream_goes_on_after_an_early_part(end):
    async def scenario(world):
        await world.engine("prefill-1", "prefill")
        engines = []
        early = answers_early(EVENT + HALF_AN_EVENT, end)

        async def reply(endpoint, received, writer):
            if is_run(received) and not any(each.ran for each in engines):
                await early(endpoint, received, writer)
                return
            await forward_endpoint.reply_engine(endpoint, received, writer)

        def only(received):
            return is_run(received) and not any(each.ran for each in engines)

        for name in ("decode-1", "decode-2"):
            engines.append(
                await early_endpoint(
                    world, name, "engines", reply, "decode", only
                )
            )
        response = await send(world, "/long/1", **MODEL)
        whole = b"".join(map(forward_endpoint.event, range(1, 6)))
        assert (response.complete, response.body) == (True, whole)

    forward_world.run_scenario(scenario)


@ends
@signed_or_not
def test_part_of_an_early_prefill_answer_is_no_cache(is_signed, end):
    """The part is a readable answer, of which more might have followed."""

    async def scenario(world):
        part = b'{"kv_handle":"kv-broken","tokens":1}'

        def only(received):
            return received.prefills

        reply = answers_early(part, end, is_signed, only)
        prefill = await early_endpoint(
            world, "prefill-1", "engines", reply, "prefill", only
        )
        decode = await world.engine("decode-1", "decode")
        response = await send(world, "/draft/1", **MODEL)
        assert (response.status, response.complete) == (200, True)
        assert len(prefill.ran) == 1
        assert "kv-broken" not in str(decode.ran[0].headers)
        assert "kv-broken" not in str(prefill.released)

    forward_world.run_scenario(scenario)


@signed_or_not
def test_part_of_a_hold_is_no_hold(is_signed):
    async def scenario(world):
        def only(received):
            return received.target.startswith("/sycamoreseam/hold-take")

        await world.engine("prefill-1", "prefill")
        reply = answers_early(
            b'{"hold":"h-broken"}', connection_ends.reset, is_signed, only
        )
        decode = await early_endpoint(
            world, "decode-1", "engines", reply, "decode", only
        )
        response = await send(world, "/draft/1", **MODEL)
        assert not [each for each in decode.ran if is_run(each)]
        assert response.status == 503
        assert "h-broken" not in str(decode.received)

    forward_world.run_scenario(scenario)


@pytest.mark.parametrize("path", ["/write/x", "/draft/1"])
def test_body_stays_counted_until_the_endpoint_has_read_it(path):
    """Guards against bodies beyond the memory of an instance.

    The answer begins while the connection still holds most of the request.
    """

    async def scenario(world):
        may_go_on = asyncio.Event()

        async def reply(endpoint, received, writer):
            if not is_run(received):
                await forward_endpoint.reply_engine(endpoint, received, writer)
                return
            endpoint.ran.append(received)
            chunks = {"Transfer_Encoding": "chunked"}
            writer.write(head(received, **chunks))
            writer.write(forward_endpoint.chunk(EVENT))
            await writer.drain()
            await may_go_on.wait()
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            await connection_ends.reset_after_end(writer)

        await world.engine("prefill-1", "prefill")
        service, stage = (
            ("calls", "") if path == "/write/x" else ("engines", "decode")
        )
        await early_endpoint(world, "e-1", service, reply, stage)
        caller = await world.connect()
        caller.send(path, body=upload(), **MODEL)
        await world.until(lambda: world.node.memory.held_bytes >= UPLOAD_BYTES)
        await asyncio.sleep(0.5)
        assert world.node.memory.held_bytes >= UPLOAD_BYTES
        may_go_on.set()
        response = await caller.read()
        assert (response.status, response.body) == (200, EVENT)
        await world.until(lambda: world.node.memory.held_bytes == 0)
        caller.close()

    forward_world.run_scenario(scenario)
