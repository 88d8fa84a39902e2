"""Follows the store through another instance, to spare the store calls.

The first coordinators follow the store itself; all others take the objects
from one of them. An instance without a fresh feed follows the store itself
until it has one.
"""

import asyncio
from collections.abc import Callable

from seam_model import forwarding
from seam_node import logs
from seam_node.forward.fleet import coordinators
from seam_node.forward.store import catalog_watch
from seam_node.forward.store import feed_codec
from seam_node.forward.store import routes_proof
from seam_node.ports import catalog
from seam_policy import rendezvous

CONNECT_TIMEOUT_S = 0.3
RETRY_S = 0.5
"""Pause between two tries to find a feed."""

Watches = dict[catalog.Kind, catalog_watch.CatalogWatch]


class FeedClient:
    """Chooses between the store and another instance as the source."""

    def __init__(
        self,
        name: str,
        watches: Watches,
        order: coordinators.Coordinators,
        follower_count: Callable[[], int],
        max_age_s: float,
        proof: routes_proof.RoutesProof,
        now: Callable[[], float],
        log: logs.Log,
    ):
        """Creates a client that follows the store.

        Args:
            name: name of this instance.
            watches: the watches of the store, by kind.
            order: the coordinators.
            follower_count: returns how many instances follow this one.
            max_age_s: age of the store's last answer to the other instance up
                to which its feed is used.
            proof: how recent the configuration is proved to be.
            now: the clock.
            log: where a change of the source is logged.
        """
        self._name = name
        self._watches = watches
        self._order = order
        self._follower_count = follower_count
        self._max_age_s = max_age_s
        self._proof = proof
        self._now = now
        self._log = log
        self._source = ""
        self._offered: dict[catalog.Kind, dict[str, catalog.Entry]] = {}
        """The objects of the feed, whether it is used or not."""
        self._offered_era = 0
        self.connected = False
        """Whether a feed is read, fresh or not."""
        self._task: asyncio.Task | None = None

    async def start(self) -> None:
        """Starts looking for a feed."""
        self._task = asyncio.ensure_future(self._run())

    async def close(self) -> None:
        """Stops following."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    @property
    def source(self) -> str:
        """Name of the instance that is followed; empty for the store."""
        return self._source

    async def restart(self) -> None:
        """Drops a feed that may be old and follows the store at first."""
        await self.close()
        self._follow_store()
        await self.start()

    def _follow_store(self) -> None:
        self._set_source("")
        for watch in self._watches.values():
            watch.resume()

    async def _run(self) -> None:
        while True:
            entry = self._choose()
            if entry is None:
                self._follow_store()
                await asyncio.sleep(RETRY_S)
                continue
            try:
                await self._follow(entry)
            except (
                OSError,
                EOFError,
                TimeoutError,
                feed_codec.FrameInvalidError,
            ) as exc:
                self._lose(entry, exc)
                await asyncio.sleep(RETRY_S)

    def _choose(self) -> forwarding.InstanceEntry | None:
        """Returns the instance to follow; None to follow the store."""
        if self._follower_count():
            return None
        found = self._order.responsive()
        if not found or any(each.name == self._name for each in found):
            return None
        # Half of the followers take each of two sources.
        return max(
            found,
            key=lambda each: rendezvous.weight(self._name.encode(), each.name),
        )

    async def _follow(self, entry: forwarding.InstanceEntry) -> None:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(
                entry.peers.host, entry.peers.port
            )
        self._offered.clear()
        self.connected = True
        try:
            self._send_reading(writer)
            while self._choose() == entry:
                async with asyncio.timeout(self._max_age_s):
                    frame = await _read_frame(reader)
                self._apply(entry.name, frame)
                if isinstance(frame, feed_codec.Alive):
                    self._send_reading(writer)
        finally:
            self.connected = False
            writer.close()

    def _send_reading(self, writer: asyncio.StreamWriter) -> None:
        """Sends the clock, unless the source has not read the last reading.

        Readings are sent only where keys may have to be refused.
        """
        if (
            self._proof.is_needed
            and not writer.transport.get_write_buffer_size()
        ):
            writer.write(feed_codec.encode_reading(self._now()))

    def _apply(self, source: str, frame: feed_codec.Frame) -> None:
        if isinstance(frame, feed_codec.Alive):
            self._note_alive(source, frame)
            return
        self._offered_era = frame.era
        offered = self._offered.setdefault(frame.kind, {})
        if isinstance(frame, feed_codec.Listing):
            offered.update({each.name: each for each in frame.entries})
        elif frame.removed:
            offered.pop(frame.entry.name, None)
        else:
            offered[frame.entry.name] = frame.entry
        if self._source == source:
            self._use_offered(frame.kind)

    def _use_offered(self, kind: catalog.Kind) -> None:
        offered = self._offered.get(kind, {})
        entries = tuple(offered.values())
        self._watches[kind].replace(entries, self._offered_era)

    def _note_alive(self, source: str, frame: feed_codec.Alive) -> None:
        """Uses the feed while it is fresh and not behind the own copy."""
        usable = all(
            each.age_s <= self._max_age_s
            and self._watches[each.kind].known_position <= each.position
            for each in frame.statuses
        )
        if not usable:
            self._follow_store()
            return
        is_new = self._source != source
        self._set_source(source)
        for each in frame.statuses:
            if is_new:
                self._use_offered(each.kind)
            self._follow_or_watch(each, frame.echo)

    def _follow_or_watch(
        self, status: feed_codec.Status, echo: feed_codec.Echo | None
    ) -> None:
        """Follows the feed, and also the store if the feed proves too little.

        Without a proof from either, no request with a key can be accepted.
        """
        watch = self._watches[status.kind]
        is_routes = status.kind is catalog.Kind.ROUTES
        if is_routes and not self._proof.is_feed_enough(echo):
            watch.resume()
            return
        watch.pause(status.position, status.age_s)
        if is_routes and echo is not None:
            self._proof.note_echo(echo, status.position.era)

    def _lose(self, entry: forwarding.InstanceEntry, exc: Exception) -> None:
        self._log.event(
            "feed_lost", "warning", peer=entry.name, reason=type(exc).__name__
        )
        self._order.suspect(entry.name)
        self._follow_store()

    def _set_source(self, source: str) -> None:
        if source != self._source:
            self._log.event(
                "source_changed",
                source=source or "store",
                before=self._source,
                routes=self._watches[catalog.Kind.ROUTES].known_position,
                endpoints=self._watches[catalog.Kind.ENDPOINTS].known_position,
            )
            self._source = source


async def _read_frame(reader: asyncio.StreamReader) -> feed_codec.Frame:
    head = await reader.readexactly(feed_codec.LENGTH_BYTES)
    data = await reader.readexactly(feed_codec.decode_length(head))
    return feed_codec.decode(data)
