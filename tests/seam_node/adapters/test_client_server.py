"""Guards against clients that take the memory or the connections of others."""

import asyncio
import contextlib

from tornado import httputil
from tornado import netutil

from seam_node.adapters import client_server

ASK = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
OK = httputil.ResponseStartLine("HTTP/1.1", 200, "OK")
READ_AHEAD_BYTES = 4096


class Served:
    """A server that answers when it is told to."""

    def __init__(self, max_connections=8):
        self.waiting = []
        self.closed = []
        self.left = 0
        self.writers = []
        self.server = client_server.ClientServer(
            self._serve,
            limits=client_server.ConnectionLimits(
                max_connections, READ_AHEAD_BYTES, 60
            ),
            on_closed=lambda reason, count: self.closed.append(reason),
        )
        sockets = netutil.bind_sockets(0, "127.0.0.1")
        self.port = sockets[0].getsockname()[1]
        self.server.add_sockets(sockets)

    def _serve(self, req):
        self.waiting.append(req.connection)
        req.connection.set_close_callback(self._on_left)

    def _on_left(self):
        self.left += 1

    async def connect(self, data=b""):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(data)
        # A stream closes its connection when it is collected.
        self.writers.append(writer)
        return reader, writer

    async def until(self, condition):
        async with asyncio.timeout(5):
            while not condition():
                await asyncio.sleep(0.01)


def answer(conn):
    conn.write_headers(OK, httputil.HTTPHeaders({"Content-Length": "0"}))
    conn.finish()


def run(scenario, **options):
    async def main():
        served = Served(**options)
        try:
            await scenario(served)
        finally:
            served.server.stop()
            await served.server.close_all_connections()

    asyncio.run(main())


def test_little_is_read_ahead_of_a_request_in_progress():
    async def scenario(served):
        _, writer = await served.connect(ASK + b"a" * 1_000_000)
        await served.until(lambda: served.waiting)
        await asyncio.sleep(0.1)
        stream = served.waiting[0].stream
        assert stream.pipelined
        assert len(stream._read_buffer) <= READ_AHEAD_BYTES
        writer.close()

    run(scenario)


def test_a_client_that_leaves_is_noticed_while_its_request_is_in_progress():
    async def scenario(served):
        _, writer = await served.connect(ASK)
        await served.until(lambda: served.waiting)
        writer.close()
        await served.until(lambda: served.left == 1)

    run(scenario)


def test_a_request_in_progress_is_kept_and_others_make_room():
    async def scenario(served):
        busy, _ = await served.connect(ASK)
        await served.until(lambda: len(served.waiting) == 1)
        pipelining, _ = await served.connect(ASK * 200)
        await served.until(lambda: len(served.waiting) == 2)
        idle, _ = await served.connect()
        await served.until(lambda: served.server.connection_count == 3)
        for each in (pipelining, idle):
            await served.connect(ASK)
            with contextlib.suppress(ConnectionError):
                assert await each.read() == b""
        await served.until(lambda: len(served.waiting) == 4)
        new, _ = await served.connect(ASK)
        with contextlib.suppress(ConnectionError):
            assert await new.read() == b""
        assert served.closed == ["pipelined", "idle", "refused"]
        assert not busy.at_eof()

    run(scenario, max_connections=3)


def test_connection_on_which_a_request_has_arrived_is_not_closed_as_idle():
    """Guards against a close that resets a request the kernel has received."""

    async def scenario(served):
        await served.connect()
        reader, asking = await served.connect()
        await served.until(lambda: served.server.connection_count == 2)
        await asyncio.sleep(0.05)
        asking.write(ASK)
        assert served.server.close_idle() == 1
        await served.until(lambda: served.waiting)
        assert served.server.close_idle() == 1
        answer(served.waiting[0])
        assert await reader.readline() == b"HTTP/1.1 200 OK\r\n"
        await asyncio.sleep(0.05)
        assert served.server.close_idle() == 0

    run(scenario)


def test_connections_are_closed_in_one_step_after_the_last_answers():
    """Guards against requests that are taken from one that is to be closed."""

    async def scenario(served):
        asked = [await served.connect(ASK) for _ in range(3)]
        await served.until(lambda: len(served.waiting) == 3)
        served.server.stop()
        closing = asyncio.ensure_future(served.server.close_connections(0.2))
        await asyncio.sleep(0)
        answer(served.waiting[0])
        assert await asked[0][0].readline() == b"HTTP/1.1 200 OK\r\n"
        assert await closing == 2
        assert served.server.connection_count == 0

    run(scenario)
