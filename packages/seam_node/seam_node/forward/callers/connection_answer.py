"""Sends an answer on the connection of the caller."""

import asyncio
from collections.abc import Awaitable

from tornado import http1connection
from tornado import httputil

from seam_model import forwarding
from seam_node.forward.callers import answer_backlog
from seam_node.forward.callers import caller_memory
from seam_node.forward.callers import context


class ConnectionAnswer(context.CallerAnswer):
    """Sends the answer on the connection of the request."""

    def __init__(
        self,
        conn: http1connection.HTTP1Connection,
        hold: caller_memory.AnswerHold,
    ):
        """Takes the request's connection and the memory of the answer."""
        self._conn = conn
        self._hold = hold
        self._backlog = answer_backlog.AnswerBacklog(conn, hold)
        self._unsent = b""
        """The body of a complete answer, if it is large."""
        self._is_whole = False
        """Whether the answer is complete, so that its end follows the
        backlog."""
        self._is_finished = False
        """Whether that end was written."""
        self._started = False
        self._ended = False

    @property
    def started(self) -> bool:
        """Whether the head has been sent."""
        return self._started

    def start(self, head: forwarding.AnswerHead) -> None:
        """Sends the head of an answer whose body follows in chunks."""
        self._started = True
        start = httputil.ResponseStartLine("HTTP/1.1", head.status, head.reason)
        self._conn.stream.set_nodelay(True)
        _ignore_closed(self._conn.write_headers(start, _headers(head.fields)))

    def write(self, chunk: bytes) -> Awaitable[None] | None:
        """Sends bytes of the body, now or when the caller reads them."""
        return self._backlog.write(chunk)

    def finish(self) -> None:
        """Ends a complete answer, after its backlog."""
        self._ended = True
        self._is_whole = True
        if self._backlog.empty:
            self._is_finished = True
            self._conn.finish()

    def abort(self) -> None:
        """Closes the connection, so that the caller detects the truncation.

        What the endpoint sent before is delivered first.
        """
        self._ended = True
        if self._backlog.empty:
            self._conn.close()

    def send_complete(
        self,
        status: int,
        reason: str,
        fields: tuple[forwarding.HeaderField, ...],
        body: bytes,
    ) -> None:
        """Sends a complete answer; `deliver` has to follow."""
        if len(body) <= answer_backlog.CHUNK_BYTES:
            self.send_early(status, reason, fields, body)
            self.finish()
            self._backlog.note_written(len(body))
            return
        self._started = True
        self._unsent = body
        start = httputil.ResponseStartLine("HTTP/1.1", status, reason)
        headers = _headers(fields)
        headers["Content-Length"] = str(len(body))
        _ignore_closed(self._conn.write_headers(start, headers))

    @property
    def is_counted(self) -> bool:
        """Whether memory is taken for what the caller has yet to read."""
        return bool(self._unsent) or self._backlog.is_counted

    async def deliver(self) -> None:
        """Sends what is left of an answer that has ended.

        A caller that reads nothing for too long is cut off.
        """
        if self._unsent:
            await self._backlog.write_all(self._unsent)
            self.finish()
        if self._backlog.empty:
            return
        await self._backlog.wait_until_read()
        if self._is_whole and not self._is_finished:
            self._conn.finish()
        elif not self._is_whole:
            self._conn.close()

    def close(self) -> None:
        """Cuts off what is left of the answer; gives its memory back."""
        if not self._ended or not self._backlog.empty:
            self._ended = True
            self._conn.close()
        self._backlog.drop()
        self._hold.release()

    def take_memory(self, size: int) -> bool:
        """Takes memory for bytes that are held until the answer is sent."""
        return self._hold.take(size)

    def send_early(
        self,
        status: int,
        reason: str,
        fields: tuple[forwarding.HeaderField, ...],
        body: bytes = b"",
    ) -> None:
        """Sends an answer before the request was read to its end.

        `finish` has to follow when it was read.
        """
        self._started = True
        headers = _headers(fields)
        headers["Content-Length"] = str(len(body))
        start = httputil.ResponseStartLine("HTTP/1.1", status, reason)
        _ignore_closed(self._conn.write_headers(start, headers, body or None))

    @property
    def connected(self) -> bool:
        """Whether the caller is still there."""
        return not self._conn.stream.closed()


def _headers(
    fields: tuple[forwarding.HeaderField, ...],
) -> httputil.HTTPHeaders:
    headers = httputil.HTTPHeaders()
    for each in fields:
        headers.add(each.name, each.value)
    return headers


def _ignore_closed(fut: asyncio.Future) -> None:
    """Ignores a failed write; the close callback cancels the request."""
    fut.add_done_callback(_read_outcome)


def _read_outcome(fut: asyncio.Future) -> None:
    if not fut.cancelled():
        fut.exception()
