"""Tests of the seam_platform process: settings, signals and output."""

import asyncio
import os
import pathlib
import re
import signal

import pytest

from standins import forward_endpoint
from standins import forward_process
from standins import forward_world
from standins import object_store

SCENARIO_TIMEOUT_S = 20.0


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
        process = forward_process.Process(tmp_path, server.port)
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


def test_process_serves_and_resolves_itself_and_shows_metrics(tmp_path):
    async def scenario(process, endpoint):
        caller = await process.connect()
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


def blocks_hang_up(process):
    """Returns whether a process keeps SIGHUP waiting."""
    status = pathlib.Path(f"/proc/{process.process.pid}/status").read_text()
    (mask,) = re.findall(r"^SigBlk:\s*([0-9a-f]+)$", status, re.MULTILINE)
    return bool(int(mask, 16) & 1 << (signal.SIGHUP - 1))


def test_hang_up_while_the_process_starts_does_not_end_it(tmp_path):
    # It did until the handler was set, half a second after the start.
    async def run():
        process = forward_process.Process(tmp_path, 1)
        process.write_settings()
        await process.start()
        try:
            async with asyncio.timeout(SCENARIO_TIMEOUT_S):
                while not blocks_hang_up(process):
                    await asyncio.sleep(0.005)
                process.signal(signal.SIGHUP)
                while "event=settings_reloaded" not in (
                    process.output.read_text()
                ):
                    assert process.process.returncode is None
                    await asyncio.sleep(0.02)
            assert not blocks_hang_up(process)
        finally:
            await process.close()

    asyncio.run(run())


def test_stop_cuts_off_no_request_in_progress(tmp_path):
    async def scenario(process, endpoint):
        finish_request = asyncio.Event()

        async def slow(endpoint, received, writer):
            await finish_request.wait()
            writer.write(forward_endpoint.answer(received))

        endpoint.reply = slow
        caller = await process.connect()
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
        caller = await process.connect()
        assert (await caller.request("/write/x")).status == 200
        caller.close()

    run_scenario(tmp_path, scenario)


async def until_logged(process, text):
    while text not in process.output.read_text():
        await asyncio.sleep(0.05)


def test_unread_output_does_not_block_the_process(tmp_path):
    reader, writer = os.pipe()

    async def scenario(process, endpoint):
        caller = await process.connect()
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
        process = forward_process.Process(tmp_path, 1)
        process.settings.write_text(text)
        await process.start()
        async with asyncio.timeout(SCENARIO_TIMEOUT_S):
            assert await process.process.wait() == 2

    asyncio.run(run())
