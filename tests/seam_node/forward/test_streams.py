"""End-to-end tests of model requests through a complete instance."""

import asyncio

import pytest

from standins import forward_endpoint
from standins import forward_world

EVENTS = b"".join(
    forward_endpoint.event(number)
    for number in range(1, forward_endpoint.EVENTS + 1)
)


async def request_model(world, path="/draft/1", **options):
    caller = await world.connect()
    try:
        return await caller.request_model(path, **options)
    finally:
        caller.close()


def breaks_off_after(last, reply_other=forward_endpoint.reply_engine):
    """Returns a reply whose stream breaks off after some events."""

    async def reply(endpoint, received, writer):
        if received.target.startswith("/sycamoreseam/") or received.prefills:
            await reply_other(endpoint, received, writer)
            return
        await forward_endpoint.reply_stream(endpoint, received, writer, last)
        # Bytes that arrive together with the end of the connection are lost,
        # so the end is delayed.
        await asyncio.sleep(0.05)
        writer.write(b"5\r\nid: 9")
        await writer.drain()
        writer.close()

    return reply


def refuses_runs(times):
    """Returns a reply that refuses some runs, as if their KV were lost."""
    remaining = [times]

    async def reply(endpoint, received, writer):
        not_a_run = (
            received.target.startswith("/sycamoreseam/") or received.prefills
        )
        if not_a_run or remaining[0] == 0:
            await forward_endpoint.reply_engine(endpoint, received, writer)
            return
        remaining[0] -= 1
        writer.write(forward_endpoint.refusal(received))

    return reply


def test_prompt_is_prefilled_and_decoded_at_separate_engines():
    async def scenario(world):
        prefill, decode = await world.engines()
        response = await request_model(world)
        assert (response.status, response.body, response.complete) == (
            200,
            EVENTS,
            True,
        )
        assert [received.prefills for received in prefill.received] == [True]
        run = decode.ran[0]
        assert run.headers["kv-source"] == f"127.0.0.1:{prefill.port}/kv1"
        assert run.headers["kv-hold"] == "h1"
        assert decode.received[0].target == "/sycamoreseam/hold-take"
        assert decode.released == prefill.released == []

    forward_world.run_scenario(scenario)


def test_without_prefill_engines_the_decode_engine_prefills():
    async def scenario(world):
        decode = await world.engine("decode-1", "decode")
        response = await request_model(world)
        assert (response.status, response.complete) == (200, True)
        assert "kv-source" not in decode.ran[0].headers

    forward_world.run_scenario(scenario)


def test_the_decode_engine_prefills_if_all_prefill_engines_fail():
    async def fail_prefill(endpoint, received, writer):
        writer.transport.abort()

    async def scenario(world):
        prefill, decode = await world.engines()
        prefill.reply = fail_prefill
        response = await request_model(world)
        assert (response.status, response.body, response.complete) == (
            200,
            EVENTS,
            True,
        )
        assert "kv-source" not in decode.ran[0].headers

    forward_world.run_scenario(scenario)


def test_an_engine_that_loses_streams_is_chosen_last():
    async def scenario(world):
        _, failing_engine = await world.engines()
        healthy_engine = await world.engine("decode-2", "decode")
        failing_engine.reply = breaks_off_after(1)
        for _ in range(12):
            await request_model(world)
        assert len(failing_engine.ran) <= 3
        assert len(healthy_engine.ran) >= 9

    forward_world.run_scenario(scenario)


def test_events_are_forwarded_immediately():
    async def scenario(world):
        _, decode = await world.engines()
        may_continue = asyncio.Event()

        async def slow(endpoint, received, writer):
            if received.target.startswith("/sycamoreseam/"):
                await forward_endpoint.reply_engine(endpoint, received, writer)
                return
            writer.write(
                forward_endpoint.STREAM_HEAD % received.request_id.encode()
            )
            writer.write(forward_endpoint.chunk(forward_endpoint.event(1)))
            await may_continue.wait()
            writer.write(b"0\r\n\r\n")

        decode.reply = slow
        caller = await world.connect()
        caller.send("/draft/1", Model="m", Token_Count="100,50")
        async with asyncio.timeout(forward_world.WAIT_S):
            await caller.reader.readuntil(b"t1\n\n")
        may_continue.set()
        caller.close()

    forward_world.run_scenario(scenario)


