"""Tests of the endpoint that the forwarding instance calls."""

import asyncio

from standins import forward_endpoint

LARGE_BYTES = 4_000_000
SETTLE_S = 0.2
"""Time after which the kernel takes no more."""


async def taken_bytes(port):
    """Returns how much the kernel takes for a peer that reads little."""
    _, writer = await asyncio.open_connection("127.0.0.1", port)
    head = f"POST / HTTP/1.1\r\nContent-Length: {LARGE_BYTES}\r\n\r\n"
    writer.write(head.encode() + b"u" * LARGE_BYTES)
    left = -1
    while left != writer.transport.get_write_buffer_size():
        left = writer.transport.get_write_buffer_size()
        await asyncio.sleep(SETTLE_S)
    writer.transport.abort()
    return LARGE_BYTES - left


def test_kernel_takes_little_of_a_body_that_is_not_read():
    """Guards against tests whose verdict depends on the kernel's buffers."""

    async def reply(endpoint, received, writer):
        await asyncio.sleep(10 * SETTLE_S)

    async def run():
        endpoint = forward_endpoint.Endpoint("e-1", reply, small_buffers=True)
        endpoint.answers_early = lambda _: True
        await endpoint.start()
        taken = await taken_bytes(endpoint.port)
        await endpoint.close()
        return taken

    assert asyncio.run(run()) < LARGE_BYTES / 2
