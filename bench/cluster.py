"""Starts stand-ins and entry instances as processes, for demo and tests.

The launcher is no part of the product: a process of the product starts no
other. Every process is ended by the id that it was started under.
"""

import asyncio
import json
import os
import pathlib
import signal
import sys
import tempfile
from typing import Any

import attrs
import expression
import tomli_w
from tornado import httpclient

from seam_model import codec
from seam_model import config
from seam_model import config_check
from seam_model import endpoints
from seam_model import keys
from seam_node.adapters import curl
from seam_node.adapters import platform_http

ROOT = pathlib.Path(__file__).resolve().parent.parent
PACKAGES = ("seam_policy", "seam_model", "seam_node", "seam_ctl")
START_LIMIT_S = 30.0
END_LIMIT_S = 20.0
POLL_S = 0.05
KEY_ID = "k1"
MODEL = "dedication-writer"
SERVICE = "plank-ledger"
READY_PREFIX = b"ready "


@attrs.define
class Process:
    """A process that this launcher started."""

    name: str
    proc: asyncio.subprocess.Process
    url: str = ""

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal if the process still runs."""
        if self.proc.returncode is None:
            self.proc.send_signal(number)

    async def end(self) -> int:
        """Ends the process and returns its exit code."""
        if self.proc.returncode is None:
            self.proc.kill()
        return await self.proc.wait()


@attrs.frozen
class EngineSpec:
    """A stand-in engine to start."""

    name: str
    role: endpoints.EngineRole
    data_centre: str
    options: tuple[str, ...] = ()


@attrs.frozen
class Layout:
    """What a cluster consists of."""

    engines: tuple[EngineSpec, ...]
    services: tuple[tuple[str, str], ...]
    """Name and data centre of each service endpoint."""
    instances: tuple[tuple[str, str], ...]
    """Name and data centre of each entry instance."""


def _decode(name: str, data_centre: str) -> EngineSpec:
    return EngineSpec(name, endpoints.EngineRole.DECODE, data_centre)


def _prefill(name: str, data_centre: str) -> EngineSpec:
    return EngineSpec(name, endpoints.EngineRole.PREFILL, data_centre)


SMALL = Layout(
    engines=(
        _prefill("prefill-1", "cebu-a"),
        _prefill("prefill-2", "cebu-b"),
        _decode("decode-1", "cebu-a"),
        _decode("decode-2", "cebu-b"),
    ),
    services=(("ledger-1", "cebu-a"), ("ledger-2", "cebu-b")),
    instances=(("e1", "cebu-a"), ("e2", "cebu-b"), ("e3", "cebu-a")),
)


def environment() -> dict[str, str]:
    """Returns the environment in which processes find this tree's code."""
    paths = [str(ROOT / "packages" / name) for name in PACKAGES]
    paths += [str(ROOT / "tests"), str(ROOT)]
    env = dict(os.environ)
    env["PYTHONPATH"] = os.pathsep.join(paths)
    return env