def test_truncated_stream_is_visible_to_the_caller():
    async def scenario(world):
        _, decode = await world.engines()
        decode.reply = breaks_off_after(2)
        response = await request_model(world)
        assert (response.status, response.complete) == (200, False)
        assert len(decode.ran) == 1

    forward_world.run_scenario(scenario)


def test_resumable_stream_continues_at_another_engine():
    async def scenario(world):
        _, first = await world.engines()
        first.reply = breaks_off_after(2)
        second = await world.engine("decode-2", "decode", zone="there")
        response = await request_model(world, "/long/1")
        assert (response.status, response.body, response.complete) == (
            200,
            EVENTS,
            True,
        )
        assert second.ran[0].headers["last-event-id"] == "2"

    forward_world.run_scenario(scenario)


def test_lost_kv_is_recomputed_at_another_prefill_engine():
    async def scenario(world):
        prefill, decode = await world.engines()
        other = await world.engine("prefill-2", "prefill")
        decode.reply = refuses_runs(1)
        response = await request_model(world)
        assert (response.status, response.complete) == (200, True)
        assert len(prefill.received) == len(other.received) == 1
        assert "kv-source" in decode.ran[0].headers
        assert len(decode.ran) == 1

    forward_world.run_scenario(scenario)


def test_a_prefill_engine_that_loses_kv_is_not_used_for_a_while():
    """Guards against wasted prefills while KV caches are lost.

    The only prefill engine loses its caches, so the decode engine prefills.
    """

    async def scenario(world):
        prefill, decode = await world.engines()
        decode.reply = refuses_runs(1)
        for _ in range(4):
            response = await request_model(world)
            assert (response.status, response.complete) == (200, True)
        assert len(prefill.received) == 1
        assert len(decode.ran) == 4

    forward_world.run_scenario(scenario)


def test_refusal_by_all_engines_becomes_503():
    async def scenario(world):
        _, decode = await world.engines()
        decode.reply = refuses_runs(99)
        response = await request_model(world)
        assert response.status == 503
        assert float(response.headers["retry-after"]) > 0
        assert decode.ran == []

    forward_world.run_scenario(scenario)


def test_disconnect_during_prefill_releases_the_hold():
    async def scenario(world):
        prefill, decode = await world.engines()

        async def slow_prefill(endpoint, received, writer):
            if received.prefills:
                await asyncio.sleep(0.2)
            await forward_endpoint.reply_engine(endpoint, received, writer)

        prefill.reply = slow_prefill
        caller = await world.connect()
        caller.send("/draft/1", Model="m", Token_Count="100,50")
        await world.until(lambda: prefill.received)
        caller.close()
        await world.until(lambda: decode.released)
        assert decode.released == ["/sycamoreseam/hold-drop/h1"]
        assert decode.ran == []
        assert len(world.node.fleet.ledger) == 0

    forward_world.run_scenario(scenario)


def test_disconnect_during_the_stream_ends_the_run():
    async def scenario(world):
        _, decode = await world.engines()
        gone = asyncio.Event()

        async def endless(endpoint, received, writer):
            if received.target.startswith("/sycamoreseam/"):
                await forward_endpoint.reply_engine(endpoint, received, writer)
                return
            writer.write(
                forward_endpoint.STREAM_HEAD % received.request_id.encode()
            )
            try:
                while True:
                    data = forward_endpoint.event(1)
                    writer.write(forward_endpoint.chunk(data))
                    await writer.drain()
                    await asyncio.sleep(0.02)
            except ConnectionError:
                gone.set()

        decode.reply = endless
        caller = await world.connect()
        caller.send("/draft/1", Model="m", Token_Count="100,50")
        await caller.reader.readuntil(b"t1\n\n")
        caller.close()
        async with asyncio.timeout(forward_world.WAIT_S):
            await gone.wait()
        await world.until(lambda: len(world.node.fleet.ledger) == 0)

    forward_world.run_scenario(scenario)


