"""Measures control-plane cost per instance as the fleet grows.

Run by `make slopes`. Starts fleets of real entry processes against the
stand-ins and reads CPU time, memory, peer traffic and platform calls.
"""

import argparse
import asyncio
import json
import os
import pathlib
import random
import sys
import time
from typing import Any

import attrs
import psutil

from bench import caller
from bench import cluster
from seam_model import config
from seam_model import config_check
from seam_model import endpoints
from seam_model import ids

SIZES = (6, 12, 25, 50, 100)
START_BATCH_SIZE = 8
SETTLE_S = 10.0
MEASURE_WINDOW_S = 12.0
CONFIG_WAIT_S = 6.0
ENDPOINTS_PER_INSTANCE = 2
"""Registered service endpoints without a process, for each instance.

The ratio is that of workers to instances.
"""
REQUESTS_PER_INSTANCE_PER_S = 0.5
TOKENS = 10
MIN_AVAILABLE_MEMORY_SHARE = 0.5
WORKSPACE = "cebu-branch-1"
BYTES_PER_KIB = 1024


@attrs.frozen
class Point:
    """Resource use of one fleet, per instance unless noted."""

    nodes: int
    cpu_ms_per_s: float
    loaded_cpu_ms_per_s: float
    rss_mib: float
    peer_bytes_per_s: float
    loaded_peer_bytes_per_s: float
    peer_frames_per_s: float
    requests_per_s: float
    """Model requests answered by the whole fleet under load."""
    platform_reads_per_s: float
    """Of the whole idle fleet, as are writes and watches."""
    platform_writes_per_s: float
    platform_watches_per_s: float
    config_s: float
    """Time from an accepted write until it is in force on all instances."""


@attrs.frozen
class Line:
    """A least-squares line with the residual standard error."""

    base: float
    slope: float
    error: float

    def at(self, nodes: int) -> float:
        """Returns the line's value for a fleet size."""
        return self.base + self.slope * nodes


@attrs.frozen
class Reading:
    """Counters at one moment, summed over the fleet."""

    at_s: float
    cpu_s: float
    sent: float
    received: float
    frames: float
    platform: dict[str, int]


