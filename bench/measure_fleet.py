"""Builds fleets of the product's instances on in-memory ports."""

import asyncio
import random

import attrs
import expression

from bench import measure_load
from seam_model import config
from seam_model import config_check
from seam_model import endpoint_errors
from seam_model import endpoints
from seam_model import keys
from seam_model import settings as node_settings
from seam_node import node
from seam_policy import placement
from standins import costs
from standins import engine_core
from standins import fakes
from standins import virtual_loop

POLICIES: dict[str, type[placement.Placement]] = {
    "product": placement.PowerOfTwoChoices,
    "round_robin": placement.RoundRobin,
    "least_loaded": placement.LeastLoaded,
}
LOCAL_ONE_WAY_S = 0.0005
"""One-way latency within a data centre."""
KEY_ID = "k1"
_SECRET = "5e" * keys.SECRET_MIN_BYTES
TRANSFER_STALL_S = 10.0
"""Time after which a stalled KV transfer fails."""
MAX_PROMPT_TOKENS = 60_000
_HIGHEST_GENERATION = 1 << 40


class MeteredCore(engine_core.EngineCore):
    """An engine that records the prefill work of each request."""

    def __init__(self, *args, **kwargs):
        """Creates an engine with the arguments of `EngineCore`."""
        super().__init__(*args, **kwargs)
        self.finished_prefills: list[tuple[str, int]] = []
        """Request id and computed tokens of each finished prefill."""

    def queued_tokens(self) -> int:
        """Returns the number of queued prompt tokens."""
        return sum(entry[2].prompt_tokens for entry in self._queue)

    async def prefill(self, order):
        """Runs a prefill and records the tokens it computed."""
        done = await super().prefill(order)
        if done.is_ok():
            computed = order.prompt_tokens - done.ok.cached_tokens
            self.finished_prefills.append((order.request_id, computed))
        return done


@attrs.define
class TransferStalls:
    """Makes the next `remaining` KV transfers stall and fail."""

    remaining: int = 0

    def importer(self, name: str, inner: engine_core.Importer):
        """Returns `inner` with stalls injected; `name` is the engine."""

        async def import_kv(url: str, handle: str):
            if self.remaining <= 0:
                return await inner(url, handle)
            self.remaining -= 1
            await asyncio.sleep(TRANSFER_STALL_S)
            return expression.Error(endpoint_errors.TransferFailed(name))

        return import_kv


class Fleet:
    """One deployment under one placement policy."""

    def __init__(
        self, deployment: measure_load.Deployment, policy: str, seed: int
    ):
        """Creates engines and instances; must run inside a virtual loop."""
        self.deployment = deployment
        self.links = fakes.Links(
            random.Random(f"{seed}/links"),
            LOCAL_ONE_WAY_S,
            deployment.one_way_s,
        )
        self.store = fakes.Store()
        self.stalls = TransferStalls()
        self.cores = self._make_cores(seed)
        self.nodes: dict[str, node.Node] = {}
        peers: dict[str, fakes.FakePeerNetwork] = {}
        for name, centre in deployment.entry_instances().items():
            self.links.data_centres[name] = centre
            self.nodes[name] = self._make_node(name, peers, policy, seed)

    async def start(self) -> None:
        """Writes the configuration and starts every instance."""
        self.store.put(
            config.CONFIG_KEY, config_check.encode(self._config()), 0
        )
        for record in self._endpoint_records():
            self.store.register(record)
        for each in self.nodes.values():
            await each.start()
        for each in self.nodes.values():
            await each.wait_ready()

    async def close(self) -> None:
        """Closes every instance that was not killed."""
        for name, each in self.nodes.items():
            if name not in self.links.dead:
                await each.close()

    async def kill_engine(self, name: str) -> None:
        """Stops an engine and cancels every request that it holds."""
        core = self.cores[name]
        for held in core.held():
            await core.cancel(held.request_id, _HIGHEST_GENERATION)
        core.set_faults(down=True)

    def kill_instance(self, name: str) -> None:
        """Stops an instance from sending and receiving messages."""
        self.links.dead.add(name)

    # Construction

    def _make_cores(self, seed: int) -> dict[str, MeteredCore]:
        cores: dict[str, MeteredCore] = {}
        for name, (centre, role) in self.deployment.engines().items():
            self.links.data_centres[name] = centre
            inner = fakes.kv_importer(self.links, name, cores)
            cores[name] = MeteredCore(
                name,
                role,
                self.stalls.importer(name, inner),
                random.Random(f"{seed}/{name}"),
                measure_load.COSTS,
            )
        return cores

    def _make_node(
        self,
        name: str,
        peers: dict[str, fakes.FakePeerNetwork],
        policy: str,
        seed: int,
    ) -> node.Node:
        ports = node.Ports(
            virtual_loop.VirtualClock(),
            fakes.FakePlatform(self.links, name, self.store),
            fakes.FakePeerNetwork(self.links, name, peers),
            fakes.FakeEngineFactory(self.links, name, self.cores),
            fakes.FakeService(self.links, name, {}),
        )
        centre = self.links.data_centres[name]
        record = endpoints.InstanceRecord(name, name, name, 1, centre, 1)
        rng = random.Random(f"{seed}/{name}")
        settings = self._settings(name, centre)
        return node.Node(settings, record, ports, rng, POLICIES[policy]())

    def _settings(self, name: str, centre: str) -> node_settings.NodeSettings:
        plain = {
            "instance": {"name": name, "data_centre": centre},
            "platform": {"url": "http://platform"},
            "peers": {"key": _SECRET},
            "workspaces": {"keys": {KEY_ID: _SECRET}},
            "distances": {
                "link_bytes_per_s": measure_load.COSTS.link_bytes_per_s,
                "default_one_way_ms": self.deployment.one_way_s * 1000,
            },
        }
        return node_settings.from_plain(plain).ok

    def _config(self) -> config.FleetConfig:
        shipped = config_check.initial()
        rule = config.ModelRule(costs.KV_BYTES_PER_TOKEN, MAX_PROMPT_TOKENS)
        models = {self.deployment.model: rule}
        defaults = attrs.evolve(shipped.defaults, models=models)
        return attrs.evolve(shipped, version=1, defaults=defaults)

    def _endpoint_records(self) -> list[endpoints.EndpointRecord]:
        return [
            endpoints.EndpointRecord(
                name=name,
                kind="engine",
                url=f"http://{name}/{name}",
                data_centre=centre,
                role=role,
                models=(self.deployment.model,),
                slots=measure_load.COSTS.slots,
                kv_blocks=measure_load.COSTS.kv_blocks,
            )
            for name, (centre, role) in self.deployment.engines().items()
        ]


def token(workspace: str) -> str:
    """Returns a workspace's token."""
    return keys.make_workspace_token(KEY_ID, _SECRET, workspace)
