"""A fleet that calls a plain service, on virtual time and without sockets.

Datagrams take `DELAY_S`; a test may silence instances or lose messages.
"""

import asyncio
import collections

import attrs

from seam_model import errors
from seam_model import forwarding
from seam_model import workspace_config
from seam_node import logs
from seam_node.forward.callers import context
from seam_node.forward.endpoints import availability
from seam_node.forward.endpoints import call_stats
from seam_node.forward.endpoints import endpoint_limits
from seam_node.forward.endpoints import engine_access
from seam_node.forward.fleet import coordinators
from seam_node.forward.fleet import fleet_links
from seam_node.forward.fleet import message_codec
from seam_node.forward.fleet import messages
from seam_node.forward.placement import fleet_placement
from seam_node.forward.service_calls import fleet_services
from seam_node.forward.store import catalog_state
from seam_node.ports import catalog
from seam_policy import endpoint_signs
from standins import forward_heartbeats
from standins import virtual_loop

DELAY_S = 0.002
SERVICE = "calls"
SLOTS = 6
SERVICE_S = 0.07
ROUTE = forwarding.Route(
    name="read",
    host="h",
    path_prefix="/",
    kind=forwarding.RouteKind.IDEMPOTENT,
    timeout_s=2.0,
    target_s=0.35,
    rank=0,
    splits=(),
    max_attempts=2,
)


@attrs.define(eq=False)
class Endpoint:
    """Runs calls in its slots and refuses what exceeds its queue."""

    entry: forwarding.Endpoint
    service_s: float = SERVICE_S
    queue: int = 4
    failing: bool = False
    """Whether it fails each call at once while it reports healthy."""
    gone: bool = False
    """Whether it cannot be reached."""
    running: int = 0
    most: int = 0
    """Most calls that it had at once, the refused ones included."""
    got: int = 0
    refused: int = 0
    served: int = 0
    _slots: asyncio.Semaphore = attrs.field(
        init=False,
        default=attrs.Factory(
            lambda self: asyncio.Semaphore(self.entry.slots), takes_self=True
        ),
    )

    async def run(self) -> messages.Outcome:
        self.got += 1
        if self.gone:
            return messages.Outcome.GONE
        self.most = max(self.most, self.running + 1)
        if self.running >= self.entry.slots + self.queue:
            self.refused += 1
            return messages.Outcome.FULL
        self.running += 1
        try:
            if self.failing:
                return messages.Outcome.FAILED
            async with self._slots:
                await asyncio.sleep(self.service_s)
            self.served += 1
            return messages.Outcome.SERVED
        finally:
            self.running -= 1


class Instance:
    """The parts of an instance that have to do with plain calls."""

    def __init__(self, world: "World", name: str):
        self.world = world
        self.entry = forward_heartbeats.make_instance_entry(name)
        now, log = world.now, logs.Log(name)
        self.signs = signs = endpoint_signs.EndpointSigns()
        self.endpoints = catalog_state.Endpoints(log, now, signs)
        for each in world.endpoints.values():
            self.endpoints.put(catalog.Entry(each.entry.id, 1, each.entry))
        self.available = availability.Availability(
            self.endpoints, signs, now, log
        )
        self.limits = endpoint_limits.EndpointLimits(now, log)
        view = fleet_placement.FleetView(
            self.heartbeat,
            self._live,
            world.entry_of,
            self.send,
            lambda: set(world.instances),
            lambda: len(self._live()),
        )
        self.order = coordinators.Coordinators(view.own, view.live, now, log)
        self.limits.connect(
            fleet_links.FleetLinks(
                name,
                self.order.responsive,
                self.order.first,
                lambda: [each.entry for each in self._live()],
                self.send,
            )
        )
        self.services = fleet_services.FleetServices(
            self.entry,
            engine_access.EngineAccess(
                self.endpoints,
                call_stats.CallStats(),
                None,
                None,
                self.limits,
                self.available,
                None,
                log,
            ),
            view,
            self.order,
            lambda source, target: 0.0 if source == target else 0.004,
            now,
        )
        self.placer = self.services.placer
        self.client = self.services.client
        self._handlers = self.services.handlers()

    @property
    def name(self) -> str:
        return self.entry.name

    def heartbeat(self) -> messages.Heartbeat:
        return messages.Heartbeat(self.entry, True, 1, 1.0, True)

    def send(self, message: object, to: forwarding.InstanceEntry) -> None:
        self.world.transmit(self.name, to.name, message)

    def receive(self, message: object) -> None:
        self._handlers[type(message)](message)

    def make_context(
        self, route: forwarding.Route = ROUTE, deadline_s: float | None = None
    ) -> context.ForwardContext:
        """Returns the context of a call that has arrived now."""
        req = forwarding.ForwardRequest(
            "r", "POST", "h", "/", (), b"", deadline_s
        )
        now = self.world.now
        ctx = context.ForwardContext(req, None, now(), now)
        ctx.route = route
        ctx.service = forwarding.ServiceSpec(SERVICE, 50)
        ctx.deadline_at = ctx.arrived_at + (deadline_s or route.timeout_s)
        return ctx

    async def choose(self, ctx: context.ForwardContext):
        """Returns the choice of an endpoint for a call."""
        error = errors.NoEndpoint(SERVICE)
        return await self.services.chooser.choose(ctx, error)

    async def call(
        self,
        route: forwarding.Route = ROUTE,
        deadline_s: float | None = None,
        workspace: str = "",
    ) -> tuple[str, float]:
        """Sends one call once; returns how it went and how long it took."""
        ctx = self.make_context(route, deadline_s)
        if workspace:
            ctx.workspace = workspace_config.Workspace(workspace, ())
        chosen = await self.choose(ctx)
        if chosen.is_error():
            return chosen.error.code, ctx.age_s()
        sent_at = self.world.now()
        key = chosen.ok.endpoint.key
        self.world.placed[chosen.ok.decision is not None] += 1
        outcome = await self.world.endpoints[key].run()
        took_s = self.world.now() - sent_at
        self.services.chooser.ended(chosen.ok, outcome, took_s)
        return outcome.name, ctx.age_s()

    def _live(self) -> list[messages.Heartbeat]:
        return [
            each.heartbeat()
            for each in self.world.instances.values()
            if each is not self and each.name not in self.world.known_dead
        ]


