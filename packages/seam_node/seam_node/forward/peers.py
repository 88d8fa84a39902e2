"""Datagrams by which instances tell each other that they live.

All of it is soft: without any datagram an instance serves on and names only
itself to callers.
"""

import asyncio
from collections.abc import Callable

import attrs

from seam_model import forwarding
from seam_node import logs
from seam_node.forward import fleet
from seam_node.forward import heartbeat_codec
from seam_node.forward import heartbeats
from seam_node.ports import catalog

HEARTBEAT_S = 0.4
FULL_RATE_PEERS = 16
"""With more peers than these, heartbeats become less frequent in proportion,
so that an instance's messages stay the same."""
SUSPECT_BEATS = 3.5
"""Missing heartbeats after which an instance is not named to callers."""
EARLIER_BEATS = 2.0
"""Missing heartbeats after which another life may have any number."""
FORGET_S = 20.0
GONE_S = 60.0
"""Silence of a listed instance after which its entry is deleted. One that
lives all the same writes it again."""
REFRESH_S = 10.0
"""Pause between cheap listings of the instances' entries."""
REFRESH_FIRST_S = 0.5
REFRESH_TIMEOUT_S = 2.0


@attrs.frozen
class Heard:
    """A heartbeat and how long ago it came in."""

    heartbeat: heartbeats.Heartbeat
    age_s: float


@attrs.define
class _Peer:
    heartbeat: heartbeats.Heartbeat
    heard_at: float
    lost: bool = False
    """Whether its silence has been logged."""


class PeerBeats(asyncio.DatagramProtocol):
    """Sends heartbeats to the other instances and takes theirs."""

    def __init__(
        self,
        entry: forwarding.InstanceEntry,
        source: catalog.Catalog,
        describe: Callable[[], heartbeats.Heartbeat],
        on_beat: Callable[[heartbeats.Heartbeat], None],
        on_unlisted: Callable[[], None],
        now: Callable[[], float],
        log: logs.Log,
    ):
        """Takes who we are and what describes us in each heartbeat."""
        self._entry = entry
        self._source = source
        self._describe = describe
        self._on_beat = on_beat
        self._on_unlisted = on_unlisted
        self._gone_since: dict[str, float] = {}
        self._now = now
        self._log = log
        self._listed = fleet.Instances()
        self._peers: dict[str, _Peer] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._tasks: list[asyncio.Task] = []
        self._due: asyncio.Handle | None = None
        """The heartbeat that is about to be sent."""

    async def start(self) -> None:
        """Binds the port and starts to send."""
        loop = asyncio.get_running_loop()
        address = (self._entry.peers.host, self._entry.peers.port)
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=address
        )
        self._tasks = [
            asyncio.ensure_future(self._beat()),
            asyncio.ensure_future(self._refresh()),
        ]

    async def close(self) -> None:
        """Stops sending and closes the port."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._due is not None:
            self._due.cancel()
        if self._transport is not None:
            self._transport.close()

    def heard(self) -> list[Heard]:
        """Returns the heartbeats of instances that live, with their ages."""
        now = self._now()
        return [
            Heard(peer.heartbeat, now - peer.heard_at)
            for peer in self._peers.values()
            if now - peer.heard_at <= self._suspect_s()
        ]

    def live(self) -> list[heartbeats.Heartbeat]:
        """Returns the newest heartbeats of instances that live."""
        return [each.heartbeat for each in self.heard()]

    def tell(self) -> None:
        """Sends a heartbeat as soon as the caller waits for something.

        So one heartbeat tells of all that changes at the same moment.
        """
        if self._due is None:
            self._due = asyncio.get_running_loop().call_soon(self._send)

    def _send(self) -> None:
        """Sends a heartbeat to every instance."""
        self._due = None
        if self._transport is None or self._transport.is_closing():
            return
        data = heartbeat_codec.encode(self._describe())
        for address in self._addresses():
            self._transport.sendto(data, (address.host, address.port))

    def datagram_received(self, data: bytes, addr: object) -> None:
        """Takes a heartbeat."""
        del addr
        beat = heartbeat_codec.decode(data)
        if beat is None or beat.entry.name == self._entry.name:
            return
        name = beat.entry.name
        known = self._peers.get(name)
        incarnation = beat.entry.incarnation
        if known is not None and self._is_earlier(incarnation, known):
            return
        if known is None or known.lost:
            self._log.event("peer_regained", peer=name, incarnation=incarnation)
        self._peers[name] = _Peer(beat, self._now())
        self._gone_since.pop(name, None)
        self._on_beat(beat)

    def _is_earlier(self, incarnation: int, known: _Peer) -> bool:
        """Tells whether a heartbeat is of an earlier life of an instance.

        The time of day may have gone back between two lives, so a life that
        has fallen silent is the earlier one.
        """
        silent_s = self._now() - known.heard_at
        if silent_s > EARLIER_BEATS * self.beat_s():
            return False
        return incarnation < known.heartbeat.entry.incarnation

    def error_received(self, exc: Exception) -> None:
        """Ignores a failed send; the silence that follows tells enough."""

    def beat_s(self) -> float:
        """Returns the pause between heartbeats, in seconds."""
        return HEARTBEAT_S * max(1.0, len(self._peers) / FULL_RATE_PEERS)

    def _suspect_s(self) -> float:
        return SUSPECT_BEATS * self.beat_s()

    def _addresses(self) -> set[forwarding.Address]:
        known = {
            peer.heartbeat.entry.name: peer.heartbeat.entry.peers
            for peer in self._peers.values()
        }
        for name, entry in self._listed.entries.items():
            known.setdefault(name, entry.peers)
        known.pop(self._entry.name, None)
        return set(known.values())

    async def _beat(self) -> None:
        while True:
            self._send()
            self._forget_silent()
            await asyncio.sleep(self.beat_s())

    def _forget_silent(self) -> None:
        now = self._now()
        for name, peer in tuple(self._peers.items()):
            silent_s = now - peer.heard_at
            if silent_s > self._suspect_s() and not peer.lost:
                peer.lost = True
                self._log.event(
                    "peer_lost",
                    "warning",
                    peer=name,
                    silent_s=round(silent_s, 2),
                    leaving=not peer.heartbeat.serving,
                )
            if silent_s > FORGET_S:
                del self._peers[name]

    async def _refresh(self) -> None:
        while True:
            listed = await self._source.list(
                catalog.Kind.INSTANCES, REFRESH_TIMEOUT_S, allow_stale=True
            )
            known = False
            if listed.is_ok():
                self._listed.entries.clear()
                for entry in listed.ok.entries:
                    self._listed.put(entry)
                known = self._entry.name in self._listed.entries
                if not known:
                    self._on_unlisted()
                await self._remove_gone()
            await asyncio.sleep(REFRESH_S if known else REFRESH_FIRST_S)

    async def _remove_gone(self) -> None:
        """Deletes entries of instances that ended without leaving."""
        now = self._now()
        for name in set(self._gone_since) - set(self._listed.entries):
            del self._gone_since[name]
        for name in self._listed.entries:
            if name in self._peers or name == self._entry.name:
                self._gone_since.pop(name, None)
                continue
            since = self._gone_since.setdefault(name, now)
            if now - since > GONE_S and self._is_first():
                del self._gone_since[name]
                self._log.event("instance_entry_removed", peer=name)
                await self._source.withdraw(name)

    def _is_first(self) -> bool:
        names = [each.entry.name for each in self.live()]
        return all(self._entry.name < name for name in names)
