"""Assembles one entry instance from its ports and settings."""

import asyncio
import functools
import random

import attrs

from seam_model import admin
from seam_model import config
from seam_model import endpoints
from seam_model import errors
from seam_model import ids
from seam_model import requests
from seam_model import settings as node_settings
from seam_node import chains
from seam_node import entry
from seam_node import gauges
from seam_node import limits_in_force
from seam_node import logs
from seam_node import metrics
from seam_node import rules
from seam_node import status
from seam_node.adapters import platform_meter
from seam_node.controllers import bookings
from seam_node.controllers import cancellation
from seam_node.controllers import claims
from seam_node.controllers import config as config_controller
from seam_node.controllers import drain
from seam_node.controllers import engine_watch
from seam_node.controllers import engines
from seam_node.controllers import lease
from seam_node.controllers import membership
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

READY_POLL_INTERVAL_S = 0.05
ROLES_LEASE = "roles"


@attrs.frozen
class Ports:
    """Interfaces of an instance to everything outside it."""

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
        """Connects controllers and filters; requires a running event loop.

        Args:
            settings: The instance's settings.
            record: Entry of the instance in the fleet list.
            ports: Interfaces to the outside.
            rng: Random source for nonces and jitter.
            policy: Placement policy to use instead of the default.
            meter: Metrics to share with components outside the node.
        """
        self.settings = settings
        self.record = record
        self.rng = rng
        self.log = logs.Log(record.name)
        self.metrics = meter or metrics.Metrics()
        metered_platform = platform_meter.MeteredPlatform(
            ports.platform, self.metrics.platform_call
        )
        self.ports = attrs.evolve(ports, platform=metered_platform)
        self.runs = runs.RunTable()
        self.owner_id = f"{record.name}/{record.incarnation}"
        self.directory = engines.EngineDirectory(ports.engines, ports.clock)
        self.gates = service_gate.ServiceGates(self.directory, ports.clock)
        self._engine_streams = cancellation.EngineStreams(self.directory)
        self._rules = rules.Rules(
            lambda: self.config.current(), record.data_centre
        )
        self._seen_in_fleet_list = False
        self._create_membership()
        self._create_engines(policy or placement.PowerOfTwoChoices())
        self._create_claims()
        self._create_roles()
        self._create_drain()
        self._create_observer()
        self.limiter = limits.WorkspaceLimiter(
            limits.WorkspaceLimits(1000.0, 1000.0, 1000)
        )
        self.budget = retry_policy.RetryBudget()
        self.config.subscribe(self._on_config)
        deps = self._filter_dependencies()
        self.generate_chain = chains.generate_chain(deps)
        self.service_chain = chains.service_chain(deps)
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

    # Lifecycle

    async def start(self) -> None:
        """Starts ports and controllers; does not wait for readiness."""
        await self.ports.platform.start()
        await self.ports.peers.start()
        for task in self._tasks:
            await task.start()
        self.log.event("instance_started", data_centre=self.record.data_centre)

    async def close(self) -> None:
        """Closes controllers and ports."""
        for task in reversed(self._tasks):
            await task.close()
        await self.ports.peers.close()
        await self.ports.engines.close()
        await self.ports.services.close()
        await self.ports.platform.close()
        self.log.event("instance_stopped")

    async def wait_ready(self) -> None:
        """Waits until the instance accepts requests."""
        while self.not_ready() is not None:
            await asyncio.sleep(READY_POLL_INTERVAL_S)

    def not_ready(self) -> errors.SeamError | None:
        """Returns why new requests are refused, or None when ready."""
        if self.config.current() is None:
            return errors.InstanceNotReady("no confirmed configuration yet")
        view = self.members.view()
        if view.fleet_read_at is None:
            return errors.InstanceNotReady("no fleet list received yet")
        # A platform outage empties its list, so an instance that was listed
        # once keeps serving.
        self._seen_in_fleet_list |= view.is_listed(self.record.name)
        if not (view.own.leaving or self._seen_in_fleet_list):
            return errors.InstanceNotReady(
                "instance not in the platform's fleet list yet"
            )
        if self.mirror.warming:
            return errors.InstanceNotReady(
                "mirror has not synchronised its runs yet"
            )
        freshness = self.config.check_freshness(self.ports.clock.monotonic())
        return freshness.error if freshness.is_error() else None

    # Requests

    async def generate(
        self, raw: base.RawRequest, sink: base.Sink
    ) -> base.Context:
        """Runs a model request; `ctx.refusal` is set if it failed."""
        return await self._run(self.generate_chain, raw, sink)

    async def call_service(
        self, raw: base.RawRequest, sink: base.Sink
    ) -> base.Context:
        """Runs a service call; `ctx.reply` holds the reply."""
        return await self._run(self.service_chain, raw, sink)

    async def cancel(self, request_id: str, workspace: str) -> bool:
        """Cancels a workspace's run on this instance or a remote holder."""
        return await self.cancellation.cancel(request_id, workspace)

    def entry_answer(self, workspace: str) -> requests.EntryAnswer:
        """Returns the entry instances that a caller should use."""
        cfg = self.config.current()
        rule = (
            config.resolve(cfg, self._rules.scope(workspace)).entry
            if cfg
            else None
        )
        return entry.answer(
            self.members.view(), self.settings.distances, workspace, rule
        )

    # Operators

    def status(self) -> admin.InstanceStatus:
        """Returns the status of this instance."""
        reason = self.not_ready()
        now = self.ports.clock.monotonic()
        freshness = self.config.check_freshness(now)
        holds_lease = self.roles_lease.valid_for(now) > 0
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
                freshness.ok if freshness.is_ok() else freshness.error.silent_s
            ),
            leases={ROLES_LEASE: self.roles_lease.fence()}
            if holds_lease
            else {},
            ledgers=status.ledger_statuses(self.owner.ledgers()),
            services=status.ledger_statuses(self.gates.ledgers()),
            outcomes=self.metrics.outcomes(),
        )

    async def fleet_status(self) -> admin.FleetStatus:
        """Returns the status of every instance and endpoint."""
        listed = status.endpoint_statuses(self.directory, self.ownership)
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

    def _create_membership(self) -> None:
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
        self.members.subscribe(
            lambda view: self.directory.update(view.endpoints.values())
        )
        self.registry = registry.Registry(
            self.members,
            ports.peers,
            ports.clock,
            self._stop_relay,
            self._on_fenced,
        )
        self.mirror = mirror.Mirror(
            self.members,
            ports.peers,
            ports.clock,
            self._engine_streams.cancel,
            self._engine_streams.has_reader,
            self.registry.own_runs,
            resume_window_s=self._rules.resume_window_s,
        )
        self.ownership_check = ownership_check.MirrorOwnershipCheck(
            self.members, self.registry
        )
        self.cancellation = cancellation.RunCancellation(
            self.record.name,
            self.runs,
            self.members,
            self.registry,
            ports.peers,
        )

    def _create_engines(self, policy: placement.Placement) -> None:
        self.ownership = ownership.Ownership(
            lambda: self.members.view().live, self.directory
        )
        self.planner = planner.Planner(
            self.directory,
            policy,
            self.settings.distances,
            self.record.data_centre,
            self._rules.model_rule,
            self.ports.clock,
            self.rng.getrandbits(32),
        )
        self.owner = owner.OwnerController(
            self.record.name,
            self.directory,
            self.ownership,
            self.ports.peers,
            self._rules.engine_defaults,
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
                functools.partial(
                    reaper.record_cancelled, self.metrics, self.log
                ),
                self._rules.resume_window_s,
            ),
        )

    def _create_claims(self) -> None:
        self.claims = claims.ClaimController(
            self.record.name,
            self.ports.platform,
            self.ports.peers,
            self.ports.clock,
            self.ownership.shard_owner,
            self.rng,
            self._rules.order_window_s,
        )

    def _create_roles(self) -> None:
        ports = self.ports
        self.wanted_engines = roles_wanted.WantedEngines(
            self._rules.defaults,
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
            self.wanted_engines.adaptable_records,
            ports.clock,
        )
        self.roles = roles.RolesController(
            self.roles_lease,
            ports.engines,
            ports.clock,
            self.wanted_engines.records,
            lambda records: self.wanted_engines.decide(
                records, self.roles_demand, self.roles_lease.fence()
            ),
            self.wanted_engines.load_s,
            functools.partial(roles.log_order, self.log),
        )

    def _create_drain(self) -> None:
        self.drain = drain.DrainController(
            self.record.name,
            self._on_phase,
            (
                self.claims.flush,
                functools.partial(self.roles_lease.ask, lease.Release()),
            ),
        )

    def _filter_dependencies(self) -> chains.FilterDependencies:
        return chains.FilterDependencies(
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
            ownership_check=self.ownership_check,
            gates=self.gates,
            claims=self.claims,
            limiter=self.limiter,
            budget=self.budget,
        )

    def _create_observer(self) -> None:
        self.observer = observe.Observer(
            self.record.name,
            self.ports.peers,
            self.members.view,
            self.status,
            self.runs,
        )
        self.metrics.registry.register(gauges.StatusCollector(self.status))

    # Controller callbacks

    def _live_peers(self) -> tuple[str, ...]:
        live = self.members.view().live
        return tuple(s.name for s in live if s.name != self.record.name)

    def _on_config(self, cfg: config.FleetConfig) -> None:
        self.log.event("config_in_force", version=cfg.version)
        limits_in_force.apply(cfg, self._rules, self.limiter, self.budget)
        self.drain.configure(cfg.defaults.drain.refuse_after_s)
        self.owner.tell(owner.Reconfigure())

    def _on_phase(self, phase: drain.Phase) -> None:
        self.log.event("drain_phase", phase=phase.name.lower())
        if phase is drain.Phase.ANNOUNCED:
            self.members.spawn(self.members.leave())

    def _wants_roles_lease(self) -> bool:
        """Returns whether this instance should hold the roles lease."""
        if self.drain.phase is not drain.Phase.SERVING or self.not_ready():
            return False
        if not self.wanted_engines.has_rules():
            return False
        key = f"{lease.PREFIX}{ROLES_LEASE}".encode()
        return self.ownership.shard_owner(key) == self.record.name

    def _on_fenced(self, request_id: bytes) -> None:
        self.members.spawn(self._stop_relay(request_id))

    async def _stop_relay(self, request_id: bytes) -> None:
        run = await self.runs.stop(
            ids.unpack(request_id), runs.Stop.HANDED_OVER
        )
        if run is not None:
            await run.relay_ended.wait()
