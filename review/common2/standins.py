"""Small stand-ins for the second review: store, workers, clients, processes.

Only the standard library is used. All of them run in the process of the test
and listen on loopback; the project's own program runs in processes of its own,
started with the command of the deploy file.
"""

import asyncio
import itertools
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
NAME = "ficu95.example"
NO_TROUBLE = os.environ.get("TROUBLE") == "0"


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """Lines of `record.txt`, with seconds since the start."""

    def __init__(self, folder):
        self._file = (pathlib.Path(folder) / "record.txt").open("w")
        self._start = time.monotonic()
        self.zero = None
        """Time of the disruption, once there is one."""

    def now(self):
        return time.monotonic() - self._start

    def __call__(self, text):
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()


_used_ports = set()


def free_port():
    """Returns a port that is free for TCP and UDP and was not returned before.

    It lies below those that the system gives to outgoing connections, so that
    none of them takes it before the process that is started binds it.
    """
    for _ in range(200):
        port = random.randrange(12000, 30000)
        if port in _used_ports:
            continue
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as sock:
                    sock.bind((HOST, port))
        except OSError:
            continue
        _used_ports.add(port)
        return port
    raise CannotRun("no free port")


# HTTP


class Message:
    """A request or an answer."""

    def __init__(self, first, headers, body=b""):
        self.first, self.headers, self.body = first, headers, body

    @property
    def status(self):
        return int(self.first.split(" ")[1])

    @property
    def method(self):
        return self.first.split(" ")[0]

    @property
    def target(self):
        return self.first.split(" ")[1]

    def get(self, name, default=""):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    """Returns the head of a message; None at the end of the connection."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as exc:
        if exc.partial:
            raise
        return None
    first, *lines = text.decode("latin1").split("\r\n")
    headers = {}
    for line in filter(None, lines):
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Message(first, headers)


async def read_request(reader):
    message = await read_head(reader)
    if message is not None:
        length = int(message.get("content-length", "0"))
        message.body = await reader.readexactly(length) if length else b""
    return message


def answer(status, body=b"", **fields):
    """Returns the bytes of an answer with a length."""
    fields = {k.replace("_", "-"): v for k, v in fields.items()}
    fields["Content-Length"] = str(len(body))
    head = "".join(f"{k}: {v}\r\n" for k, v in fields.items())
    return f"HTTP/1.1 {status}\r\n{head}\r\n".encode() + body


# The platform's store


class Store:
    """The platform's store: objects, revisions, watches."""

    def __init__(self):
        self.revision = 1
        self.kinds = {}
        self.changes = []
        self._changed = asyncio.Event()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self):
        self._server.close()

    def put(self, kind, name, spec):
        known = self.kinds.setdefault(kind, {})
        before = known.get(name)
        if before is not None and before["spec"] == spec:
            return before
        self.revision += 1
        created = before["metadata"]["created"] if before else self.revision
        item = {
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
        known[name] = item
        self._note(kind, item, False)
        return item

    def remove(self, kind, name):
        item = self.kinds.get(kind, {}).pop(name, None)
        if item is not None:
            self.revision += 1
            self._note(kind, item, True)
        return item

    def _note(self, kind, item, removed):
        self.changes.append((self.revision, kind, item, removed))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while (got := await read_request(reader)) is not None:
                status, plain = await self._answer(got)
                body = json.dumps(plain).encode()
                writer.write(
                    answer(status, body, Content_Type="application/json")
                )
                await writer.drain()
        except (OSError, EOFError):
            pass
        finally:
            writer.close()

    async def _answer(self, got):
        url = urllib.parse.urlsplit(got.target)
        query = dict(urllib.parse.parse_qsl(url.query))
        _, _, _, kind, *rest = url.path.split("/")
        name = urllib.parse.unquote(rest[0]) if rest else None
        known = self.kinds.setdefault(kind, {})
        sent = json.loads(got.body) if got.body else {}
        if got.method == "GET" and name is not None:
            found = known.get(name)
            return ("200 OK", found) if found else ("404 Not Found", {})
        if got.method == "GET" and "watch" in query:
            return await self._watch(kind, query)
        if got.method == "GET":
            names = sorted(n for n in known if n > query.get("after", ""))
            return "200 OK", {
                "items": [known[n] for n in names],
                "has_more": False,
                "store_revision": self.revision,
            }
        name = name or sent["metadata"]["name"]
        found = known.get(name)
        if got.method == "POST":
            if found:
                return "409 Conflict", found
            return "200 OK", self.put(kind, name, sent["spec"])
        if found is None:
            return "404 Not Found", {}
        wanted = sent.get("metadata", {}).get("revision")
        wanted = wanted or int(query.get("revision", "0"))
        if wanted and wanted != found["metadata"]["revision"]:
            return "409 Conflict", found
        if got.method == "DELETE":
            self.remove(kind, name)
            return "200 OK", found
        return "200 OK", self.put(kind, name, sent["spec"])

    async def _watch(self, kind, query):
        since = int(query["watch"])
        until = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            events = [
                {"removed": removed, "object": item}
                for revision, of_kind, item, removed in self.changes
                if of_kind == kind and revision > since
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return "200 OK", {
                    "events": events,
                    "store_revision": self.revision,
                }
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                continue


def route(name, kind, service, timeout_ms, target_ms, **changes):
    return {
        "name": name,
        "hostname": NAME,
        "path_prefix": f"/{name}/",
        "route_type": kind,
        "timeout_ms": timeout_ms,
        "target_latency_ms": target_ms,
        "priority": 0,
        "service": service,
        "max_attempts": 2 if kind == "idempotent" else 1,
        **changes,
    }


def configuration(version, routes):
    """Returns a configuration with the figures of a small deployment."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": "writers",
                "health_check": "/health",
                "max_connections": 200,
                "engine": {
                    "slots": 24,
                    "kv_capacity": 71867,
                    "kv_token_bytes": 327680,
                    "link_mbps": 11000000.0,
                    "stride": 1,
                    "handle_ttl_s": 0.5,
                    "role_switch_s": 6.0,
                    "hold_ms": 2000.0,
                },
            },
            {
                "name": "ledger",
                "health_check": "/health",
                "max_connections": 96,
            },
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 5000,
            "idle_timeout_ms": 15000,
        },
    }


# Workers


class Worker:
    """A sound worker of a plain service; subclasses differ."""

    count = itertools.count(1)

    def __init__(self, store, record, service, stage=None):
        self.store, self.record = store, record
        self.service, self.stage = service, stage
        number = next(self.count)
        self.name = f"i-{number:04d}"
        self.born = int(time.time() * 1000) + number
        self.runs = {}
        """What became of each run, by request id."""

    async def start(self):
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        self.announced = f"{HOST}:{self.port}"
        self.announce()

    async def close(self):
        self._server.close()

    def announce(self, state="ready"):
        entry = {
            "service": self.service,
            "address": self.announced,
            "zone": "cebu-a",
            "version": "v1",
            "slots": 24 if self.stage else 6,
            "state": state,
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": self.born,
        }
        if self.stage:
            entry["stage"] = self.stage
            entry["models"] = [{"name": "m", "version": 1, "adapters": []}]
        self.store.put("servers", self.name, entry)

    async def _serve(self, reader, writer):
        try:
            while (got := await read_request(reader)) is not None:
                expected = got.get("expect-instance")
                if expected and expected != self.name:
                    writer.write(
                        answer(
                            "421 Misdirected Request",
                            Instance_Id=self.name,
                            Not_Executed="1",
                            Request_Id=got.get("request-id"),
                        )
                    )
                else:
                    await self.handle(got, reader, writer)
                await writer.drain()
        except (OSError, EOFError):
            pass
        finally:
            writer.close()

    async def handle(self, got, reader, writer):
        request_id = got.get("request-id")
        if not request_id:
            writer.write(answer("200 OK", Instance_Id=self.name))
            return
        self.record(f"{self.name} runs {request_id}")
        await asyncio.sleep(0.02)
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        writer.write(
            answer(
                "200 OK",
                b"x" * 800,
                Request_Id=request_id,
                Server_Seal=f"seal.{self.name}.{request_id}",
            )
        )


PROMPT_TOKENS_PER_S = 55_555.0


class Engine(Worker):
    """A sound model worker."""

    handles = set()
    """Handles of all prefill workers that have not been used."""

    def __init__(self, store, record, stage, token_s):
        super().__init__(store, record, "writers", stage)
        self.token_s = token_s
        self.running = 0
        self.sequence = 0
        self._numbers = itertools.count(1)

    async def handle(self, got, reader, writer):
        path = got.target
        if path == "/sycamoreseam/report":
            report = {
                "stage": self.stage,
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "busy": False,
                "sequence": self.sequence,
                "queued": 0,
                "running": self.running,
                "kv_used": 0,
                "kv_total": 71867,
                "kv_handles": 0,
                "born": self.born,
            }
            self._plain(writer, report)
        elif path == "/sycamoreseam/hold-take":
            self._plain(writer, {"hold": f"h{next(self._numbers)}"})
        elif path == "/sycamoreseam/order":
            self.record(f"{self.name} gets an order: {got.body.decode()}")
            self.sequence += 1
            stage = json.loads(got.body)["stage"]
            asyncio.get_running_loop().call_later(6.0, self._change, stage)
            writer.write(answer("202 Accepted"))
        elif path.startswith("/sycamoreseam/"):
            Engine.handles.discard(path.rsplit("/", 1)[1])
            writer.write(answer("200 OK"))
        elif got.get("request-id"):
            await self._model_request(got, reader, writer)
        else:
            writer.write(answer("200 OK", Instance_Id=self.name))

    def _plain(self, writer, plain):
        writer.write(
            answer(
                "200 OK",
                json.dumps(plain).encode(),
                Content_Type="application/json",
            )
        )

    def _change(self, stage):
        self.stage = stage
        self.announce()

    async def _model_request(self, got, reader, writer):
        request_id = got.get("request-id")
        prompt, _, most = got.get("token-count").partition(",")
        prefills = got.get("serving-stage") == "prefill"
        if prefills != (self.stage == "prefill"):
            writer.write(
                answer(
                    "421 Misdirected Request",
                    Request_Id=request_id,
                    Not_Executed="1",
                )
            )
            return
        prefill_s = int(prompt) / PROMPT_TOKENS_PER_S
        if prefills:
            await asyncio.sleep(prefill_s)
            handle = f"{self.port:x}{next(self._numbers):x}"
            Engine.handles.add(handle)
            body = {"kv_handle": handle, "tokens": int(prompt), "version": 1}
            writer.write(
                answer(
                    "200 OK",
                    json.dumps(body).encode(),
                    Content_Type="application/json",
                    Request_Id=request_id,
                )
            )
            return
        source = got.get("kv-source")
        handle = source.rpartition("/")[2]
        if source and handle not in Engine.handles:
            writer.write(
                answer(
                    "503 Service Unavailable",
                    Request_Id=request_id,
                    Not_Executed="1",
                )
            )
            return
        Engine.handles.discard(handle)
        if not source:
            await asyncio.sleep(2 * prefill_s)
        await self._stream(request_id, int(most), got, writer)

    async def _stream(self, request_id, tokens, got, writer):
        self.record(f"{self.name} begins stream {request_id}")
        self.runs[request_id] = "running"
        self.running += 1
        first = int(got.get("last-event-id") or 0) + 1
        writer.write(
            (
                f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n"
                f"Server-Seal: seal.{self.name}.{request_id}\r\n"
                "Content-Type: text/event-stream\r\n"
                "Transfer-Encoding: chunked\r\n\r\n"
            ).encode()
        )
        number = first
        try:
            for number in range(first, tokens + 1):
                await asyncio.sleep(self.token_s)
                event = f"id: {number}\ndata: {request_id} {number}\n\n"
                if writer.transport.is_closing():
                    raise ConnectionResetError
                chunk = event.encode()
                writer.write(f"{len(chunk):x}\r\n".encode() + chunk + b"\r\n")
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            self.runs[request_id] = "ended"
            self.record(f"{self.name} has ended stream {request_id}")
        except OSError:
            self.runs[request_id] = f"cut off after event {number - 1}"
            self.record(
                f"{self.name} stops stream {request_id}: its connection was "
                f"closed after event {number - 1} of {tokens}"
            )
            raise
        finally:
            self.running -= 1


# The project's own processes


class Instance:
    """One instance, started with the command of the deploy file."""

    def __init__(self, name, store, record, folder, memory_mb=150, extra=""):
        self.name, self.record = name, record
        self.callers, self.ready = free_port(), free_port()
        self.entry, self.metrics = free_port(), free_port()
        self.peers = free_port()
        self._settings = pathlib.Path(folder) / f"{name}.toml"
        self._output = pathlib.Path(folder) / f"{name}.log"
        # As the template of the deploy file renders it for a small site.
        self._settings.write_text(
            f"""
[instance]
name = "{name}"
data_centre = "cebu-a"
[capacity]
core_share = 0.537
core_speed = 2
memory_mb = {memory_mb}
max_open_files = 4100
[listen]
callers = "{HOST}:{self.callers}"
ready = "{HOST}:{self.ready}"
entry = "{HOST}:{self.entry}"
peers = "{HOST}:{self.peers}"
metrics = "{HOST}:{self.metrics}"
[store]
address = "{HOST}:{store.port}"
settle_ms = 3000
apply_ms = 2000
announce_ms = 1200
[orders]
handover_ms = 3000
[entry]
max_cache_s = 5
[retries]
ratio = 0.2
allowance = 52
window_s = 10
[leaving]
grace_s = 8
{extra}
"""
        )
        self.process = None

    async def start(self):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        program, *args = deploy["roles"]["entry"]["run"].split()
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["SYCAMORESEAM_CONFIG"] = str(self._settings)
        with self._output.open("ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                program, *args, cwd=ROOT, env=env, stdout=output, stderr=output
            )
        self.record(f"{self.name} is started")

    async def until_ready(self, timeout_s=20.0):
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            if await self.is_ready():
                self.record(f"{self.name} is ready")
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} is not ready")

    async def is_ready(self):
        got = await fetch(self.ready, "/sycamoreseam/ready")
        return got is not None and got.status == 200

    def signal(self, number):
        self.record(f"{signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    def memory_mb(self):
        """Returns the private memory of the process; 0 if it has ended."""
        try:
            status = pathlib.Path(f"/proc/{self.process.pid}/status")
            for line in status.read_text().splitlines():
                if line.startswith("RssAnon:"):
                    return int(line.split()[1]) * 1024 / 1e6
        except OSError:
            pass
        return 0.0

    def log(self):
        return self._output.read_text(errors="replace")

    async def close(self):
        if self.process is not None and self.process.returncode is None:
            try:
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            except ProcessLookupError:
                pass
            await self.process.wait()


async def fetch(port, target, timeout_s=1.0):
    """Returns the answer to a GET; None without one."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(f"GET {target} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
            got = await read_head(reader)
            if got is None:
                return None
            got.body = await reader.readexactly(
                int(got.get("content-length", "0"))
            )
            return got
    except (OSError, EOFError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()


async def resolve(instances):
    """Returns the addresses and their time, as a client asks for them."""
    target = f"/sycamoreseam/resolve?name={NAME}&region=visayas&zone=cebu-a"
    for each in instances[:3]:
        got = await fetch(each.entry, target)
        if got is not None and got.status == 200:
            plain = json.loads(got.body)
            if plain["addresses"]:
                return plain["addresses"], plain["ttl_s"]
    return None


# Clients


class Client:
    """A client on one kept connection."""

    numbers = itertools.count(1)

    def __init__(self, record):
        self.record = record

    async def connect(self, port):
        self.reader, self.writer = await asyncio.open_connection(HOST, port)
        return self

    def send(self, path, method="POST", body=b"", deadline_ms=600, **fields):
        """Writes a whole request; returns its id."""
        request_id = f"{next(self.numbers):016x}"
        fields = {
            "Host": NAME,
            "Request-Id": request_id,
            "Deadline-Ms": str(deadline_ms),
            **{k.replace("_", "-"): v for k, v in fields.items()},
        }
        if body or method == "POST":
            fields["Content-Length"] = str(len(body))
        head = "".join(f"{k}: {v}\r\n" for k, v in fields.items())
        self.writer.write(
            f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + body
        )
        self.record(f"client sends {request_id}: {method} {path}")
        return request_id

    def send_model(self, path, tokens, deadline_ms=14000):
        own = next(self.numbers)
        return self.send(
            path,
            body=b"p" * 5000,
            deadline_ms=deadline_ms,
            Model="m",
            Token_Count=f"5200,{tokens}",
            Prompt_Prefix=f"5c1e07a2:200,{own:08x}:5000",
        )

    async def read(self, timeout_s=20.0):
        """Returns the answer and whether it is complete; None without one."""
        try:
            async with asyncio.timeout(timeout_s):
                got = await read_head(self.reader)
                if got is None:
                    return None, False
                if "content-length" in got.headers:
                    length = int(got.get("content-length"))
                    got.body = await self.reader.readexactly(length)
                    return got, True
                while True:
                    line = await self.reader.readline()
                    if not line:
                        return got, False
                    size = int(line, 16)
                    got.body += await self.reader.readexactly(size)
                    await self.reader.readexactly(2)
                    if not size:
                        return got, True
        except (OSError, EOFError, TimeoutError):
            return (got if "got" in locals() else None), False

    def close(self):
        self.writer.close()


def run(folder, play):
    """Plays a case and exits: 1 if the rule was broken, 0 if it held."""
    record = Record(folder)
    temporary = tempfile.mkdtemp(prefix="seam-review-")
    processes = []

    async def main():
        try:
            async with asyncio.timeout(110):
                return await play(record, temporary, processes)
        finally:
            for each in processes:
                await each.close()

    try:
        broken = asyncio.run(main())
        code = 1 if broken else 0
    except (CannotRun, TimeoutError) as exc:
        record(f"the case could not run: {exc!r}")
        code = 2
    finally:
        shutil.rmtree(temporary, ignore_errors=True)
    record({0: "the rule held", 1: "THE RULE WAS BROKEN", 2: "no result"}[code])
    print((pathlib.Path(folder) / "record.txt").read_text().splitlines()[-1])
    sys.exit(code)
