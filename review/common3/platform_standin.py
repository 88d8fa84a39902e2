"""Stand-in of the platform: its store, the settings and the processes.

It follows PROTOCOL.md ("The platform's metadata store", "Service discovery")
and DEPLOY.md ("Settings of a process"). It uses the standard library only.
"""

import asyncio
import collections
import json
import os
import pathlib
import re
import signal
import socket
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HISTORY_S = 20.0
PAGE = 50
PAGE_BYTES = 1_048_576
CREATED_AT = time.monotonic()

BOUNDS = {
    "seed_lag_s": 3,
    "addr_reuse_s": 2,
    "stable_window_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "skew_max_ms": 5000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "retry_slack": 52,
    "recover_s": 12,
    "transit_ms": 120,
    "reuse_window_s": 3,
    "fencing_enforced": False,
    "lease_ms": 3000,
    "thaw_ms": 300,
    "ttl_max_s": 5,
}
"""The bounds of the deployment `tabla-hq`."""


def now() -> float:
    """Returns seconds of the monotonic clock since the start."""
    return time.monotonic() - CREATED_AT


class Record:
    """What was sent, answered and run, one line each, in `record.txt`."""

    def __init__(self, path: pathlib.Path):
        self._file = path.open("w")

    def __call__(self, what: str, **fields: object) -> None:
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{now():9.4f} {what} {text}\n")

    def close(self) -> None:
        self._file.close()


# HTTP


class Request:
    """One received request, its body included."""

    def __init__(self, method, target, headers, body):
        self.method, self.target = method, target
        self.headers, self.body = headers, body
        parts = urllib.parse.urlsplit(target)
        self.path = parts.path
        self.query = dict(urllib.parse.parse_qsl(parts.query))


async def read_head(reader):
    """Returns the first line and the headers of a message; None at its end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin1").split("\r\n")
    headers = {}
    for line in filter(None, lines):
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers):
    """Returns a body with a length or in chunks; empty without either."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int(await reader.readuntil(b"\r\n"), 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
        return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def read_request(reader):
    """Returns the next request of a connection; None at its end."""
    head = await read_head(reader)
    if head is None:
        return None
    first, headers = head
    method, target, _ = first.split(" ", 2)
    body = await read_body(reader, headers)
    return Request(method, target, headers, body)


def message(first: str, headers: dict, body: bytes = b"") -> bytes:
    """Returns an HTTP message with a length."""
    fields = {**headers, "Content-Length": str(len(body))}
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"{first}\r\n{lines}\r\n".encode("latin1") + body


# Store


