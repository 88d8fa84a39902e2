"""Puts one forwarding instance together."""

import asyncio
from collections.abc import Callable
import socket

import attrs

from seam_model import errors
from seam_model import forward_settings
from seam_model import forwarding
from seam_node import chain
from seam_node import logs
from seam_node import metrics
from seam_node import task
from seam_node.controllers import lease
from seam_node.forward import announcer
from seam_node.forward import background
from seam_node.forward import call_stats
from seam_node.forward import catalog_watch
from seam_node.forward import connections
from seam_node.forward import decode_places
from seam_node.forward import engine_access
from seam_node.forward import engine_room
from seam_node.forward import entry
from seam_node.forward import exchange
from seam_node.forward import fleet
from seam_node.forward import forward_gauges
from seam_node.forward import freeze
from seam_node.forward import front
from seam_node.forward import handler
from seam_node.forward import heartbeats
from seam_node.forward import peers
from seam_node.forward import prefill_queues
from seam_node.forward import sends
from seam_node.forward import stages
from seam_node.forward import store_link
from seam_node.forward import stream_outcomes
from seam_node.forward import workload
from seam_node.forward.filters import attempt
from seam_node.forward.filters import call
from seam_node.forward.filters import deadline
from seam_node.forward.filters import decode
from seam_node.forward.filters import kind
from seam_node.forward.filters import leave
from seam_node.forward.filters import place
from seam_node.forward.filters import prefill
from seam_node.forward.filters import route
from seam_node.ports import catalog
from seam_node.ports import clock
from seam_node.ports import wire
from seam_policy import retry_share

NO_TURN = 10**6
"""Turn of an instance that should give no orders."""
STAGE_LEASE = "stages"
ROUTES_PROVED_S = 3.5
"""Age of the store's last answer above which routes may be out of date."""
SWEEP_S = 1.0
LEAVE_CLOSE_SHARE = 0.25
"""Part of the grace after which no connection is accepted any more."""
LEAVE_MARGIN_S = 0.4
"""Time before the end of the grace at which the process ends itself."""
LEAVE_POLL_S = 0.05
_CALLER_LIMITS = forwarding.CallerLimits(
    max_header_bytes=64 * 1024,
    max_body_bytes=16 * 1024 * 1024,
    header_timeout_s=10.0,
    idle_timeout_s=60.0,
)
"""Bounds until the configuration names its own."""


@attrs.frozen
class Ports:
    """Everything outside the instance."""

    clock: clock.Clock
    catalog: catalog.Catalog
    wire: wire.Wire


