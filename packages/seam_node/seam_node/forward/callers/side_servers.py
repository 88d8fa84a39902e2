"""HTTP servers for readiness, entry queries and metrics."""

from collections.abc import Callable
import http
import socket

import attrs
from tornado import httputil

from seam_node.adapters import client_server

MAX_HEADER_BYTES = 16 * 1024


@attrs.frozen
class SideAnswer:
    """A complete answer of a side server."""

    status: http.HTTPStatus
    body: bytes = b""
    content_type: str = "text/plain"


Handler = Callable[[httputil.HTTPServerRequest], SideAnswer]


class SideServer:
    """Serves answers that are computed synchronously."""

    def __init__(
        self,
        handler: Handler,
        limits: client_server.ConnectionLimits,
        max_body_bytes: int,
        on_closed: client_server.OnClosed,
    ):
        """Creates a server that does not listen yet.

        Args:
            handler: answers each request.
            limits: limits on connections.
            max_body_bytes: size of the largest body that is read; the handler
                does not get it.
            on_closed: called when connections were closed by a limit.
        """
        self._handler = handler
        self._server = client_server.ClientServer(
            self._serve,
            limits=limits,
            on_closed=on_closed,
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=max_body_bytes,
        )

    def start(self, sockets: list[socket.socket]) -> None:
        """Accepts connections on bound sockets."""
        self._server.add_sockets(sockets)

    async def close(self) -> None:
        """Closes listening sockets and connections."""
        self._server.stop()
        await self._server.close_connections(0.0)

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
