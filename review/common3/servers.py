"""Stand-ins of workers and clients. They follow PROTOCOL.md."""

import asyncio
import itertools
import json
import random

from platform_standin import message
from platform_standin import now
from platform_standin import read_body
from platform_standin import read_head
from platform_standin import read_request

HOST = "ficu95.example"
_NUMBERS = itertools.count(1)


def route(name, prefix, service, kind, timeout_ms, attempts, **more):
    """Returns a route of the configuration."""
    return {
        "name": name,
        "hostname": HOST,
        "path_prefix": prefix,
        "route_type": kind,
        "timeout_ms": timeout_ms,
        "target_latency_ms": 145,
        "priority": 2,
        "service": service,
        "max_attempts": attempts,
        "session_affinity": False,
        "resumable": False,
        "gap_target_ms": 0,
        **more,
    }


def service(name, **more):
    """Returns a service of the configuration."""
    return {
        "name": name,
        "health_check": "/health",
        "max_connections": 96,
        "protocol": "h1",
        "tls": False,
        **more,
    }


def config(version, routes, services):
    """Returns a configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


class Worker:
    """A worker of a plain service, which registers itself in the store."""

    def __init__(self, service_name, zone, store_port, record, slots=6):
        number = next(_NUMBERS)
        self.id = f"i-{number:04x}{random.randrange(2**24):06x}"
        self.host = f"127.0.{1 + number // 250}.{1 + number % 250}"
        self.service, self.zone, self.slots = service_name, zone, slots
        self.state = "ready"
        self.work_s = 0.0225
        self.heartbeat_s = 1.2
        self.sequence = 0
        self.born = 1_800_000_000_000 + number
        self.arrivals: list[tuple[float, str]] = []
        """When which request reached this worker."""
        self.ran: list[str] = []
        self._store_port = store_port
        self._record = record
        self._free = asyncio.Semaphore(slots)
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, self.host, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        self._beats = asyncio.ensure_future(self._beat_often())
        self._tasks.add(self._beats)

    def stop_beats(self) -> None:
        """Writes no more entries."""
        self._beats.cancel()

    def _spawn(self, step) -> None:
        task = asyncio.ensure_future(step)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def end(self) -> None:
        """Ends as a process does."""
        self._record("worker", id=self.id, does="end")
        for each in tuple(self._tasks):
            each.cancel()
        self._server.close()
        for each in tuple(self._writers):
            each.transport.abort()

    # Registration

    def spec(self) -> dict:
        return {
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    async def _beat_often(self) -> None:
        while True:
            self._spawn(self.beat())
            await asyncio.sleep(self.heartbeat_s)

    async def beat(self) -> bool:
        """Writes the entry once; returns whether the store accepted that."""
        self.sequence += 1
        body = json.dumps(
            {"metadata": {"name": self.id}, "spec": self.spec()}
        ).encode()
        first = self.sequence == 1
        target = "/sycamoreseam/objects/servers"
        target += "" if first else f"/{self.id}"
        sent = f"beat sequence={self.sequence} state={self.state}"
        self._record("worker", id=self.id, sends=sent)
        status = await self._call("POST" if first else "PUT", target, body)
        self._record("worker", id=self.id, answered=f"{sent} status={status}")
        return status == 200

    async def drain(self) -> float:
        """Reports `draining`; returns the time of the store's answer."""
        self.state = "draining"
        assert await self.beat()
        return now()

    async def _call(self, method, target, body) -> int:
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", self._store_port
                )
                try:
                    writer.write(
                        message(
                            f"{method} {target} HTTP/1.1",
                            {
                                "Host": "store",
                                "Content-Type": "application/json",
                            },
                            body,
                        )
                    )
                    head = await read_head(reader)
                    return int(head[0].split(" ")[1]) if head else 0
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            return 0

    # Requests

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    return
                writer.write(await self.answer(request))
                await writer.drain()
        except (
            ConnectionError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            # The stand-in ends, or its caller has gone.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def answer(self, request) -> bytes:
        """Runs a request and returns its answer."""
        headers = request.headers
        if headers.get("expect-instance", self.id) != self.id:
            return message(
                "HTTP/1.1 421 Misdirected Request", {"Instance-Id": self.id}
            )
        if request.path == "/health":
            good = self.state == "ready"
            first = "HTTP/1.1 200 OK" if good else "HTTP/1.1 503 Leaving"
            return message(first, {"Instance-Id": self.id})
        request_id = headers.get("request-id", "")
        self.arrivals.append((now(), request_id))
        self._record("arrival", worker=self.id, request=request_id)
        async with self._free:
            self.ran.append(request_id)
            self._record("run", worker=self.id, request=request_id)
            await asyncio.sleep(self.work_s)
        return message(
            "HTTP/1.1 200 OK",
            {
                "Request-Id": request_id,
                "Server-Seal": f"seal.{self.id}.{request_id}",
                "Keep-Alive": "timeout=10",
            },
            b"x" * 800,
        )


class Client:
    """A client with one connection, which it keeps."""

    def __init__(self, host, port, record):
        self._address = (host, port)
        self._record = record
        self._streams = None
        self.closed_without_answer = 0

    async def send(self, method, target, headers, body=b""):
        """Sends one attempt; returns its id, the status and the headers.

        The status is 0 if the connection ended without an answer.
        """
        request_id = f"{random.randrange(2**64):016x}"
        fields = {"Host": HOST, "Request-Id": request_id, **headers}
        self._record("sent", request=request_id, target=target)
        status, answer = 0, {}
        try:
            if self._streams is None:
                self._streams = await asyncio.open_connection(*self._address)
            reader, writer = self._streams
            writer.write(message(f"{method} {target} HTTP/1.1", fields, body))
            head = await read_head(reader)
            if head is not None:
                answer = head[1]
                await read_body(reader, answer)
                status = int(head[0].split(" ")[1])
                if answer.get("connection", "").lower() == "close":
                    self.close()
            else:
                self.close()
        except (OSError, asyncio.IncompleteReadError):
            self.close()
        self._record("answer", request=request_id, status=status)
        return request_id, status, answer

    def close(self) -> None:
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


class Engine(Worker):
    """A model worker; it streams, and takes holds, prefills and orders."""

    def __init__(self, service_name, zone, store_port, record, stage, slots=24):
        super().__init__(service_name, zone, store_port, record, slots)
        self.stage = stage
        self.event_s = 0.01
        self.events = 10
        self.kv_tokens = 71_867
        self._handles: dict[str, int] = {}
        self._holds: set[str] = set()
        self.running = 0
        self.accepted_orders = 0

    def spec(self) -> dict:
        models = [{"name": "m", "version": 1, "adapters": []}]
        return {**super().spec(), "stage": self.stage, "models": models}

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    return
                await self._reply(request, writer)
                await writer.drain()
        except (
            ConnectionError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _reply(self, request, writer) -> None:
        headers = request.headers
        request_id = headers.get("request-id", "")
        if headers.get("expect-instance", self.id) != self.id:
            writer.write(
                message(
                    "HTTP/1.1 421 Misdirected Request",
                    {"Instance-Id": self.id, "Request-Id": request_id},
                )
            )
        elif request.path.startswith("/sycamoreseam/"):
            writer.write(self._internal(request))
        elif headers.get("serving-stage") == "prefill":
            await self._prefill(request_id, headers, writer)
        else:
            await self._stream(request_id, headers, writer)

    def _internal(self, request) -> bytes:
        name = request.path.split("/")[2]
        if name == "hold-take":
            hold = f"{random.randrange(2**48):012x}"
            self._holds.add(hold)
            return _json({"hold": hold})
        if name == "report":
            return _json(
                {
                    "stage": self.stage,
                    "models": [{"name": "m", "version": 1, "adapters": []}],
                    "busy": False,
                    "sequence": self.accepted_orders,
                    "queued": 0,
                    "running": self.running,
                    "kv_used": 0,
                    "kv_total": self.kv_tokens,
                    "kv_handles": len(self._handles),
                }
            )
        if name == "order":
            self.accepted_orders += 1
            order = json.loads(request.body)
            self._record("order", worker=self.id, order=order)
            self.stage = order["stage"]
            return message("HTTP/1.1 202 Accepted", {})
        return message("HTTP/1.1 200 OK", {})

    async def _prefill(self, request_id, headers, writer) -> None:
        self._record("prefill", worker=self.id, request=request_id)
        tokens = int(headers["token-count"].split(",")[0])
        await asyncio.sleep(tokens / 55_000)
        handle = f"{random.randrange(2**48):012x}"
        self._handles[handle] = tokens
        body = {"kv_handle": handle, "tokens": tokens, "version": 1}
        writer.write(_json(body, {"Request-Id": request_id}))

    async def _stream(self, request_id, headers, writer) -> None:
        self.arrivals.append((now(), request_id))
        self.ran.append(request_id)
        self._record("run", worker=self.id, request=request_id)
        self.running += 1
        try:
            writer.write(
                (
                    "HTTP/1.1 200 OK\r\n"
                    f"Request-Id: {request_id}\r\n"
                    f"Server-Seal: seal.{self.id}.{request_id}\r\n"
                    "Content-Type: text/event-stream\r\n"
                    "Weight-Versions: 1\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n"
                ).encode()
            )
            first = int(headers.get("last-event-id", "0")) + 1
            for number in range(first, self.events + 1):
                await asyncio.sleep(self.event_s)
                event = f"id: {number}\ndata: {request_id}\n\n".encode()
                writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                await writer.drain()
            writer.write(b"0\r\n\r\n")
        finally:
            self.running -= 1


def _json(value, headers=()) -> bytes:
    return message(
        "HTTP/1.1 200 OK",
        {"Content-Type": "application/json", **dict(headers)},
        json.dumps(value).encode(),
    )


def engine_service(name, **more):
    """Returns a service of model workers."""
    return service(
        name,
        max_connections=200,
        engine={
            "slots": 24,
            "kv_capacity": 71867,
            "kv_token_bytes": 327680,
            "link_mbps": 11000000.0,
            "moves": True,
            "backups": True,
            "stride": 59,
            "most": 12,
            "handle_ttl_s": 0.5,
            "role_switch_s": 6.0,
            "pin_ms": 4000.0,
            "hold_ms": 2000.0,
            "models": [{"name": "m"}],
            **more,
        },
    )