class Store:
    """Objects by kind and name; one revision counter; watches."""

    def __init__(self, record: Record):
        self._record = record
        self.revision = 100
        self.objects = collections.defaultdict(dict)
        self._changes = collections.deque()
        """(revision, time, kind, removed, object)"""
        self._waiters: set[asyncio.Event] = set()
        self._beats: dict[str, float] = {}
        self.heartbeat_s = 1.2
        self._bytes: dict[str, bytes] = {}
        """Bytes of entries of another writer, by the text that stands for them
        in `spec`. They are sent as they lie there."""
        self.late: list = []
        """Functions of a request that return after how many seconds it is
        done, without an answer; None to do and answer it at once."""
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        self._spawn(self._expire())

    def close(self) -> None:
        self._server.close()
        for each in tuple(self._tasks):
            each.cancel()

    def _spawn(self, step) -> None:
        task = asyncio.ensure_future(step)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # Objects

    def put(self, kind: str, name: str, spec: object) -> dict:
        """Creates or replaces an object."""
        found = self.objects[kind].get(name)
        if kind == "servers":
            self._beats[name] = now()
            if found is not None and _but_sequence(found) == _but_sequence(
                {"spec": spec}
            ):
                return found
        self.revision += 1
        created = found["metadata"]["created"] if found else self.revision
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
        self.objects[kind][name] = item
        self._change(kind, False, item)
        return item

    def put_bytes(self, kind: str, name: str, text: bytes) -> None:
        """Creates or replaces an object, whose bytes may not be readable.

        Its writer repeats it, so it does not expire.
        """
        found = self.objects[kind].get(name)
        if found is not None:
            self._bytes.pop(found["spec"]["mark"], None)
        mark = f"mark-{self.revision}"
        self._bytes[mark] = text
        self.put(kind, name, {"mark": mark})
        self._beats.pop(name, None)

    def _with_bytes(self, answer: bytes) -> bytes:
        """Puts in the bytes of such objects and states the length."""
        head, _, body = answer.partition(b"\r\n\r\n")
        for mark, text in self._bytes.items():
            body = body.replace(json.dumps({"mark": mark}).encode(), text)
        first = head.split(b"\r\n")[0].decode()
        return message(first, {"Content-Type": "application/json"}, body)

    def remove(self, kind: str, name: str) -> None:
        item = self.objects[kind].pop(name, None)
        self._beats.pop(name, None)
        if item is not None:
            self.revision += 1
            self._change(kind, True, item)

    def _change(self, kind: str, removed: bool, item: dict) -> None:
        self._changes.append((self.revision, now(), kind, removed, item))
        while self._changes[0][1] < now() - HISTORY_S:
            self._changes.popleft()
        if kind in ("servers", "config"):
            spec = item["spec"]
            self._record(
                "store",
                kind=kind,
                name=item["metadata"]["name"],
                removed=removed,
                state=spec.get("state", ""),
                sequence=spec.get("sequence", ""),
                version=spec.get("version", ""),
            )
        for each in self._waiters:
            each.set()

    async def _expire(self) -> None:
        """Removes workers that have been silent for three heartbeats."""
        while True:
            await asyncio.sleep(0.05)
            for name, at in tuple(self._beats.items()):
                if now() - at > 3 * self.heartbeat_s + 0.1:
                    self.remove("servers", name)

    # Calls

    async def _serve(self, reader, writer) -> None:
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    return
                delay_s = next(
                    filter(None, (rule(request) for rule in self.late)), None
                )
                if delay_s is not None:
                    self._record(
                        "store-late",
                        call=f"{request.method} {request.path}",
                        delay_s=delay_s,
                    )
                    self._spawn(self._do_later(request, delay_s))
                    # Nothing further comes on this connection.
                    await reader.read()
                    return
                answer = await self._answer(request)
                writer.write(self._with_bytes(answer))
                await writer.drain()
        except (
            ConnectionError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            # The stand-in ends, or its caller has gone.
            pass
        finally:
            writer.close()

    async def _do_later(self, request: Request, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        self._record("store-done-late", call=f"{request.method} {request.path}")
        await self._answer(request)

    async def _answer(self, request: Request) -> bytes:
        match = re.fullmatch(
            r"/sycamoreseam/objects/([^/]+)(?:/([^/]+))?", request.path
        )
        if match is None:
            return _json(404, {})
        kind, name = match.group(1), urllib.parse.unquote(match.group(2) or "")
        if request.method == "GET" and name:
            found = self.objects[kind].get(name)
            return _json(200, found) if found else _json(404, {})
        if request.method == "GET" and "watch" in request.query:
            return await self._watch(kind, request.query)
        if request.method == "GET":
            return self._list(kind, request.query.get("after", ""))
        return self._write(request, kind, name)

    def _write(self, request: Request, kind: str, name: str) -> bytes:
        sent = json.loads(request.body) if request.body else {}
        metadata = sent.get("metadata", {})
        name = name or metadata.get("name", "")
        found = self.objects[kind].get(name)
        wanted = metadata.get("revision", request.query.get("revision"))
        if request.method == "POST":
            if found is not None:
                return _json(409, found)
            return _json(200, self.put(kind, name, sent.get("spec")))
        if found is None:
            return _json(404, {})
        if wanted is not None and int(wanted) != found["metadata"]["revision"]:
            return _json(409, found)
        if request.method == "DELETE":
            self.remove(kind, name)
            return _json(200, found)
        if found["spec"] == sent.get("spec") and kind != "servers":
            return _json(200, found)
        return _json(200, self.put(kind, name, sent.get("spec")))

    def _list(self, kind: str, after: str) -> bytes:
        names = sorted(each for each in self.objects[kind] if each > after)
        items, size = [], 0
        for each in names[:PAGE]:
            item = self.objects[kind][each]
            size += self._size(item)
            if items and size > PAGE_BYTES:
                break
            items.append(item)
        return _json(
            200,
            {
                "items": items,
                "has_more": len(names) > len(items),
                "store_revision": self.revision,
            },
        )

    def _size(self, item: dict) -> int:
        spec = item["spec"]
        mark = spec.get("mark") if isinstance(spec, dict) else None
        return len(self._bytes.get(mark, b"")) or len(json.dumps(item))

    async def _watch(self, kind: str, query: dict) -> bytes:
        revision, until = int(query["watch"]), now()
        until += min(30_000, int(query.get("wait_ms", "0"))) / 1000
        changed = asyncio.Event()
        self._waiters.add(changed)
        try:
            while True:
                oldest = self._changes[0][0] if self._changes else 0
                if revision < oldest - 1 and revision < self.revision:
                    return _json(410, {})
                events = [
                    {"object": item, "removed": removed}
                    for number, _, of, removed, item in self._changes
                    if of == kind and number > revision
                ]
                if events or now() >= until:
                    return _json(
                        200,
                        {"events": events, "store_revision": self.revision},
                    )
                changed.clear()
                try:
                    async with asyncio.timeout(until - now()):
                        await changed.wait()
                except TimeoutError:
                    pass
        finally:
            self._waiters.discard(changed)


def _but_sequence(item: dict) -> dict:
    return {k: v for k, v in item["spec"].items() if k != "sequence"}


def _json(status: int, value: object) -> bytes:
    return message(
        f"HTTP/1.1 {status} x",
        {"Content-Type": "application/json"},
        json.dumps(value).encode(),
    )


# Settings and processes


def render(text: str, fields: dict) -> str:
    """Fills a template in as DEPLOY.md says, as far as this one needs it."""

    def look_up(path: str):
        value = fields
        for part in path.split("."):
            if isinstance(value, list):
                value = value[int(part)]
            elif isinstance(value, dict):
                value = value.get(part)
            else:
                return None
        return value

    def section(match: re.Match) -> str:
        return match.group(2) if look_up(match.group(1)) else ""

    def value(match: re.Match) -> str:
        found = look_up(match.group(1))
        if match.group(2):
            return json.dumps(found)
        if isinstance(found, bool):
            return str(found).lower()
        return "" if found is None else str(found)

    text = re.sub(r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}", section, text)
    return re.sub(r"\{\{([^}|#/]+)(\|json)?\}\}", value, text)


def free_port(host: str) -> int:
    """Returns a port that is free for TCP and UDP on an address."""
    while True:
        with socket.socket() as tcp, socket.socket(
            type=socket.SOCK_DGRAM
        ) as udp:
            tcp.bind((host, 0))
            port = tcp.getsockname()[1]
            try:
                udp.bind((host, port))
            except OSError:
                continue
            return port


class Instance:
    """One process of the deploy file's role, on a loopback address."""

    def __init__(
        self,
        number: int,
        zone: str,
        store_address: str,
        folder: pathlib.Path,
        record: Record,
        bounds: dict = BOUNDS,
    ):
        self.host = f"127.0.0.{10 + number}"
        self.name = f"edge-{zone}-{number}"
        self.zone = zone
        self._record = record
        self._folder = folder
        self._proc: asyncio.subprocess.Process | None = None
        ports = [free_port(self.host) for _ in range(6)]
        self.front, self.ready, control, self.directory = ports[:4]
        fields = {
            "node_name": self.name,
            "zone": zone,
            "ip": self.host,
            "listen": {
                "front": f"{self.host}:{self.front}",
                "ready": f"{self.host}:{self.ready}",
                "control": f"{self.host}:{control}",
                "directory": f"{self.host}:{self.directory}",
            },
            "internal_ports": ports[4:],
            "limits": {
                "cpu_share": 0.537,
                "cores": 2,
                "memory_mb": 150,
                "max_fds": 4100,
            },
            "heartbeat_ms": 1200,
            "bounds": bounds,
            "platform_api": {"address": store_address},
        }
        template = (ROOT / "deploy/settings.toml.template").read_text()
        self.settings = folder / f"{self.name}.toml"
        self.settings.write_text(render(template, fields))

    async def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        text = (ROOT / "deploy/system.toml").read_text()
        command = re.search(r'^run = "(.*)"', text, re.M).group(1).split()
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["SYCAMORESEAM_CONFIG"] = str(self.settings)
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self._proc = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self._record("process", name=self.name, does="start")

    def private_mb(self) -> float:
        """Returns the private memory of the process; 0 once it has ended."""
        try:
            status = pathlib.Path(f"/proc/{self._proc.pid}/status").read_text()
        except OSError:
            return 0.0
        found = re.search(r"RssAnon:\s+(\d+) kB", status)
        return int(found.group(1)) * 1024 / 1e6 if found else 0.0

    def signal(self, number: signal.Signals) -> None:
        self._record("process", name=self.name, gets=number.name)
        os.kill(self._proc.pid, number)

    @property
    def status(self) -> int | None:
        return self._proc.returncode

    async def until_ready(self, timeout_s: float = 20.0) -> None:
        """Waits until the process says that it is ready."""
        try:
            async with asyncio.timeout(timeout_s):
                while not await self.is_ready():
                    await asyncio.sleep(0.05)
        except TimeoutError:
            log = self._folder / f"{self.name}.log"
            lines = log.read_text().splitlines()[-20:]
            self._record("not-ready", name=self.name, status=self.status)
            for line in lines:
                self._record("log", line=line)
            raise

    async def is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(
                self.host, self.ready
            )
        except OSError:
            return False
        try:
            writer.write(
                b"GET /sycamoreseam/ready HTTP/1.1\r\nHost: x\r\n\r\n"
            )
            head = await read_head(reader)
            return head is not None and " 200 " in head[0] + " "
        finally:
            writer.close()

    async def end(self) -> int:
        """Ends the process if it runs; returns its status."""
        if self._proc is None:
            return 0
        if self._proc.returncode is None:
            os.kill(self._proc.pid, signal.SIGCONT)
            self._proc.kill()
        return await self._proc.wait()


class Proxy:
    """Passes connections of one instance on to the store.

    Open connections can go silent for good, without a reset, while new ones
    work; see DEPLOY.md, "How these days are played".
    """

    def __init__(self, port: int):
        self._target = port
        self.on_data = lambda data: None
        """Called with what the instance sends."""
        self._silent: set[int] = set()
        self._open: set[int] = set()
        self._numbers = 0
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def silence(self) -> int:
        """Silences the open connections; returns their number."""
        self._silent |= self._open
        return len(self._open)

    def close(self) -> None:
        self._server.close()
        for each in tuple(self._writers):
            each.transport.abort()

    async def _serve(self, reader, writer) -> None:
        self._numbers += 1
        number = self._numbers
        self._open.add(number)
        pipes = []
        try:
            there = await asyncio.open_connection("127.0.0.1", self._target)
            self._writers |= {writer, there[1]}
            pipes = [
                asyncio.ensure_future(self._pipe(number, reader, there[1], 1)),
                asyncio.ensure_future(self._pipe(number, there[0], writer, 0)),
            ]
            await asyncio.wait(pipes, return_when=asyncio.FIRST_COMPLETED)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            for each in pipes:
                each.cancel()
            if pipes:
                there[1].close()
                self._writers.discard(there[1])
            writer.close()
            self._writers.discard(writer)
            self._open.discard(number)

    async def _pipe(self, number, reader, writer, is_sent) -> None:
        try:
            while data := await reader.read(65536):
                if number in self._silent:
                    continue
                if is_sent:
                    self.on_data(data)
                writer.write(data)
                await writer.drain()
            if number in self._silent:
                # Not even its end is seen on the other side.
                await asyncio.sleep(3600 if not is_sent else 0)
        except ConnectionError:
            pass
