"""Answers that break off halfway, in each framing."""

import asyncio
import socket
import struct

import pytest

from standins import forward_endpoint
from standins import forward_world

BODY = b"x" * 4000


def reset(writer):
    """Ends a connection by a reset."""
    sock = writer.get_extra_info("socket")
    linger = struct.pack("ii", 1, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


def close(writer):
    """Ends a connection in order."""
    writer.close()


def head(received, *fields):
    whole = forward_endpoint.answer(received, b"")
    lines = [
        line
        for line in whole.partition(b"\r\n\r\n")[0].split(b"\r\n")
        if not line.startswith(b"Content-Length")
    ]
    return b"\r\n".join([*lines, *fields]) + b"\r\n\r\n"


def with_length(received):
    return head(received, b"Content-Length: 8000") + BODY


def in_chunks(received):
    chunked = head(received, b"Transfer-Encoding: chunked")
    return chunked + forward_endpoint.chunk(BODY)


def in_part_of_a_chunk(received):
    chunked = head(received, b"Transfer-Encoding: chunked")
    return chunked + forward_endpoint.chunk(BODY)[:-1000]


def without_length(received):
    return head(received) + BODY


def part_of_a_head(received):
    return head(received)[:-10]


CASES = [
    (with_length, close),
    (with_length, reset),
    (in_chunks, close),
    (in_chunks, reset),
    (in_part_of_a_chunk, close),
    (in_part_of_a_chunk, reset),
    (without_length, reset),
    (part_of_a_head, close),
    (part_of_a_head, reset),
]


def breaks_off(make_answer, end):
    async def reply(endpoint, received, writer):
        if received.target.startswith("/sycamoreseam/") or received.prefills:
            await forward_endpoint.reply_engine(endpoint, received, writer)
            return
        endpoint.ran.append(received)
        writer.write(make_answer(received))
        await writer.drain()
        # The bytes arrive before the end of the connection.
        await asyncio.sleep(0.05)
        end(writer)

    return reply


@pytest.mark.parametrize(("make_answer", "end"), CASES)
def test_a_plain_answer_that_breaks_off_is_no_success(make_answer, end):
    async def scenario(world):
        reply = breaks_off(make_answer, end)
        endpoint = await world.endpoint("e-1", reply=reply)
        response = await world.request("/write/x")
        assert response.status == 502
        assert len(endpoint.ran) == 1

    forward_world.run_scenario(scenario)


@pytest.mark.parametrize(("make_answer", "end"), CASES)
@pytest.mark.parametrize("path", ["/draft/1", "/long/1"])
def test_a_stream_that_breaks_off_does_not_look_complete(
    path, make_answer, end
):
    async def scenario(world):
        await world.engine("prefill-1", "prefill")
        await world.endpoint(
            "decode-1",
            forward_world.ENGINES,
            breaks_off(make_answer, end),
            "decode",
        )
        caller = await world.connect()
        caller.send(path, Model="m", Token_Count="100,50")
        try:
            response = await caller.read()
            assert response.status == 502 or not response.complete
        except asyncio.IncompleteReadError:
            # The connection was closed, which promises nothing.
            pass
        caller.close()

    forward_world.run_scenario(scenario)