class ForwardNode:
    """One instance: its controllers and its filter chain."""

    def __init__(
        self,
        settings: forward_settings.ForwardSettings,
        incarnation: int,
        ports: Ports,
        meter: metrics.Metrics,
        log: logs.Log,
    ):
        """Wires controllers and filters; call inside a running loop."""
        self.settings = settings
        self.ports = ports
        self.metrics = meter
        self.log = log
        self._now = ports.clock.monotonic
        self._leaving = False
        self._ends_at: float | None = None
        """When this instance ends at the latest, once it is leaving."""
        listen = settings.listen
        self.entry = forwarding.InstanceEntry(
            settings.instance.name,
            incarnation,
            forward_settings.parse_address(listen.callers),
            forward_settings.parse_address(listen.peers),
            settings.instance.data_centre,
        )
        self._make_state()
        self._make_senders()
        self._handler = handler.RequestHandler(
            ports.wire,
            self._make_chain(),
            self.load,
            self._endpoints_watch.age_s,
            self._now,
            meter,
            log,
        )
        self.front = front.Front(
            self._handler.handle, self._now, _CALLER_LIMITS
        )
        self.routes.on_change = self._on_routes
        self._show_gauges()
        self._sweeper: asyncio.Task | None = None

    # Life

    async def start(self, callers: list[socket.socket]) -> None:
        """Starts controllers and accepts callers on bound sockets."""
        await self.ports.catalog.start()
        for each in self._controllers():
            await each.start()
        self.front.start(callers)
        self._sweeper = asyncio.ensure_future(self._sweep())
        self._announcer.announce()
        self.log.event("instance_started", data_centre=self.entry.data_centre)

    async def close(self) -> None:
        """Closes controllers and connections."""
        self._sweeper.cancel()
        self._announcer.close()
        await self.front.close()
        for each in reversed(self._controllers()):
            await each.close()
        await self.releases.close()
        self._conns.close()
        await self.ports.catalog.close()
        self.log.event("instance_stopped")

    async def leave(self) -> None:
        """Takes no new callers, finishes what runs, and returns."""
        started_at = self._now()
        grace_s = self.settings.leaving.grace_s
        self._leaving = True
        self._announcer.close()
        ends_at = started_at + grace_s - LEAVE_MARGIN_S
        self._ends_at = ends_at
        self.log.event("instance_leaving", running=len(self.front.running))
        self.front.refuse_reuse()
        self.peers.tell()
        withdrawn = asyncio.ensure_future(
            self.ports.catalog.withdraw(self.entry.name)
        )
        await asyncio.sleep(grace_s * LEAVE_CLOSE_SHARE)
        self.front.stop_accepting()
        while self.front.running and self._now() < ends_at:
            await asyncio.sleep(LEAVE_POLL_S)
        withdrawn.cancel()

    def not_ready(self) -> errors.SeamError | None:
        """Returns why no new callers are wanted, or None."""
        if self._leaving:
            return errors.InstanceLeaving(self.entry.name)
        if self.routes.table is None:
            return errors.RoutesUnproved()
        if self._endpoints_watch.heard_at is None:
            return errors.InstanceNotReady("no list of endpoints yet")
        return None

    def entry_answer(self, data_centre: str) -> entry.EntryAnswer:
        """Returns which instances a caller should use."""
        live = [*self.peers.live(), self._heartbeat()]
        return entry.choose(live, data_centre, self.settings.entry.cache_s)

    # Wiring

    def _make_state(self) -> None:
        self.routes = fleet.Routes(self.log)
        self.endpoints = fleet.Endpoints(self.log)
        self.stats = call_stats.CallStats()
        self._store_link = store_link.StoreLink(
            self._now,
            self.log,
            lambda outcome: self.metrics.platform_call("read", outcome),
        )
        self._routes_watch = self._watch(catalog.Kind.ROUTES, self.routes)
        self._endpoints_watch = self._watch(
            catalog.Kind.ENDPOINTS, self.endpoints
        )
        self._announcer = announcer.Announcer(self.entry, self.ports.catalog)
        self.peers = peers.PeerBeats(
            self.entry,
            self.ports.catalog,
            self._heartbeat,
            self._on_beat,
            self._announcer.announce,
            self._now,
            self.log,
        )
        self.load = workload.WorkloadEstimate(self.settings.workload)
        self._freeze = freeze.FreezeWatch(self._now, self._on_thaw, self.log)

    def _watch(
        self, what: catalog.Kind, follower: catalog_watch.Follower
    ) -> catalog_watch.CatalogWatch:
        return catalog_watch.CatalogWatch(
            what,
            self.ports.catalog,
            follower,
            self._store_link,
            self._now,
            self.log,
        )

    def _make_senders(self) -> None:
        retries = self.settings.retries
        self._conns = connections.Connections()
        self._client = exchange.EndpointClient(self.ports.wire, self._conns)
        self.releases = background.Releases(self._client, self.log)
        self.sender = sends.Sender(
            self._client,
            self.ports.wire,
            self.stats,
            retry_share.RetryShare(
                retries.ratio, retries.allowance, retries.window_s
            ),
            lambda: len(self.peers.live()) + 1,
            self.log,
        )
        self._engines = engine_access.EngineAccess(
            self.endpoints,
            self.stats,
            self._client,
            self.ports.wire,
            self.releases,
            self.log,
        )
        self.room = engine_room.EngineRoom(
            self._engines,
            self.peers.heard,
            self.peers.tell,
            self.load,
            self._now,
            self.entry.data_centre,
        )
        self.places = decode_places.DecodePlaces(
            self.room, self.peers.heard, self.peers.tell, self.load, self._now
        )
        self.queues = prefill_queues.PrefillQueues(
            self.stats, self.peers.tell, self._now
        )
        self.outcomes = stream_outcomes.StreamOutcomes(
            self.stats, self.peers.tell, self._now, self.log
        )
        self.endpoints.on_gone = self._on_gone
        self.endpoints.on_stage = lambda each: self.stats.stop_avoiding(
            each.key
        )
        self._make_stages()

    def _make_stages(self) -> None:
        self.stages = stages.StageController(
            self.routes,
            self._engines,
            self.load,
            self._order_turn,
            self.peers.tell,
            self._now,
        )
        self._stage_lease = lease.LeaseController(
            STAGE_LEASE,
            self.entry.name,
            self.entry.incarnation,
            self.ports.catalog,
            self.ports.clock,
            self.stages.order_due,
            stages.HANDOVER_S,
            stages.LEASE_S,
        )
        self.stages.use(self._stage_lease)

    def _show_gauges(self) -> None:
        forward_gauges.show(
            self.metrics,
            forward_gauges.Sources(
                self._routes_version,
                self._endpoints_watch.age_s,
                lambda: len(self.peers.live()),
                lambda: len(self.places),
                lambda: self._conns.opened,
            ),
        )

    def _make_chain(self) -> chain.Chain:
        distance_s: Callable[[str], float] = self.settings.one_way_s
        generate = chain.Chain(
            [
                attempt.AttemptFilter(self.sender, self.log),
                place.PlaceFilter(self.places),
                prefill.PrefillFilter(
                    self._engines,
                    self.sender,
                    self.queues,
                    distance_s,
                    self.peers.tell,
                ),
                decode.DecodeFilter(
                    self.sender, self.ports.wire, self.outcomes
                ),
            ]
        )
        plain = chain.Chain(
            [
                call.CallFilter(
                    self.endpoints, self.stats, self.sender, distance_s
                )
            ]
        )
        return chain.Chain(
            [
                route.RouteFilter(self.routes, self._routes_proved),
                leave.LeaveFilter(self.entry.name, self._left_s, self.load),
                deadline.DeadlineFilter(),
                kind.KindFilter(generate, plain),
            ]
        )

    def _controllers(self) -> tuple:
        return (
            self._routes_watch,
            self._endpoints_watch,
            self.peers,
            self._freeze,
            self._stage_lease,
            self.stages,
        )

    # Callbacks of controllers

    def _left_s(self) -> float | None:
        """Returns how long this instance still lives; None if it stays."""
        if self._ends_at is None:
            return None
        return self._ends_at - self._now()

    def _routes_proved(self) -> bool:
        return self._routes_watch.age_s() <= ROUTES_PROVED_S

    def _routes_version(self) -> int:
        """Returns the version in force; 0 if there is none."""
        table = self.routes.table
        return table.version if table else 0

    def _heartbeat(self) -> heartbeats.Heartbeat:
        return heartbeats.Heartbeat(
            self.entry,
            self.not_ready() is None,
            self._routes_version(),
            self.room.uses(),
            self._avoided(),
            self.places.waiting(),
            self.queues.recent(),
            self.outcomes.recent(),
        )

    def _avoided(self) -> tuple[heartbeats.ExcludedEngine, ...]:
        now = self._now()
        return tuple(
            heartbeats.ExcludedEngine(key, until - now)
            for key, until in self.stats.avoided(now).items()
        )

    def _on_beat(self, beat: heartbeats.Heartbeat) -> None:
        for each in beat.avoided:
            self.stats.avoid(each.key, self._now() + each.left_s)
        self.queues.take(beat)
        self.outcomes.take(beat)

    def _order_turn(self) -> int:
        """Returns how many serving instances come before this one."""
        if self.not_ready() is not None or self._store_link.away:
            return NO_TURN
        return sum(
            beat.serving and beat.entry.name < self.entry.name
            for beat in self.peers.live()
        )

    def _on_routes(self, table: forwarding.RouteTable) -> None:
        self.front.configure(table.limits)
        self.places.keep_routes({route.name for route in table.routes})

    def _on_gone(self, endpoint: forwarding.Endpoint) -> None:
        self.stats.forget(endpoint)
        self._conns.drop(endpoint.address)

    def _on_thaw(self, suspended_s: float) -> None:
        del suspended_s
        for each in (self._routes_watch, self._endpoints_watch):
            task.run_in_background(each.restart())

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_S)
            self._conns.sweep()
