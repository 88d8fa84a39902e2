"""The callers' HTTP interface."""

import asyncio
from collections.abc import Callable
import math
from typing import Any

from tornado import httpserver
from tornado import iostream
from tornado import web

from seam_model import codec
from seam_model import errors
from seam_model import ids
from seam_model import keys
from seam_model import requests
from seam_node import node as node_module
from seam_node import task
from seam_node.filters import base
from seam_node.filters import identify
from seam_node.filters import parse
from seam_node.web import refusals

EVENT_STREAM = "text/event-stream"
JSON = "application/json"
SERVER_ERROR = 500
MAX_UNSENT_BYTES = 64 * 1024
BODY_DROP_FACTOR = 2
"""Bodies of up to so many times the limit are read before the refusal."""
BODY_MARGIN_S = 1.0
"""How long after its refusal a slow body is cut off."""
DRAIN_LIMIT_S = 5.0
"""How long a caller may leave that much unread."""


class LimitedServer(httpserver.HTTPServer):
    """Closes connections that are more than it may hold."""

    def initialize(
        self,
        *args: Any,
        max_connections: int,
        refused: Callable[[], None],
        **kwargs: Any,
    ) -> None:
        """Takes the limit, and who is told of each connection closed."""
        super().initialize(*args, **kwargs)
        self._max_connections = max_connections
        self._refused = refused

    def handle_stream(self, stream: iostream.IOStream, address: tuple) -> None:
        """Serves a new connection if there is room for it."""
        if len(self._connections) >= self._max_connections:
            self._refused()
            stream.close()
            return
        super().handle_stream(stream, address)


class HandlerSink(base.Sink):
    """Writes a stream of events to one caller's connection."""

    def __init__(self, handler: web.RequestHandler):
        """Takes the handler of the caller's request."""
        self._handler = handler
        self._gone = False
        self._callback: Callable[[], None] | None = None
        self.started = False

    async def write(self, data: bytes) -> bool:
        """Sends events; False once the caller is gone or reads too slowly."""
        if self._gone:
            return False
        if self.started:
            data = self._send_now(data)
            if not data:
                return not self._gone
        else:
            self.started = True
            self._handler.set_header("Content-Type", EVENT_STREAM)
            self._handler.set_header("Cache-Control", "no-store")
        return await self._queue(data)

    def _send_now(self, data: bytes) -> bytes:
        """Sends a chunk on a connection that has nothing queued.

        It passes tornado's buffers, which cost more than the send. Returns
        what is to be queued instead: all of it, or nothing.
        """
        conn = self._handler.request.connection
        stream = conn.stream
        if not conn._chunking_output or stream.closed() or stream.writing():
            return data
        framed = b"%x\r\n%b\r\n" % (len(data), data)
        try:
            sent = stream.socket.send(framed)
        except BlockingIOError:
            return data
        except OSError:
            self.closed()
            return b""
        if sent < len(framed):
            stream.write(framed[sent:])
        return b""

    async def _queue(self, data: bytes) -> bool:
        self._handler.write(data)
        try:
            flushed = self._handler.flush()
            if flushed.done() or not self._is_behind():
                return True
            await asyncio.wait_for(flushed, DRAIN_LIMIT_S)
        except (iostream.StreamClosedError, TimeoutError):
            self.closed()
            return False
        return True

    def gone(self) -> bool:
        """Tells whether the caller's connection has closed."""
        return self._gone

    def on_gone(self, callback: Callable[[], None]) -> None:
        """Sets what is called once when the caller's connection closes."""
        self._callback = callback
        if self._gone:
            callback()

    def closed(self) -> None:
        """Records that the caller's connection has closed."""
        if self._gone:
            return
        self._gone = True
        if self._callback is not None:
            self._callback()

    def _is_behind(self) -> bool:
        stream = self._handler.request.connection.stream
        return len(stream._write_buffer) > MAX_UNSENT_BYTES


