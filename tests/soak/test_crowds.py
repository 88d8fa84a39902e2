"""Callers that pipeline requests and read nothing, during planned restarts.

Guards against a process that ends, hangs or exceeds its memory, and against one
that no longer answers ordinary callers.
"""

import asyncio
import contextlib
import http
import signal
import time

import pytest
from soak import faults
from soak import test_planted
from soak import test_soak

from standins import crowd

MEMORY_MB = 128
"""Memory of the smallest instance of the design."""
SETTINGS = f"""
[capacity]
memory_mb = {MEMORY_MB}
"""
PATH = "/write/crowd"
BATCH = 100
HOLD_S = 1.0
"""Time for which connections stay open when all was sent."""
SAMPLE_INTERVAL_S = 0.05
LARGE_BYTES = 4_000_000
LARGE_BODIES = 2 * MEMORY_MB * 1_000_000 // LARGE_BYTES
"""Bodies that fit into the memory only if each is let go after its request."""
STREAM = "packages/seam_node/seam_node/adapters/client_stream.py"
NEXT_HEAD = "        return super().read_until_regex(regex, max_bytes)\n"
TAKE_BODY = "        body, self._body = self._body, bytearray()\n"
PLANTS = {
    "a process ends": (
        STREAM,
        (
            (
                NEXT_HEAD,
                "        if self._early_requests >= MAX_EARLY_REQUESTS:\n"
                "            import os; os._exit(1)\n" + NEXT_HEAD,
            ),
        ),
        AssertionError,
        "has ended",
    ),
    "a process hangs": (
        STREAM,
        (
            (
                NEXT_HEAD,
                "        if self._early_requests >= MAX_EARLY_REQUESTS:\n"
                "            time.sleep(3600)\n" + NEXT_HEAD,
            ),
        ),
        TimeoutError,
        None,
    ),
    "bodies are kept after their requests": (
        "packages/seam_node/seam_node/forward/callers/caller_server.py",
        (
            (
                TAKE_BODY,
                f"{TAKE_BODY}        vars(asyncio).setdefault('kept', [])"
                ".append(body)\n",
            ),
        ),
        AssertionError,
        "MB in use",
    ),
}


def make_crowds():
    """Returns the kinds of crowd.

    They are not kept in the module, as other tests count the large bodies that
    their worker holds.
    """
    return (
        crowd.Crowd(6, 8, crowd.request(PATH, b"a" * LARGE_BYTES)),
        crowd.Crowd(8, 100, crowd.request(PATH, b"a" * 60_000)),
        crowd.Crowd(
            12, 32, crowd.batch(crowd.request(PATH, b"a" * 400), BATCH)
        ),
    )


class Crowds:
    """Crowds at all instances of a play, one after the other at each."""

    def __init__(self, soak):
        self._soak = soak
        self.peak = crowd.Peak()
        """Most memory that any instance had."""
        self._stopping = False
        self._tasks = []

    def start(self):
        works = [self._sample()]
        works += [self._send(each) for each in self._soak.fleet.members]
        self._tasks = [asyncio.ensure_future(each) for each in works]

    async def close(self):
        self._stopping = True
        await asyncio.gather(*self._tasks)

    async def _send(self, member):
        while not self._stopping:
            if member.accepting:
                clients = self._soak.rng.choice(make_crowds())
                port = member.ports["callers"]
                async with crowd.connected(port, clients):
                    await asyncio.sleep(HOLD_S)
                self._soak.counts["crowd"] += 1
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    async def _sample(self):
        while not self._stopping:
            for member in self._soak.fleet.members:
                # It may end at any time.
                with contextlib.suppress(OSError, ValueError):
                    self.peak.sample(member.process.pid)
            await asyncio.sleep(SAMPLE_INTERVAL_S)


async def send_large_bodies(soak, member):
    """Sends bodies one after the other; none may be refused for the others.

    So a process that keeps them is found at any speed: it has more memory in
    use than it may, or refuses the next body.
    """
    message = crowd.request(PATH, b"a" * LARGE_BYTES)(0)
    port, pid = member.ports["callers"], member.process.pid
    # What the crowds took may be given back a moment after they have gone.
    gives_up_at = time.monotonic() + test_soak.RECOVERY_S
    taken = 0
    async with crowd.watched(pid) as peak:
        while taken < LARGE_BODIES:
            status = await crowd.ask(port, message)
            if status == http.HTTPStatus.OK:
                taken += 1
                continue
            is_early = not taken and time.monotonic() < gives_up_at
            used = f"{peak.private_mb:.0f} MB in use"
            assert is_early, f"{status} after {taken} bodies, {used}"
            await asyncio.sleep(SAMPLE_INTERVAL_S)
    used_mb = peak.private_mb
    assert used_mb <= MEMORY_MB, f"{used_mb} MB in use"


async def restart_in_crowds(soak):
    crowds = Crowds(soak)
    crowds.start()
    try:
        await soak.strike((faults.restart,), overlap=False)
    finally:
        await crowds.close()
    soak.fleet.check_alive()
    used_mb = crowds.peak.private_mb
    print(f"{used_mb:.0f} MB in use")
    assert used_mb <= MEMORY_MB, f"{used_mb} MB in use"
    await send_large_bodies(soak, soak.fleet.members[0])


@pytest.fixture(autouse=True)
def alone(tmp_path_factory):
    with crowd.one_at_a_time(tmp_path_factory.getbasetemp().parent):
        yield


def play(tmp_path, seed, root=test_soak.ROOT):
    soak = test_soak.Soak(tmp_path, seed, root=root)
    soak.fleet.settings += SETTINGS
    asyncio.run(soak.play(restart_in_crowds))
    return soak


@pytest.mark.parametrize("seed", test_soak.SEEDS)
def test_crowds_that_read_nothing_during_planned_restarts(tmp_path, seed):
    soak = play(tmp_path, seed)
    soak.check()
    assert soak.counts["crowd"] > 0
    assert set(soak.fleet.ends) == {(signal.SIGTERM, 0)}


@pytest.mark.parametrize("name", PLANTS)
def test_planted_fault_is_found(tmp_path, name):
    file, changes, error, what = PLANTS[name]
    root = tmp_path / "planted"
    test_planted.plant(root, file, changes)
    with pytest.raises(error, match=what):
        play(tmp_path, 1, root)
