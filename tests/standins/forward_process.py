"""A forwarding instance in its own process."""

import asyncio
import os
import pathlib
import re
import sys

from standins import forward_world

ROOT = pathlib.Path(__file__).parents[2]
PATHS = [
    "packages/seam_policy",
    "packages/seam_model",
    "packages/seam_node",
    "platform",
]
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
        self.root = ROOT
        """The checkout whose code runs."""
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
            "PYTHONPATH": os.pathsep.join(str(self.root / p) for p in PATHS),
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

    def processor_s(self) -> float:
        """Returns the processor time that the process has used."""
        stat = pathlib.Path(f"/proc/{self.process.pid}/stat").read_text()
        user, system = stat.rpartition(")")[2].split()[11:13]
        return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")

    def private_mb(self) -> float:
        """Returns the private memory of the process, in MB."""
        statm = pathlib.Path(f"/proc/{self.process.pid}/statm").read_text()
        _, resident, shared, *_ = map(int, statm.split())
        return (resident - shared) * os.sysconf("SC_PAGE_SIZE") / 1e6

    async def connect(self) -> forward_world.Caller:
        """Opens a connection as a caller."""
        streams = await asyncio.open_connection(
            "127.0.0.1", self.ports["callers"]
        )
        return forward_world.Caller(*streams)

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
