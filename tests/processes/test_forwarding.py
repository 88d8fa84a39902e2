"""Tests of the seam_platform process: settings, signals and output."""

import asyncio
import os
import pathlib
import re
import signal
import sys

import pytest

from standins import forward_endpoint
from standins import forward_world
from standins import object_store

ROOT = pathlib.Path(__file__).parents[2]
PATHS = [
    "packages/seam_policy",
    "packages/seam_model",
    "packages/seam_node",
    "platform",
]
SCENARIO_TIMEOUT_S = 20.0
SETTINGS = """
[instance]
name = "one"
data_centre = "here"
[listen]
callers = "127.0.0.1:0"
ready = "127.0.0.1:0"
entry = "127.0.0.1:0"
metrics = "127.0.0.1:0"
peers = "127.0.0.1:0"
[store]
address = "127.0.0.1:{0}"
[logs]
level = "{1}"
[leaving]
grace_s = 2.0
"""


class Process:
    """One instance in its own process."""

    def __init__(self, folder, store_port):
        self._folder = folder
        self._store_port = store_port
        self.settings = folder / "settings.toml"
        self.output = folder / "output.log"
        self.ports = {}

    def write_settings(self, level="info"):
        text = SETTINGS.format(self._store_port, level)
        self.settings.write_text(text)

    async def start(self, stdout=None):
        env = {
            **os.environ,
            "PYTHONPATH": os.pathsep.join(str(ROOT / p) for p in PATHS),
            "SYCAMORESEAM_CONFIG": str(self.settings),
        }
        with self.output.open("wb") as output:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "seam_platform",
                env=env,
                stdout=stdout or output,
            )

    async def find_ports(self, read):
        """Reads the ports from the first log line of the process."""
        text = ""
        while "event=listening" not in text or "\n" not in text:
            text += read()
            await asyncio.sleep(0.02)
        found = re.findall(r"(\w+)=127\.0\.0\.1:(\d+)", text)
        self.ports = {name: int(port) for name, port in found}

    def signal(self, number):
        os.kill(self.process.pid, number)

    async def get(self, port, path):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        try:
            return await forward_world.Caller(reader, writer).read()
        finally:
            writer.close()

    async def until_ready(self, status=200):
        path = "/sycamoreseam/ready"
        while True:
            try:
                if (await self.get(self.ports["ready"], path)).status == status:
                    return
            except (OSError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.05)

    async def close(self):
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()


def run_scenario(tmp_path, scenario, stdout=None, read=None):
    async def run():
        store = object_store.ObjectStore()
        server = object_store.StoreServer(store)
        server.start()
        endpoint = forward_endpoint.Endpoint(
            "e-1", forward_endpoint.reply_whole
        )
        await endpoint.start()
        store.put(
            "config",
            "main",
            forward_world.configuration(1, forward_world.DEFAULT_ROUTES),
        )
        store.put("servers", "e-1", endpoint.entry("calls"))
        process = Process(tmp_path, server.port)
        process.write_settings()
        await process.start(stdout)
        try:
            async with asyncio.timeout(SCENARIO_TIMEOUT_S):
                await process.find_ports(read or process.output.read_text)
                await process.until_ready()
                await scenario(process, endpoint)
        finally:
            await process.close()
            await endpoint.close()
            await server.close()

    asyncio.run(run())


async def connect(process):
    streams = await asyncio.open_connection(
        "127.0.0.1", process.ports["callers"]
    )
    return forward_world.Caller(*streams)


def test_process_serves_and_resolves_itself_and_shows_metrics(tmp_path):
    async def scenario(process, endpoint):
        caller = await connect(process)
        assert (await caller.request("/write/x")).status == 200
        path = "/sycamoreseam/resolve?name=a&region=r&zone=here"
        response = await process.get(process.ports["entry"], path)
        assert (
            f'"127.0.0.1:{process.ports["callers"]}"'.encode() in response.body
        )
        response = await process.get(process.ports["metrics"], "/metrics")
        for text in (
            b'kind="non_idempotent"',
            b"seam_routes_version 1.0",
            b'seam_platform_calls_total{operation="read",outcome="ok"}',
            b"seam_live_peers 0.0",
            b"seam_decode_waiting 0.0",
            b"seam_log_lines_left_out 0.0",
        ):
            assert text in response.body
        caller.close()

    run_scenario(tmp_path, scenario)


def test_stop_cuts_off_no_request_in_progress(tmp_path):
    async def scenario(process, endpoint):
        finish_request = asyncio.Event()

        async def slow(endpoint, received, writer):
            await finish_request.wait()
            writer.write(forward_endpoint.answer(received))

        endpoint.reply = slow
        caller = await connect(process)
        caller.send("/write/x")
        while not endpoint.received:
            await asyncio.sleep(0.01)
        for _ in range(2):
            process.signal(signal.SIGTERM)
        await process.until_ready(status=503)
        finish_request.set()
        assert (await caller.read()).status == 200
        assert await process.process.wait() == 0
        text = process.output.read_text()
        assert "event=instance_leaving" in text
        assert "event=instance_stopped" in text
        caller.close()

    run_scenario(tmp_path, scenario)


def test_settings_are_reloaded_and_bad_ones_refused(tmp_path):
    async def scenario(process, endpoint):
        process.settings.write_text("= no settings")
        process.signal(signal.SIGHUP)
        await until_logged(process, "event=settings_refused")
        process.write_settings(level="warning")
        process.signal(signal.SIGHUP)
        caller = await connect(process)
        assert (await caller.request("/write/x")).status == 200
        caller.close()

    run_scenario(tmp_path, scenario)


async def until_logged(process, text):
    while text not in process.output.read_text():
        await asyncio.sleep(0.05)


def test_unread_output_does_not_block_the_process(tmp_path):
    reader, writer = os.pipe()

    async def scenario(process, endpoint):
        caller = await connect(process)
        for _ in range(400):
            assert (await caller.request("/write/x")).status == 200
        caller.close()

    try:
        run_scenario(
            tmp_path, scenario, writer, lambda: os.read(reader, 512).decode()
        )
    finally:
        os.close(reader)
        os.close(writer)


@pytest.mark.parametrize("text", ["", "[listen]\ncallers = 5\n"])
def test_bad_settings_end_the_process(tmp_path, text):
    async def run():
        process = Process(tmp_path, 1)
        process.settings.write_text(text)
        await process.start()
        async with asyncio.timeout(SCENARIO_TIMEOUT_S):
            assert await process.process.wait() == 2

    asyncio.run(run())
