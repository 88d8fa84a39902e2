"""HTTP servers for readiness, entry queries and metrics."""

from collections.abc import Callable
import http
import socket

import attrs
from tornado import httpserver
from tornado import httputil


@attrs.frozen
class SideAnswer:
    """A complete answer of a side server."""

    status: http.HTTPStatus
    body: bytes = b""
    content_type: str = "text/plain"


Handler = Callable[[httputil.HTTPServerRequest], SideAnswer]


class SideServer:
    """Serves answers that are computed synchronously."""

    def __init__(self, handler: Handler):
        """Takes the function that answers each request."""
        self._handler = handler
        self._server = httpserver.HTTPServer(self._serve)

    def start(self, sockets: list[socket.socket]) -> None:
        """Accepts connections on bound sockets."""
        self._server.add_sockets(sockets)

    async def close(self) -> None:
        """Closes listening sockets and connections."""
        self._server.stop()
        await self._server.close_all_connections()

    def _serve(self, req: httputil.HTTPServerRequest) -> None:
        answer = self._handler(req)
        headers = httputil.HTTPHeaders(
            {
                "Content-Type": answer.content_type,
                "Content-Length": str(len(answer.body)),
            }
        )
        start = httputil.ResponseStartLine(
            "HTTP/1.1", answer.status.value, answer.status.phrase
        )
        req.connection.write_headers(start, headers, answer.body or None)
        req.connection.finish()
