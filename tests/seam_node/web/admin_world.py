"""Two nodes with fake ports and real operators' servers."""

import asyncio
import io
import random
import threading

import eliot
from tornado import netutil

from seam_model import endpoints
from seam_model import keys
from seam_model import settings
from seam_node import logs
from seam_node import node
from seam_node.ports import clock
from seam_node.web import admin
from standins import fakes

START_LIMIT_S = 30.0
ROLES = {"ana": "admin", "ben": "admin", "vic": "viewer", "oli": "operator"}


class World:
    """Runs nodes `e1` and `e2` on an event loop in a separate thread."""

    def __init__(self):
        self.tokens = {name: keys.generate_operator_token() for name in ROLES}
        self.hashes = {
            name: keys.hash_operator_token(token)
            for name, token in self.tokens.items()
        }
        self.nodes: dict[str, node.Node] = {}
        self.urls: dict[str, str] = {}
        self.log = io.StringIO()
        self.peer_key = keys.generate_secret()
        self.links = fakes.Links(random.Random(1))
        self._destination = logs.Destination(self.log, "debug")
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)
        self._servers = []

    def start(self):
        eliot.add_destinations(self._destination)
        self._thread.start()
        self.run(self._start())

    def close(self):
        self.run(self._close())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()
        eliot.remove_destination(self._destination)

    def run(self, coro):
        """Runs a coroutine on the nodes' loop."""
        fut = asyncio.run_coroutine_threadsafe(coro, self._loop)
        return fut.result(START_LIMIT_S)

    def metrics(self, name):
        """Returns a node's metrics as text."""

        async def read():
            return self.nodes[name].metrics.text().decode()

        return self.run(read())

    async def _start(self):
        store = fakes.Store()
        network = {}
        for name in ("e1", "e2"):
            await self._start_node(name, store, network)
        for each in self.nodes.values():
            while each.not_ready() or each.status().live_peers < 1:
                await asyncio.sleep(0.02)

    async def _start_node(self, name, store, network):
        sockets = netutil.bind_sockets(0, "127.0.0.1")
        url = f"http://127.0.0.1:{sockets[0].getsockname()[1]}"
        record = endpoints.InstanceRecord(
            name=name,
            url=f"http://{name}.test",
            peer_host="127.0.0.1",
            peer_port=1,
            data_centre="cebu-a",
            incarnation=1,
            admin_url=url,
        )
        ports = node.Ports(
            clock.LoopClock(),
            fakes.FakePlatform(self.links, name, store),
            fakes.FakePeerNetwork(self.links, name, network),
            fakes.FakeEngineFactory(self.links, name, {}),
            fakes.FakeService(self.links, name, {}),
        )
        instance = node.Node(
            self._settings(name), record, ports, random.Random(name)
        )
        await instance.start()
        server = admin.make_server(instance)
        server.add_sockets(sockets)
        self._servers.append(server)
        self.nodes[name] = instance
        self.urls[name] = url

    async def _close(self):
        for server in self._servers:
            server.stop()
            await server.close_all_connections()
        for each in self.nodes.values():
            await each.close()

    def _settings(self, name):
        operators = [
            {"name": who, "role": role, "token_hash": self.hashes[who]}
            for who, role in ROLES.items()
        ]
        return settings.from_plain(
            {
                "instance": {"name": name, "data_centre": "cebu-a"},
                "platform": {"url": "http://127.0.0.1:1"},
                "peers": {"key": self.peer_key},
                "workspaces": {"keys": {"k1": keys.generate_secret()}},
                "operators": operators,
            }
        ).ok
