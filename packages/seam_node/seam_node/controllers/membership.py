"""Tracks fleet membership from the platform's list and from heartbeats.

The platform's list lags; it only provides the addresses of candidates. Each
instance sends heartbeats to a bounded number of peers each second, whatever
the size of the fleet: to its next neighbours on a ring of hashed names, and to
some peers further along the ring so that a suspicion reaches all instances in
few hops. A suspicion is passed on at once, but a peer is declared dead only
after direct checks have failed, as in SWIM (Das, Gupta and Motivala, DSN 2002).
"""

import asyncio
from collections.abc import Callable
import hashlib
import random
from typing import Any

import attrs

from seam_model import endpoints
from seam_model import peers as messages
from seam_node import task
from seam_node.controllers import membership_view
from seam_node.ports import clock as clock_port
from seam_node.ports import peer as peer_port
from seam_node.ports import platform as platform_port
from seam_policy import rendezvous

HEARTBEAT_S = 1.0
HEARTBEAT_TIMEOUT_S = 1.0
SUSPECT_AFTER_S = 2.5
DEAD_AFTER_S = 5.0
PAUSE_CHECK_INTERVAL_S = 0.1
PAUSE_LIMIT_S = 0.5
"""Longest gap that does not count as a pause of the process.

It is shorter than the hand-over timeout, because an instance that paused for
longer than that may have lost its runs to another one.
"""
FLEET_POLL_S = 2.0
LIST_GRACE_S = 10.0
"""Time for which an instance missing from the list still counts as listed."""
ANNOUNCE_S = 3.0
JITTER = 0.2
MONITORED = 6
NEIGHBOURS = 3
PROBES_PER_TICK = 4
"""Maximum number of suspected, unmonitored peers probed in one tick."""
MAX_SUSPECTS_SENT = 8
ACK_VALID_S = 10.0
"""Time for which an answer to a direct check overrides suspicions."""

MembershipView = membership_view.MembershipView
PeerState = membership_view.PeerState
Subscriber = Callable[[MembershipView], None]


@attrs.define
class _Peer:
    record: endpoints.InstanceRecord
    last_contact_at: float
    last_ack_at: float = float("-inf")
    sequence: int = 0
    state: PeerState = PeerState.ALIVE
    suspicion_at: float | None = None
    """When a suspicion of this unmonitored peer was received."""
    leaving: bool = False


@attrs.frozen
class _Listed:
    fleet: endpoints.FleetList


@attrs.frozen
class _Tick:
    pass


@attrs.frozen
class _Acked:
    ack: messages.HeartbeatAck


@attrs.frozen
class _Leave:
    pass


