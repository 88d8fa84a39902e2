"""Answers of the store that cannot be read, in part or as a whole.

Guards against one object that hides all others, and against answers that
stop or exhaust an instance.
"""

import asyncio

import pytest

from seam_model import platform_errors
from seam_node.ports import catalog
from seam_platform import answers
from seam_platform import store
from standins import forward_endpoint
from standins import forward_world
from standins import object_store

TIMEOUT_S = 5.0
UNREADABLE_SPECS = {
    "half of a character": b'{"service":"calls \\ud83d","state":"ready"}',
    "no UTF-8": b'{"service":"\xff\xfe"}',
    "beyond a double": b'{"slots":1e999}',
    "no JSON number": b'{"slots":NaN}',
    "control character": b'{"service":"a\x01b"}',
    "very deep": b"[" * 5000 + b"]" * 5000,
    "brackets in a text": b'{"service":"]}\\"[{\\ud83d"}',
}
unreadable = pytest.mark.parametrize(
    "spec", UNREADABLE_SPECS.values(), ids=UNREADABLE_SPECS.keys()
)


def run(scenario):
    async def main():
        core = object_store.ObjectStore()
        server = object_store.StoreServer(core)
        server.start()
        client = store.StoreCatalog(f"http://127.0.0.1:{server.port}")
        await client.start()
        try:
            await scenario(client, core)
        finally:
            await client.close()
            await server.close()

    asyncio.run(main())


def endpoint_spec():
    endpoint = forward_endpoint.Endpoint("e", forward_endpoint.reply_whole)
    endpoint.port = 80
    return endpoint.entry("calls")


@unreadable
def test_unreadable_object_hides_no_other_in_a_listing(spec):
    async def scenario(client, core):
        core.put("servers", "a", endpoint_spec())
        core.put_raw("servers", "b", spec)
        core.put("servers", "c", endpoint_spec())
        listed = (await client.list(catalog.Kind.ENDPOINTS, TIMEOUT_S)).ok
        found = {each.name: each.value for each in listed.entries}
        assert found["a"] is not None
        assert found["b"] is None
        assert found["c"] is not None
        assert listed.position.revision == core.revision

    run(scenario)


@unreadable
def test_unreadable_object_hides_no_other_in_a_watch(spec):
    async def scenario(client, core):
        start = core.revision
        core.put_raw("servers", "b", spec)
        core.put("servers", "c", endpoint_spec())
        core.remove("servers", "c")
        seen = (await client.watch(catalog.Kind.ENDPOINTS, start, 1.0)).ok
        changes = [
            (each.entry.name, each.entry.value is None, each.removed)
            for each in seen.changes
        ]
        assert changes == [
            ("b", True, False),
            ("c", False, False),
            ("c", False, True),
        ]
        assert seen.position.revision == core.revision

    run(scenario)


@unreadable
def test_unreadable_object_ends_its_page_and_the_next_is_read(spec):
    async def scenario(client, core):
        core.page_size = 2
        for name in ("a", "d"):
            core.put("servers", name, endpoint_spec())
        core.put_raw("servers", "b", spec)
        listed = (await client.list(catalog.Kind.ENDPOINTS, TIMEOUT_S)).ok
        assert [each.name for each in listed.entries] == ["a", "b", "d"]

    run(scenario)


@unreadable
def test_unreadable_single_object_is_told_apart_from_a_silent_store(spec):
    async def scenario(client, core):
        core.put_raw("sycamoreseam-objects", "leases-x", spec)
        got = await client.get("leases/x")
        assert isinstance(got.error, platform_errors.ObjectUnreadable)
        # It can be replaced.
        put = await client.put("leases/x", b"{}", got.error.version)
        assert put.ok == core.revision

    run(scenario)


@unreadable
def test_unreadable_configuration_is_an_entry_without_value(spec):
    async def scenario(client, core):
        core.put_raw("config", "main", spec)
        listed = (await client.list(catalog.Kind.ROUTES, TIMEOUT_S)).ok
        assert [(e.name, e.value) for e in listed.entries] == [("main", None)]

    run(scenario)


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{}",
        b"[]",
        b"null",
        b'{"items":{},"store_revision":5}',
        b'{"items":[],"store_revision":"5"}',
        b'{"items":[],"store_revision":true}',
        b'{"items":[],"store_revision":-1}',
        b'{"items":[],"has_more":"no","store_revision":5}',
        b'{"items":[{]},"store_revision":5}',
        b'{"items":["\\ud83d"',
        b"[" * 100_000,
    ],
)
def test_answer_without_a_readable_outer_form_tells_nothing(body):
    assert answers.page(body) is None


