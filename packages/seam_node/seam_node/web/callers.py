"""HTTP server for callers."""

import asyncio
from collections.abc import Callable
import math
from typing import Any

from tornado import iostream
from tornado import web

from seam_model import codec
from seam_model import errors
from seam_model import ids
from seam_model import keys
from seam_model import requests
from seam_node import node as node_module
from seam_node import task
from seam_node.adapters import client_server
from seam_node.filters import base
from seam_node.filters import identify
from seam_node.filters import parse
from seam_node.web import body_memory
from seam_node.web import listener_limits
from seam_node.web import refusals

EVENT_STREAM = "text/event-stream"
JSON = "application/json"
SERVER_ERROR = 500
MAX_UNSENT_BYTES = 64 * 1024
"""Buffered bytes above which a write waits for the caller to read."""
BODY_DISCARD_FACTOR = 2
"""Multiple of the body limit up to which a body is read before a refusal."""
BODY_MARGIN_S = 1.0
"""Time after the refusal of a slow body until the connection is closed."""
UNSENT_TIMEOUT_S = 5.0
"""Longest time that more than `MAX_UNSENT_BYTES` may stay unsent."""
BODY_MEMORY = "body_memory"
"""Key of the `BodyMemory` in the application's settings."""


class LimitedServer(client_server.ClientServer):
    """HTTP server that closes connections in excess of a limit.

    Connections that have pipelined are closed before a new one is refused.
    """

    def initialize(
        self,
        *args: Any,
        max_connections: int,
        on_refused: Callable[[], None],
        **kwargs: Any,
    ) -> None:
        """Sets the limit and the callback for each refused connection."""
        super().initialize(
            *args,
            limits=listener_limits.of_listener(
                max_connections, keeps_idle=True
            ),
            on_closed=self._count_closed,
            **kwargs,
        )
        self._on_refused = on_refused

    def _count_closed(self, reason: str, count: int) -> None:
        if reason == client_server.UNREAD:
            return
        for _ in range(count):
            self._on_refused()


class HandlerSink(base.Sink):
    """Writes a stream of events to one caller's connection."""

    def __init__(self, handler: web.RequestHandler):
        """Sets the handler of the caller's request."""
        self._handler = handler
        self._disconnected = False
        self._disconnect_callback: Callable[[], None] | None = None
        self.started = False

    async def write(self, data: bytes) -> bool:
        """Sends events.

        Returns False once the connection has closed or the caller reads too
        slowly.
        """
        if self._disconnected:
            return False
        if self.started:
            data = self._send_now(data)
            if not data:
                return not self._disconnected
        else:
            self.started = True
            self._handler.set_header("Content-Type", EVENT_STREAM)
            self._handler.set_header("Cache-Control", "no-store")
        return await self._queue(data)

    def _send_now(self, data: bytes) -> bytes:
        """Sends a chunk directly if the connection has nothing queued.

        Bypasses tornado's buffers, which cost more than the send itself.
        Returns the data that must be queued instead: all of it or none.
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
            self.mark_closed()
            return b""
        if sent < len(framed):
            stream.write(framed[sent:])
        return b""

    async def _queue(self, data: bytes) -> bool:
        self._handler.write(data)
        try:
            flushed = self._handler.flush()
            if flushed.done() or not self._has_backlog():
                return True
            await asyncio.wait_for(flushed, UNSENT_TIMEOUT_S)
        except (iostream.StreamClosedError, TimeoutError):
            self.mark_closed()
            return False
        return True

    def is_disconnected(self) -> bool:
        """Returns whether the caller's connection has closed."""
        return self._disconnected

    def on_disconnect(self, callback: Callable[[], None]) -> None:
        """Sets a callback that is called once when the connection closes."""
        self._disconnect_callback = callback
        if self._disconnected:
            callback()

    def mark_closed(self) -> None:
        """Records that the caller's connection has closed."""
        if self._disconnected:
            return
        self._disconnected = True
        if self._disconnect_callback is not None:
            self._disconnect_callback()

    def _has_backlog(self) -> bool:
        stream = self._handler.request.connection.stream
        return len(stream._write_buffer) > MAX_UNSENT_BYTES


class _Handler(web.RequestHandler):
    """Base of the callers' handlers."""

    def initialize(self, node: node_module.Node) -> None:
        """Sets the node that serves the request."""
        self._node = node
        self.sink = HandlerSink(self)

    def on_connection_close(self) -> None:
        """Marks the sink as closed."""
        self.sink.mark_closed()

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answers a request that tornado rejected or a handler raised on."""
        exc = kwargs.get("exc_info", (None, None, None))[1]
        if status_code < SERVER_ERROR:
            error = errors.BadInput(
                "request", self.request.method or "", "see docs/CALLERS.md"
            )
            refusal = requests.Refusal(error, errors.Ran.NO)
        else:
            internal = errors.Internal(type(exc).__name__)
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
    """Answers requests for unknown paths."""

    def prepare(self) -> None:
        """Raises tornado's 404, which `write_error` answers as JSON."""
        raise web.HTTPError(404)


