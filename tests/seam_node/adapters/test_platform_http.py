"""The platform client against the stand-in server, with injected faults."""

import asyncio
import time

import pytest
import tornado.httpserver
import tornado.netutil

from seam_model import endpoints
from seam_model import platform_errors
from seam_node.adapters import platform_http
from standins import platform_core
from standins import platform_server

KEY = "orders/a b/%2F?#ü"
TIMEOUT_S = 20.0


def run(scenario):
    async def main():
        core = platform_core.PlatformCore(time.monotonic)
        faults = platform_server.Faults(0.0)
        server = tornado.httpserver.HTTPServer(
            platform_server.make_app(core, faults)
        )
        sockets = tornado.netutil.bind_sockets(0, "127.0.0.1")
        server.add_sockets(sockets)
        port = sockets[0].getsockname()[1]
        client = platform_http.HttpPlatform(
            f"http://127.0.0.1:{port}", TIMEOUT_S
        )
        await client.start()
        try:
            await scenario(client, core, faults, server)
        finally:
            await client.close()
            server.stop()
            await server.close_all_connections()

    asyncio.run(main())


def test_conditional_writes_reads_and_deletes():
    async def scenario(client, core, faults, server):
        missing = (await client.get(KEY)).error
        assert missing == platform_errors.ObjectMissing(KEY)
        assert (await client.put(KEY, b"\x00one", 0)).ok == 1
        conflict = (await client.put(KEY, b"two", 0)).error
        assert conflict == platform_errors.VersionConflict(KEY, 0, 1)
        assert (await client.get(KEY)).ok.data == b"\x00one"
        assert (await client.list_keys("orders/")).ok == (KEY,)
        conflict = (await client.delete(KEY, 9)).error
        assert conflict == platform_errors.VersionConflict(KEY, 9, 1)
        assert (await client.delete(KEY, 1)).is_ok()
        assert (await client.put(KEY, b"again", 0)).ok == 2

    run(scenario)


def test_watch_returns_a_write_and_times_out_without_one():
    async def scenario(client, core, faults, server):
        waiting = asyncio.ensure_future(client.watch(KEY, 0, TIMEOUT_S))
        while not core.counts["watches"]:
            await asyncio.sleep(0)
        await client.put(KEY, b"one", 0)
        assert (await waiting).ok.version == 1
        assert (await client.watch(KEY, 1, 0.01)).ok is None

    run(scenario)


def test_fleet_list_shows_announced_instances():
    async def scenario(client, core, faults, server):
        record = endpoints.InstanceRecord("a 1", "u", "h", 1, "east", 7)
        engine = endpoints.EndpointRecord("e1", "engine", "u", "east")
        core.register(engine)
        assert (await client.announce(record)).is_ok()
        listed = (await client.fleet()).ok
        assert listed == endpoints.FleetList((record,), (engine,))

    run(scenario)


def test_write_with_a_lost_answer_is_ambiguous():
    async def scenario(client, core, faults, server):
        faults.lose_answers = 1
        error = (await client.put(KEY, b"one", 0)).error
        assert error == platform_errors.PlatformAmbiguous("put")
        assert core.get(KEY).ok.data == b"one"

    run(scenario)


def test_slow_write_is_ambiguous_and_slow_read_is_unavailable():
    async def scenario(client, core, faults, server):
        faults.slow_s = 60.0
        client._timeout_s = 0.05
        error = (await client.put(KEY, b"one", 0)).error
        assert error == platform_errors.PlatformAmbiguous("put")
        error = (await client.get(KEY)).error
        assert error == platform_errors.PlatformUnavailable("get")

    run(scenario)


@pytest.mark.parametrize("operation", ["get", "put", "delete"])
def test_a_refused_connection_is_unavailable_and_not_ambiguous(operation):
    async def scenario(client, core, faults, server):
        server.stop()
        call = {
            "get": lambda: client.get(KEY),
            "put": lambda: client.put(KEY, b"", 0),
            "delete": lambda: client.delete(KEY, 0),
        }
        error = (await call[operation]()).error
        assert error == platform_errors.PlatformUnavailable(operation)

    run(scenario)


def test_an_unchanged_fleet_list_is_taken_from_the_cache():
    async def scenario(client, core, faults, server):
        core.register(
            endpoints.EndpointRecord("d1", "engine", "http://x", "cebu-a")
        )
        first = (await client.fleet()).ok
        etag = client._fleet_etag
        assert etag
        assert (await client.fleet()).ok is first
        core.register(
            endpoints.EndpointRecord("d2", "engine", "http://y", "cebu-a")
        )
        changed = (await client.fleet()).ok
        assert [each.name for each in changed.endpoints] == ["d1", "d2"]
        assert client._fleet_etag != etag

    run(scenario)
