"""Assembles a forwarding instance and manages its life cycle."""

import asyncio
import socket

import attrs

from seam_model import errors
from seam_model import forward_settings
from seam_model import forwarding
from seam_node import chain
from seam_node import logs
from seam_node import metrics
from seam_node import task
from seam_node.adapters import process_memory
from seam_node.controllers import lease
from seam_node.forward import chains
from seam_node.forward import forward_gauges
from seam_node.forward import suspend_watch
from seam_node.forward.callers import caller_memory
from seam_node.forward.callers import caller_server
from seam_node.forward.callers import client_closings
from seam_node.forward.callers import departure
from seam_node.forward.callers import entry
from seam_node.forward.callers import handler
from seam_node.forward.callers import key_refusals
from seam_node.forward.callers import listener_limits
from seam_node.forward.endpoints import availability
from seam_node.forward.endpoints import call_stats
from seam_node.forward.endpoints import connections
from seam_node.forward.endpoints import endpoint_limits
from seam_node.forward.endpoints import engine_access
from seam_node.forward.endpoints import exchange
from seam_node.forward.endpoints import release_calls
from seam_node.forward.endpoints import request_sender
from seam_node.forward.fleet import datagrams
from seam_node.forward.fleet import messages
from seam_node.forward.fleet import peers
from seam_node.forward.placement import fleet_placement
from seam_node.forward.placement import stages
from seam_node.forward.placement import workload
from seam_node.forward.quota import quota_metrics
from seam_node.forward.service_calls import fleet_services
from seam_node.forward.store import announcer
from seam_node.forward.store import store_view
from seam_node.ports import catalog
from seam_node.ports import clock
from seam_node.ports import wire
from seam_policy import memory_budget
from seam_policy import retry_share
from seam_policy import time_bounds

NO_ORDER_POSITION = 10**6
"""Order position of an instance that must not send orders."""
STAGE_LEASE = "stages"
EXIT_MARGIN_S = 0.4
"""Time before the end of the grace period at which the process exits."""


@attrs.frozen
class Ports:
    """Interfaces to everything outside the instance."""

    clock: clock.Clock
    catalog: catalog.Catalog
    wire: wire.Wire


