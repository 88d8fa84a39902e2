"""Model requests through a whole instance."""

import asyncio

import pytest

from standins import forward_endpoint
from standins import forward_world

EVENTS = b"".join(
    forward_endpoint.event(number)
    for number in range(1, forward_endpoint.EVENTS + 1)
)


async def draft(world, path="/draft/1", **options):
    caller = await world.connect()
    try:
        return await caller.draft(path, **options)
    finally:
        caller.close()


def breaks_after(last, events=forward_endpoint.reply_engine):
    """Returns a reply whose stream breaks off after some events."""

    async def reply(endpoint, seen, writer):
        if seen.target.startswith("/sycamoreseam/") or seen.prefills:
            await events(endpoint, seen, writer)
            return
        await forward_endpoint.reply_stream(endpoint, seen, writer, last)
        # What comes in together with the end of a connection is dropped.
        await asyncio.sleep(0.05)
        writer.write(b"5\r\nid: 9")
        await writer.drain()
        writer.close()

    return reply


def refuses(times):
    """Returns a reply that refuses runs a few times, as KV that is gone."""
    left = [times]

    async def reply(endpoint, seen, writer):
        own = seen.target.startswith("/sycamoreseam/") or seen.prefills
        if own or left[0] == 0:
            await forward_endpoint.reply_engine(endpoint, seen, writer)
            return
        left[0] -= 1
        writer.write(
            forward_endpoint.answer(
                seen,
                b"",
                "503 Service Unavailable",
                Server_Seal="",
                Not_Executed="1",
            )
        )

    return reply


def test_prompt_is_prefilled_apart_and_decoded_by_its_handle():
    async def scenario(world):
        prefill, decode = await world.engines()
        got = await draft(world)
        assert (got.status, got.body, got.complete) == (200, EVENTS, True)
        assert [seen.prefills for seen in prefill.seen] == [True]
        run = decode.ran[0]
        assert run.headers["kv-source"] == f"127.0.0.1:{prefill.port}/kv1"
        assert run.headers["kv-hold"] == "h1"
        assert decode.seen[0].target == "/sycamoreseam/hold-take"
        assert decode.released == prefill.released == []

    forward_world.run_scenario(scenario)


def test_without_a_prefill_engine_the_decode_engine_reads_the_prompt():
    async def scenario(world):
        decode = await world.engine("decode-1", "decode")
        got = await draft(world)
        assert (got.status, got.complete) == (200, True)
        assert "kv-source" not in decode.ran[0].headers

    forward_world.run_scenario(scenario)


def test_a_prompt_that_no_prefill_engine_reads_is_read_by_the_decode_engine():
    async def failing(endpoint, seen, writer):
        writer.transport.abort()

    async def scenario(world):
        prefill, decode = await world.engines()
        prefill.reply = failing
        got = await draft(world)
        assert (got.status, got.body, got.complete) == (200, EVENTS, True)
        assert "kv-source" not in decode.ran[0].headers

    forward_world.run_scenario(scenario)


def test_an_engine_that_loses_streams_is_asked_last():
    async def scenario(world):
        _, grey = await world.engines()
        good = await world.engine("decode-2", "decode")
        grey.reply = breaks_after(1)
        for _ in range(12):
            await draft(world)
        assert len(grey.ran) <= 3
        assert len(good.ran) >= 9

    forward_world.run_scenario(scenario)


def test_events_come_as_they_are_made():
    async def scenario(world):
        _, decode = await world.engines()
        go_on = asyncio.Event()

        async def slow(endpoint, seen, writer):
            if seen.target.startswith("/sycamoreseam/"):
                await forward_endpoint.reply_engine(endpoint, seen, writer)
                return
            writer.write(
                forward_endpoint.STREAM_HEAD % seen.request_id.encode()
            )
            writer.write(forward_endpoint.chunk(forward_endpoint.event(1)))
            await go_on.wait()
            writer.write(b"0\r\n\r\n")

        decode.reply = slow
        caller = await world.connect()
        caller.send("/draft/1", Model="m", Token_Count="100,50")
        async with asyncio.timeout(forward_world.WAIT_S):
            await caller.reader.readuntil(b"t1\n\n")
        go_on.set()
        caller.close()

    forward_world.run_scenario(scenario)


def test_stream_that_broke_off_does_not_look_complete():
    async def scenario(world):
        _, decode = await world.engines()
        decode.reply = breaks_after(2)
        got = await draft(world)
        assert (got.status, got.complete) == (200, False)
        assert len(decode.ran) == 1

    forward_world.run_scenario(scenario)


def test_resumable_stream_goes_on_at_another_engine():
    async def scenario(world):
        _, first = await world.engines()
        first.reply = breaks_after(2)
        second = await world.engine("decode-2", "decode", zone="there")
        got = await draft(world, "/long/1")
        assert (got.status, got.body, got.complete) == (200, EVENTS, True)
        assert second.ran[0].headers["last-event-id"] == "2"

    forward_world.run_scenario(scenario)


def test_lost_kv_is_computed_again_at_another_prefill_engine():
    async def scenario(world):
        prefill, decode = await world.engines()
        other = await world.engine("prefill-2", "prefill")
        decode.reply = refuses(1)
        got = await draft(world)
        assert (got.status, got.complete) == (200, True)
        assert len(prefill.seen) == len(other.seen) == 1
        assert "kv-source" in decode.ran[0].headers
        assert len(decode.ran) == 1

    forward_world.run_scenario(scenario)


