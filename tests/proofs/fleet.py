"""A fleet of whole nodes on a virtual clock, with fakes at every port."""

import asyncio
import contextvars
import json
import os
import random
from typing import Any

import attrs

from seam_model import config
from seam_model import config_check
from seam_model import endpoints
from seam_model import keys
from seam_model import settings
from seam_node import node
from seam_node.controllers import membership
from seam_node.filters import base
from standins import engine_core
from standins import fakes
from standins import history
from standins import service_core
from standins import virtual_loop

MODEL = "dedication-writer"
SERVICE = "plank-ledger"
WORKSPACE = "cebu-branch-1"
SECRET = "5eed" * 16
DATA_CENTRES = ("cebu-a", "cebu-b", "iloilo-a", "bohol-a")
STARTUP_S = 8.0
"""Time until every instance knows all others and the configuration."""
LIST_PROPAGATION_S = (
    fakes.FLEET_LIST_LAG_S + 1.2 * membership.FLEET_POLL_S + 0.1
)
"""Time until a change of the fleet list has reached every instance."""
IS_SOAK = "SOAK_SEEDS" in os.environ
_KINDS = ("prefill", "decode", "resume")
_PREFILL = endpoints.EngineRole.PREFILL


def seeds(few: int) -> list[int]:
    """Returns the fixed seeds of a test; `SOAK_SEEDS` sets their number."""
    return list(range(1, 1 + int(os.environ.get("SOAK_SEEDS", few))))


def process_context(name: str) -> contextvars.Context:
    """Returns the context in which the tasks of a process run."""
    context = contextvars.Context()
    context.run(virtual_loop.PROCESS.set, name)
    return context


def run(coro: Any) -> Any:
    """Runs a scenario to completion on a freezable virtual loop."""
    return virtual_loop.run(coro, loop=virtual_loop.FreezableLoop)


def headers(workspace: str = WORKSPACE, **more: str) -> dict[str, str]:
    """Returns request headers with the token of a workspace."""
    token = keys.make_workspace_token("k1", SECRET, workspace)
    named = {key.replace("_", "-"): value for key, value in more.items()}
    return {"authorization": f"Bearer {token}", **named}


@attrs.define(eq=False)
class Instance:
    """A running node and its requests."""

    node: node.Node
    context: contextvars.Context
    serving: dict[asyncio.Task, Any] = attrs.field(factory=dict)
    """The sink of each request in progress."""


