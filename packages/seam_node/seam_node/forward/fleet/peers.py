"""Exchanges UDP heartbeats between instances.

Heartbeats are best effort. An instance that receives none keeps serving and
lists only itself in entry answers.
"""

import asyncio
from collections.abc import Callable
import contextlib
import random
import zlib

import attrs

from seam_model import forwarding
from seam_node import logs
from seam_node.forward.fleet import datagrams
from seam_node.forward.fleet import messages
from seam_node.forward.store import catalog_state
from seam_node.ports import catalog

HEARTBEAT_INTERVAL_S = 0.4
FULL_RATE_PEERS = 16
"""With more peers than this, the heartbeat interval grows in proportion, so
that the message rate of an instance stays constant."""
HEARTBEAT_MARGIN_S = 0.25
"""Time after which a heartbeat that was due is overdue."""
SAMPLE_S = 1.2
"""Time in which about 48 heartbeats arrive if there are more than
`FULL_RATE_PEERS`, enough to tell half of the fleet from all of it."""
INTERVAL_SPREAD = (0.75, 1.25)
"""Range of the random factor of intervals above `HEARTBEAT_INTERVAL_S`.
Instances that start together would otherwise go on sending together, and the
number heard in a part of an interval would say nothing about all."""
SUSPECT_AFTER_HEARTBEATS = 3.5
"""Missed heartbeats after which a peer is suspected to be dead and left out
of entry answers."""
ACCEPT_ANY_INCARNATION_AFTER_HEARTBEATS = 2.0
"""Missed heartbeats after which a peer may return with any incarnation
number, even a lower one."""
EXPIRE_AFTER_S = 20.0
"""Silence after which a peer's last heartbeat is dropped."""
DELETE_ENTRY_AFTER_S = 60.0
"""Silence after which the store entry of an instance is deleted. If it is
still alive, it writes the entry again."""
REFRESH_INTERVAL_S = 10.0
"""Interval between stale (cheap) listings of the instances' entries."""
REFRESH_RETRY_INTERVAL_S = 0.5
"""The same while the listing fails or lacks this instance's own entry."""
REFRESH_TIMEOUT_S = 2.0
RESTORE_SPREAD_S = 1.0
"""Time over which the instances list the entries after the store was restored
from a copy, which may lack theirs."""


@attrs.frozen
class ReceivedHeartbeat:
    """A peer's heartbeat and the time since it was received."""

    heartbeat: messages.Heartbeat
    age_s: float


@attrs.define
class _Peer:
    heartbeat: messages.Heartbeat
    received_at: float
    logged_lost: bool = False
    """Whether `peer_lost` has been logged for it."""