class World:
    """A fleet whose instances see each other as live."""

    def __init__(self, instances: int = 30, endpoints: int = 3):
        self.now = asyncio.get_running_loop().time
        self.endpoints: dict[str, Endpoint] = {}
        for number in range(endpoints):
            entry = forwarding.Endpoint(
                f"e-{number}",
                1,
                forwarding.Address("10.0.0.9", 80),
                SERVICE,
                "here",
                SLOTS,
                False,
            )
            self.endpoints[entry.key] = Endpoint(entry)
        self.silent: set[str] = set()
        """Instances that neither send nor receive."""
        self.known_dead: set[str] = set()
        self.lost: set[type] = set()
        """Types of messages that are lost."""
        self.sent: list[tuple[float, str, object]] = []
        """Time, receiver and message of each datagram."""
        self.placed: collections.Counter[bool] = collections.Counter()
        """Calls by whether a placer granted their endpoint."""
        self.instances: dict[str, Instance] = {}
        for number in range(instances):
            name = f"i-{number}"
            self.instances[name] = Instance(self, name)

    @property
    def placer(self) -> Instance:
        """The first coordinator of the live instances."""
        any_instance = next(iter(self.instances.values()))
        return self.instances[any_instance.order.ordered()[0].entry.name]

    @property
    def others(self) -> list[Instance]:
        """All instances but the placer."""
        return [i for i in self.instances.values() if i is not self.placer]

    def endpoint(self, number: int) -> Endpoint:
        return self.endpoints[f"e-{number}/1"]

    def remove(self, number: int) -> None:
        """Takes an endpoint out of the store's list."""
        for each in self.instances.values():
            each.endpoints.remove(f"e-{number}")

    def entry_of(self, name: str) -> forwarding.InstanceEntry | None:
        known = self.instances.get(name)
        return known.entry if known else None

    def transmit(self, sender: str, receiver: str, message: object) -> None:
        self.sent.append((self.now(), receiver, message))
        if {sender, receiver} & self.silent or type(message) in self.lost:
            return
        data = message_codec.encode(message)
        asyncio.get_running_loop().call_later(
            DELAY_S, self._deliver, receiver, data
        )

    def _deliver(self, receiver: str, data: bytes) -> None:
        if receiver not in self.silent:
            self.instances[receiver].receive(message_codec.decode(data))

    async def burst(
        self, seconds: float, per_s: float, **options: object
    ) -> list[tuple[str, float]]:
        """Sends calls at the instances in turn; returns how they went."""
        names = [n for n in self.instances if n not in self.silent]
        tasks = []
        for number in range(int(seconds * per_s)):
            instance = self.instances[names[number % len(names)]]
            if instance.name not in self.silent:
                tasks.append(asyncio.ensure_future(instance.call(**options)))
            await asyncio.sleep(1 / per_s)
        return list(await asyncio.gather(*tasks))


def run(scenario, **options) -> None:
    """Runs a scenario with a new fleet on virtual time."""
    loop = virtual_loop.VirtualLoop()

    async def main() -> None:
        world = World(**options)
        for each in world.instances.values():
            await each.services.start()
        try:
            await scenario(world)
        finally:
            for each in world.instances.values():
                await each.services.close()

    loop.run_until_complete(main())
    loop.close()
