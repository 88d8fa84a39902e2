"""Planned stops of all instances, and large entries that can't be read.

Guards against calls that run and get no answer as connections are closed, and
against entries that take instances over their memory.
"""

import asyncio
import contextlib
import pathlib

import pytest
from soak import callers
from soak import checks
from soak import faults
from soak import test_planted
from soak import test_soak

KEPT_CALLERS = 160
"""Callers that keep a connection each and use it seldom."""
PAUSE_S = 3.0
DEADLINE_MS = 300
"""Deadline of a call that an instance still takes while it leaves."""
MEMORY_MB = 128
"""Memory of the smallest instance of the design."""
SETTINGS = f"""
[capacity]
memory_mb = {MEMORY_MB}
"""
SAMPLE_INTERVAL_S = 0.02
KEEPS_POSITIONS = (
    "platform/seam_platform/json_parts.py",
    (
        (
            r"""_STRING = rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"'""",
            r"""_STRING = rb'"(?:[^"\\]|\\.)*"'""",
        ),
    ),
)


def play_stops(tmp_path, seed, root=test_soak.ROOT):
    soak = test_soak.Soak(tmp_path, seed, root=root, caller_count=KEPT_CALLERS)
    for each in soak._callers:
        each.pause_s = PAUSE_S
        each.deadline_ms = DEADLINE_MS
        each.kinds = ("read", "write")

    async def script(soak):
        await soak.strike(faults.STOPS_OF_ALL, overlap=False)
        # Streams follow, which take longer.
        for each in soak._callers:
            each.deadline_ms = callers.DEADLINE_MS

    asyncio.run(soak.play(script))
    return soak


@pytest.mark.parametrize("seed", test_soak.SEEDS)
def test_stops_of_all_instances_cut_nothing(tmp_path, seed):
    soak = play_stops(tmp_path, seed)
    soak.check()
    assert checks.cut_requests(soak.outcomes, soak.fleet.all_backends) == []


def most_private_mb(pid):
    """Returns the most private memory of a process, by the kernel's peak."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()

    def kilobytes(name):
        return int(status.split(f"{name}:")[1].split()[0])

    shared = kilobytes("RssFile") + kilobytes("RssShmem")
    return (kilobytes("VmHWM") - shared) * 1024 / 1e6


async def sample(fleet, peaks):
    while True:
        for member in fleet.members:
            # It may end at any time.
            with contextlib.suppress(OSError, IndexError, AttributeError):
                peaks.append(most_private_mb(member.process.pid))
        await asyncio.sleep(SAMPLE_INTERVAL_S)


def play_large_entries(
    tmp_path, seed, kinds=faults.LARGE_ENTRIES, root=test_soak.ROOT
):
    """Returns the play and the most memory of an instance."""
    soak = test_soak.Soak(tmp_path, seed, root=root)
    soak.fleet.settings += SETTINGS
    peaks = []

    async def script(soak):
        sampling = asyncio.ensure_future(sample(soak.fleet, peaks))
        try:
            await soak.strike(kinds, overlap=len(kinds) > 1)
        finally:
            sampling.cancel()

    asyncio.run(soak.play(script))
    print(f"{max(peaks):.0f} MB in use")
    return soak, max(peaks)


@pytest.mark.parametrize("seed", test_soak.SEEDS)
def test_large_entries_that_cannot_be_read(tmp_path, seed):
    soak, used_mb = play_large_entries(tmp_path, seed)
    soak.check()
    assert used_mb <= MEMORY_MB


def test_planted_positions_of_characters_are_found(tmp_path):
    root = tmp_path / "planted"
    test_planted.plant(root, *KEEPS_POSITIONS)
    kinds = (faults.large_entry,)
    _, used_mb = play_large_entries(tmp_path, 1, kinds, root)
    assert used_mb > MEMORY_MB