class PeerHeartbeats:
    """Sends this instance's heartbeats and receives those of its peers."""

    def __init__(
        self,
        entry: forwarding.InstanceEntry,
        source: catalog.Catalog,
        port: datagrams.DatagramPort,
        describe: Callable[[], messages.Heartbeat],
        on_unlisted: Callable[[], None],
        now: Callable[[], float],
        log: logs.Log,
    ):
        """Creates a sender that is not started.

        Args:
            entry: this instance.
            source: the store that lists the instances.
            port: sends the heartbeats.
            describe: returns the heartbeat to send.
            on_unlisted: called when the store lacks this instance's entry.
            now: the clock.
            log: where lost and regained peers are logged.
        """
        self._entry = entry
        self._source = source
        self._port = port
        self._describe = describe
        self._on_unlisted = on_unlisted
        self._silent_since: dict[str, float] = {}
        self._now = now
        self._log = log
        self._listed = catalog_state.Instances()
        self._random = random.Random(entry.name)
        self._peers: dict[str, _Peer] = {}
        self._tasks: list[asyncio.Task] = []
        self._refresh_due = asyncio.Event()
        self._scheduled_send: asyncio.Handle | None = None
        """Callback of the event loop that sends the next heartbeat."""

    async def start(self) -> None:
        """Starts sending."""
        self._port.handle(messages.Heartbeat, self.receive)
        self._tasks = [
            asyncio.ensure_future(self._heartbeat_loop()),
            asyncio.ensure_future(self._refresh_entries()),
        ]

    async def close(self) -> None:
        """Stops sending."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._scheduled_send is not None:
            self._scheduled_send.cancel()

    def on_store_restored(self) -> None:
        """Looks soon whether the store still lists this instance.

        Instances do so one after the other, in the order of a hash.
        """
        share = zlib.crc32(self._entry.name.encode()) / 2**32
        asyncio.get_running_loop().call_later(
            share * RESTORE_SPREAD_S, self._refresh_due.set
        )

    def received_heartbeats(self) -> list[ReceivedHeartbeat]:
        """Returns the latest heartbeats of live peers, with their ages."""
        now = self._now()
        return [
            ReceivedHeartbeat(peer.heartbeat, now - peer.received_at)
            for peer in self._peers.values()
            if now - peer.received_at <= self._suspect_after_s()
        ]

    def live(self) -> list[messages.Heartbeat]:
        """Returns the latest heartbeats of live peers."""
        return [each.heartbeat for each in self.received_heartbeats()]

    def known_names(self) -> set[str]:
        """Returns the instances that the store lists or that were heard lately.

        Those not heard for `EXPIRE_AFTER_S` are left out unless listed.
        """
        return set(self._peers) | set(self._listed.entries)

    def heard_count(self) -> int:
        """Returns about how many peers are heard now.

        Where the heartbeat interval is longer than `SAMPLE_S`, this is an
        estimate from the heartbeats of that time. So a partition is noticed
        before the heartbeats of all peers beyond it are overdue.
        """
        interval_s = self.heartbeat_interval_s()
        span_s = min(SAMPLE_S, interval_s + HEARTBEAT_MARGIN_S)
        since = self._now() - span_s
        heard = sum(each.received_at >= since for each in self._peers.values())
        return min(
            len(self._peers), round(heard * max(1.0, interval_s / span_s))
        )

    def schedule_heartbeat(self) -> None:
        """Sends a heartbeat in the next iteration of the event loop.

        This combines all changes of the current iteration in one heartbeat.
        """
        if self._scheduled_send is None:
            self._scheduled_send = asyncio.get_running_loop().call_soon(
                self._send
            )

    def entry_of(self, name: str) -> forwarding.InstanceEntry | None:
        """Returns the entry of an instance, or None if it is unknown."""
        peer = self._peers.get(name)
        if peer is not None:
            return peer.heartbeat.entry
        return self._listed.entries.get(name)

    def _send(self) -> None:
        """Sends a heartbeat to every known instance."""
        self._scheduled_send = None
        self._port.send_all(self._describe(), self._addresses())

    def receive(self, heartbeat: messages.Heartbeat) -> None:
        """Records a peer's heartbeat."""
        if heartbeat.entry.name == self._entry.name:
            return
        name = heartbeat.entry.name
        previous = self._peers.get(name)
        incarnation = heartbeat.entry.incarnation
        if previous is not None and self._is_stale_incarnation(
            incarnation, previous
        ):
            return
        if previous is None or previous.logged_lost:
            self._log.event("peer_regained", peer=name, incarnation=incarnation)
        self._peers[name] = _Peer(heartbeat, self._now())
        self._silent_since.pop(name, None)

    def _is_stale_incarnation(self, incarnation: int, previous: _Peer) -> bool:
        """Returns whether a heartbeat is from an older incarnation.

        Incarnation numbers are start times. The wall clock may have been set
        back before a restart, so a lower number is accepted once the previous
        incarnation has been silent for a while.
        """
        silence_s = self._now() - previous.received_at
        if (
            silence_s
            > ACCEPT_ANY_INCARNATION_AFTER_HEARTBEATS
            * self.heartbeat_interval_s()
        ):
            return False
        return incarnation < previous.heartbeat.entry.incarnation

    def heartbeat_interval_s(self) -> float:
        """Returns the interval between heartbeats, in seconds."""
        return HEARTBEAT_INTERVAL_S * max(
            1.0, len(self._peers) / FULL_RATE_PEERS
        )

    def _suspect_after_s(self) -> float:
        return SUSPECT_AFTER_HEARTBEATS * self.heartbeat_interval_s()

    def _addresses(self) -> set[forwarding.Address]:
        addresses = {
            peer.heartbeat.entry.name: peer.heartbeat.entry.peers
            for peer in self._peers.values()
        }
        for name, entry in self._listed.entries.items():
            addresses.setdefault(name, entry.peers)
        addresses.pop(self._entry.name, None)
        return set(addresses.values())

    async def _heartbeat_loop(self) -> None:
        while True:
            self._send()
            self._expire_silent()
            await asyncio.sleep(self._next_interval_s())

    def _next_interval_s(self) -> float:
        interval_s = self.heartbeat_interval_s()
        if len(self._peers) <= FULL_RATE_PEERS:
            return interval_s
        return interval_s * self._random.uniform(*INTERVAL_SPREAD)

    def _expire_silent(self) -> None:
        now = self._now()
        for name, peer in tuple(self._peers.items()):
            silence_s = now - peer.received_at
            if silence_s > self._suspect_after_s() and not peer.logged_lost:
                peer.logged_lost = True
                self._log.event(
                    "peer_lost",
                    "warning",
                    peer=name,
                    silent_s=round(silence_s, 2),
                    leaving=not peer.heartbeat.serving,
                )
            if silence_s > EXPIRE_AFTER_S:
                del self._peers[name]

    async def _refresh_entries(self) -> None:
        while True:
            listed = await self._source.list(
                catalog.Kind.INSTANCES, REFRESH_TIMEOUT_S, allow_stale=True
            )
            is_listed = False
            if listed.is_ok():
                self._listed.entries.clear()
                for entry in listed.ok.entries:
                    self._listed.put(entry)
                is_listed = self._entry.name in self._listed.entries
                if not is_listed:
                    self._on_unlisted()
                await self._delete_ended_entries()
            await self._wait_for_refresh(
                REFRESH_INTERVAL_S if is_listed else REFRESH_RETRY_INTERVAL_S
            )

    async def _wait_for_refresh(self, interval_s: float) -> None:
        """Waits until the next listing of the entries is due."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(interval_s):
                await self._refresh_due.wait()
        self._refresh_due.clear()

    async def _delete_ended_entries(self) -> None:
        """Deletes store entries of instances that ended without leaving.

        Only the live instance with the lowest name deletes.
        """
        now = self._now()
        for name in set(self._silent_since) - set(self._listed.entries):
            del self._silent_since[name]
        for name in self._listed.entries:
            if name in self._peers or name == self._entry.name:
                self._silent_since.pop(name, None)
                continue
            since = self._silent_since.setdefault(name, now)
            if now - since > DELETE_ENTRY_AFTER_S and self._has_lowest_name():
                del self._silent_since[name]
                self._log.event("instance_entry_removed", peer=name)
                await self._source.withdraw(name)

    def _has_lowest_name(self) -> bool:
        names = [each.entry.name for each in self.live()]
        return all(self._entry.name < name for name in names)
