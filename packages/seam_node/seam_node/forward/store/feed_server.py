"""Passes the store's objects on to the instances that follow this one."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import contextlib
import socket

from seam_model import forwarding
from seam_node import logs
from seam_node.adapters import client_server
from seam_node.forward.store import feed_board
from seam_node.forward.store import feed_codec
from seam_node.forward.store import feed_readings

MAX_FEEDS = 400
"""Most followers unless another number is given."""
READ_BYTES = 4096
"""Most bytes that are read at a time, and that are kept unread."""
LISTEN_BACKLOG = 512
ACCEPTED_AT_ONCE = 8
"""Connections accepted in one iteration of the event loop. asyncio uses the
backlog that it is given as this number, so the socket's real backlog is set
after the start."""
WRITE_TIMEOUT_S = 2.0
"""Time after which a follower that does not read is dropped."""


class FeedServer:
    """Serves a feed on the address for other instances (TCP)."""

    def __init__(
        self,
        address: forwarding.Address,
        board: feed_board.FeedBoard,
        statuses: Callable[[], tuple[feed_codec.Status, ...]],
        echo: Callable[[float], feed_codec.Echo | None],
        alive_interval_s: float,
        log: logs.Log,
        max_feeds: int = MAX_FEEDS,
        on_closed: client_server.OnClosed = lambda reason, count: None,
    ):
        """Creates a server that does not listen yet.

        Args:
            address: where to listen.
            board: the objects and their changes.
            statuses: returns how far the copies are up to date.
            echo: returns the echo of a follower's clock reading.
            alive_interval_s: interval between two `Alive` frames.
            log: the log.
            max_feeds: most followers at once.
            on_closed: called when connections were closed by the limit.
        """
        self._address = address
        self._board = board
        self._statuses = statuses
        self._echo = echo
        self._alive_interval_s = alive_interval_s
        self._log = log
        self._max_feeds = max_feeds
        self._on_closed = on_closed
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Starts listening."""
        address = (self._address.host, self._address.port)
        listener = socket.create_server(address)
        self._server = await asyncio.start_server(
            self._serve,
            sock=listener,
            limit=READ_BYTES,
            backlog=ACCEPTED_AT_ONCE,
        )
        listener.listen(LISTEN_BACKLOG)

    async def close(self) -> None:
        """Stops listening and ends all feeds."""
        if self._server is not None:
            self._server.close()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    @property
    def port(self) -> int:
        """The port that is listened on."""
        return self._server.sockets[0].getsockname()[1]

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if len(self._tasks) >= self._max_feeds:
            self._on_closed(client_server.REFUSED, 1)
            writer.close()
            return
        # Followers send little. The transport would read up to 256 KB at a
        # time before it regards the limit of unread bytes.
        writer.transport.max_size = READ_BYTES
        task = asyncio.current_task()
        self._tasks.add(task)
        queue = self._board.subscribe()
        readings = feed_readings.Readings(reader)
        try:
            await _run_until_first_end(
                self._feed(queue, writer, readings), readings.receive()
            )
        except (OSError, TimeoutError, feed_codec.FrameInvalidError) as exc:
            self._log.event("follower_lost", reason=type(exc).__name__)
        except asyncio.CancelledError:
            # The task ends here; asyncio's streams would log the cancellation
            # as an error.
            pass
        finally:
            self._board.unsubscribe(queue)
            self._tasks.discard(task)
            writer.close()

    async def _feed(
        self,
        queue: "asyncio.Queue[feed_board.Update]",
        writer: asyncio.StreamWriter,
        readings: feed_readings.Readings,
    ) -> None:
        for kind in feed_codec.KINDS:
            listing = feed_codec.Listing(
                kind, self._board.entries(kind), self._board.era
            )
            writer.write(feed_codec.encode(listing))
        while True:
            writer.write(feed_codec.encode(self._alive(readings.latest)))
            async with asyncio.timeout(WRITE_TIMEOUT_S):
                await writer.drain()
            await self._forward_updates(queue, writer)

    def _alive(self, reading: float | None) -> feed_codec.Alive:
        echo = None if reading is None else self._echo(reading)
        return feed_codec.Alive(self._statuses(), echo)

    async def _forward_updates(
        self,
        queue: "asyncio.Queue[feed_board.Update]",
        writer: asyncio.StreamWriter,
    ) -> None:
        """Writes the updates that come until the next `Alive` frame is due."""
        updates = []
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._alive_interval_s):
                updates.append(await queue.get())
        while not queue.empty():
            updates.append(queue.get_nowait())
        for each in updates:
            if not each.encoded:
                each.encoded = feed_codec.encode(
                    feed_codec.Change(
                        each.kind, each.entry, each.removed, each.era
                    )
                )
            writer.write(each.encoded)


async def _run_until_first_end(*steps: Coroutine[None, None, None]) -> None:
    """Runs steps concurrently until one ends; raises its error."""
    tasks = [asyncio.ensure_future(each) for each in steps]
    try:
        done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for each in done:
            each.result()
    finally:
        for each in tasks:
            each.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
