"""What endpoints of the soak do to single requests, drawn from a seed."""

import asyncio
import collections
import contextlib
import random
import socket
import struct

import attrs

from standins import forward_endpoint

COPY_AFTER_S = (0.02, 0.35)
PIECE_S = 0.01
PAUSE_S = (0.05, 0.3)
WORK_S = (0.02, 0.3)
"""Work before the first byte of an answer, in which a copy may come."""
LONG_WORK_S = (0.3, 1.5)
POLL_S = 0.002
END_AFTER_S = (0.0, 0.1)

REFUSALS = (
    "refuse",
    "refuse in pieces",
    "refuse late",
    "refuse and close",
    "refuse, then end late",
    "refuse, then reset",
    "break a refusal off",
    "misdirected",
    "copy a refusal",
    "copy a refusal",
)
LOSSES = ("reset before work", "reset after work", "answer, then reset")
ANSWERS = (
    "copy an answer",
    "work long",
    "answer, later close",
    "answer, later reset",
)
FAILURES = ("fail a run with 503", "fail a run with 429", "fail a run with 408")
"""Sealed answers of runs, without the field that says that nothing has run."""
ALL = REFUSALS + LOSSES + ANSWERS


def reset(writer):
    """Ends a connection with a reset, which discards unsent bytes."""
    writer.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    writer.transport.abort()


@attrs.define
class CallFaults:
    """Draws what becomes of each request while `share` is above 0."""

    rng: random.Random | None
    share: float = 0.0
    kinds: tuple = ALL
    counts: collections.Counter = attrs.field(factory=collections.Counter)
    _busy: set = attrs.field(factory=set)
    """Connections in the middle of an answer."""
    _handling: set = attrs.field(factory=set)
    """Connections whose request is being handled."""
    _tasks: set = attrs.field(factory=set)

    def draw(self):
        """Returns the fault for a request; empty for none."""
        if self.rng.random() >= self.share:
            return ""
        fault = self.rng.choice(self.kinds)
        self.counts[fault] += 1
        return fault

    async def work(self, fault):
        """Works on a request before its answer begins."""
        if self.share:
            bounds = LONG_WORK_S if fault == "work long" else WORK_S
            await asyncio.sleep(self.rng.uniform(*bounds))

    @contextlib.contextmanager
    def answering(self, writer):
        """Keeps copies off a connection while an answer is written."""
        self._busy.add(writer.transport)
        try:
            yield
        finally:
            self._busy.discard(writer.transport)

    def copy_later(self, writer, data):
        """Sends a second copy later, at the place of some next answer."""
        after_s = self.rng.uniform(*COPY_AFTER_S)
        self._start(self._copy(writer, data, after_s))

    @contextlib.contextmanager
    def handling(self, writer):
        """Keeps a connection from being ended as idle."""
        self._handling.add(writer.transport)
        try:
            yield
        finally:
            self._handling.discard(writer.transport)

    def end_later(self, fault, writer):
        """Ends a connection that seems idle, as a request may arrive on it."""
        self._start(self._end(fault, writer))

    async def _end(self, fault, writer):
        await asyncio.sleep(self.rng.uniform(*END_AFTER_S))
        if writer.transport in self._handling or writer.is_closing():
            return
        if fault == "answer, later reset":
            reset(writer)
        else:
            writer.close()

    def _start(self, work):
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _copy(self, writer, data, after_s):
        await asyncio.sleep(after_s)
        while writer.transport in self._busy:
            await asyncio.sleep(POLL_S)
        if not writer.is_closing():
            writer.write(data)

    async def refuse(self, fault, received, writer):
        """Says that a request has not run, in the way of a fault."""
        refused = forward_endpoint.refusal(received)
        if fault == "misdirected":
            writer.write(misdirection(received))
        elif fault == "refuse in pieces":
            await self._write_pieces(writer, refused)
        elif fault == "refuse late":
            await asyncio.sleep(self.rng.uniform(*PAUSE_S))
            writer.write(refused)
        elif fault == "refuse and close":
            extra = {"Connection": "close"}
            writer.write(forward_endpoint.refusal(received, **extra))
            await writer.drain()
            writer.close()
        elif fault == "refuse, then end late":
            writer.write(refused.replace(b"Content-Length: 0\r\n", b""))
            await writer.drain()
            await asyncio.sleep(self.rng.uniform(*PAUSE_S))
            writer.close()
        elif fault == "refuse, then reset":
            writer.write(refused)
            await writer.drain()
            reset(writer)
        elif fault == "break a refusal off":
            writer.write(refused[:-4])
            await writer.drain()
            reset(writer)
        else:
            writer.write(refused)
            if fault == "copy a refusal":
                self.copy_later(writer, refused)

    async def _write_pieces(self, writer, data):
        at = 0
        while at < len(data):
            size = self.rng.randrange(1, 40)
            writer.write(data[at : at + size])
            await writer.drain()
            await asyncio.sleep(PIECE_S * self.rng.random())
            at += size


def failure(fault, received):
    """Returns the answer of a run that has failed."""
    status = fault.rpartition(" ")[2]
    return forward_endpoint.answer(received, b"failed", f"{status} Failed")


def misdirection(received):
    """Returns the answer of an endpoint that is not the intended one."""
    return forward_endpoint.answer(
        received, b"", "421 Misdirected Request", Server_Seal=""
    )