def fit(points: list[tuple[float, float]]) -> Line:
    """Fits a line through points (x, y)."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    sum_xx = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / sum_xx
    base = mean_y - slope * mean_x
    squared_error = sum((y - base - slope * x) ** 2 for x, y in points)
    return Line(base, slope, (squared_error / max(1, count - 2)) ** 0.5)


class Fleet(cluster.Cluster):
    """A cluster with many instances, started in batches."""

    def __init__(self, size: int):
        """Prepares a fleet of `size` instances."""
        self.names = [f"e{number}" for number in range(1, size + 1)]
        data_centres = ("cebu-a", "cebu-b", "iloilo-a", "bohol-a")
        layout = cluster.SMALL
        super().__init__(attrs.evolve(layout, instances=()))
        self._instance_data_centres = {
            name: data_centres[number % len(data_centres)]
            for number, name in enumerate(self.names)
        }
        self._rng = random.Random(5)

    def defaults(self, shipped: config.Defaults) -> config.Defaults:
        """Returns defaults with workspace limits above the load."""
        raised_limits = config.WorkspaceLimits(100000.0, 100000, 10000)
        return attrs.evolve(shipped, workspace=raised_limits)

    async def start(self) -> None:
        """Starts the stand-ins, then the instances in batches."""
        await super().start()
        for number in range(ENDPOINTS_PER_INSTANCE * len(self.names)):
            await self.register(
                endpoints.EndpointRecord(
                    name=f"worker-{number:04d}",
                    kind="service",
                    url="http://127.0.0.1:9",
                    data_centre="cebu-a",
                    service="vault-desk",
                )
            )
        for first in range(0, len(self.names), START_BATCH_SIZE):
            batch = self.names[first : first + START_BATCH_SIZE]
            await asyncio.gather(
                *(
                    self.start_instance(n, self._instance_data_centres[n])
                    for n in batch
                )
            )
        for name in self.names:
            await self.wait_ready(name)

    async def read(self) -> Reading:
        """Reads the counters of all instances and of the platform."""
        totals = {"sent": 0.0, "received": 0.0, "frames": 0.0}
        for name in self.names:
            url = await self.admin_url(name)
            text = (await self.get(url + "/metrics")).body.decode()
            for line in text.splitlines():
                for key in totals:
                    if line.startswith(f"seam_peer_{key} "):
                        totals[key] += float(line.split(" ")[1])
        counts = json.loads(await self.control("platform"))
        cpu_s = 0.0
        for name in self.names:
            times = self._os_process(name).cpu_times()
            cpu_s += times.user + times.system
        return Reading(time.monotonic(), cpu_s, platform=counts, **totals)

    def rss_bytes(self) -> int:
        """Returns the total resident memory of all instances."""
        return sum(self._os_process(n).memory_info().rss for n in self.names)

    def _os_process(self, name: str) -> psutil.Process:
        return psutil.Process(self.processes[name].proc.pid)

    async def load(self, duration_s: float) -> int:
        """Sends model requests to all instances; returns how many finished."""
        user = caller.Caller(self.client, WORKSPACE, self.token(WORKSPACE))
        end_s = time.monotonic() + duration_s
        counts = await asyncio.gather(
            *(self._load_one(user, name, end_s) for name in self.names)
        )
        return sum(counts)

    async def _load_one(
        self, user: caller.Caller, name: str, end_s: float
    ) -> int:
        answered = 0
        await asyncio.sleep(self._rng.random() / REQUESTS_PER_INSTANCE_PER_S)
        while time.monotonic() < end_s:
            fields = {
                "id": ids.make_uuid7(time.time(), self._rng),
                "model": cluster.MODEL,
                "prompt": "germination log " * 20,
                "max_tokens": TOKENS,
            }
            answer = await user.generate(self.url(name), fields)
            answered += answer.done
            await asyncio.sleep(1 / REQUESTS_PER_INSTANCE_PER_S)
        return answered

    async def change_config(self) -> float:
        """Writes a config version; returns seconds until all apply it."""
        stored = (await self._platform.get(config.CONFIG_KEY)).ok
        cfg = config_check.decode(stored.data).ok
        changed = attrs.evolve(cfg, version=cfg.version + 1)
        data = config_check.encode(changed)
        written = await self._platform.put(
            config.CONFIG_KEY, data, stored.version
        )
        written_at_s = time.time()
        if written.is_error():
            raise RuntimeError(written.error.describe())
        await asyncio.sleep(CONFIG_WAIT_S)
        version_field = f" version={changed.version}"
        times = [self._in_force_at(name, version_field) for name in self.names]
        return max(0.0, max(times) - written_at_s)

    def _in_force_at(self, name: str, version_field: str) -> float:
        for line in reversed(self.log_file(name).read_text().splitlines()):
            if "event=config_in_force" in line and version_field in line:
                return float(line.split(" ")[0].partition("=")[2])
        return float("inf")


async def measure(size: int) -> Point:
    """Measures one fleet, idle and under a light load."""
    fleet = Fleet(size)
    try:
        await fleet.start()
        await asyncio.sleep(SETTLE_S)
        first = await fleet.read()
        await asyncio.sleep(MEASURE_WINDOW_S)
        second = await fleet.read()
        answered = await fleet.load(MEASURE_WINDOW_S)
        third = await fleet.read()
        config_s = await fleet.change_config()
        return _point(size, first, second, third, answered, fleet, config_s)
    finally:
        await fleet.close()


def _point(
    size: int,
    first: Reading,
    second: Reading,
    third: Reading,
    answered: int,
    fleet: Fleet,
    config_s: float,
) -> Point:
    idle_s = second.at_s - first.at_s
    load_s = third.at_s - second.at_s

    def calls(kind: str) -> float:
        count = second.platform.get(kind, 0) - first.platform.get(kind, 0)
        return count / idle_s

    # Only sent bytes count, because another instance receives each of them.
    return Point(
        nodes=size,
        cpu_ms_per_s=1000 * (second.cpu_s - first.cpu_s) / idle_s / size,
        loaded_cpu_ms_per_s=1000 * (third.cpu_s - second.cpu_s) / load_s / size,
        rss_mib=fleet.rss_bytes() / size / BYTES_PER_KIB / BYTES_PER_KIB,
        peer_bytes_per_s=(second.sent - first.sent) / idle_s / size,
        loaded_peer_bytes_per_s=(third.sent - second.sent) / load_s / size,
        peer_frames_per_s=(second.frames - first.frames) / idle_s / size,
        requests_per_s=answered / load_s,
        platform_reads_per_s=calls("reads"),
        platform_writes_per_s=calls("writes"),
        platform_watches_per_s=calls("watches"),
        config_s=config_s,
    )


def report(points: list[Point]) -> dict[str, Any]:
    """Prints the points and fitted lines; returns them as plain data."""
    plain = [attrs.asdict(point) for point in points]
    lines = {}
    for name in plain[0]:
        if name == "nodes":
            continue
        row = " ".join(f"{each[name]:>10.2f}" for each in plain)
        text = f"{name:<26} {row}"
        if len(plain) > 2:
            line = fit([(each["nodes"], each[name]) for each in plain])
            lines[name] = attrs.asdict(line)
            text += (
                f"   {line.base:.3f} + {line.slope:.4f} n"
                f" (error {line.error:.3f}; at 400: {line.at(400):.1f})"
            )
        print(text, flush=True)
    return {"points": plain, "lines": lines}


async def main() -> int:
    """Measures the fleet sizes given by the options."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--sizes", type=int, nargs="*", default=SIZES)
    parser.add_argument("--json", default="build/slopes.json")
    args = parser.parse_args()
    points = []
    for size in args.sizes:
        available = psutil.virtual_memory()
        if available.available < MIN_AVAILABLE_MEMORY_SHARE * available.total:
            print(f"{size} instances: not run, too little memory available")
            break
        before = os.getloadavg()[0]
        points.append(await measure(size))
        print(f"load average {before:.1f}: {points[-1]}", flush=True)
    out = pathlib.Path(args.json)
    out.parent.mkdir(parents=True, exist_ok=True)
    out.write_text(json.dumps(report(points), indent=1))
    return 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