class MembershipController(task.Task):
    """Maintains the view of the fleet; see the module's docstring."""

    def __init__(
        self,
        own: endpoints.InstanceRecord,
        platform: platform_port.Platform,
        network: peer_port.PeerNetwork,
        clock: clock_port.Clock,
        rng: random.Random,
        config_version: Callable[[], int] = lambda: 0,
        on_config_version: Callable[[str, int], None] = lambda peer, n: None,
    ):
        """Registers the heartbeat handler at `network`.

        `config_version` returns the version in force here;
        `on_config_version` is called with the version that a peer has.
        """
        super().__init__("membership")
        self._own = own
        self._platform = platform
        self._network = network
        self._clock = clock
        self._rng = rng
        self._config_version = config_version
        self._on_config_version = on_config_version
        self._peers: dict[str, _Peer] = {}
        self._monitored: tuple[str, ...] = ()
        self._subscribers: list[Subscriber] = []
        self._last_listed: dict[str, endpoints.InstanceRecord] = {}
        self._missing_since: dict[str, float] = {}
        self._sequence = 0
        self._probe_offset = 0
        self._changed = False
        self._last_ran_at: float | None = None
        self._view = MembershipView(
            own, live=(_site(own),), instances={own.name: own}
        )
        network.register_handler(messages.Heartbeat, self._on_heartbeat)

    async def start(self) -> None:
        """Starts polling, announcements, heartbeats and pause detection."""
        await super().start()
        self.spawn(self._pause_loop())
        self.spawn(self._poll_loop())
        self.spawn(self._announce_loop())
        self.spawn(self._tick_loop())

    def view(self) -> MembershipView:
        """Returns the current snapshot."""
        self.detect_pauses()
        return self._view

    def detect_pauses(self) -> int:
        """Returns the number of pauses of this process, after a check for one.

        The relay of a stream compares this number before it sends a byte, so
        a pause is detected even if the heartbeat task has not run since.
        """
        now = self._clock.monotonic()
        if (
            self._last_ran_at is None
            or now - self._last_ran_at <= PAUSE_LIMIT_S
        ):
            return self._view.pause_count
        self._last_ran_at = now
        for peer in self._peers.values():
            peer.last_contact_at = now
        self._view = attrs.evolve(
            self._view, paused_at=now, pause_count=self._view.pause_count + 1
        )
        return self._view.pause_count

    def subscribe(self, subscriber: Subscriber) -> None:
        """Registers `subscriber` to be called with each changed view."""
        self._subscribers.append(subscriber)

    async def leave(self) -> None:
        """Marks this instance as leaving and announces that at once."""
        await self.ask(_Leave())
        await self._platform.announce(self._own)

    async def receive(self, message: Any) -> Any:
        """Handles one message from the loops or from a peer."""
        match message:
            case _Tick():
                self._on_tick()
            case _Acked(ack):
                self._on_ack(ack)
            case _Listed(fleet):
                self._on_listed(fleet)
            case messages.Heartbeat():
                return self._on_peer_heartbeat(message)
            case _Leave():
                self._own = attrs.evolve(self._own, leaving=True)
                self._changed = True
                self._send_heartbeats()
                self._publish()
        return None

    # Loops

    def _jittered(self, period_s: float) -> float:
        return period_s * (1 + JITTER * (2 * self._rng.random() - 1))

    async def _pause_loop(self) -> None:
        """Records that the process runs, so that a pause shows as a gap."""
        while True:
            self.detect_pauses()
            self._last_ran_at = self._clock.monotonic()
            await asyncio.sleep(PAUSE_CHECK_INTERVAL_S)

    async def _poll_loop(self) -> None:
        while True:
            fleet = await self._platform.fleet()
            if fleet.is_ok():
                self.tell(_Listed(fleet.ok))
            await asyncio.sleep(self._jittered(FLEET_POLL_S))

    async def _announce_loop(self) -> None:
        while True:
            await self._platform.announce(self._own)
            await asyncio.sleep(self._jittered(ANNOUNCE_S))

    async def _tick_loop(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            await self.ask(_Tick())

    # The platform's list

    def _on_listed(self, fleet: endpoints.FleetList) -> None:
        now = self._clock.monotonic()
        records = self._with_recently_missing(fleet.instances, now)
        others = {n: r for n, r in records.items() if n != self._own.name}
        for name in set(self._peers) - set(others):
            del self._peers[name]
        for name, record in others.items():
            self._update(name, record, now)
        self._network.set_peers(peer.record for peer in self._peers.values())
        self._update_monitored(now)
        listed = [record for record in records.values() if not record.leaving]
        self._view = attrs.evolve(self._view, fleet_read_at=now)
        self._changed = True
        self._publish(
            listed=_sites(listed),
            endpoints={record.name: record for record in fleet.endpoints},
        )

    def _with_recently_missing(
        self, listed: tuple[endpoints.InstanceRecord, ...], now: float
    ) -> dict[str, endpoints.InstanceRecord]:
        """Returns the listed records and those missing for a short time.

        Announcements expire during an outage of the platform; the first list
        after it must not change the assignment of mirrors and owners.
        """
        records = {record.name: record for record in listed}
        for name, record in self._last_listed.items():
            since = self._missing_since.setdefault(name, now)
            if name in records or record.leaving:
                del self._missing_since[name]
            elif now - since < LIST_GRACE_S:
                records[name] = record
            else:
                del self._missing_since[name]
        self._last_listed = records
        return records

    def _update(
        self, name: str, record: endpoints.InstanceRecord, now: float
    ) -> None:
        peer = self._peers.get(name)
        if peer is None or record.incarnation > peer.record.incarnation:
            self._peers[name] = _Peer(record, now, leaving=record.leaving)
        elif record.incarnation == peer.record.incarnation:
            peer.record = record
            peer.leaving = peer.leaving or record.leaving

    def _update_monitored(self, now: float) -> None:
        monitored = monitored_peers(self._own.name, self._peers)
        for name in set(monitored) - set(self._monitored):
            peer = self._peers[name]
            if peer.state is PeerState.ALIVE:
                peer.last_contact_at = now
        self._monitored = monitored

    # Heartbeats

    def _on_tick(self) -> None:
        self.detect_pauses()
        self._update_states()
        self._send_heartbeats()
        self._publish()

    def _send_heartbeats(self) -> None:
        self._sequence += 1
        heartbeat = messages.Heartbeat(
            self._own.name,
            self._own.incarnation,
            self._sequence,
            self._config_version(),
            self._own.leaving,
            self._suspects(),
        )
        for name in self._monitored + self._probe_targets():
            self.spawn(self._send_heartbeat(name, heartbeat))

    async def _send_heartbeat(
        self, name: str, heartbeat: messages.Heartbeat
    ) -> None:
        answer = await self._network.request(
            name, heartbeat, HEARTBEAT_TIMEOUT_S
        )
        if answer.is_ok() and isinstance(answer.ok, messages.HeartbeatAck):
            self.tell(_Acked(answer.ok))

    async def _on_heartbeat(
        self, sender: str, message: messages.Heartbeat
    ) -> messages.HeartbeatAck:
        return await self.ask(message)

    def _on_peer_heartbeat(
        self, heartbeat: messages.Heartbeat
    ) -> messages.HeartbeatAck:
        peer = self._record_contact(
            heartbeat.name, heartbeat.incarnation, heartbeat.sequence
        )
        if peer is not None:
            if heartbeat.leaving and not peer.leaving:
                peer.leaving = True
                self._changed = True
            self._on_config_version(heartbeat.name, heartbeat.config_version)
            for suspect in heartbeat.suspects[:MAX_SUSPECTS_SENT]:
                self._note_suspicion(suspect)
        self._publish()
        return messages.HeartbeatAck(
            self._own.name,
            self._own.incarnation,
            heartbeat.sequence,
            self._config_version(),
        )

    def _on_ack(self, ack: messages.HeartbeatAck) -> None:
        peer = self._record_contact(ack.name, ack.incarnation, None)
        if peer is not None:
            peer.last_ack_at = self._clock.monotonic()
            self._on_config_version(ack.name, ack.config_version)
        self._publish()

    def _record_contact(
        self, name: str, incarnation: int, sequence: int | None
    ) -> _Peer | None:
        peer = self._peers.get(name)
        if peer is None or incarnation < peer.record.incarnation:
            return None
        if incarnation > peer.record.incarnation:
            record = attrs.evolve(peer.record, incarnation=incarnation)
            peer = _Peer(record, 0.0)
            self._peers[name] = peer
            self._changed = True
        if sequence is not None:
            if sequence <= peer.sequence:
                return None
            peer.sequence = sequence
        peer.last_contact_at = self._clock.monotonic()
        self._set_state(peer, PeerState.ALIVE)
        peer.suspicion_at = None
        return peer

    # Suspicion

    def _note_suspicion(self, suspect: str) -> None:
        name, _, incarnation = suspect.rpartition("/")
        peer = self._peers.get(name)
        if peer is None or name in self._monitored:
            return
        now = self._clock.monotonic()
        recently_acked = now - peer.last_ack_at < ACK_VALID_S
        if str(peer.record.incarnation) != incarnation or recently_acked:
            return
        if peer.suspicion_at is None:
            peer.suspicion_at = now

    def _update_states(self) -> None:
        now = self._clock.monotonic()
        for name, peer in self._peers.items():
            if name in self._monitored:
                missed_s = now - peer.last_contact_at
            elif peer.suspicion_at is not None:
                missed_s = now - peer.suspicion_at
            else:
                continue
            if missed_s >= DEAD_AFTER_S:
                self._set_state(peer, PeerState.DEAD)
            elif missed_s >= SUSPECT_AFTER_S:
                self._set_state(peer, PeerState.SUSPECT)

    def _set_state(self, peer: _Peer, state: PeerState) -> None:
        if peer.state is not state:
            peer.state = state
            self._changed = True

    def _suspects(self) -> tuple[str, ...]:
        suspects = [
            peer
            for peer in self._peers.values()
            if peer.state is not PeerState.ALIVE
            or peer.suspicion_at is not None
        ]
        suspects.sort(key=lambda peer: peer.last_contact_at, reverse=True)
        return tuple(
            f"{peer.record.name}/{peer.record.incarnation}"
            for peer in suspects[:MAX_SUSPECTS_SENT]
        )

    def _probe_targets(self) -> tuple[str, ...]:
        suspected = [
            name
            for name, peer in self._peers.items()
            if peer.suspicion_at is not None and name not in self._monitored
        ]
        if len(suspected) <= PROBES_PER_TICK:
            return tuple(suspected)
        self._probe_offset += PROBES_PER_TICK
        start = self._probe_offset % len(suspected)
        return tuple((suspected[start:] + suspected[:start])[:PROBES_PER_TICK])

    # The view

    def _publish(self, **changed: Any) -> None:
        old = attrs.evolve(
            self._view, majority_acked_at=self._majority_acked_at()
        )
        self._view = old
        if not self._changed:
            return
        self._changed = False
        peers = self._peers
        alive = [
            peer.record
            for peer in peers.values()
            if peer.state is not PeerState.DEAD and not peer.leaving
        ]
        if not self._own.leaving:
            alive.append(self._own)
        records = {name: peer.record for name, peer in peers.items()}
        records[self._own.name] = self._own
        leaving = {name for name, peer in peers.items() if peer.leaving}
        if self._own.leaving:
            leaving.add(self._own.name)
        new = attrs.evolve(
            old,
            own=self._own,
            live=_sites(alive),
            leaving=tuple(sorted(leaving)),
            instances=records,
            states={name: peer.state for name, peer in peers.items()},
            **changed,
        )
        self._view = new
        if new != old:
            for subscriber in self._subscribers:
                subscriber(self._view)

    def _majority_acked_at(self) -> float:
        if not self._monitored:
            return self._clock.monotonic()
        times = [self._peers[name].last_ack_at for name in self._monitored]
        times.sort(reverse=True)
        return max(0.0, times[len(times) // 2])


def monitored_peers(own: str, names: Any) -> tuple[str, ...]:
    """Returns the at most `MONITORED` peers that `own` sends heartbeats to."""
    ring = sorted({*names, own}, key=_ring_position)
    size = len(ring)
    start = ring.index(own)
    steps = list(range(1, min(MONITORED, size - 1) + 1))
    if size > MONITORED + 1:
        steps[NEIGHBOURS:] = _distant_steps(size)
    return tuple(ring[(start + step) % size] for step in steps)


def _distant_steps(size: int) -> list[int]:
    count = MONITORED - NEIGHBOURS
    root = size ** (1 / (count + 1))
    steps: list[int] = []
    for exponent in range(1, count + 1):
        least = (steps[-1] if steps else NEIGHBOURS) + 1
        steps.append(max(least, round(root**exponent)))
    return steps


def _ring_position(name: str) -> bytes:
    return hashlib.blake2b(name.encode(), digest_size=8).digest()


def _site(record: endpoints.InstanceRecord) -> rendezvous.Site:
    return rendezvous.Site(record.name, record.data_centre)


def _sites(records: Any) -> tuple[rendezvous.Site, ...]:
    sites = [_site(record) for record in records]
    return tuple(sorted(sites, key=lambda site: site.name))