class _BodyHandler(_Handler):
    """Base of the handlers with a body; limits its size and duration.

    A body of up to `BODY_DISCARD_FACTOR` times the limit is read and discarded
    before the refusal: closing a connection with unread bytes resets it, which
    destroys the answer.
    """

    def initialize(self, node: node_module.Node) -> None:
        """Sets the node and starts the timeout of the body."""
        super().initialize(node)
        limits = node.settings.limits
        self._limit = limits.max_body_bytes
        self._body = bytearray()
        self._hold = body_memory.BodyHold(self.settings[BODY_MEMORY])
        self._is_running = False
        """Whether the request holds the body, also once its caller has left."""
        self._fault: errors.SeamError | None = None
        self._timer = asyncio.get_running_loop().call_later(
            limits.body_timeout_s, self._on_body_timeout, limits.body_timeout_s
        )

    def prepare(self) -> Any:
        """Refuses a body at once that is too large to be discarded.

        One without room in memory is discarded as it comes.
        """
        text = self.request.headers.get("Content-Length", "")
        size = int(text) if text.isdecimal() else 0
        if size > BODY_DISCARD_FACTOR * self._limit:
            self._fault = errors.BodyTooLarge(self._limit)
            return self._run_received()
        if size <= self._limit and not self._hold.expect(size):
            self._fault = errors.MemorySpent()
        return None

    def data_received(self, chunk: bytes) -> None:
        """Buffers a chunk; discards the body once it exceeds the limit."""
        if self._fault is None:
            self._body += chunk
        if len(self._body) > self._limit:
            self._discard(errors.BodyTooLarge(self._limit))
        elif self._fault is None and not self._hold.note_arrived(len(chunk)):
            self._discard(errors.MemorySpent())

    def on_connection_close(self) -> None:
        """Discards the body after the connection has closed."""
        self._timer.cancel()
        self._body.clear()
        if not self._is_running:
            self._hold.release()
        super().on_connection_close()

    def on_finish(self) -> None:
        """Stops the timeout, also of a request that tornado rejected."""
        self._timer.cancel()
        self._hold.release()

    async def post(self, *names: str) -> None:
        """Runs the request after its body was received."""
        del names
        if not self._finished:
            await self._run_received()

    async def run(self, raw: base.RawRequest) -> None:
        """Runs the request through its filter chain and answers."""
        raise NotImplementedError

    def _discard(self, fault: errors.SeamError) -> None:
        self._fault = fault
        self._body.clear()
        self._hold.release()

    async def _run_received(self) -> None:
        self._timer.cancel()
        headers = {
            name.lower(): value
            for name, value in self.request.headers.get_all()
        }
        body = bytes(self._body)
        self._body.clear()
        raw = base.RawRequest(
            body, headers, *self.path_args, receive_error=self._fault
        )
        self._is_running = True
        try:
            await self.run(raw)
        finally:
            self._hold.release()

    def _on_body_timeout(self, limit_s: float) -> None:
        self._fault = errors.BodyTooSlow(limit_s)
        task.run_in_background(self._run_received())


class EntryHandler(_Handler):
    """`GET /v1/entry`: returns the instances to use."""

    def get(self) -> None:
        """Answers with instances ordered from the nearest."""
        workspace = self.get_query_argument("workspace", "")
        self.set_header("Content-Type", JSON)
        self.finish(codec.to_json(self._node.entry_answer(workspace)))


@web.stream_request_body
class GenerateHandler(_BodyHandler):
    """`POST /v1/generate`: streams the answer of a model."""

    async def run(self, raw: base.RawRequest) -> None:
        """Runs the request through the filter chain."""
        ctx = await self._node.generate(raw, self.sink)
        if self.sink.is_disconnected():
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
        if self.sink.is_disconnected():
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
        """Answers 204 after requesting cancellation, 404 for an unknown run."""
        if not ids.is_uuid7(request_id):
            error: errors.SeamError = errors.BadInput(
                "id", request_id, "a UUIDv7 in lower-case text form"
            )
            self._refuse(requests.Refusal(error, errors.Ran.NO))
            return
        workspace = self._authenticated_workspace()
        if workspace is None:
            unknown = errors.WorkspaceUnknown(self._workspace_header())
            self._refuse(requests.Refusal(unknown, errors.Ran.NO))
            return
        if await self._node.cancel(request_id, workspace):
            self.set_status(204)
            self.finish()
            return
        refusal = requests.Refusal(errors.RunUnknown(), errors.Ran.NO)
        self._refuse(refusal)

    def _workspace_header(self) -> str:
        return self.request.headers.get(parse.WORKSPACE_HEADER, "")

    def _authenticated_workspace(self) -> str | None:
        """Returns the workspace if the token is valid for it, or None."""
        workspace = self._workspace_header()
        header = self.request.headers.get(identify.TOKEN_HEADER, "")
        secrets = self._node.settings.workspaces.keys
        token = identify.bearer_token(header)
        valid = keys.verify_workspace_token(secrets, token, workspace)
        return workspace if valid else None


class HealthHandler(_Handler):
    """`GET /healthz` and `GET /readyz`."""

    def initialize(self, node: node_module.Node, ready: bool) -> None:
        """Sets the node and whether to check readiness."""
        super().initialize(node)
        self._ready = ready

    def get(self) -> None:
        """Answers 200, or 503 with the reason."""
        reason = self._node.not_ready() if self._ready else None
        if reason is not None:
            self._refuse(requests.Refusal(reason, errors.Ran.NO))
            return
        self.finish("ok\n")


def make_server(node: node_module.Node) -> LimitedServer:
    """Returns the callers' server; the code that calls it adds sockets."""
    limits = node.settings.limits
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
        **{BODY_MEMORY: body_memory.BodyMemory(limits.max_held_bytes)},
    )
    return LimitedServer(
        app,
        max_connections=limits.max_connections,
        on_refused=node.metrics.connection_refused,
        max_body_size=BODY_DISCARD_FACTOR * limits.max_body_bytes,
        idle_connection_timeout=limits.header_timeout_s,
        body_timeout=limits.body_timeout_s + BODY_MARGIN_S,
    )
