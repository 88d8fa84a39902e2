"""Launches stand-ins and entry instances as processes for demo and tests.

The launcher is not part of the product, whose processes start no others.
Every process is killed through the process id it was started with.
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
START_TIMEOUT_S = 30.0
EXIT_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05
KEY_ID = "k1"
MODEL = "dedication-writer"
SERVICE = "plank-ledger"
READY_PREFIX = b"ready "


@attrs.define
class Process:
    """A process started by this launcher."""

    name: str
    proc: asyncio.subprocess.Process
    url: str = ""

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal if the process is still running."""
        if self.proc.returncode is None:
            self.proc.send_signal(number)

    async def end(self) -> int:
        """Kills the process if needed and returns its exit code."""
        if self.proc.returncode is None:
            self.proc.kill()
        return await self.proc.wait()


@attrs.frozen
class EngineSpec:
    """Launch parameters of a stand-in engine."""

    name: str
    role: endpoints.EngineRole
    data_centre: str
    options: tuple[str, ...] = ()


@attrs.frozen
class Layout:
    """The engines, services and instances of a cluster."""

    engines: tuple[EngineSpec, ...]
    services: tuple[tuple[str, str], ...]
    """Name and data centre of each service endpoint."""
    instances: tuple[tuple[str, str], ...]
    """Name and data centre of each entry instance."""


def _decode_engine(name: str, data_centre: str) -> EngineSpec:
    return EngineSpec(name, endpoints.EngineRole.DECODE, data_centre)


def _prefill_engine(name: str, data_centre: str) -> EngineSpec:
    return EngineSpec(name, endpoints.EngineRole.PREFILL, data_centre)


SMALL = Layout(
    engines=(
        _prefill_engine("prefill-1", "cebu-a"),
        _prefill_engine("prefill-2", "cebu-b"),
        _decode_engine("decode-1", "cebu-a"),
        _decode_engine("decode-2", "cebu-b"),
    ),
    services=(("ledger-1", "cebu-a"), ("ledger-2", "cebu-b")),
    instances=(("e1", "cebu-a"), ("e2", "cebu-b"), ("e3", "cebu-a")),
)


def environment() -> dict[str, str]:
    """Returns the environment with a PYTHONPATH to this source tree."""
    paths = [str(ROOT / "packages" / name) for name in PACKAGES]
    paths += [str(ROOT / "tests"), str(ROOT)]
    env = dict(os.environ)
    env["PYTHONPATH"] = os.pathsep.join(paths)
    return env


class Cluster:
    """Runs a platform, engines, services and instances as processes."""

    def __init__(self, layout: Layout = SMALL):
        """Prepares a cluster with the given layout."""
        self.layout = layout
        self.processes: dict[str, Process] = {}
        self.client: httpclient.AsyncHTTPClient | None = None
        self._folder = tempfile.TemporaryDirectory(prefix="seam-")
        self.folder = pathlib.Path(self._folder.name)
        self.peer_key = keys.generate_secret()
        self.workspace_secret = keys.generate_secret()
        self.operator_token = keys.generate_operator_token()
        self._platform: platform_http.HttpPlatform | None = None

    # Start and stop

    async def start(self) -> None:
        """Starts all processes and waits until every instance is ready."""
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
        """Kills all started processes and removes the temporary folder."""
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

    # Processes

    async def start_standin(
        self, name: str, module: str, *args: str
    ) -> Process:
        """Starts a stand-in and reads the port that it prints when ready."""
        process = await self._spawn(name, "-m", module, *args)
        line = await asyncio.wait_for(
            process.proc.stdout.readline(), START_TIMEOUT_S
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
        """Starts one entry instance with its own settings file."""
        settings = self.folder / f"{name}.toml"
        settings.write_text(tomli_w.dumps(self.settings(name, data_centre)))
        process = await self._spawn(
            name, "-m", "seam_node.daemon", "--settings", str(settings)
        )
        process.url = await self._wait_listening(name)
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
        """Returns the path of an instance's log file."""
        return self.folder / f"{name}.log"

    async def _wait_listening(self, name: str) -> str:
        """Waits for the `listening` log event; returns the callers' URL."""
        return (await self._wait_log_fields(name, "event=listening"))["callers"]

    async def _wait_log_fields(self, name: str, marker: str) -> dict[str, str]:
        path = self.log_file(name)
        process = self.processes[name]
        for _ in range(int(START_TIMEOUT_S / POLL_INTERVAL_S)):
            text = path.read_text() if path.exists() else ""
            for line in reversed(text.splitlines()):
                if marker in line:
                    return dict(p.split("=", 1) for p in line.split(" "))
            if process.proc.returncode is not None:
                raise RuntimeError(
                    f"{name} exited with code {process.proc.returncode}"
                )
            await asyncio.sleep(POLL_INTERVAL_S)
        raise RuntimeError(
            f"{name} did not log {marker} within the start timeout"
        )

    async def admin_url(self, name: str) -> str:
        """Returns the admin URL of an instance."""
        return (await self._wait_log_fields(name, "event=listening"))["admin"]

    async def wait_ready(self, name: str) -> None:
        """Waits until an instance reports that it is ready."""
        for _ in range(int(START_TIMEOUT_S / POLL_INTERVAL_S)):
            answer = await self.get(self.url(name) + "/readyz")
            if answer.status == 200:
                return
            await asyncio.sleep(POLL_INTERVAL_S)
        raise RuntimeError(f"{name} did not become ready: {answer.body!r}")

    async def _wait_listed(self) -> None:
        """Waits until each instance lists all instances, or the timeout."""
        expected_count = len(self.layout.instances)
        for name, _ in self.layout.instances:
            for _ in range(int(START_TIMEOUT_S / POLL_INTERVAL_S)):
                answer = await self.get(self.url(name) + "/v1/entry")
                if len(json.loads(answer.body)["instances"]) == expected_count:
                    break
                await asyncio.sleep(POLL_INTERVAL_S)

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

    # Platform

    def defaults(self, shipped: config.Defaults) -> config.Defaults:
        """Returns the fleet's defaults without models and services."""
        return shipped

    async def write_config(self) -> None:
        """Writes the initial fleet configuration."""
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
        written = await self._platform.put(
            config.CONFIG_KEY, config_check.encode(cfg), 0
        )
        _unwrap(written)

    async def register(self, record: endpoints.EndpointRecord) -> None:
        """Registers an endpoint in the platform's fleet list."""
        url = f"{self.url('platform')}/v1/fleet/endpoints/{record.name}"
        answer = await curl.exchange(
            self.client, "PUT", url, 5.0, codec.to_json(record)
        )
        if answer.status != 200:
            raise RuntimeError(f"endpoint registration failed: {answer}")

    async def control(self, name: str, **faults: Any) -> bytes:
        """Sets fault switches of a stand-in; returns its response body."""
        url = self.url(name) + "/control"
        answer = await curl.exchange(
            self.client, "POST", url, 5.0, json.dumps(faults).encode()
        )
        return answer.body

    # Requests

    async def get(self, url: str) -> curl.Answer:
        """Sends a GET request."""
        return await curl.exchange(self.client, "GET", url, 5.0)

    async def history(self, name: str) -> Any:
        """Returns the history that a stand-in recorded."""
        answer = await self.get(self.url(name) + "/history")
        return json.loads(answer.body)


def _unwrap(result: expression.Result) -> Any:
    if result.is_error():
        raise RuntimeError(result.error.describe())
    return result.ok
