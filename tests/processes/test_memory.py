"""Memory of a forwarding process with traffic that holds much of it.

Guards against a process that is killed at its memory limit.
"""

import asyncio
import os
import pathlib

from processes import test_forwarding

from standins import forward_endpoint

LIMIT_MB = 150
ANSWER_BYTES = 4_000_000
CALLERS = 60
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def private_mb(process):
    """Returns the private memory of a process, in MB."""
    statm = pathlib.Path(f"/proc/{process.process.pid}/statm").read_text()
    _, resident, shared, *_ = map(int, statm.split())
    return (resident - shared) * PAGE_BYTES / 1e6


async def reply_much(endpoint, received, writer):
    if received.target.endswith("small"):
        writer.write(forward_endpoint.answer(received))
        return
    writer.write(forward_endpoint.answer(received, b"a" * ANSWER_BYTES))
    await writer.drain()


class LimitedProcess(test_forwarding.Process):
    """A process that is told its memory limit."""

    def write_settings(self, level="info"):
        super().write_settings(level)
        text = self.settings.read_text()
        self.settings.write_text(f"{text}[capacity]\nmemory_mb = {LIMIT_MB}\n")


def run_scenario(tmp_path, monkeypatch, scenario):
    monkeypatch.setattr(test_forwarding, "Process", LimitedProcess)
    test_forwarding.run_scenario(tmp_path, scenario)


def test_answers_that_callers_do_not_read_stay_in_the_memory_limit(
    tmp_path, monkeypatch
):
    async def scenario(process, endpoint):
        endpoint.reply = reply_much
        callers = []
        peak_mb = 0.0
        for _ in range(CALLERS):
            caller = await test_forwarding.connect(process)
            caller.send("/write/large")
            callers.append(caller)
        for _ in range(40):
            await asyncio.sleep(0.05)
            peak_mb = max(peak_mb, private_mb(process))
        other = await test_forwarding.connect(process)
        response = await other.request("/write/small")
        assert response.status == 200
        assert peak_mb <= LIMIT_MB
        for caller in callers[:5]:
            response = await caller.read()
            assert (response.status, response.complete) == (200, True)
            assert response.body == b"a" * ANSWER_BYTES
        for caller in (other, *callers):
            caller.close()

    run_scenario(tmp_path, monkeypatch, scenario)
