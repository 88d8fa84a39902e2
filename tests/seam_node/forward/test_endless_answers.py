"""Endpoints that send bytes without end.

Such an answer must end with a failure, in bounded time and memory, and its
connection must be closed.
"""

import asyncio
import itertools

import pytest

from standins import forward_endpoint
from standins import forward_world

DEADLINE_MS = 1500
MAX_ANSWER_S = 2.5
MAX_SENT_BYTES = 24 * 1024 * 1024
"""Bytes that an endpoint gets rid of, those in socket buffers included."""
BLOCK = b"x" * 65536


class Endless:
    """Sends a beginning and then the same bytes until it is cut off."""

    def __init__(self, beginning, repeated):
        self.beginning = beginning
        self.repeated = repeated
        self.sent = 0
        self.cut_off = asyncio.Event()

    async def reply(self, endpoint, received, writer):
        if received.target.startswith("/sycamoreseam/") or received.prefills:
            await forward_endpoint.reply_engine(endpoint, received, writer)
            return
        writer.write(self.beginning(received))
        try:
            while True:
                writer.write(self.repeated)
                self.sent += len(self.repeated)
                await writer.drain()
                await asyncio.sleep(0)
        except ConnectionError:
            self.cut_off.set()
            raise


def nothing(received):
    return b""


def start_line(received):
    return b"HTTP/1.1 200 OK\r\n"


def signed_head(*fields):
    def make(received):
        head = forward_endpoint.answer(received, b"").partition(b"\r\n\r\n")[0]
        lines = [
            line
            for line in head.split(b"\r\n")
            if not line.startswith(b"Content-Length")
        ]
        return b"\r\n".join([*lines, *fields]) + b"\r\n\r\n"

    return make


HEADS = {
    "no_newline": (nothing, BLOCK),
    "header_lines": (start_line, b"X-More: yes\r\n" * 1000),
    "header_line": (lambda received: b"HTTP/1.1 200 OK\r\nX: ", BLOCK),
    "interim_answers": (nothing, b"HTTP/1.1 100 Continue\r\n\r\n" * 100),
}
BODIES = {
    "no_length": (signed_head(), BLOCK),
    "chunks": (
        signed_head(b"Transfer-Encoding: chunked"),
        forward_endpoint.chunk(BLOCK),
    ),
    "chunk_size": (signed_head(b"Transfer-Encoding: chunked"), b"0" * 65536),
    "long_length": (signed_head(b"Content-Length: 999999999999"), BLOCK),
}


async def expect_failure(world, endless, path, **options):
    """Sends a request; checks that it fails and that the endpoint is cut."""
    started_at = asyncio.get_running_loop().time()
    caller = await world.connect()
    caller.send(path, deadline_ms=DEADLINE_MS, **options)
    head = await asyncio.wait_for(caller.reader.readline(), MAX_ANSWER_S)
    caller.close()
    assert asyncio.get_running_loop().time() - started_at <= MAX_ANSWER_S
    async with asyncio.timeout(MAX_ANSWER_S):
        await endless.cut_off.wait()
    assert endless.sent <= MAX_SENT_BYTES
    return head


@pytest.mark.parametrize("name", [*HEADS, *BODIES])
def test_a_plain_answer_without_end_fails(name):
    async def scenario(world):
        endless = Endless(*{**HEADS, **BODIES}[name])
        await world.endpoint("e-1", reply=endless.reply)
        status = await expect_failure(world, endless, "/write/x")
        assert status.startswith(b"HTTP/1.1 50")
        # The instance serves on.
        await world.endpoint("e-2")
        answers = [
            (await world.request("/read/x", deadline_ms=DEADLINE_MS)).status
            for _ in range(3)
        ]
        assert 200 in answers

    forward_world.run_scenario(scenario)


@pytest.mark.parametrize("name", [*HEADS, "chunk_size"])
def test_a_stream_without_an_answer_fails(name):
    async def scenario(world):
        endless = Endless(*{**HEADS, **BODIES}[name])
        await world.engine("prefill-1", "prefill")
        await world.endpoint(
            "decode-1", forward_world.ENGINES, endless.reply, "decode"
        )
        status = await expect_failure(
            world, endless, "/draft/1", Model="m", Token_Count="100,50"
        )
        assert status.startswith((b"HTTP/1.1 50", b"HTTP/1.1 200"))

    forward_world.run_scenario(scenario)


@pytest.mark.parametrize("path", ["/draft/1", "/long/1"])
def test_an_event_without_end_is_not_collected(path):
    """An event that never ends cannot be passed on by a resumable route."""

    async def scenario(world):
        endless = Endless(*BODIES["chunks"])
        await world.engine("prefill-1", "prefill")
        await world.endpoint(
            "decode-1", forward_world.ENGINES, endless.reply, "decode"
        )
        caller = await world.connect()
        caller.send(
            path, deadline_ms=DEADLINE_MS, Model="m", Token_Count="100,50"
        )
        # A caller that does not read must not make the instance collect.
        async with asyncio.timeout(2 * MAX_ANSWER_S):
            await endless.cut_off.wait()
        assert endless.sent <= MAX_SENT_BYTES
        caller.close()

    forward_world.run_scenario(scenario)


def test_a_refusal_without_end_is_not_collected():
    async def scenario(world):
        def beginning(received):
            return (
                b"HTTP/1.1 500 Internal Server Error\r\nRequest-Id: "
                + received.request_id.encode()
                + b"\r\nServer-Seal: seal\r\n"
                + b"Transfer-Encoding: chunked\r\n\r\n"
            )

        endless = Endless(beginning, forward_endpoint.chunk(BLOCK))
        await world.engine("prefill-1", "prefill")
        await world.endpoint(
            "decode-1", forward_world.ENGINES, endless.reply, "decode"
        )
        status = await expect_failure(
            world, endless, "/draft/1", Model="m", Token_Count="100,50"
        )
        assert status.startswith(b"HTTP/1.1 50")

    forward_world.run_scenario(scenario)


def test_numbers_of_answers_to_others_are_bounded():
    async def scenario(world):
        counter = itertools.count()

        async def reply(endpoint, received, writer):
            try:
                while True:
                    writer.write(
                        forward_endpoint.answer(
                            received, Request_Id=f"other-{next(counter)}"
                        )
                    )
                    await writer.drain()
                    await asyncio.sleep(0)
            except ConnectionError:
                return

        await world.endpoint("e-1", reply=reply)
        response = await world.request("/write/x", deadline_ms=DEADLINE_MS)
        assert response.status == 502

    forward_world.run_scenario(scenario)