class ForwardNode:
    """A forwarding instance with its controllers and filter chain."""

    def __init__(
        self,
        settings: forward_settings.ForwardSettings,
        incarnation: int,
        ports: Ports,
        meter: metrics.Metrics,
        log: logs.Log,
    ):
        """Creates controllers and filters; requires a running event loop."""
        self.settings = settings
        self.ports = ports
        self.metrics = meter
        self.log = log
        self._now = ports.clock.monotonic
        self._leaving = False
        self._client_limits = listener_limits.of_process(settings)
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
        self._make_fleet()
        self._handler = handler.RequestHandler(
            self.entry.name,
            ports.wire,
            self._make_chain(),
            self._store.endpoints_watch.age_s,
            self._now,
            meter,
            log,
        )
        self.memory = caller_memory.CallerMemory(
            memory_budget.MemoryBudget(settings.capacity.memory_bytes()),
            process_memory.private_bytes,
            self._now,
        )
        self.caller_server = caller_server.CallerServer(
            self._handler.handle,
            self._handler.refuse_unparsed,
            self.memory,
            self._now,
            caller_server.INITIAL_LIMITS,
            caller_server.CapacityLimits(
                listener_limits.of_listener(
                    settings, self._client_limits.callers
                ),
                self._client_limits.requests,
                client_closings.ClientClosings("callers", meter, log).note,
            ),
        )
        self.routes.on_change = self._on_routes
        self._register_gauges()
        self._idle_closer: asyncio.Task | None = None

    # Life cycle

    async def start(self, callers: list[socket.socket]) -> None:
        """Starts the controllers and accepts callers on bound sockets."""
        await self.ports.catalog.start()
        for each in self._controllers():
            await each.start()
        self.caller_server.start(callers)
        self._idle_closer = asyncio.ensure_future(
            self._conns.keep_closing_expired()
        )
        self._announcer.announce()
        self.log.event(
            "instance_started",
            data_centre=self.entry.data_centre,
            memory_mb=self.settings.capacity.memory_mb,
            private_bytes=process_memory.private_bytes(),
        )

    async def close(self) -> None:
        """Closes the controllers and all connections."""
        self._idle_closer.cancel()
        self._announcer.close()
        cut_count = await self.caller_server.close()
        for each in reversed(self._controllers()):
            await each.close()
        await self.releases.close()
        self._conns.close()
        await self.ports.catalog.close()
        self.log.event("instance_stopped", connections_cut=cut_count)

    async def leave(self) -> None:
        """Stops accepting callers and waits for the running requests.

        Returns at the latest `EXIT_MARGIN_S` before the end of the grace
        period.
        """
        started_at = self._now()
        grace_s = self.settings.leaving.grace_s
        self._leaving = True
        self._announcer.close()
        exit_at = started_at + grace_s - EXIT_MARGIN_S
        self._departure.begin(exit_at)
        self.log.event(
            "instance_leaving", running=len(self.caller_server.running)
        )
        self.caller_server.refuse_reuse()
        self.peers.schedule_heartbeat()
        withdrawal = asyncio.ensure_future(
            self.ports.catalog.withdraw(self.entry.name)
        )
        cache_s = self.settings.entry.effective_cache_s()
        await asyncio.sleep(time_bounds.accept_s(cache_s, grace_s))
        self.caller_server.stop_accepting()
        await self.caller_server.drain(exit_at)
        withdrawal.cancel()

    def not_ready(self) -> errors.SeamError | None:
        """Returns why the instance is not ready for callers, or None."""
        if self._leaving:
            return errors.InstanceLeaving(self.entry.name)
        if self.routes.table is None:
            return errors.RoutesUnproved()
        if self._store.endpoints_watch.answered_at is None:
            return errors.InstanceNotReady("no list of endpoints yet")
        if not self.fleet.prompts.is_known:
            return errors.InstanceNotReady("no quarantine yet")
        return None

    def entry_answer(self, data_centre: str) -> entry.EntryAnswer:
        """Returns the instances that a caller should use."""
        live = [*self.peers.live(), self._heartbeat()]
        cache_s = self.settings.entry.effective_cache_s()
        return entry.choose(live, data_centre, cache_s)

    # Wiring

    def _make_state(self) -> None:
        self._store = store_view.StoreView(
            self.settings,
            self.ports.catalog,
            lambda: self.peers.received_heartbeats(),
            lambda outcome: self.metrics.platform_call("read", outcome),
            self._now,
            self.log,
        )
        self.routes = self._store.routes
        self.endpoints = self._store.endpoints
        self._proof = self._store.proof
        self._store_link = self._store.link
        self.key_refusals = key_refusals.KeyRefusals(
            self._proof.age_s, self._now, self.log
        )
        self._announcer = announcer.Announcer(self.entry, self.ports.catalog)
        self._port = datagrams.DatagramPort(self.entry.peers)
        self.peers = peers.PeerHeartbeats(
            self.entry,
            self.ports.catalog,
            self._port,
            self._heartbeat,
            self._announcer.announce,
            self._now,
            self.log,
        )
        self._store_link.on_restored.append(self.peers.on_store_restored)
        self.load = workload.WorkloadEstimate(self.settings.workload, self._now)
        self._departure = departure.Departure(
            self.entry.name, self.load, self._now
        )
        self._suspend_watch = suspend_watch.SuspendWatch(
            self._now, self._on_resume, self.log
        )

    def _make_senders(self) -> None:
        retries = self.settings.retries
        self._conns = connections.Connections()
        self.stats = call_stats.CallStats()
        self.limits = endpoint_limits.EndpointLimits(self._now, self.log)
        self.available = availability.Availability(
            self.endpoints, self._store.signs, self._now, self.log
        )
        self._client = exchange.EndpointClient(
            self.ports.wire,
            self._conns,
            self.limits,
            self.available,
            self.log,
        )
        self.releases = release_calls.ReleaseCalls(self._client, self.log)
        self.sender = request_sender.RequestSender(
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
            self.limits,
            self.available,
            self.releases,
            self.log,
        )

    def _make_fleet(self) -> None:
        view = fleet_placement.FleetView(
            self._heartbeat,
            self.peers.live,
            self.peers.entry_of,
            self._port.send,
            self.peers.known_names,
            self.peers.heard_count,
        )
        self.fleet = fleet_placement.FleetPlacement(
            self.entry,
            self._engines,
            view,
            self.ports.catalog,
            self.load,
            self.settings.quotas,
            self.routes.engine_spec,
            self.settings.one_way_s,
            self._now,
        )
        self._store_link.on_restored.append(
            self.fleet.prompts.on_store_restored
        )
        self.services = fleet_services.FleetServices(
            self.entry,
            self._engines,
            view,
            self.fleet.coordinators,
            self.settings.one_way_between_s,
            self._now,
        )
        handlers = self.fleet.handlers() | self.services.handlers()
        for kind_of_message, handle in handlers.items():
            self._port.handle(kind_of_message, handle)
        self._store.make_feeds(
            self.entry,
            self.fleet.coordinators,
            self._client_limits.feeds,
            client_closings.ClientClosings(
                "feeds", self.metrics, self.log
            ).note,
        )
        self.endpoints.on_ended = self._on_ended
        self.endpoints.on_stage = lambda each: self.stats.include(each.key)
        self._make_stages()

    def _make_stages(self) -> None:
        self.stages = stages.StageController(
            self.routes,
            self._engines,
            self.load,
            self._order_position,
            self._now,
        )
        self._stage_lease = lease.LeaseController(
            STAGE_LEASE,
            self.entry.name,
            self.entry.incarnation,
            self.ports.catalog,
            self.ports.clock,
            self.stages.wants_lease,
            time_bounds.lease_handover_s(
                self.settings.orders.handover_ms / forward_settings.MS_PER_S,
                stages.ORDER_TIMEOUT_S,
            ),
            stages.LEASE_S,
            takes_over_own=True,
        )
        self.stages.set_lease(self._stage_lease)
        self._store_link.on_restored.append(self.stages.observe_soon)

    def _register_gauges(self) -> None:
        self.metrics.registry.register(
            quota_metrics.QuotaCollector(self.fleet.quotas)
        )
        reasons = key_refusals.Reason
        count_refusals = self.key_refusals.count
        waiting, in_flight, granted, refused, unanswered = (
            self.services.gauges()
        )
        forward_gauges.register(
            self.metrics,
            forward_gauges.GaugeSources(
                routes_version=self.routes.version,
                routes_unreadable=lambda: float(self.routes.newest_unreadable),
                store_age_s=self._store.endpoints_watch.age_s,
                live_peers=lambda: len(self.peers.live()),
                queued_requests=lambda: len(self.fleet.placer),
                connections_opened=lambda: self._conns.opened_count,
                store_era=lambda: self._store_link.era,
                quarantined_prompts=lambda: len(self.fleet.prompts),
                endpoints_leaving=lambda: len(self.endpoints.leaving_keys()),
                leaving_heard=lambda: self.available.leaving_heard,
                endpoints_pausing=lambda: len(self.available.pausing()),
                pauses_heard=lambda: self.available.pauses_heard,
                held_bytes=lambda: self.memory.held_bytes,
                refused_for_memory=lambda: self.memory.refused,
                answers_skipped=lambda: self._client.skipped_count,
                routes_proof_age_s=self._proof.age_s,
                keys_missing=lambda: count_refusals(reasons.MISSING),
                keys_unknown=lambda: count_refusals(reasons.UNKNOWN),
                keys_unproved=lambda: count_refusals(reasons.UNPROVED),
                caller_connections=lambda: self.caller_server.connection_count,
                service_calls_waiting=waiting,
                service_calls_in_flight=in_flight,
                service_calls_granted=granted,
                service_calls_refused=refused,
                service_asks_unanswered=unanswered,
            ),
        )

    def _make_chain(self) -> chain.Chain:
        return chains.make(
            chains.Parts(
                self.routes,
                self._engines,
                self.limits,
                self.sender,
                self.fleet,
                self.services,
                self.load,
                self.log,
                self._store.is_up_to_date,
                self._proof.keys_proved,
                self.key_refusals,
                self._departure,
            )
        )

    def _controllers(self) -> tuple:
        return (
            self.memory,
            self._port,
            self._store.routes_watch,
            self._store.endpoints_watch,
            self.peers,
            self.fleet,
            self.services,
            self._store.feed_server,
            self._store.feed_client,
            self._suspend_watch,
            self._stage_lease,
            self.stages,
        )

    # Callbacks of controllers

    def _heartbeat(self) -> messages.Heartbeat:
        return messages.Heartbeat(
            self.entry,
            self.not_ready() is None,
            self.routes.version(),
            self.settings.capacity.cores(),
            not self._store_link.unreachable,
            self._leaving,
        )

    def _order_position(self) -> int:
        """Returns how many coordinators precede this instance."""
        position = self.fleet.coordinators.order_position(self.entry.name)
        return NO_ORDER_POSITION if position is None else position

    def _on_routes(self, table: forwarding.RouteTable) -> None:
        self.caller_server.configure(table.limits)
        self.fleet.on_routes(table)
        self.services.on_routes(table)

    def _on_ended(self, endpoint: forwarding.Endpoint) -> None:
        self.stats.remove(endpoint)
        self.limits.remove(endpoint.key)
        self.services.remove(endpoint.key)
        self._conns.drop(endpoint.address)

    def _on_resume(self, suspended_s: float) -> None:
        del suspended_s
        task.run_in_background(self._read_anew())

    async def _read_anew(self) -> None:
        """Reads the store again after a suspension."""
        await self._store.read_anew()
