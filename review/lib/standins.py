"""Stand-ins and helpers for the scripts of the review.

Only the standard library is used. The store, the workers and the clients
follow the users' pages; a script changes single methods of a worker to let it
misbehave in a way that the pages name.
"""

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse
import zlib

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
HOLDS, BROKEN, NOT_RUN = 0, 1, 2
MODEL_HOST = "model.example"
_PORTS = random.SystemRandom()

# The bounds, the engines and the routes of tabla-hq (`fleetbench wire`).
BOUNDS = {
    "stable_window_ms": 3000,
    "config_apply_ms": 2000,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "retry_budget_ratio": 0.2,
    "retry_slack": 52,
    "budget_window_s": 10,
    "lease_ms": 3000,
    "ttl_max_s": 5,
}
ENGINE = {
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
}


def trouble():
    """Returns whether the disruption is to be made."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_ports(count):
    """Returns ports that are free for TCP and UDP.

    They lie below those that the system gives to outgoing connections.
    """
    found = []
    while len(found) < count:
        port = _PORTS.randrange(10_000, 32_000)
        if port not in found and _is_free(port):
            found.append(port)
    return found


def _is_free(port):
    tcp = socket.socket()
    udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        tcp.bind((HOST, port))
        udp.bind((HOST, port))
    except OSError:
        return False
    finally:
        tcp.close()
        udp.close()
    return True


class Record:
    """Writes `record.txt`: what was sent, answered and run, with times."""

    def __init__(self, folder):
        self._file = open(pathlib.Path(folder) / "record.txt", "w")
        self._started = time.monotonic()

    def now(self):
        return time.monotonic() - self._started

    def line(self, what, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now():8.3f} {what} {text}\n")
        self._file.flush()

    def close(self):
        self._file.close()


# HTTP


async def read_head(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
    first, *lines = head.rstrip("\r\n").split("\r\n")
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return first, fields


async def read_body(reader, fields, until_close=False):
    """Returns the body and whether it is complete."""
    if fields.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        try:
            while True:
                size = int(await reader.readuntil(b"\r\n"), 16)
                data = await reader.readexactly(size + 2)
                if not size:
                    return b"".join(parts), True
                parts.append(data[:-2])
        except (asyncio.IncompleteReadError, ConnectionError):
            return b"".join(parts), False
    if "content-length" in fields:
        try:
            size = int(fields["content-length"])
            return await reader.readexactly(size), True
        except asyncio.IncompleteReadError as exc:
            return exc.partial, False
    if until_close:
        return await reader.read(), True
    return b"", True


def encode(status, fields, body=b""):
    head = [f"HTTP/1.1 {status}"]
    head += [f"{name}: {value}" for name, value in fields.items()]
    head.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*head, "", ""]).encode() + body


class Listener:
    """A server on loopback that ends all its connections when it closes."""

    def __init__(self):
        self.port = 0
        self._server = None
        self._writers = set()

    async def start(self, port=0):
        self._server = await asyncio.start_server(self._accept, HOST, port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self):
        if self._server is None:
            return
        self._server.close()
        self._server = None
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _accept(self, reader, writer):
        self._writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


class Store(Listener):
    """The platform's store: objects, revisions and watches, no limits."""

    def __init__(self):
        super().__init__()
        self.revision = 100
        self.kinds = {}
        self._changes = []
        self._changed = asyncio.Event()

    def put(self, kind, name, spec):
        self.revision += 1
        before = self.kinds.setdefault(kind, {}).get(name)
        created = before["metadata"]["created"] if before else self.revision
        found = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "created": created,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": None,
        }
        self.kinds[kind][name] = found
        self._note(kind, False, found)
        return found

    def remove(self, kind, name):
        self.revision += 1
        self._note(kind, True, self.kinds[kind].pop(name))

    def _note(self, kind, removed, found):
        self._changes.append((self.revision, kind, removed, found))
        self._changed.set()
        self._changed = asyncio.Event()

    async def serve(self, reader, writer):
        while True:
            first, fields = await read_head(reader)
            body, _ = await read_body(reader, fields)
            method, target, _ = first.split(" ")
            status, found = await self._call(method, target, body)
            writer.write(
                encode(
                    status,
                    {"Content-Type": "application/json"},
                    b"" if found is None else self.encode_body(found),
                )
            )
            await writer.drain()

    def encode_body(self, found):
        """Returns the JSON text of an answer."""
        return json.dumps(found).encode()

    async def _call(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        parts = [urllib.parse.unquote(x) for x in url.path.split("/")[3:]]
        kind, name = parts[0], (parts[1] if len(parts) > 1 else None)
        known = self.kinds.setdefault(kind, {})
        if method == "POST":
            return self._create(kind, json.loads(body))
        if name is None:
            if "watch" in query:
                return await self._watch(kind, query)
            return "200 OK", self._list(known, query)
        if name not in known:
            return "404 Not Found", None
        if method == "GET":
            return "200 OK", known[name]
        if method == "DELETE":
            found = known[name]
            self.remove(kind, name)
            return "200 OK", found
        sent = json.loads(body)
        wanted = sent["metadata"].get("revision")
        if wanted not in (None, known[name]["metadata"]["revision"]):
            return "409 Conflict", known[name]
        if sent["spec"] == known[name]["spec"]:
            return "200 OK", known[name]
        return "200 OK", self.put(kind, name, sent["spec"])

    def _create(self, kind, sent):
        name = sent["metadata"]["name"]
        if name in self.kinds[kind]:
            return "409 Conflict", self.kinds[kind][name]
        return "201 Created", self.put(kind, name, sent["spec"])

    def _list(self, known, query):
        names = sorted(each for each in known if each > query.get("after", ""))
        return {
            "items": [known[each] for each in names[:500]],
            "has_more": len(names) > 500,
            "store_revision": self.revision,
        }

    async def _watch(self, kind, query):
        since = int(query["watch"])
        ends_at = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            events = [
                {"object": found, "removed": removed}
                for revision, of, removed, found in self._changes
                if of == kind and revision > since
            ]
            left_s = ends_at - time.monotonic()
            if events or left_s <= 0:
                return "200 OK", {
                    "events": events,
                    "store_revision": self.revision,
                }
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await self._changed.wait()


class Worker(Listener):
    """A worker: a plain service, or an engine with a stage.

    It runs what it is sent, one request at a time on a connection, and stops
    a run when the connection closes. `events` and `event_s` say how long a
    stream is, `work_s` how long anything else takes.
    """

    def __init__(self, name, service, record, stage="", zone="here"):
        super().__init__()
        self.id, self.service, self.stage, self.zone = (
            name,
            service,
            stage,
            zone,
        )
        self.record = record
        self.events, self.event_s, self.work_s = 70, 0.046, 0.02
        self.prefill_tokens_s = 55555.6
        self.runs = []
        """Ids of the requests that were run, with the time of the start."""
        self.arrivals = []
        self.active = 0
        self.sequence = 0
        self.orders = 0
        self.busy = False
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self._handles = itertools.count(1)
        self._busy = asyncio.Lock()

    def entry(self):
        self.sequence += 1
        found = {
            "service": self.service,
            "address": f"{HOST}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": ENGINE["slots"] if self.stage else 6,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        if self.stage:
            found["stage"] = self.stage
            found["models"] = [{"name": "m", "version": 1, "adapters": []}]
        return found

    async def serve(self, reader, writer):
        while True:
            first, fields = await read_head(reader)
            body, _ = await read_body(reader, fields)
            method, target, _ = first.split(" ")
            task = asyncio.ensure_future(
                self.handle(method, target, fields, body, writer)
            )
            closed = asyncio.ensure_future(_until_closed(reader))
            await asyncio.wait(
                {task, closed}, return_when=asyncio.FIRST_COMPLETED
            )
            if not task.done():
                task.cancel()
                await asyncio.wait({task})
            closed.cancel()
            await asyncio.wait({closed})
            if task.cancelled() or task.exception() or writer.is_closing():
                return

    async def handle(self, method, target, fields, body, writer):
        """Handles one request."""
        if fields.get("expect-instance", self.id) != self.id:
            await self.reply(writer, "421 Misdirected Request", fields)
        elif target.startswith("/sycamoreseam/"):
            await self.internal(method, target, fields, body, writer)
        elif self.busy:
            await self.refuse(fields, writer)
        elif fields.get("serving-stage") == "prefill":
            await self.prefill(fields, writer)
        else:
            self.arrivals.append((fields["request-id"], self.record.now()))
            self.record.line(
                "reached", worker=self.id, request=fields["request-id"]
            )
            if self.stage == "prefill":
                await self.reply(writer, "421 Misdirected Request", fields)
                return
            await self.run(fields, writer)

    async def refuse(self, fields, writer):
        """Answers that a request was not run."""
        await self.reply(
            writer, "503 Service Unavailable", fields, Not_Executed="1"
        )

    async def internal(self, method, target, fields, body, writer):
        """Answers the calls of the engines' own interface."""
        found = {}
        if target.endswith("/hold-take"):
            if self.busy or self.stage != "decode":
                await self.refuse(fields, writer)
                return
            found = {"hold": f"{self.id}-h{next(self._handles)}"}
        elif target.endswith("/report"):
            found = {
                "stage": self.stage,
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "busy": self.busy,
                "sequence": self.orders,
                "queued": 0,
                "running": self.active,
                "kv_used": 0,
                "kv_total": ENGINE["kv_capacity"],
                "kv_handles": 0,
            }
        elif target.endswith("/order"):
            status = self.take_order(json.loads(body))
            await self.reply(writer, status, fields, b"{}")
            return
        await self.reply(writer, "200 OK", fields, json.dumps(found).encode())

    def take_order(self, order):
        """Accepts an order to change the stage; returns the status."""
        self.record.line("order", worker=self.id, **order)
        if order["stage"] == self.stage:
            return "200 OK"
        if self.busy or order.get("precondition", self.orders) != self.orders:
            return "409 Conflict"
        self.orders += 1
        self.busy = True
        self._switching = asyncio.ensure_future(self._switch(order["stage"]))
        return "202 Accepted"

    async def _switch(self, stage):
        while self.active:
            await asyncio.sleep(0.05)
        await asyncio.sleep(ENGINE["role_switch_s"])
        self.stage, self.busy = stage, False
        self.record.line("stage", worker=self.id, stage=stage)

    async def prefill(self, fields, writer):
        """Reads a prompt; prompts are read one after another."""
        if self.stage != "prefill":
            await self.reply(writer, "421 Misdirected Request", fields)
            return
        tokens = int(fields["token-count"].split(",")[0])
        async with self._busy:
            await asyncio.sleep(tokens / self.prefill_tokens_s)
        handle = f"{self.id}-k{next(self._handles)}"
        found = {"kv_handle": handle, "tokens": tokens, "version": 1}
        await self.reply(writer, "200 OK", fields, json.dumps(found).encode())

    async def run(self, fields, writer):
        """Runs a request of a client."""
        self.note_run(fields)
        self.active += 1
        try:
            if self.stage:
                await self.stream(fields, writer)
            else:
                await asyncio.sleep(self.work_s)
                body = f"answer to {fields['request-id']}\n".encode()
                await self.reply(writer, "200 OK", fields, body, seal=True)
        finally:
            self.active -= 1

    def note_run(self, fields):
        request = fields["request-id"]
        self.runs.append((request, self.record.now()))
        self.record.line("run", worker=self.id, request=request)

    async def stream(self, fields, writer):
        """Sends all events of a stream; each says whose it is."""
        request = fields["request-id"]
        head = [
            "HTTP/1.1 200 OK",
            f"Request-Id: {request}",
            f"Server-Seal: seal-{request}",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        ]
        writer.write("\r\n".join([*head, "", ""]).encode())
        start = int(fields.get("last-event-id", "0")) + 1
        max_tokens = int(fields["token-count"].split(",")[1])
        last = min(self.events, max_tokens // ENGINE["stride"])
        for number in range(start, last + 1):
            await asyncio.sleep(self.event_s)
            event = f"id: {number}\ndata: {request} {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.record.line("run_ended", worker=self.id, request=request)

    async def reply(self, writer, status, fields, body=b"", seal=False, **more):
        sent = {}
        if "request-id" in fields:
            sent["Request-Id"] = fields["request-id"]
        if seal:
            sent["Server-Seal"] = f"seal-{fields['request-id']}"
        if status.startswith("421"):
            sent["Not-Executed"] = "1"
        sent.update({name.replace("_", "-"): v for name, v in more.items()})
        writer.write(encode(status, sent, body))
        await writer.drain()


async def _until_closed(reader):
    """Returns once the peer has closed its connection."""
    while not (reader.at_eof() or reader.exception()):
        await asyncio.sleep(0.005)


# Clients


class Answer:
    """What a client got for one request."""

    def __init__(self, request):
        self.request = request
        self.status = 0
        """0 if the connection ended before a whole head."""
        self.fields = {}
        self.body = b""
        self.complete = False
        self.sent_at = self.ended_at = 0.0


class Client:
    """A client with one connection that it keeps."""

    def __init__(self, record):
        self._record = record
        self._streams = None

    async def connect(self, port):
        self._streams = await asyncio.open_connection(HOST, port)

    def close(self):
        if self._streams is not None:
            self._streams[1].close()

    async def send(self, request, path, fields, method="POST", body=b"x" * 600):
        """Sends a request and reads the answer to its end."""
        reader, writer = self._streams
        answer = Answer(request)
        head = [
            f"{method} {path} HTTP/1.1",
            f"Host: {MODEL_HOST}",
            f"Request-Id: {request}",
            f"Content-Length: {len(body)}",
            *(f"{name}: {value}" for name, value in fields.items()),
        ]
        writer.write("\r\n".join([*head, "", ""]).encode() + body)
        await writer.drain()
        answer.sent_at = self._record.now()
        self._record.line("sent", request=request, path=path)
        try:
            first, answer.fields = await read_head(reader)
            answer.status = int(first.split(" ")[1])
            answer.body, answer.complete = await read_body(
                reader, answer.fields
            )
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        answer.ended_at = self._record.now()
        self._record.line(
            "answered",
            request=request,
            status=answer.status or "none",
            complete=answer.complete,
            bytes=len(answer.body),
            seal=answer.fields.get("server-seal", "none"),
            took=round(answer.ended_at - answer.sent_at, 3),
        )
        return answer


def model_fields(request, prompt=5200, output=4130, deadline_ms=14000):
    """Returns the header fields of a model request of tabla-hq."""
    return {
        "Model": "m",
        "Token-Count": f"{prompt},{output}",
        "Prompt-Prefix": f"{zlib.crc32(request.encode()):08x}:200,"
        f"{zlib.crc32(request.encode() + b'own'):08x}:{prompt - 200}",
        "Deadline-Ms": str(deadline_ms),
    }


# The configuration


def route(name, kind, service, **changes):
    """Returns a route like those of tabla-hq."""
    found = {
        "name": name,
        "hostname": MODEL_HOST,
        "path_prefix": f"/{name}/",
        "route_type": kind,
        "timeout_ms": 14000 if kind == "streaming" else 600,
        "target_latency_ms": 800 if kind == "streaming" else 120,
        "priority": 0 if kind == "streaming" else 2,
        "service": service,
        "max_attempts": 2 if kind == "idempotent" else 1,
    }
    if kind == "streaming":
        found |= {
            "session_affinity": True,
            "resumable": False,
            "gap_target_ms": 300,
        }
    return found | changes


def configuration(version, routes, engine=ENGINE):
    """Returns a configuration with an engine service and a plain one."""
    plain = {"health_check": "/health", "protocol": "h1", "tls": False}
    return {
        "version": version,
        "routes": routes,
        "services": [
            plain
            | {"name": "writer", "max_connections": 200, "engine": engine},
            plain | {"name": "ledger", "max_connections": 96},
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


# Instances


def _render(template, fields):
    """Fills in a template of the settings as the platform does."""

    def value(path):
        found = fields
        for part in path.split("."):
            if isinstance(found, list):
                found = found[int(part)] if int(part) < len(found) else None
            else:
                found = (found or {}).get(part)
        return found

    def section(match):
        return match[2] if value(match[1]) else ""

    def text(match):
        found = value(match[1])
        if match[2]:
            return json.dumps(found)
        return "" if found is None else str(found)

    filled = re.sub(
        r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S
    )
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", text, filled)


class Instance:
    """One process of the system, run as the deploy file says."""

    def __init__(self, name, store_port, folder, record, zone="here"):
        self.name, self.record = name, record
        ports = free_ports(6)
        self.front, self.ready, self.directory = ports[:3]
        fields = {
            "node_name": name,
            "zone": zone,
            "ip": HOST,
            "listen": {
                "front": f"{HOST}:{self.front}",
                "ready": f"{HOST}:{self.ready}",
                "directory": f"{HOST}:{self.directory}",
            },
            "internal_ports": [ports[3], ports[4]],
            "limits": {"cpu_share": 0.537, "cores": 2},
            "heartbeat_ms": 1200,
            "bounds": BOUNDS,
            "platform_api": {"address": f"{HOST}:{store_port}"},
        }
        template = ROOT / "deploy" / "settings.toml.template"
        self._path = pathlib.Path(folder) / f"{name}.toml"
        self._path.write_text(_render(template.read_text(), fields))
        self.log = pathlib.Path(folder) / f"{name}.log"
        self.process = None

    def start(self):
        environ = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environ["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environ["SYCAMORESEAM_CONFIG"] = str(self._path)
        with self.log.open("a") as out:
            self.process = subprocess.Popen(
                ["python3", "-m", "seam_platform"],
                cwd=ROOT,
                env=environ,
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=subprocess.STDOUT,
            )
        self.record.line("started", machine=self.name)

    def signal(self, number):
        self.record.line("signal", machine=self.name, number=number.name)
        self.process.send_signal(number)

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(HOST, self.ready)
            writer.write(b"GET /sycamoreseam/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            first, _ = await read_head(reader)
            writer.close()
        except (ConnectionError, asyncio.IncompleteReadError):
            return False
        return first.split(" ")[1] == "200"

    async def until_ready(self, timeout_s=20.0):
        async with asyncio.timeout(timeout_s):
            while not await self.is_ready():
                if not self.is_running():
                    raise RuntimeError(f"{self.name} has ended")
                await asyncio.sleep(0.05)
        self.record.line("ready", machine=self.name)

    async def until_ended(self):
        while self.is_running():
            await asyncio.sleep(0.02)
        self.record.line(
            "ended", machine=self.name, status=self.process.returncode
        )

    def kill(self):
        if self.is_running():
            self.process.kill()
            self.process.wait()


class World:
    """The store, workers and instances of one script."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.temp = tempfile.TemporaryDirectory()
        self.store = Store()
        self.workers, self.instances = [], []
        self._tasks = set()

    async def add_worker(self, worker):
        await worker.start()
        self.workers.append(worker)
        self.store.put("servers", worker.id, worker.entry())
        self.spawn(self._beat(worker))
        return worker

    async def _beat(self, worker):
        """Repeats a worker's entry as long as the store has it."""
        while True:
            await asyncio.sleep(1.2)
            if worker.id not in self.store.kinds["servers"]:
                return
            self.store.put("servers", worker.id, worker.entry())

    def drain(self, worker):
        """Lets a worker report that it is leaving."""
        worker.state = "draining"
        self.store.put("servers", worker.id, worker.entry())
        self.record.line("draining", worker=worker.id)
        return self.record.now()

    def add_instance(self, name, zone="here"):
        found = Instance(
            name, self.store.port, self.temp.name, self.record, zone
        )
        self.instances.append(found)
        return found

    def spawn(self, coro):
        task = asyncio.ensure_future(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def close(self):
        for each in self.instances:
            each.kill()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for each in (*self.workers, self.store):
            await each.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for each in self.instances:
                (pathlib.Path(keep) / each.log.name).write_bytes(
                    each.log.read_bytes()
                )
        self.record.close()
        self.temp.cleanup()


def main(file, scenario, limit_s=110.0):
    """Runs a scenario; exits with 0, 1 or 2.

    The scenario gets the world and returns the number of times that the rule
    was broken.
    """

    async def run():
        world = World(pathlib.Path(file).resolve().parent)
        try:
            async with asyncio.timeout(limit_s):
                await world.store.start()
                broken = await scenario(world)
            world.record.line("verdict", broken=broken, trouble=trouble())
            print(f"rule broken {broken} times")
            return BROKEN if broken else HOLDS
        except Exception as exc:  # noqa: BLE001
            world.record.line("not_run", error=repr(exc))
            print(f"could not run: {exc!r}", file=sys.stderr)
            return NOT_RUN
        finally:
            await world.close()

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    sys.exit(asyncio.run(run()))
