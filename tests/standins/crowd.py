"""Clients that send without reading, and what a process uses meanwhile."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import fcntl
import os
import pathlib
import socket

import attrs

SAMPLE_INTERVAL_S = 0.02
SEND_S = 3.0
"""Time for which a crowd sends. What it has not sent by then stays unsent; its
connections stay open."""


@attrs.frozen
class Crowd:
    """Connections that each send a number of messages and read nothing."""

    connections: int
    messages: int
    message: Callable[[int], bytes]
    """Returns the message with a number."""


@attrs.define
class Peak:
    """Most memory and descriptors that a process had."""

    private_mb: float = 0.0
    open_files: int = 0

    def sample(self, pid: int) -> None:
        """Takes the present values."""
        folder = pathlib.Path(f"/proc/{pid}")
        _, resident, shared, *_ = map(
            int, (folder / "statm").read_text().split()
        )
        private_mb = (resident - shared) * os.sysconf("SC_PAGE_SIZE") / 1e6
        self.private_mb = max(self.private_mb, private_mb)
        open_files = len(os.listdir(folder / "fd"))
        self.open_files = max(self.open_files, open_files)


@contextlib.contextmanager
def one_at_a_time(folder: pathlib.Path):
    """Waits until no other test of any worker holds the folder's lock."""
    with (folder / "crowd.lock").open("w") as file:
        fcntl.flock(file, fcntl.LOCK_EX)
        yield


@contextlib.asynccontextmanager
async def watched(pid: int) -> AsyncIterator[Peak]:
    """Samples a process until the end of the block."""
    peak = Peak()

    async def sample_often():
        while True:
            peak.sample(pid)
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    task = asyncio.ensure_future(sample_often())
    try:
        yield peak
        peak.sample(pid)
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


@contextlib.asynccontextmanager
async def connected(port: int, crowd: Crowd) -> AsyncIterator[None]:
    """Has a crowd send; its connections stay open until the block's end."""
    sockets = [socket.socket() for _ in range(crowd.connections)]
    try:
        sends = [
            asyncio.ensure_future(_send(sock, port, crowd, at))
            for at, sock in enumerate(sockets)
        ]
        try:
            await asyncio.wait(sends, timeout=SEND_S)
        finally:
            # The loop must not watch the sockets any more when they close.
            for each in sends:
                each.cancel()
            await asyncio.gather(*sends, return_exceptions=True)
        yield
    finally:
        for sock in sockets:
            sock.close()


async def _send(sock: socket.socket, port: int, crowd: Crowd, at: int) -> None:
    """Sends the messages of one connection until it is closed."""
    loop = asyncio.get_running_loop()
    sock.setblocking(False)
    with contextlib.suppress(OSError):
        await loop.sock_connect(sock, ("127.0.0.1", port))
        for number in range(crowd.messages):
            message = crowd.message(at * crowd.messages + number)
            await loop.sock_sendall(sock, message)
            # A send that does not block does not yield either.
            await asyncio.sleep(0)


async def ask(port: int, message: bytes) -> int:
    """Sends one message as an ordinary caller; returns the answer's status."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(message)
        line = await reader.readline()
    finally:
        writer.close()
    return int(line.split(b" ")[1])


def request(
    path: str, body: bytes = b"", method: str = "POST", **fields: str
) -> Callable[[int], bytes]:
    """Returns a function that makes a request with a number."""
    lines = "".join(
        f"{name.replace('_', '-')}: {value}\r\n"
        for name, value in fields.items()
    )

    def make(number: int) -> bytes:
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: app.example\r\n"
            f"Request-Id: crowd-{number}\r\nDeadline-Ms: 5000\r\n"
            f"Content-Length: {len(body)}\r\n{lines}\r\n"
        )
        return head.encode() + body

    return make


def batch(make: Callable[[int], bytes], count: int) -> Callable[[int], bytes]:
    """Returns a function that makes several requests at once."""

    def make_all(number: int) -> bytes:
        return b"".join(make(number * count + at) for at in range(count))

    return make_all
