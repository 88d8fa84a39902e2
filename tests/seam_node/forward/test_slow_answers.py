"""Slow but sound answers, and stalled ones that send a byte now and then."""

import asyncio

import pytest

from standins import forward_endpoint
from standins import forward_world

DEADLINE_MS = 1500
MAX_END_S = 2.5
SLOW_GAP_S = 0.5
DRIP_INTERVAL_S = 0.1


def slow_events(gap_s):
    """Returns a reply whose events come with pauses."""

    async def reply(endpoint, received, writer):
        if received.target.startswith("/sycamoreseam/") or received.prefills:
            await forward_endpoint.reply_engine(endpoint, received, writer)
            return
        endpoint.ran.append(received)
        writer.write(
            forward_endpoint.STREAM_HEAD % received.request_id.encode()
        )
        for number in range(1, forward_endpoint.EVENTS + 1):
            await asyncio.sleep(gap_s)
            event = forward_endpoint.event(number)
            writer.write(forward_endpoint.chunk(event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")

    return reply


class Drip:
    """Sends single bytes until it is cut off."""

    def __init__(self, make_beginning, byte):
        self.make_beginning = make_beginning
        self.byte = byte
        self.cut_off = asyncio.Event()

    async def reply(self, endpoint, received, writer):
        if received.target.startswith("/sycamoreseam/") or received.prefills:
            await forward_endpoint.reply_engine(endpoint, received, writer)
            return
        writer.write(self.make_beginning(received))
        try:
            while True:
                writer.write(self.byte)
                await writer.drain()
                await asyncio.sleep(DRIP_INTERVAL_S)
        except ConnectionError:
            self.cut_off.set()
            raise


def stream_head(received):
    return forward_endpoint.STREAM_HEAD % received.request_id.encode()


def long_body(received):
    whole = forward_endpoint.answer(received, b"x" * 10_000)
    return whole.partition(b"\r\n\r\n")[0] + b"\r\n\r\n"


def part_of_a_head(received):
    return b"HTTP/1.1 200 OK\r\nX-Slow: "


@pytest.mark.parametrize("path", ["/draft/1", "/long/1"])
def test_a_slow_but_sound_stream_is_not_cut(path):
    async def scenario(world):
        await world.engine("prefill-1", "prefill")
        await world.endpoint(
            "decode-1", forward_world.ENGINES, slow_events(SLOW_GAP_S), "decode"
        )
        caller = await world.connect()
        response = await caller.request_model(path)
        assert (response.status, response.complete) == (200, True)
        assert response.body.count(b"\n\n") == forward_endpoint.EVENTS
        caller.close()

    forward_world.run_scenario(scenario)


@pytest.mark.parametrize("path", ["/draft/1", "/long/1"])
@pytest.mark.parametrize("byte", [b"1\r\n:\r\n", b"1\r\nx\r\n"])
def test_a_stalled_stream_that_drips_ends_at_its_deadline(path, byte):
    async def scenario(world):
        drip = Drip(stream_head, byte)
        await world.engine("prefill-1", "prefill")
        await world.endpoint(
            "decode-1", forward_world.ENGINES, drip.reply, "decode"
        )
        caller = await world.connect()
        caller.send(
            path, deadline_ms=DEADLINE_MS, Model="m", Token_Count="100,50"
        )
        async with asyncio.timeout(MAX_END_S):
            response = await caller.read()
            await drip.cut_off.wait()
        assert not response.complete
        caller.close()

    forward_world.run_scenario(scenario)


@pytest.mark.parametrize("make_beginning", [long_body, part_of_a_head])
@pytest.mark.parametrize("path", ["/write/x", "/read/x"])
def test_a_plain_answer_that_drips_ends_at_its_deadline(path, make_beginning):
    async def scenario(world):
        drip = Drip(make_beginning, b"x")
        await world.endpoint("e-1", reply=drip.reply)
        caller = await world.connect()
        caller.send(path, deadline_ms=DEADLINE_MS)
        async with asyncio.timeout(MAX_END_S):
            response = await caller.read()
            await drip.cut_off.wait()
        assert response.status in (502, 504)
        caller.close()

    forward_world.run_scenario(scenario)