def test_prompts_are_not_read_in_vain_again_while_handles_lapse():
    """The only prefill engine loses its KV caches; decode engines read."""

    async def scenario(world):
        prefill, decode = await world.engines()
        decode.reply = refuses(1)
        for _ in range(4):
            got = await draft(world)
            assert (got.status, got.complete) == (200, True)
        assert len(prefill.seen) == 1
        assert len(decode.ran) == 4

    forward_world.run_scenario(scenario)


def test_refused_everywhere_is_told_as_not_run():
    async def scenario(world):
        _, decode = await world.engines()
        decode.reply = refuses(99)
        got = await draft(world)
        assert got.status == 503
        assert float(got.headers["retry-after"]) > 0
        assert decode.ran == []

    forward_world.run_scenario(scenario)


def test_caller_that_leaves_early_frees_place_and_kv():
    async def scenario(world):
        prefill, decode = await world.engines()

        async def slow_prefill(endpoint, seen, writer):
            if seen.prefills:
                await asyncio.sleep(0.2)
            await forward_endpoint.reply_engine(endpoint, seen, writer)

        prefill.reply = slow_prefill
        caller = await world.connect()
        caller.send("/draft/1", Model="m", Token_Count="100,50")
        await world.until(lambda: prefill.seen)
        caller.close()
        await world.until(lambda: decode.released)
        assert decode.released == ["/sycamoreseam/hold-drop/h1"]
        assert decode.ran == []
        assert world.node.room.uses() == ()

    forward_world.run_scenario(scenario)


def test_caller_that_leaves_midway_ends_the_run():
    async def scenario(world):
        _, decode = await world.engines()
        gone = asyncio.Event()

        async def endless(endpoint, seen, writer):
            if seen.target.startswith("/sycamoreseam/"):
                await forward_endpoint.reply_engine(endpoint, seen, writer)
                return
            writer.write(
                forward_endpoint.STREAM_HEAD % seen.request_id.encode()
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
        await world.until(lambda: world.node.room.uses() == ())

    forward_world.run_scenario(scenario)


def test_no_room_is_told_at_the_end_of_the_useful_wait():
    async def full(endpoint, seen, writer):
        status = "503 Service Unavailable"
        writer.write(forward_endpoint.answer(seen, b"", status))

    async def scenario(world):
        prefill, decode = await world.engines()
        decode.reply = full
        got = await draft(world)
        assert got.status == 503
        assert prefill.seen == []
        ended = world.logged("request_ended")[-1]
        assert ended["outcome"] == "no_decode_place"

    forward_world.run_scenario(scenario)


@pytest.mark.parametrize("count", ["x,5", "5", "-1,5", "1,2,3"])
def test_unreadable_size_is_a_clear_error(count):
    async def scenario(world):
        got = await world.ask("/draft/1", Model="m", Token_Count=count)
        assert got.status == 400

    forward_world.run_scenario(scenario)


def test_other_instances_are_told_before_the_engine_is_asked():
    """Otherwise they choose the same engine while it is being asked."""

    async def scenario(world):
        prefill, decode = await world.engines()
        slots_told = []

        async def note_uses(endpoint, seen, writer):
            if seen.target.startswith("/sycamoreseam/hold-take"):
                beat = world.node._heartbeat()
                slots_told.append([use.profile.slots for use in beat.uses])
            await forward_endpoint.reply_engine(endpoint, seen, writer)

        decode.reply = note_uses
        assert (await draft(world)).status == 200
        assert slots_told == [[1]]
        assert len(prefill.seen) == 1

    forward_world.run_scenario(scenario)


def test_an_engine_without_room_is_not_counted_as_used():
    async def scenario(world):
        _, decode = await world.engines()

        async def full(endpoint, seen, writer):
            writer.write(
                forward_endpoint.answer(seen, b"", "503 Full", Not_Executed="1")
            )

        decode.reply = full
        assert (await draft(world)).status == 503
        assert world.node.room.uses() == ()

    forward_world.run_scenario(scenario)


def test_two_requests_with_the_same_id_are_both_answered():
    """A caller's fault must not upset the account of places."""

    async def scenario(world):
        _, decode = await world.engines()
        both = asyncio.Event()
        streaming = []

        async def stream_together(endpoint, seen, writer):
            if not seen.target.startswith("/sycamoreseam/"):
                streaming.append(seen)
                if len(streaming) == 2:
                    both.set()
                await both.wait()
            await forward_endpoint.reply_engine(endpoint, seen, writer)

        decode.reply = stream_together
        callers = [await world.connect() for _ in range(2)]
        answers = await asyncio.gather(
            *(caller.draft(request_id="same") for caller in callers)
        )
        assert [(got.status, got.complete) for got in answers] == [
            (200, True),
            (200, True),
        ]
        await world.until(lambda: world.node.room.uses() == ())
        assert world.logged("request_failed") == []
        for caller in callers:
            caller.close()

    forward_world.run_scenario(scenario)


def test_an_engine_that_fails_its_streams_is_logged_once():
    async def scenario(world):
        await world.engine("prefill-1", "prefill")
        liar = await world.endpoint(
            "liar", forward_world.ENGINES, fail_streams, "decode"
        )
        for _ in range(4):
            assert (await draft(world)).status == 500
        failing = world.logged("engine_failing")
        assert [each["endpoint"] for each in failing] == [f"{liar.id}/1000"]

    forward_world.run_scenario(scenario)


async def fail_streams(endpoint, seen, writer):
    if seen.target.startswith("/sycamoreseam/"):
        await forward_endpoint.reply_engine(endpoint, seen, writer)
    else:
        writer.write(
            forward_endpoint.answer(seen, b"", "500 Internal Server Error")
        )
