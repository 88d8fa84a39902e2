"""Bodies of requests, which may be large.

Guards against an instance that exceeds its memory, as it holds bodies more
often or longer than it has to.
"""

import asyncio
import gc

import pytest

from standins import forward_endpoint
from standins import forward_world

SIZE = 3_000_000


def held_copies():
    """Returns how many objects hold a large body."""
    gc.collect()
    return len(
        {
            id(each)
            for obj in gc.get_objects()
            for each in gc.get_referents(obj)
            if isinstance(each, bytes | bytearray) and len(each) >= SIZE
        }
    )


class Slow:
    """Answers runs only once it is allowed to."""

    def __init__(self, is_concerned):
        self._is_concerned = is_concerned
        self.sizes = []
        self.may_go_on = asyncio.Event()

    async def __call__(self, endpoint, received, writer):
        self.sizes.append(len(received.body))
        received.body = b""
        endpoint.received[-1].body = b""
        if not self._is_concerned(received):
            await forward_endpoint.reply_engine(endpoint, received, writer)
            return
        endpoint.ran.append(received)
        head = forward_endpoint.STREAM_HEAD % received.request_id.encode()
        writer.write(head + forward_endpoint.chunk(forward_endpoint.event(1)))
        await writer.drain()
        await self.may_go_on.wait()
        for number in range(2, forward_endpoint.EVENTS + 1):
            writer.write(forward_endpoint.chunk(forward_endpoint.event(number)))
        writer.write(b"0\r\n\r\n")


def is_run(received):
    return received.target.startswith(("/draft", "/long"))


async def send_large(world, path):
    caller = await world.connect()
    caller.send(path, body=b"x" * SIZE, Model="m", Token_Count="100,50")
    await caller.writer.drain()
    return caller


@pytest.mark.parametrize(("path", "copies"), [("/draft/1", 0), ("/long/1", 1)])
def test_body_is_held_no_longer_than_it_may_be_sent_again(path, copies):
    async def scenario(world):
        prefill, decode = await world.engines()
        decode.reply = Slow(is_run)
        prefill.reply = Slow(lambda received: False)
        caller = await send_large(world, path)
        await world.until(lambda: world.node.fleet.places.streams())
        await world.until(lambda: decode.ran)
        await caller.reader.readuntil(b"data: t1")
        assert held_copies() == copies
        decode.reply.may_go_on.set()
        await caller.reader.readuntil(b"0\r\n\r\n")
        assert prefill.reply.sizes == [SIZE]
        assert max(decode.reply.sizes) == SIZE

    forward_world.run_scenario(scenario)


def test_body_is_held_once_while_its_request_waits():
    async def scenario(world):
        prefill, _ = await world.engines()
        waiting = asyncio.Event()

        async def wait(endpoint, received, writer):
            received.body = b""
            endpoint.received[-1].body = b""
            waiting.set()
            await asyncio.sleep(0.5)
            await forward_endpoint.reply_engine(endpoint, received, writer)

        prefill.reply = wait
        caller = await send_large(world, "/draft/1")
        await waiting.wait()
        await asyncio.sleep(0.1)
        assert held_copies() == 1
        response = await caller.read()
        assert (response.status, response.complete) == (200, True)

    forward_world.run_scenario(scenario)
