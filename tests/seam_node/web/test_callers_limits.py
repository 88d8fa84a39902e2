"""Connections beyond the limit are closed; earlier ones are served."""

import asyncio

from tornado import netutil
from tornado import web

from seam_node.web import callers

ASK = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"


class Hello(web.RequestHandler):
    def get(self):
        self.finish("hello")


def test_a_connection_beyond_the_limit_is_closed():
    async def main():
        refused = []
        server = callers.LimitedServer(
            web.Application([("/", Hello)], log_function=lambda handler: None),
            max_connections=2,
            on_refused=lambda: refused.append(1),
        )
        sockets = netutil.bind_sockets(0, "127.0.0.1")
        port = sockets[0].getsockname()[1]
        server.add_sockets(sockets)
        opened = []
        for _ in range(2):
            opened.append(await asyncio.open_connection("127.0.0.1", port))
            opened[-1][1].write(ASK)
            await opened[-1][0].readuntil(b"hello")
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        assert await reader.read() == b""
        writer.close()
        opened[0][1].write(ASK)
        await opened[0][0].readuntil(b"hello")
        for _, each in opened:
            each.close()
        server.stop()
        await server.close_all_connections()
        assert refused == [1]

    asyncio.run(main())