class _Handler(web.RequestHandler):
    """Base of the callers' handlers."""

    def initialize(self, node: node_module.Node) -> None:
        """Takes the node that serves the requests."""
        self._node = node
        self.sink = HandlerSink(self)

    def on_connection_close(self) -> None:
        """Tells the sink that the caller has gone."""
        self.sink.closed()

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answers what tornado itself refuses or a handler raised."""
        raised = kwargs.get("exc_info", (None, None, None))[1]
        if status_code < SERVER_ERROR:
            error = errors.BadInput(
                "request", self.request.method or "", "see docs/CALLERS.md"
            )
            refusal = requests.Refusal(error, errors.Ran.NO)
        else:
            internal = errors.Internal(type(raised).__name__)
            refusal = requests.Refusal(internal, errors.Ran.UNKNOWN)
        self._refuse(refusal, status_code)

    def _refuse(
        self, refusal: requests.Refusal, status: int | None = None
    ) -> None:
        self.set_status(status or refusals.status_of(refusal.error))
        self.set_header("Content-Type", JSON)
        self.set_header("Retry-After", str(math.ceil(refusal.retry_after_s)))
        self.finish(refusals.body_of(refusal))


class _NotFoundHandler(_Handler):
    """Refuses every other path."""

    def prepare(self) -> None:
        """Raises tornado's own 404, which is answered as JSON."""
        raise web.HTTPError(404)


class _BodyHandler(_Handler):
    """Base of the handlers that take a body: not too large or too slow.

    A body that is somewhat too large is read and dropped before the refusal:
    closing a connection with unread bytes would destroy the answer.
    """

    def initialize(self, node: node_module.Node) -> None:
        """Takes the node and starts the time limit of the body."""
        super().initialize(node)
        limits = node.settings.limits
        self._limit = limits.max_body_bytes
        self._body = bytearray()
        self._fault: errors.SeamError | None = None
        self._timer = asyncio.get_running_loop().call_later(
            limits.body_timeout_s, self._too_slow, limits.body_timeout_s
        )

    def prepare(self) -> Any:
        """Refuses at once a body that is far too large to be read."""
        length = self.request.headers.get("Content-Length", "")
        if length.isdecimal() and int(length) > BODY_DROP_FACTOR * self._limit:
            self._fault = errors.BodyTooLarge(self._limit)
            return self._run()
        return None

    def data_received(self, chunk: bytes) -> None:
        """Keeps a part of the body, or drops all of one that is too large."""
        if self._fault is None:
            self._body += chunk
        if len(self._body) > self._limit:
            self._fault = errors.BodyTooLarge(self._limit)
            self._body.clear()

    def on_connection_close(self) -> None:
        """Forgets the body of a caller that has gone."""
        self._timer.cancel()
        self._body.clear()
        super().on_connection_close()

    def on_finish(self) -> None:
        """Ends the time limit, also of what tornado itself refused."""
        self._timer.cancel()

    async def post(self, *names: str) -> None:
        """Runs the request once its body is whole."""
        del names
        if not self._finished:
            await self._run()

    async def run(self, raw: base.RawRequest) -> None:
        """Runs the request through its filter chain and answers."""
        raise NotImplementedError

    async def _run(self) -> None:
        self._timer.cancel()
        headers = {
            name.lower(): value
            for name, value in self.request.headers.get_all()
        }
        body = bytes(self._body)
        self._body.clear()
        await self.run(
            base.RawRequest(
                body, headers, *self.path_args, receive_error=self._fault
            )
        )

    def _too_slow(self, limit_s: float) -> None:
        self._fault = errors.BodyTooSlow(limit_s)
        task.run_in_background(self._run())


class EntryHandler(_Handler):
    """`GET /v1/entry`: which instances to use."""

    def get(self) -> None:
        """Answers with instances, nearest first."""
        workspace = self.get_query_argument("workspace", "")
        self.set_header("Content-Type", JSON)
        self.finish(codec.to_json(self._node.entry_answer(workspace)))


