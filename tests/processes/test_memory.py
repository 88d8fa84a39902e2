"""Memory of a forwarding process with traffic that holds much of it.

Guards against a process that is killed at its memory limit.
"""

import asyncio

from processes import test_forwarding

from standins import forward_endpoint
from standins import forward_process

LIMIT_MB = 150
ANSWER_BYTES = 4_000_000
CALLERS = 60


async def reply_much(endpoint, received, writer):
    if received.target.endswith("small"):
        writer.write(forward_endpoint.answer(received))
        return
    writer.write(forward_endpoint.answer(received, b"a" * ANSWER_BYTES))
    await writer.drain()


class LimitedProcess(forward_process.Process):
    """A process that is told its memory limit."""

    def write_settings(self, level="info"):
        super().write_settings(level)
        text = self.settings.read_text()
        self.settings.write_text(f"{text}[capacity]\nmemory_mb = {LIMIT_MB}\n")


def run_scenario(tmp_path, monkeypatch, scenario):
    monkeypatch.setattr(forward_process, "Process", LimitedProcess)
    test_forwarding.run_scenario(tmp_path, scenario)


def test_answers_that_callers_do_not_read_stay_in_the_memory_limit(
    tmp_path, monkeypatch
):
    async def scenario(process, endpoint):
        endpoint.reply = reply_much
        callers = []
        peak_mb = 0.0
        for _ in range(CALLERS):
            caller = await process.connect()
            caller.send("/write/large")
            callers.append(caller)
        for _ in range(40):
            await asyncio.sleep(0.05)
            peak_mb = max(peak_mb, process.private_mb())
        other = await process.connect()
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