class Cluster:
    """A platform, engines, services and instances as processes."""

    def __init__(self, layout: Layout = SMALL):
        """Takes what to start."""
        self.layout = layout
        self.processes: dict[str, Process] = {}
        self.client: httpclient.AsyncHTTPClient | None = None
        self._folder = tempfile.TemporaryDirectory(prefix="seam-")
        self.folder = pathlib.Path(self._folder.name)
        self.peer_key = keys.generate_secret()
        self.workspace_secret = keys.generate_secret()
        self.operator_token = keys.generate_operator_token()
        self._platform: platform_http.HttpPlatform | None = None

    # Life

    async def start(self) -> None:
        """Starts everything and waits until every instance is ready."""
        self.client = curl.make_client()
        await self.start_standin("platform", "standins.platform_server")
        self._platform = platform_http.HttpPlatform(self.url("platform"), 5.0)
        await self._platform.start()
        await self.write_config()
        await asyncio.gather(
            *(self._start_engine(e) for e in self.layout.engines)
        )
        for name, data_centre in self.layout.services:
            await self._start_service(name, data_centre)
        for name, data_centre in self.layout.instances:
            await self.start_instance(name, data_centre)
        for name, _ in self.layout.instances:
            await self.wait_ready(name)
        await self._wait_listed()

    async def close(self) -> None:
        """Ends every process that was started."""
        if self._platform is not None:
            await self._platform.close()
        for process in self.processes.values():
            await process.end()
        if self.client is not None:
            self.client.close()
        self._folder.cleanup()

    def url(self, name: str) -> str:
        """Returns the base URL of a started process."""
        return self.processes[name].url

    def token(self, workspace: str) -> str:
        """Returns a workspace's token."""
        return keys.make_workspace_token(
            KEY_ID, self.workspace_secret, workspace
        )

    # Parts

    async def start_standin(
        self, name: str, module: str, *args: str
    ) -> Process:
        """Starts a stand-in, which prints its port once it listens."""
        process = await self._spawn(name, "-m", module, *args)
        line = await asyncio.wait_for(
            process.proc.stdout.readline(), START_LIMIT_S
        )
        if not line.startswith(READY_PREFIX):
            raise RuntimeError(f"{name} did not start: {line!r}")
        port = int(line[len(READY_PREFIX) :])
        process.url = f"http://127.0.0.1:{port}"
        return process

    async def _start_engine(self, spec: EngineSpec) -> None:
        process = await self.start_standin(
            spec.name,
            "standins.engine_server",
            "--name",
            spec.name,
            "--role",
            spec.role.value,
            *spec.options,
        )
        await self.register(
            endpoints.EndpointRecord(
                name=spec.name,
                kind="engine",
                url=process.url,
                data_centre=spec.data_centre,
                role=spec.role,
                models=(MODEL,),
                slots=20,
                kv_blocks=400,
            )
        )

    async def _start_service(self, name: str, data_centre: str) -> None:
        process = await self.start_standin(
            name, "standins.service_server", "--name", name
        )
        await self.register(
            endpoints.EndpointRecord(
                name=name,
                kind="service",
                url=process.url,
                data_centre=data_centre,
                service=SERVICE,
            )
        )

    async def start_instance(self, name: str, data_centre: str) -> Process:
        """Starts one entry instance from a settings file of its own."""
        settings = self.folder / f"{name}.toml"
        settings.write_text(tomli_w.dumps(self.settings(name, data_centre)))
        process = await self._spawn(
            name, "-m", "seam_node.daemon", "--settings", str(settings)
        )
        process.url = await self._listening(name)
        return process

    def settings(self, name: str, data_centre: str) -> dict[str, Any]:
        """Returns the settings of one instance as plain tables."""
        return {
            "instance": {"name": name, "data_centre": data_centre},
            "listen": {"callers_port": 0, "admin_port": 0, "peer_port": 0},
            "platform": {"url": self.url("platform")},
            "peers": {"key": self.peer_key},
            "workspaces": {"keys": {KEY_ID: self.workspace_secret}},
            "operators": [
                {
                    "name": "apprentice",
                    "role": "admin",
                    "token_hash": keys.hash_operator_token(self.operator_token),
                }
            ],
            "logs": {"destination": str(self.log_file(name))},
        }

    def log_file(self, name: str) -> pathlib.Path:
        """Returns where an instance logs to."""
        return self.folder / f"{name}.log"

    async def _listening(self, name: str) -> str:
        """Waits for the log line that names the callers' address."""
        return (await self._logged(name, "event=listening"))["callers"]

    async def _logged(self, name: str, mark: str) -> dict[str, str]:
        path = self.log_file(name)
        process = self.processes[name]
        for _ in range(int(START_LIMIT_S / POLL_S)):
            text = path.read_text() if path.exists() else ""
            for line in reversed(text.splitlines()):
                if mark in line:
                    return dict(p.split("=", 1) for p in line.split(" "))
            if process.proc.returncode is not None:
                raise RuntimeError(f"{name} ended: {process.proc.returncode}")
            await asyncio.sleep(POLL_S)
        raise RuntimeError(f"{name} logged no {mark}")

    async def admin_url(self, name: str) -> str:
        """Returns the operators' address of an instance."""
        return (await self._logged(name, "event=listening"))["admin"]

    async def wait_ready(self, name: str) -> None:
        """Waits until an instance takes work."""
        for _ in range(int(START_LIMIT_S / POLL_S)):
            answer = await self.get(self.url(name) + "/readyz")
            if answer.status == 200:
                return
            await asyncio.sleep(POLL_S)
        raise RuntimeError(f"{name} is not ready: {answer.body!r}")

    async def _wait_listed(self) -> None:
        """Waits until each instance knows all the others."""
        wanted = len(self.layout.instances)
        for name, _ in self.layout.instances:
            for _ in range(int(START_LIMIT_S / POLL_S)):
                answer = await self.get(self.url(name) + "/v1/entry")
                if len(json.loads(answer.body)["instances"]) == wanted:
                    break
                await asyncio.sleep(POLL_S)

    async def _spawn(self, name: str, *args: str) -> Process:
        errors_file = (self.folder / f"{name}.err").open("ab")
        with errors_file:
            proc = await asyncio.create_subprocess_exec(
                sys.executable,
                *args,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=asyncio.subprocess.PIPE,
                stderr=errors_file,
                env=environment(),
                cwd=self.folder,
            )
        process = Process(name, proc)
        self.processes[name] = process
        return process

    # The platform

    def defaults(self, shipped: config.Defaults) -> config.Defaults:
        """Returns the fleet's defaults, before models and services."""
        return shipped

    async def write_config(self) -> None:
        """Writes the first fleet configuration."""
        shipped = config_check.initial()
        defaults = attrs.evolve(
            self.defaults(shipped.defaults),
            models={MODEL: config.ModelRule(1000, 60000)},
            services={
                SERVICE: {
                    "reserve": config.OperationRule(False, 5.0),
                    "lookup": config.OperationRule(True, 2.0),
                }
            },
        )
        cfg = attrs.evolve(shipped, version=1, defaults=defaults)
        wrote = await self._platform.put(
            config.CONFIG_KEY, config_check.encode(cfg), 0
        )
        _must(wrote)

    async def register(self, record: endpoints.EndpointRecord) -> None:
        """Shows an endpoint in the platform's list."""
        url = f"{self.url('platform')}/v1/fleet/endpoints/{record.name}"
        answer = await curl.exchange(
            self.client, "PUT", url, 5.0, codec.to_json(record)
        )
        if answer.status != 200:
            raise RuntimeError(f"not registered: {answer}")

    async def control(self, name: str, **faults: Any) -> bytes:
        """Sets fault switches of a stand-in."""
        url = self.url(name) + "/control"
        answer = await curl.exchange(
            self.client, "POST", url, 5.0, json.dumps(faults).encode()
        )
        return answer.body

    # Requests

    async def get(self, url: str) -> curl.Answer:
        """Sends a GET."""
        return await curl.exchange(self.client, "GET", url, 5.0)

    async def history(self, name: str) -> Any:
        """Returns what a stand-in recorded."""
        answer = await self.get(self.url(name) + "/history")
        return json.loads(answer.body)


def _must(result: expression.Result) -> Any:
    if result.is_error():
        raise RuntimeError(result.error.describe())
    return result.ok
