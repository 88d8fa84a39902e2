"""Puts one instance together from its ports and settings."""

import asyncio
import random

import attrs
import expression

from seam_model import admin
from seam_model import config
from seam_model import endpoints
from seam_model import errors
from seam_model import ids
from seam_model import peers
from seam_model import requests
from seam_model import settings as node_settings
from seam_node import chains
from seam_node import entry
from seam_node import gauges
from seam_node import logs
from seam_node import metrics
from seam_node import status
from seam_node.adapters import platform_meter
from seam_node.controllers import bookings
from seam_node.controllers import claims
from seam_node.controllers import config as config_controller
from seam_node.controllers import drain
from seam_node.controllers import engine_watch
from seam_node.controllers import engines
from seam_node.controllers import lease
from seam_node.controllers import membership
from seam_node.controllers import membership_view
from seam_node.controllers import mirror
from seam_node.controllers import observe
from seam_node.controllers import owner
from seam_node.controllers import ownership
from seam_node.controllers import ownership_check
from seam_node.controllers import planner
from seam_node.controllers import reaper
from seam_node.controllers import registry
from seam_node.controllers import roles
from seam_node.controllers import roles_demand
from seam_node.controllers import roles_wanted
from seam_node.controllers import runs
from seam_node.controllers import service_gate
from seam_node.filters import base
from seam_node.ports import clock
from seam_node.ports import engine
from seam_node.ports import peer
from seam_node.ports import platform
from seam_node.ports import service
from seam_policy import limits
from seam_policy import placement
from seam_policy import retry as retry_policy

START_PAUSE_S = 0.05
ROLES_LEASE = "roles"


@attrs.frozen
class Ports:
    """Everything outside the instance."""

    clock: clock.Clock
    platform: platform.Platform
    peers: peer.PeerNetwork
    engines: engine.EngineFactory
    services: service.Service