class Fleet:
    """Instances, engines, services and a platform, joined by fake links."""

    def __init__(self, seed: int, instances: int = 5):
        """Creates the links and the platform; `start` starts the nodes."""
        self.rng = random.Random(seed)
        self.links = fakes.Links(random.Random(seed + 1), far_s=0.0045)
        self.store = fakes.Store()
        self.instances: dict[str, Instance] = {}
        self.engines: dict[str, engine_core.EngineCore] = {}
        self.services: dict[str, service_core.ServiceCore] = {}
        self.names = [f"e{n}" for n in range(1, instances + 1)]
        self.history = history.History()
        self.incarnation = 0
        self._networks: dict[str, fakes.FakePeerNetwork] = {}
        self._seen: list[history.ExecutionStart] = []

    # Lifecycle

    async def start(self, defaults: Any = lambda built_in: built_in) -> None:
        """Starts everything and waits until all instances know each other."""
        built_in = defaults(_defaults())
        cfg = attrs.evolve(config_check.initial(), version=1, defaults=built_in)
        self.store.put(config.CONFIG_KEY, config_check.encode(cfg), 0)
        for n in range(3):
            self.add_engine(f"prefill-{n + 1}", _PREFILL, DATA_CENTRES[n])
            role = endpoints.EngineRole.DECODE
            self.add_engine(f"decode-{n + 1}", role, DATA_CENTRES[n])
        for n in range(2):
            name = f"ledger-{n + 1}"
            self.services[name] = service_core.ServiceCore(name)
            self.list_endpoint(
                name, DATA_CENTRES[n], "service", service=SERVICE
            )
        for name in self.names:
            await self.start_instance(name)
        await asyncio.sleep(STARTUP_S)

    def add_engine(
        self, name: str, role: endpoints.EngineRole, data_centre: str
    ) -> None:
        """Starts an engine and adds it to the platform's list."""
        importer = fakes.kv_importer(self.links, name, self.engines)
        core = engine_core.EngineCore(name, role, importer, self._rng())
        core.models = (MODEL,)
        self.engines[name] = core
        self.list_endpoint(
            name,
            data_centre,
            "engine",
            role=role,
            models=(MODEL,),
            slots=core.cost.slots,
            kv_blocks=core.cost.kv_blocks,
        )

    def list_endpoint(
        self, name: str, data_centre: str, kind: str, **fields: Any
    ) -> None:
        """Adds an endpoint to the platform's list or replaces its entry."""
        self.links.data_centres[name] = data_centre
        url = f"http://{name}"
        record = endpoints.EndpointRecord(
            name, kind, url, data_centre, **fields
        )
        self.store.register(record)

    async def start_instance(self, name: str) -> Instance:
        """Starts a new incarnation of an instance."""
        self.incarnation += 1
        data_centre = DATA_CENTRES[int(name[1:]) % len(DATA_CENTRES)]
        self.links.data_centres[name] = data_centre
        self.links.dead.discard(name)
        record = endpoints.InstanceRecord(
            name, f"http://{name}", "h", 1, data_centre, self.incarnation
        )
        cfg = settings.from_plain(_settings(name, data_centre)).ok
        ports = node.Ports(
            virtual_loop.VirtualClock(),
            fakes.FakePlatform(self.links, name, self.store),
            fakes.FakePeerNetwork(self.links, name, self._networks),
            fakes.FakeEngineFactory(self.links, name, self.engines),
            fakes.FakeService(self.links, name, self.services),
        )
        new_node = node.Node(cfg, record, ports, self._rng())
        context = process_context(name)
        self.instances[name] = Instance(new_node, context)
        now = asyncio.get_running_loop().time()
        self.history.lifetimes.append(history.InstanceLifetime(name, now))
        await self.spawn(name, new_node.start())
        return self.instances[name]

    def spawn(self, name: str, coro: Any) -> asyncio.Task:
        """Runs a coroutine as part of an instance's process."""
        loop = asyncio.get_running_loop()
        context = self.instances[name].context
        return loop.create_task(coro, context=context)

    def node(self, name: str) -> node.Node:
        """Returns a running node."""
        return self.instances[name].node

    def serve(self, name: str, raw: base.RawRequest, sink: Any) -> None:
        """Starts a request at an instance; `sink.finish` gets the outcome."""
        if name not in self.instances:
            sink.break_off()
            return
        instance = self.instances[name]
        chain = instance.node.generate
        if raw.service:
            chain = instance.node.call_service
        job = self.spawn(name, chain(raw, sink))
        instance.serving[job] = sink
        job.add_done_callback(lambda job: self._on_request_end(instance, job))

    def _on_request_end(self, instance: Instance, job: asyncio.Task) -> None:
        sink = instance.serving.pop(job)
        if job.cancelled():
            sink.break_off()
        else:
            sink.finish(job.result())

    # Faults

    async def kill(self, name: str) -> None:
        """Ends an instance at once; it sends no further message."""
        instance = self.instances.pop(name)
        self.links.dead.add(name)
        for job in list(instance.serving):
            job.cancel()
        await instance.node.close()
        self._update_lifetime(name, end_s=asyncio.get_running_loop().time())

    def freeze(self, name: str) -> None:
        """Suspends an instance's process and its links."""
        self.links.freeze(name)
        asyncio.get_running_loop().freeze(name)

    def thaw(self, name: str) -> None:
        """Resumes a suspended instance."""
        self.links.thaw(name)
        asyncio.get_running_loop().thaw(name)

    def partition(self, *names: str) -> None:
        """Cuts the links between the named instances and all others."""
        for name in names:
            for other in set(self.names) - set(names):
                self.links.cut(name, other)

    def kill_engine(self, name: str) -> None:
        """Takes an engine down and frees all its streams."""
        core = self.engines[name]
        core.set_faults(down=True)
        for stream in list(core._streams.values()):
            core._free(stream)

    def leave(self, name: str) -> None:
        """Begins the drain of an instance."""
        self.node(name).drain.begin("test")
        self._update_lifetime(name, leave_s=asyncio.get_running_loop().time())

    def _update_lifetime(self, name: str, **changed: float) -> None:
        lifetimes = self.history.lifetimes
        at = max(n for n, life in enumerate(lifetimes) if life.instance == name)
        lifetimes[at] = attrs.evolve(lifetimes[at], **changed)

    # Recorded history

    async def record_held_memory(
        self, after_s: float = history.HELD_MEMORY_LIMIT_S
    ) -> None:
        """Waits after the last caller has left; records memory still held."""
        await asyncio.sleep(after_s + 0.1)
        for name, core in self.engines.items():
            for held in core.held():
                idle_s = after_s + 0.1
                row = history.HeldMemory(name, held.request_id, idle_s)
                self.history.held.append(row)

    def violations(self) -> list[history.Violation]:
        """Returns the violations that the history checker finds."""
        self.history.execution_starts = [
            history.ExecutionStart(name, seen.request_id, seen.at_s)
            for name, core in self.engines.items()
            for seen in core.seen
            if seen.kind in _KINDS
        ] + [
            history.ExecutionStart(name, run.key, run.at_s)
            for name, core in self.services.items()
            for run in core.executions
            if run.key
        ]
        return history.check(self.history)

    async def close(self) -> None:
        """Kills every instance."""
        for name in list(self.instances):
            await self.kill(name)

    def _rng(self) -> random.Random:
        return random.Random(self.rng.getrandbits(32))


def _defaults() -> config.Defaults:
    return attrs.evolve(
        config_check.initial().defaults,
        models={MODEL: config.ModelRule(1000, 60000)},
        services={
            SERVICE: {
                "reserve": config.OperationRule(False, 5.0),
                "lookup": config.OperationRule(True, 2.0),
            }
        },
    )


def _settings(name: str, data_centre: str) -> dict[str, Any]:
    return {
        "instance": {"name": name, "data_centre": data_centre},
        "platform": {"url": "http://platform"},
        "peers": {"key": SECRET},
        "workspaces": {"keys": {"k1": SECRET}},
        "distances": {"default_one_way_ms": 4.5},
    }


def body(request_id: str, **fields: Any) -> bytes:
    """Returns the body of a model request."""
    plain = {
        "id": request_id,
        "workspace": WORKSPACE,
        "model": MODEL,
        "prompt": f"Dedication {request_id}. " * 40,
        "rank": "urgent",
        "max_tokens": 40,
        **fields,
    }
    return json.dumps(plain).encode()
