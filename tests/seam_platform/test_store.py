"""The client of the users' store against its stand-in server."""

import asyncio

import pytest

from seam_model import forwarding
from seam_model import platform_errors
from seam_node.ports import catalog
from seam_node.ports import objects
from seam_platform import store
from seam_policy import store_position
from standins import forward_world
from standins import object_store

TIMEOUT_S = 5.0
OWN = forwarding.InstanceEntry(
    "one",
    5,
    forwarding.Address("10.0.0.1", 80),
    forwarding.Address("10.0.0.1", 7660),
    "here",
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


def test_list_and_watch():
    async def scenario(client, core):
        plain = forward_world.configuration(3, [])
        core.put("config", "main", plain)
        listed = (await client.list(catalog.Kind.ROUTES, TIMEOUT_S)).ok
        assert listed.entries[0].value.version == 3
        core.put("config", "main", {**plain, "version": 5})
        seen = await client.watch(
            catalog.Kind.ROUTES, listed.position.revision, 1.0
        )
        assert [c.entry.value.version for c in seen.ok.changes] == [5]
        assert seen.ok.position.revision == core.revision

    run(scenario)


def test_positions_name_the_era():
    async def scenario(client, core):
        listed = (await client.list(catalog.Kind.ROUTES, TIMEOUT_S)).ok
        assert listed.position == store_position.Position(1, core.revision)
        core.restore(core.copy())
        seen = await client.watch(catalog.Kind.ROUTES, core.revision, 0.05)
        assert seen.ok.position == store_position.Position(2, core.revision)

    run(scenario)


def test_an_answer_from_before_a_restore_is_refused():
    async def scenario(client, core):
        core.restore(core.copy())
        await client.list(catalog.Kind.ROUTES, TIMEOUT_S)
        core.era = 1
        listed = await client.list(catalog.Kind.ROUTES, TIMEOUT_S)
        assert isinstance(listed.error, platform_errors.StoreOutdated)
        put = await client.put("k", b"1", objects.ABSENT)
        assert isinstance(put.error, platform_errors.StoreOutdated)

    run(scenario)


def test_pages_from_before_and_after_a_restore_are_not_one_listing():
    class RestoringCalls(list):
        """Restores the store before the second page."""

        def __init__(self, core, kept):
            super().__init__()
            self._core = core
            self._kept = kept

        def append(self, call):
            super().append(call)
            if len(self) == 2:
                self._core.restore(self._kept)

    async def scenario(client, core):
        core.page_size = 1
        core.put("servers", "a", {})
        core.put("servers", "b", {})
        kept = core.copy()
        core.put("servers", "c", {})
        core.calls = RestoringCalls(core, kept)
        listed = await client.list(catalog.Kind.ENDPOINTS, TIMEOUT_S)
        assert isinstance(listed.error, platform_errors.StoreOutdated)
        listed = await client.list(catalog.Kind.ENDPOINTS, TIMEOUT_S)
        assert [each.name for each in listed.ok.entries] == ["a", "b"]

    run(scenario)


@pytest.mark.parametrize("text", ["", "-1", "1.5", "x", "9" * 5000, "\u0661"])
def test_an_unreadable_era_is_none(text, monkeypatch):
    async def scenario(client, core):
        monkeypatch.setattr(core, "era", text)
        listed = (await client.list(catalog.Kind.ROUTES, TIMEOUT_S)).ok
        assert listed.position.era == 0

    run(scenario)


def test_watch_without_a_change_times_out():
    async def scenario(client, core):
        seen = await client.watch(catalog.Kind.ROUTES, core.revision, 0.05)
        assert seen.ok.changes == ()

    run(scenario)


def test_watch_of_compacted_history_fails():
    async def scenario(client, core):
        core.put("servers", "i-1", {})
        core.compact()
        seen = await client.watch(catalog.Kind.ENDPOINTS, 1, 1.0)
        assert isinstance(seen.error, platform_errors.HistoryGone)

    run(scenario)


def test_unreadable_objects_have_no_value():
    async def scenario(client, core):
        core.put("servers", "i-1", "odd")
        listed = (await client.list(catalog.Kind.ENDPOINTS, TIMEOUT_S)).ok
        assert [entry.value for entry in listed.entries] == [None]

    run(scenario)


def test_announce_replaces_and_withdraw_is_idempotent():
    async def scenario(client, core):
        for _ in range(2):
            assert (await client.announce(OWN)).is_ok()
        listed = (await client.list(catalog.Kind.INSTANCES, TIMEOUT_S)).ok
        assert [entry.value for entry in listed.entries] == [OWN]
        for _ in range(2):
            assert (await client.withdraw("one")).is_ok()
        assert core.objects["sycamoreseam-instances"] == {}

    run(scenario)


def test_conditional_writes():
    async def scenario(client, core):
        missing = await client.get("leases/x")
        assert isinstance(missing.error, platform_errors.ObjectMissing)
        first = (await client.put("leases/x", b"one", 0)).ok
        again = await client.put("leases/x", b"two", 0)
        assert isinstance(again.error, platform_errors.VersionConflict)
        second = (await client.put("leases/x", b"two", first)).ok
        late = await client.put("leases/x", b"three", first)
        assert isinstance(late.error, platform_errors.VersionConflict)
        found = (await client.get("leases/x")).ok
        assert (found.version, found.data) == (second, b"two")

    run(scenario)


def test_a_rejected_write_is_unavailable_and_not_ambiguous():
    async def scenario(client, core):
        for status in (503, 429):
            core.status = status
            done = await client.put("leases/x", b"one", 0)
            assert isinstance(done.error, platform_errors.PlatformUnavailable)

    run(scenario)


def test_a_call_without_an_answer_is_ambiguous():
    async def scenario(client, core):
        core.silent = True
        listed = await client.list(catalog.Kind.ROUTES, 0.1)
        assert isinstance(listed.error, platform_errors.PlatformAmbiguous)
        core.silent = False

    run(scenario)