class Node:
    """One entry instance: its controllers and its two filter chains."""

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        record: endpoints.InstanceRecord,
        ports: Ports,
        rng: random.Random,
        policy: placement.Placement | None = None,
        meter: metrics.Metrics | None = None,
    ):
        """Wires controllers and filters; call inside a running loop.

        Args:
            settings: The instance's settings.
            record: How the instance announces itself.
            ports: What it talks to.
            rng: Source of nonces and jitter.
            policy: Placement to use in place of the product's own.
            meter: Metrics that parts outside the node count in as well.
        """
        self.settings = settings
        self.record = record
        self.rng = rng
        self.log = logs.Log(record.name)
        self.metrics = meter or metrics.Metrics()
        counted = platform_meter.MeteredPlatform(
            ports.platform, self.metrics.platform_call
        )
        self.ports = attrs.evolve(ports, platform=counted)
        self.runs = runs.RunTable()
        self.owner_id = f"{record.name}/{record.incarnation}"
        self.directory = engines.EngineDirectory(ports.engines, ports.clock)
        self.gates = service_gate.ServiceGates(self.directory, ports.clock)
        self._was_listed = False
        self._make_membership()
        self._make_engines(policy or placement.PowerOfTwoChoices())
        self._make_orders()
        self._make_roles()
        self._make_drain()
        self._make_observer()
        self.limiter = limits.WorkspaceLimiter(
            limits.WorkspaceLimits(1000.0, 1000.0, 1000)
        )
        self.budget = retry_policy.RetryBudget()
        self.config.subscribe(self._on_config)
        parts = self._chain_parts()
        self.generate_chain = chains.generate_chain(parts)
        self.service_chain = chains.service_chain(parts)
        self._tasks = (
            self.config,
            self.members,
            self.registry,
            self.mirror,
            self.claims,
            self.owner,
            self.watch,
            self.roles_lease,
            self.roles_demand,
            self.roles,
            self.drain,
        )

    # Life

    async def start(self) -> None:
        """Starts links and controllers; returns before the node is ready."""
        await self.ports.platform.start()
        await self.ports.peers.start()
        for task in self._tasks:
            await task.start()
        self.log.event("instance_started", data_centre=self.record.data_centre)

    async def close(self) -> None:
        """Closes controllers and links."""
        for task in reversed(self._tasks):
            await task.close()
        await self.ports.peers.close()
        await self.ports.engines.close()
        await self.ports.services.close()
        await self.ports.platform.close()
        self.log.event("instance_stopped")

    async def wait_ready(self) -> None:
        """Waits until the instance can serve."""
        while self.not_ready() is not None:
            await asyncio.sleep(START_PAUSE_S)

    def not_ready(self) -> errors.SeamError | None:
        """Returns why no new work is taken, or None."""
        if self.config.current() is None:
            return errors.InstanceNotReady("no confirmed configuration yet")
        view = self.members.view()
        if view.fleet_read_at is None:
            return errors.InstanceNotReady("no list of the fleet yet")
        # An outage of the platform empties its list; who was listed serves on.
        self._was_listed |= view.is_listed(self.record.name)
        if not (view.own.leaving or self._was_listed):
            return errors.InstanceNotReady("the platform does not list it yet")
        if self.mirror.warming:
            return errors.InstanceNotReady("its mirror learns of runs yet")
        fresh = self.config.check_freshness(self.ports.clock.monotonic())
        return fresh.error if fresh.is_error() else None

    # Requests

    async def generate(
        self, raw: base.RawRequest, sink: base.Sink
    ) -> base.Context:
        """Runs a model request; `ctx.refusal` says how it failed, if so."""
        return await self._run(self.generate_chain, raw, sink)

    async def call_service(
        self, raw: base.RawRequest, sink: base.Sink
    ) -> base.Context:
        """Runs a service call; the reply is `ctx.reply`."""
        return await self._run(self.service_chain, raw, sink)

    async def cancel(self, request_id: str, workspace: str) -> bool:
        """Cancels a workspace's run here or where its mirrors say it is."""
        tag = ids.workspace_tag(workspace)
        if await self._cancel_here(request_id, tag):
            return True
        packed = ids.pack(request_id)
        names = {site.name for site in self.members.view().live}
        names.discard(self.record.name)
        holders = await self.registry.holders(packed, tag)
        for name in sorted(holders & names):
            answer = await self.ports.peers.request(
                name,
                peers.CancelRun(packed, tag),
                registry.HAND_OVER_TIMEOUT_S,
            )
            if answer.is_ok() and answer.ok.known:
                return True
        return False

    def entry_answer(self, workspace: str) -> requests.EntryAnswer:
        """Returns which instances a caller should use."""
        cfg = self.config.current()
        rule = (
            config.resolve(cfg, self._scope(workspace)).entry if cfg else None
        )
        return entry.answer(
            self.members.view(), self.settings.distances, workspace, rule
        )

    # Operators

    def status(self) -> admin.InstanceStatus:
        """Returns what this instance says of itself."""
        reason = self.not_ready()
        now = self.ports.clock.monotonic()
        fresh = self.config.check_freshness(now)
        held = self.roles_lease.valid_for(now) > 0
        return admin.InstanceStatus(
            name=self.record.name,
            data_centre=self.record.data_centre,
            incarnation=self.record.incarnation,
            url=self.record.url,
            admin_url=self.record.admin_url,
            state=status.phase_name(self.drain.phase),
            config_version=self.config.version(),
            in_progress=self.drain.in_progress,
            not_ready=reason.describe() if reason else "",
            live_peers=len(self._live_peers()),
            warming=self.mirror.warming,
            unstored_claims=self.claims.unstored(),
            config_silent_s=(
                fresh.ok if fresh.is_ok() else fresh.error.silent_s
            ),
            leases={ROLES_LEASE: self.roles_lease.fence()} if held else {},
            ledgers=status.ledgers(self.owner.ledgers()),
            services=status.ledgers(self.gates.ledgers()),
            outcomes=self.metrics.outcomes(),
        )

    async def fleet_status(self) -> admin.FleetStatus:
        """Returns the status of every instance and endpoint."""
        listed = status.endpoint_list(self.directory, self.ownership)
        instances = await self.observer.instances()
        return admin.FleetStatus(self.record.name, instances, listed)

    async def _run(
        self, chain: base.Chain, raw: base.RawRequest, sink: base.Sink
    ) -> base.Context:
        ctx = base.make_context(raw, sink, self.ports.clock.monotonic)
        try:
            result = await chain.run(ctx)
        except Exception as exc:
            self.log.bug("request_failed", exc, request=ctx.trace.request_id)
            ctx.reached_endpoint = True
            result = base.fail(errors.Internal(type(exc).__name__))
        if result.is_error():
            ctx.refusal = self._refusal(ctx, result.error)
        return ctx

    def _refusal(
        self, ctx: base.Context, error: errors.SeamError
    ) -> requests.Refusal:
        ran = errors.Ran.UNKNOWN if ctx.reached_endpoint else errors.Ran.NO
        others = self.entry_answer(ctx.trace.workspace)
        urls = tuple(
            each.url
            for each in (*others.instances, *others.alternates)
            if each.name != self.record.name
        )
        return requests.Refusal(error, ran, ctx.retry_after_s, urls)

    # Wiring

    def _make_membership(self) -> None:
        ports = self.ports
        timing = self.settings.timing
        self.config = config_controller.ConfigController(
            ports.platform,
            ports.peers,
            ports.clock,
            self._live_peers,
            timing.watch_s,
            timing.config_silent_s,
        )
        self.members = membership.MembershipController(
            self.record,
            ports.platform,
            ports.peers,
            ports.clock,
            self.rng,
            self.config.version,
            self.config.note_peer_version,
        )
        self.members.subscribe(self._on_view)
        self.registry = registry.Registry(
            self.members, ports.peers, ports.clock, self._let_go, self._fenced
        )
        self.mirror = mirror.Mirror(
            self.members,
            ports.peers,
            ports.clock,
            self._cancel_at_engine,
            self._is_read_at_engine,
            self.registry.own_runs,
            resume_window_s=self._resume_window_s,
        )
        self.proof = ownership_check.MirrorOwnershipCheck(
            self.members, self.registry
        )
        ports.peers.register_handler(peers.CancelRun, self._on_cancel_run)

    def _make_engines(self, policy: placement.Placement) -> None:
        self.ownership = ownership.Ownership(
            lambda: self.members.view().live, self.directory
        )
        self.planner = planner.Planner(
            self.directory,
            policy,
            self.settings.distances,
            self.record.data_centre,
            self._model_rule,
            self.ports.clock,
            self.rng.getrandbits(32),
        )
        self.owner = owner.OwnerController(
            self.record.name,
            self.directory,
            self.ownership,
            self.ports.peers,
            self._engine_defaults,
            self.ports.clock,
        )
        self.bookings = bookings.BookingOwner(
            self.ports.peers, self.ports.clock
        )
        self.watch = engine_watch.EngineWatch(
            self.record.name,
            self.record.data_centre,
            self.directory,
            self.ownership,
            self.owner,
            self.planner,
            reaper.Reaper(
                self.members,
                self.ports.peers,
                self._reaped,
                self._resume_window_s,
            ),
        )

    def _make_orders(self) -> None:
        self.claims = claims.ClaimController(
            self.record.name,
            self.ports.platform,
            self.ports.peers,
            self.ports.clock,
            self.ownership.shard_owner,
            self.rng,
            self._order_window_s,
        )

    def _make_roles(self) -> None:
        ports = self.ports
        self.wanted = roles_wanted.WantedEngines(
            self._defaults,
            lambda: self.members.view().endpoints,
            ports.clock,
        )
        self.roles_lease = lease.LeaseController(
            ROLES_LEASE,
            self.record.name,
            self.record.incarnation,
            ports.platform,
            ports.clock,
            self._wants_roles_lease,
            roles.ORDER_TIMEOUT_S,
            self.settings.timing.lease_s,
        )
        self.roles_demand = roles_demand.PoolDemand(
            self.roles_lease,
            ports.engines,
            self.wanted.adaptable_records,
            ports.clock,
        )
        self.roles = roles.RolesController(
            self.roles_lease,
            ports.engines,
            ports.clock,
            self.wanted.records,
            lambda records: self.wanted.decide(
                records, self.roles_demand, self.roles_lease.fence()
            ),
            self.wanted.load_s,
            self._note_model_order,
        )

    def _make_drain(self) -> None:
        self.drain = drain.DrainController(
            self.record.name,
            self._on_phase,
            (self.claims.flush, self._resign_lease),
        )

    def _chain_parts(self) -> chains.Parts:
        return chains.Parts(
            data_centre=self.record.data_centre,
            owner_id=self.owner_id,
            settings=self.settings,
            rng=self.rng,
            log=self.log,
            metrics=self.metrics,
            clock=self.ports.clock,
            peers=self.ports.peers,
            services=self.ports.services,
            not_ready=self.not_ready,
            current_config=self.config.current,
            runs=self.runs,
            drain=self.drain,
            directory=self.directory,
            ownership=self.ownership,
            planner=self.planner,
            registry=self.registry,
            proof=self.proof,
            gates=self.gates,
            claims=self.claims,
            limiter=self.limiter,
            budget=self.budget,
        )

    def _make_observer(self) -> None:
        self.observer = observe.Observer(
            self.record.name,
            self.ports.peers,
            self.members.view,
            self.status,
            self.runs,
        )
        self.metrics.registry.register(gauges.StatusCollector(self.status))

    # Callbacks of controllers

    def _defaults(self) -> config.Defaults | None:
        cfg = self.config.current()
        return cfg.defaults if cfg else None

    def _engine_defaults(
        self, record: endpoints.EndpointRecord
    ) -> config.Defaults | None:
        cfg = self.config.current()
        if cfg is None:
            return None
        scope = config.Scope(engine=record.name, data_centre=record.data_centre)
        return config.resolve(cfg, scope)

    def _order_window_s(self) -> float:
        defaults = self._defaults()
        return defaults.orders.window_s if defaults else 0.0

    def _model_rule(self, model: str) -> config.ModelRule | None:
        defaults = self._defaults()
        return defaults.models.get(model) if defaults else None

    def _live_peers(self) -> tuple[str, ...]:
        live = self.members.view().live
        return tuple(s.name for s in live if s.name != self.record.name)

    def _on_view(self, view: membership_view.MembershipView) -> None:
        self.directory.update(view.endpoints.values())

    def _on_config(self, cfg: config.FleetConfig) -> None:
        self.log.event("config_in_force", version=cfg.version)
        names = {rule.scope.workspace for rule in cfg.exceptions} - {""}
        own = config.resolve(cfg, self._scope(""))
        self.limiter.configure(
            _limits(own.workspace),
            {
                name: _limits(config.resolve(cfg, self._scope(name)).workspace)
                for name in names
            },
        )
        self.budget.configure(own.retry.budget_ratio)
        self.drain.configure(cfg.defaults.drain.refuse_after_s)
        self.owner.tell(owner.Reconfigure())

    def _scope(self, workspace: str) -> config.Scope:
        """Returns the scope of what a workspace does at this instance."""
        return config.Scope(
            workspace=workspace, data_centre=self.record.data_centre
        )

    def _resume_window_s(self) -> float:
        defaults = self._defaults()
        return defaults.resume_window_s if defaults else mirror.RESUME_WINDOW_S

    def _on_phase(self, phase: drain.Phase) -> None:
        self.log.event("drain_phase", phase=phase.name.lower())
        if phase is drain.Phase.ANNOUNCED:
            self.members.spawn(self.members.leave())

    def _wants_roles_lease(self) -> bool:
        """Tells whether this instance is the one that should give orders."""
        if self.drain.phase is not drain.Phase.SERVING or self.not_ready():
            return False
        if not self.wanted.has_rules():
            return False
        key = f"{lease.PREFIX}{ROLES_LEASE}".encode()
        return self.ownership.shard_owner(key) == self.record.name

    async def _resign_lease(self) -> None:
        await self.roles_lease.ask(lease.Release())

    def _note_model_order(
        self,
        record: endpoints.EndpointRecord,
        order: endpoints.ModelOrder,
        result: expression.Result,
    ) -> None:
        self.log.event(
            "model_order",
            engine=record.name,
            order=order.order_id,
            role=order.role.value,
            models=",".join(order.models),
            outcome="ok" if result.is_ok() else result.error.code,
        )

    def _fenced(self, request_id: bytes) -> None:
        self.members.spawn(self._let_go(request_id))

    async def _let_go(self, request_id: bytes) -> None:
        run = await self.runs.stop(
            ids.unpack(request_id), runs.Stop.HANDED_OVER
        )
        if run is not None:
            await run.relay_ended.wait()

    async def _on_cancel_run(
        self, sender: str, message: peers.CancelRun
    ) -> peers.CancelAnswer:
        del sender
        request_id = ids.unpack(message.request_id)
        known = await self._cancel_here(request_id, message.tag)
        return peers.CancelAnswer(known)

    async def _cancel_here(self, request_id: str, tag: bytes) -> bool:
        run = self.runs.get(request_id)
        if run is None or ids.workspace_tag(run.trace.workspace) != tag:
            return False
        await runs.stop_run(run, runs.Stop.CANCELLED)
        return True

    async def _cancel_at_engine(
        self, name: str, request_id: bytes, generation: int
    ) -> bool:
        if self.directory.record(name) is None:
            return False
        done = await self.directory.engine(name).cancel(
            ids.unpack(request_id), ids.last_incarnation(generation)
        )
        return done.is_ok()

    async def _is_read_at_engine(self, name: str, request_id: bytes) -> bool:
        """Tells whether a reader is attached, or can't be ruled out."""
        if self.directory.record(name) is None:
            return False
        report = await self.directory.engine(name).load()
        if report.is_error():
            return True
        wanted = ids.unpack(request_id)
        return any(
            held.request_id == wanted and held.idle_s <= 0.0
            for held in report.ok.streams
        )

    def _reaped(self, held: endpoints.HeldStream) -> None:
        self.metrics.stream_reaped()
        self.log.event(
            "stream_reaped", request=held.request_id, owner=held.owner
        )


def _limits(rule: config.WorkspaceLimits) -> limits.WorkspaceLimits:
    return limits.WorkspaceLimits(
        rule.rate_per_s, float(rule.burst), rule.concurrency
    )