@web.stream_request_body
class GenerateHandler(_BodyHandler):
    """`POST /v1/generate`: streams the answer of a model."""

    async def run(self, raw: base.RawRequest) -> None:
        """Runs the request through the filter chain."""
        ctx = await self._node.generate(raw, self.sink)
        if self.sink.gone():
            return
        if ctx.refusal is None:
            self.finish()
        elif self.sink.started:
            self.finish(refusals.event_of(ctx.refusal))
        else:
            self._refuse(ctx.refusal)


@web.stream_request_body
class ServiceHandler(_BodyHandler):
    """`POST /v1/services/{service}/{operation}`: calls a plain service."""

    async def run(self, raw: base.RawRequest) -> None:
        """Runs the call through the filter chain."""
        ctx = await self._node.call_service(raw, self.sink)
        if self.sink.gone():
            return
        if ctx.refusal is not None:
            self._refuse(ctx.refusal)
            return
        self.set_status(ctx.reply.status)
        self.set_header("Content-Type", ctx.reply.content_type)
        self.finish(ctx.reply.body)


class RequestHandler(_Handler):
    """`DELETE /v1/requests/{id}`: cancels a model request."""

    async def delete(self, request_id: str) -> None:
        """Answers 204 once the run was told to stop, else 404."""
        if not ids.is_uuid7(request_id):
            error: errors.SeamError = errors.BadInput(
                "id", request_id, "a UUIDv7 in lower-case text form"
            )
            self._refuse(requests.Refusal(error, errors.Ran.NO))
            return
        workspace = self._workspace()
        if workspace is None:
            unknown = errors.WorkspaceUnknown(self._named_workspace())
            self._refuse(requests.Refusal(unknown, errors.Ran.NO))
            return
        if await self._node.cancel(request_id, workspace):
            self.set_status(204)
            self.finish()
            return
        refusal = requests.Refusal(errors.RunUnknown(), errors.Ran.NO)
        self._refuse(refusal)

    def _named_workspace(self) -> str:
        return self.request.headers.get(parse.WORKSPACE_HEADER, "")

    def _workspace(self) -> str | None:
        """Returns the workspace that the token proves, or None."""
        workspace = self._named_workspace()
        header = self.request.headers.get(identify.TOKEN_HEADER, "")
        secrets = self._node.settings.workspaces.keys
        token = identify.bearer_token(header)
        proved = keys.verify_workspace_token(secrets, token, workspace)
        return workspace if proved else None


class HealthHandler(_Handler):
    """`GET /healthz` and `GET /readyz`."""

    def initialize(self, node: node_module.Node, ready: bool) -> None:
        """Takes the node and whether readiness is asked for."""
        super().initialize(node)
        self._ready = ready

    def get(self) -> None:
        """Answers 200, or 503 with the reason."""
        reason = self._node.not_ready() if self._ready else None
        if reason is not None:
            self._refuse(requests.Refusal(reason, errors.Ran.NO))
            return
        self.finish("ok\n")


def make_server(node: node_module.Node) -> httpserver.HTTPServer:
    """Returns the callers' server; the port is bound by the caller."""
    routes = [
        ("/v1/entry", EntryHandler, {"node": node}),
        ("/v1/generate", GenerateHandler, {"node": node}),
        (
            "/v1/services/([^/]{1,128})/([^/]{1,128})",
            ServiceHandler,
            {"node": node},
        ),
        ("/v1/requests/([^/]{1,64})", RequestHandler, {"node": node}),
        ("/healthz", HealthHandler, {"node": node, "ready": False}),
        ("/readyz", HealthHandler, {"node": node, "ready": True}),
    ]
    app = web.Application(
        routes,
        log_function=lambda handler: None,
        default_handler_class=_NotFoundHandler,
        default_handler_args={"node": node},
    )
    limits = node.settings.limits
    return LimitedServer(
        app,
        max_connections=limits.max_connections,
        refused=node.metrics.connection_refused,
        max_body_size=BODY_DROP_FACTOR * limits.max_body_bytes,
        max_buffer_size=2 * limits.max_body_bytes,
        idle_connection_timeout=limits.header_timeout_s,
        body_timeout=limits.body_timeout_s + BODY_MARGIN_S,
    )
