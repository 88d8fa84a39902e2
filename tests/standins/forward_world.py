"""Test environment of one forwarding instance on loopback sockets.

The store and the endpoints are stand-ins.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import attrs
import eliot
from tornado import netutil

from seam_model import forward_settings
from seam_node import logs
from seam_node import metrics
from seam_node.forward import node
from seam_node.ports import clock
from seam_platform import store as platform_store
from seam_platform import wire
from standins import forward_endpoint
from standins import object_store

HOST = "app.example"
CALLS, ENGINES = "calls", "engines"
WAIT_S = 10.0


def route(name: str, kind: str, service: str, **changes: object) -> dict:
    """Returns a route as it is written in the configuration."""
    spec = {
        "name": name,
        "hostname": HOST,
        "path_prefix": f"/{name}/",
        "route_type": kind,
        "timeout_ms": 5000,
        "target_latency_ms": 800,
        "priority": 0,
        "service": service,
        "max_attempts": 2 if kind == "idempotent" else 1,
    }
    return {**spec, **changes}


def configuration(version: int, routes: list[dict]) -> dict:
    """Returns a configuration with a plain and an engine service."""
    engine = {
        "slots": 8,
        "kv_capacity": 70_000,
        "stride": 10,
        "handle_ttl_s": 0.5,
        "hold_ms": 2000.0,
    }
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": CALLS, "max_connections": 50},
            {"name": ENGINES, "max_connections": 50, "engine": engine},
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


DEFAULT_ROUTES = [
    route("read", "idempotent", CALLS),
    route("write", "non_idempotent", CALLS),
    route("draft", "streaming", ENGINES),
    route("long", "streaming", ENGINES, resumable=True, max_attempts=2),
]


@attrs.define
class Response:
    """An answer as the caller received it."""

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool


class World:
    """The instance, its store and its endpoints."""

    def __init__(self, **sections: dict) -> None:
        """Takes sections of the settings that differ."""
        self._sections = sections
        self.store = object_store.ObjectStore()
        self.events: list[dict] = []
        self._server = object_store.StoreServer(self.store)
        self._endpoints: list[forward_endpoint.Endpoint] = []

    async def start(self) -> None:
        self._server.start()
        self.store.put("config", "main", configuration(1, DEFAULT_ROUTES))
        eliot.add_destinations(self.events.append)
        settings = forward_settings.from_plain(
            {
                "instance": {"name": "one", "data_centre": "here"},
                # The instance shares the process of the tests.
                "capacity": {"memory_mb": 16_000},
                "listen": {
                    "callers": "127.0.0.1:1",
                    "ready": "127.0.0.1:1",
                    "entry": "127.0.0.1:1",
                    "metrics": "127.0.0.1:1",
                    "peers": "127.0.0.1:0",
                },
                "store": {"address": f"127.0.0.1:{self._server.port}"},
                "leaving": {"grace_s": 3.0},
                **self._sections,
            }
        ).ok
        sockets = netutil.bind_sockets(0, "127.0.0.1")
        self.port = sockets[0].getsockname()[1]
        self.node = node.ForwardNode(
            settings,
            1,
            node.Ports(
                clock.BootClock(),
                platform_store.make_catalog(settings),
                wire.make_wire(settings),
            ),
            metrics.Metrics(),
            logs.Log("one"),
        )
        await self.node.start(sockets)

    async def close(self) -> None:
        await self.node.close()
        for each in self._endpoints:
            await each.close()
        await self._server.close()
        eliot.remove_destination(self.events.append)

    async def endpoint(
        self,
        name: str,
        service: str = CALLS,
        reply: forward_endpoint.Reply = forward_endpoint.reply_whole,
        stage: str = "",
        small_buffers: bool = False,
        **changes: object,
    ) -> forward_endpoint.Endpoint:
        """Starts and announces an endpoint; waits until it is usable."""
        new_endpoint = forward_endpoint.Endpoint(name, reply, small_buffers)
        await new_endpoint.start()
        self._endpoints.append(new_endpoint)
        self.store.put(
            "servers", name, new_endpoint.entry(service, stage, **changes)
        )
        await self.until(
            lambda: any(
                each.id == name for each in self.node.endpoints.usable(service)
            )
        )
        return new_endpoint

    async def engines(self) -> tuple[forward_endpoint.Endpoint, ...]:
        """Starts one prefill and one decode engine."""
        prefill = await self.engine("prefill-1", "prefill")
        decode = await self.engine("decode-1", "decode")
        return prefill, decode

    async def engine(
        self, name: str, stage: str, **changes: object
    ) -> forward_endpoint.Endpoint:
        """Starts an engine."""
        return await self.endpoint(
            name, ENGINES, forward_endpoint.reply_engine, stage, **changes
        )

    async def ready(self) -> None:
        """Waits until the instance accepts callers."""
        await self.until(lambda: self.node.not_ready() is None)

    async def until(self, condition: Callable[[], object]) -> None:
        """Waits for a condition."""
        async with asyncio.timeout(WAIT_S):
            while not condition():
                await asyncio.sleep(0.01)

    async def configure(self, version: int, **changes: object) -> None:
        """Writes a configuration and waits until it is in force."""
        plain = configuration(version, DEFAULT_ROUTES)
        self.store.put("config", "main", {**plain, **changes})
        await self.until(lambda: self.node.routes.table.version == version)

    def logged(self, event: str) -> list[dict]:
        """Returns the logged events with a message type."""
        return [e for e in self.events if e.get("message_type") == event]

    async def connect(self) -> "Caller":
        """Opens a connection as a caller."""
        return Caller(*await asyncio.open_connection("127.0.0.1", self.port))

    async def request(self, path: str, **options: object) -> Response:
        """Sends one request on a new connection and reads the answer."""
        caller = await self.connect()
        try:
            return await caller.request(path, **options)
        finally:
            caller.close()


class Caller:
    """A caller on one connection."""

    _count = 0

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ):
        self.reader = reader
        self.writer = writer

    def send(
        self,
        path: str,
        body: bytes = b"",
        deadline_ms: int = 5000,
        host: str = HOST,
        request_id: str = "",
        **headers: str,
    ) -> str:
        """Writes a request; returns its id."""
        Caller._count += 1
        request_id = request_id or f"id-{Caller._count}"
        fields = {
            "Host": host,
            "Request-Id": request_id,
            "Deadline-Ms": str(deadline_ms),
            "Content-Length": str(len(body)),
            **{k.replace("_", "-"): v for k, v in headers.items()},
        }
        head = "".join(f"{k}: {v}\r\n" for k, v in fields.items())
        self.writer.write(f"POST {path} HTTP/1.1\r\n{head}\r\n".encode() + body)
        return request_id

    async def request(self, path: str, **options: object) -> Response:
        """Sends a request and reads the answer."""
        self.send(path, **options)
        return await self.read()

    async def request_model(
        self, path: str = "/draft/1", **options: object
    ) -> Response:
        """Sends a model request and reads the answer."""
        return await self.request(
            path, Model="m", Token_Count="100,50", **options
        )

    async def read(self) -> Response:
        """Reads one answer."""
        async with asyncio.timeout(WAIT_S):
            head = await self.reader.readuntil(b"\r\n\r\n")
            first, *lines = head.decode("latin1").split("\r\n")
            headers = {}
            for line in filter(None, lines):
                name, _, value = line.partition(":")
                headers[name.lower()] = value.strip()
            body, complete = await self._body(headers)
        return Response(int(first.split(" ")[1]), headers, body, complete)

    def close(self) -> None:
        """Closes the connection."""
        self.writer.close()

    async def _body(self, headers: dict[str, str]) -> tuple[bytes, bool]:
        if "content-length" in headers:
            length = int(headers["content-length"])
            return await self.reader.readexactly(length), True
        body = b""
        while True:
            line = await self.reader.readline()
            if not line:
                return body, False
            size = int(line, 16)
            try:
                data = await self.reader.readexactly(size + 2)
            except asyncio.IncompleteReadError:
                return body, False
            if size == 0:
                return body, True
            body += data[:-2]


def run_scenario(
    scenario: Callable[[World], Awaitable[None]], **sections: dict
) -> None:
    """Runs a scenario in a new environment, with sections of the settings."""

    async def run() -> None:
        world = World(**sections)
        await world.start()
        try:
            await world.ready()
            await scenario(world)
        finally:
            await world.close()

    asyncio.run(run())