def test_without_capacity_a_request_is_refused_after_its_wait():
    async def full(endpoint, received, writer):
        status = "503 Service Unavailable"
        writer.write(forward_endpoint.answer(received, b"", status))

    async def scenario(world):
        prefill, decode = await world.engines()
        decode.reply = full
        response = await request_model(world)
        assert response.status == 503
        assert prefill.received == []
        ended = world.logged("request_ended")[-1]
        assert ended["outcome"] == "no_decode_place"

    forward_world.run_scenario(scenario)


@pytest.mark.parametrize("count", ["x,5", "5", "-1,5", "1,2,3"])
def test_unreadable_token_count_gets_400(count):
    async def scenario(world):
        response = await world.request("/draft/1", Model="m", Token_Count=count)
        assert response.status == 400

    forward_world.run_scenario(scenario)


def test_a_place_counts_before_the_engine_is_called():
    """Guards against granting the same place twice.

    Other requests are placed while the engine is being called.
    """

    async def scenario(world):
        prefill, decode = await world.engines()
        counted = []

        async def record_uses(endpoint, received, writer):
            if received.target.startswith("/sycamoreseam/hold-take"):
                counted.append(len(world.node.fleet.ledger))
            await forward_endpoint.reply_engine(endpoint, received, writer)

        decode.reply = record_uses
        assert (await request_model(world)).status == 200
        assert counted == [1]
        assert len(prefill.received) == 1

    forward_world.run_scenario(scenario)


def test_a_refused_reservation_is_not_counted_as_use():
    async def scenario(world):
        _, decode = await world.engines()

        async def full(endpoint, received, writer):
            writer.write(
                forward_endpoint.answer(
                    received, b"", "503 Full", Not_Executed="1"
                )
            )

        decode.reply = full
        assert (await request_model(world)).status == 503
        assert len(world.node.fleet.ledger) == 0

    forward_world.run_scenario(scenario)


def test_two_requests_with_the_same_id_are_both_answered():
    """Guards the accounting of reservations against duplicate request ids.

    A caller sends two concurrent requests with the same id.
    """

    async def scenario(world):
        _, decode = await world.engines()
        both = asyncio.Event()
        streaming = []

        async def stream_together(endpoint, received, writer):
            if not received.target.startswith("/sycamoreseam/"):
                streaming.append(received)
                if len(streaming) == 2:
                    both.set()
                await both.wait()
            await forward_endpoint.reply_engine(endpoint, received, writer)

        decode.reply = stream_together
        callers = [await world.connect() for _ in range(2)]
        answers = await asyncio.gather(
            *(caller.request_model(request_id="same") for caller in callers)
        )
        assert [
            (response.status, response.complete) for response in answers
        ] == [
            (200, True),
            (200, True),
        ]
        await world.until(lambda: len(world.node.fleet.ledger) == 0)
        assert world.logged("request_failed") == []
        for caller in callers:
            caller.close()

    forward_world.run_scenario(scenario)


def test_an_engine_that_fails_its_streams_is_logged_once():
    async def scenario(world):
        await world.engine("prefill-1", "prefill")
        failing_engine = await world.endpoint(
            "liar", forward_world.ENGINES, fail_streams, "decode"
        )
        for _ in range(4):
            assert (await request_model(world)).status == 500
        logged = world.logged("engine_failing")
        assert [each["endpoint"] for each in logged] == [
            f"{failing_engine.id}/1000"
        ]

    forward_world.run_scenario(scenario)


async def fail_streams(endpoint, received, writer):
    if received.target.startswith("/sycamoreseam/"):
        await forward_endpoint.reply_engine(endpoint, received, writer)
    else:
        writer.write(
            forward_endpoint.answer(received, b"", "500 Internal Server Error")
        )