def test_objects_of_another_form_are_unreadable_by_themselves():
    body = b"""{"items":[7,null,[],{},{"metadata":{"name":"a"}},
        {"metadata":{"name":"b","revision":"x"},"spec":{}},
        {"metadata":{"name":7,"revision":3},"spec":{}},
        {"metadata":{"name":"c","revision":3},"spec":{}}],
        "store_revision":5}"""
    page = answers.page(body)
    assert [(item.name, item.readable) for item in page.items] == [
        ("", False),
        ("", False),
        ("", False),
        ("", False),
        ("a", False),
        ("b", False),
        ("", False),
        ("c", True),
    ]


def test_of_equal_names_the_last_one_counts_in_either_way_of_reading():
    plain = b"""{"items":[],"store_revision":4,"items":[
        {"metadata":{"name":"x","name":"a","revision":3},"spec":%s}],
        "store_revision":5}"""
    for spec in (b"{}", b'"\\ud83d"'):
        page = answers.page(plain % spec)
        assert [item.name for item in page.items] == ["a"]
        assert page.revision == 5


def test_change_of_an_unnamed_object_lists_all_again():
    async def scenario(client, core):
        start = core.revision
        core.put("servers", "a", endpoint_spec())
        core.raw[b'"a"'] = b'"\\ud83d"'
        seen = await client.watch(catalog.Kind.ENDPOINTS, start, 1.0)
        assert isinstance(seen.error, platform_errors.HistoryGone)

    run(scenario)


def test_listing_with_too_many_pages_tells_nothing(monkeypatch):
    """Guards against taking the objects of further pages for removed."""
    monkeypatch.setattr(store, "MAX_PAGES", 3)

    async def scenario(client, core):
        core.page_size = 1
        for number in range(4):
            core.put("servers", f"e-{number}", endpoint_spec())
        listed = await client.list(catalog.Kind.ENDPOINTS, TIMEOUT_S)
        assert isinstance(listed.error, platform_errors.PlatformAmbiguous)

    run(scenario)


def test_endless_answer_is_cut_off():
    """Guards against an answer that takes up the memory of an instance."""
    sent = 0

    async def answer_without_end(reader, writer):
        nonlocal sent
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        try:
            while True:
                writer.write(forward_endpoint.chunk(b" " * 2**16))
                await writer.drain()
                sent += 2**16
        except ConnectionError:
            writer.close()

    async def main():
        server = await asyncio.start_server(answer_without_end, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = store.StoreCatalog(f"http://127.0.0.1:{port}")
        await client.start()
        listed = await client.list(catalog.Kind.ENDPOINTS, TIMEOUT_S)
        await client.close()
        server.close()
        assert isinstance(listed.error, platform_errors.PlatformAmbiguous)

    asyncio.run(main())
    assert sent < 4 * store.MAX_ANSWER_BYTES


def test_instance_with_unreadable_objects_in_the_store_works():
    """Guards against streams to endpoints whose leaving was not heard of."""

    async def scenario(world):
        first = await world.endpoint("e-1")
        second = await world.endpoint("e-2")
        for number, spec in enumerate(UNREADABLE_SPECS.values()):
            world.store.put_raw("servers", f"odd-{number}", spec)
        spec = first.entry("calls", state="draining", sequence=2)
        world.store.put("servers", "e-1", spec)
        await world.until(
            lambda: len(world.node.endpoints.usable("calls")) == 1
        )
        # One that was good and turns unreadable is not used either.
        third = await world.endpoint("e-3")
        world.store.put_raw("servers", "e-3", b'"\\ud83d"')
        await world.until(
            lambda: len(world.node.endpoints.usable("calls")) == 1
        )
        world.store.put_raw("config", "main", b'"\\ud83d"')
        await world.until(lambda: world.node.routes.newest_unreadable)
        assert (await world.request("/write/x")).status == 200
        assert (len(first.ran), len(second.ran), len(third.ran)) == (0, 1, 0)
        # A process that starts now gets ready: it lists all objects.
        await world.node._read_anew()
        await asyncio.sleep(0.3)
        assert not world.node._store_link.unreachable
        logged = world.logged("endpoint_unreadable")
        assert len(logged) == len(UNREADABLE_SPECS) + 1
        assert len(world.logged("routes_unreadable")) == 1
        version = forward_world.configuration(2, forward_world.DEFAULT_ROUTES)
        world.store.put("config", "main", version)
        await world.until(lambda: world.node.routes.table.version == 2)
        assert not world.node.routes.newest_unreadable

    forward_world.run_scenario(scenario)
