"""Holds an endpoint's answer until it is whole, as memory allows.

An answer that is held can be replaced by that of another attempt. Without
memory for more of it, it is passed on as it arrives.
"""

from collections.abc import Awaitable
from collections.abc import Callable

from tornado import httputil

from seam_model import forwarding
from seam_node.forward.callers import context
from seam_node.forward.callers import refusals
from seam_node.forward.endpoints import exchange

SMALL_ANSWER_BYTES = 16 * 1024
"""Size up to which an answer is not counted."""


class AnswerBuffer(exchange.Receiver):
    """Receives one answer for a caller.

    Bytes of an answer that may not reach the caller are dropped.
    """

    def __init__(self, ctx: context.ForwardContext):
        """Takes the request."""
        self._ctx = ctx
        self.on_passed: Callable[[], None] | None = None
        """Called if the answer begins to be passed on."""
        self._head: forwarding.AnswerHead | None = None
        self._chunks: list[bytes] = []
        self._size = 0
        self._counted = 0
        """Bytes that memory was taken for."""
        self._is_passed = False
        """Whether the caller gets the answer as it arrives."""

    @property
    def status(self) -> int:
        """The status that the caller gets with the answer."""
        return self._head.status

    def head(self, head: forwarding.AnswerHead) -> None:
        """Lets the request's body go if it may not be sent again."""
        self._head = refusals.for_caller(head)
        if self.can_be_sent() and not self._ctx.route.may_retry():
            self._ctx.release_body()

    def data(self, chunk: bytes) -> Awaitable[None] | None:
        """Holds bytes of the body, or passes them on.

        Errors: `tornado.httputil.HTTPInputError` for a body that is too large;
        the connection is closed then.
        """
        self._size += len(chunk)
        if self._size > exchange.MAX_ANSWER_BYTES:
            raise httputil.HTTPInputError("body too large")
        if self._is_passed:
            return self._ctx.answer.write(chunk)
        if not self.can_be_sent():
            return None
        self._chunks.append(chunk)
        if self._size <= SMALL_ANSWER_BYTES:
            return None
        uncounted, self._counted = self._size - self._counted, self._size
        if self._ctx.answer.take_memory(uncounted):
            return None
        return self._pass_on()

    def send(self) -> None:
        """Ends the caller's answer with this one, which is whole."""
        answer, head = self._ctx.answer, self._head
        if self._is_passed:
            answer.finish()
            return
        self._ctx.status = head.status
        answer.send_complete(
            head.status, head.reason, head.fields, b"".join(self._chunks)
        )

    def can_be_sent(self) -> bool:
        """Returns whether the caller may get this answer.

        It may not if a part of another one was sent.
        """
        head = self._head
        if not head.ran or not head.signed or head.misdirected:
            return False
        return self._is_passed or not self._ctx.answer.started

    def _pass_on(self) -> Awaitable[None] | None:
        ctx = self._ctx
        self._is_passed = True
        if self.on_passed is not None:
            self.on_passed()
        ctx.release_body()
        ctx.status = self._head.status
        ctx.answer.start(self._head)
        held, self._chunks = self._chunks, []
        waiting = None
        for chunk in held:
            waiting = ctx.answer.write(chunk)
        return waiting
