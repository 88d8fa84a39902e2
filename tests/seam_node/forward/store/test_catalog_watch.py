"""Tests of the store watches on virtual time, including store outages."""

import asyncio

import expression

from seam_model import forwarding
from seam_model import platform_errors
from seam_node import logs
from seam_node.forward.store import catalog_watch
from seam_node.forward.store import store_link
from seam_node.ports import catalog
from seam_policy import store_position
from standins import virtual_loop


def entry(name, revision=1):
    endpoint = forwarding.Endpoint(
        name, 1, forwarding.Address("h", 1), "calls", "here", 4, False
    )
    return catalog.Entry(name, revision, endpoint)


WATCH_WAIT_S = 2.0


class FakeCatalog(catalog.Catalog):
    """An in-memory store whose calls fail while it is unreachable."""

    def __init__(self):
        self.names = {"e-1", "e-2"}
        self.revision = 1
        self.changes = []
        self.unreachable = False
        self.connects = True
        self.history_gone = False
        self.calls = 0
        self.return_on_change = False
        """Whether a watch returns with the first change."""

    async def start(self):
        pass

    async def close(self):
        pass

    def put(self, name):
        self._change(name, removed=False)
        self.names.add(name)

    def remove(self, name, watched=True):
        self.names.discard(name)
        self._change(name, removed=True, watched=watched)

    async def list(self, kind, timeout_s, allow_stale=False):
        self.calls += 1
        await self._wait_if_away(timeout_s)
        if self.unreachable:
            return expression.Error(platform_errors.PlatformUnavailable("list"))
        entries = tuple(entry(name) for name in sorted(self.names))
        return expression.Ok(catalog.Listing(entries, self._position()))

    async def watch(self, kind, revision, wait_s):
        self.calls += 1
        ends_at = asyncio.get_running_loop().time() + wait_s
        while asyncio.get_running_loop().time() < ends_at:
            if self.return_on_change and self.revision > revision:
                break
            await asyncio.sleep(0.01)
        if self.unreachable:
            return expression.Error(platform_errors.PlatformAmbiguous("watch"))
        if self.history_gone:
            self.history_gone = False
            return expression.Error(platform_errors.HistoryGone(revision))
        matching = tuple(c for at, c in self.changes if at > revision)
        return expression.Ok(catalog.Changes(matching, self._position()))

    def _position(self):
        return store_position.Position(1, self.revision)

    async def announce(self, own):
        raise NotImplementedError

    async def withdraw(self, name):
        raise NotImplementedError

    async def get(self, key):
        raise NotImplementedError

    async def put_object(self, key, data, expected):
        raise NotImplementedError

    def _change(self, name, removed, watched=True):
        self.revision += 1
        if watched:
            change = catalog.Change(entry(name, self.revision), removed)
            self.changes.append((self.revision, change))

    async def _wait_if_away(self, timeout_s):
        if self.unreachable:
            await asyncio.sleep(timeout_s if self.connects else 0.3)


FakeCatalog.__abstractmethods__ = frozenset()


class Names(catalog_watch.ChangeListener):
    """Records the present names and the removal times."""

    def __init__(self):
        self.names = set()
        self.removed_at = {}

    def put(self, entry):
        self.names.add(entry.name)

    def remove(self, name):
        self.names.discard(name)
        now = asyncio.get_running_loop().time()
        self.removed_at[name] = now


def run_scenario(scenario):
    loop = virtual_loop.VirtualLoop()

    async def run():
        source, names, outcomes = FakeCatalog(), Names(), []
        log = logs.Log("one")
        link = store_link.StoreLink(loop.time, log, outcomes.append)
        watch = catalog_watch.CatalogWatch(
            catalog.Kind.ENDPOINTS,
            source,
            names,
            link,
            lambda: WATCH_WAIT_S,
            loop.time,
        )
        await watch.start()
        await asyncio.sleep(0.1)
        try:
            await scenario(source, names, watch, link)
        finally:
            await watch.close()

    loop.run_until_complete(run())
    loop.close()


def test_changes_are_applied():
    async def scenario(source, names, watch, link):
        assert names.names == {"e-1", "e-2"}
        source.put("e-3")
        source.remove("e-1")
        await asyncio.sleep(2.1)
        assert names.names == {"e-2", "e-3"}

    run_scenario(scenario)


def test_lost_history_causes_a_new_listing():
    async def scenario(source, names, watch, link):
        source.remove("e-1", watched=False)
        source.history_gone = True
        await asyncio.sleep(2.1)
        assert names.names == {"e-2"}

    run_scenario(scenario)


def test_entries_that_expired_in_an_outage_are_kept_until_announced_again():
    async def scenario(source, names, watch, link):
        source.unreachable = True
        await asyncio.sleep(4.0)
        source.remove("e-1", watched=False)
        source.remove("e-2", watched=False)
        source.unreachable = False
        await asyncio.sleep(1.2)
        assert not link.unreachable
        assert names.names == {"e-1", "e-2"}
        source.put("e-1")
        await asyncio.sleep(3.0)
        assert names.names == {"e-1"}

    run_scenario(scenario)


def test_an_entry_still_missing_after_an_outage_is_removed_in_time():
    async def scenario(source, names, watch, link):
        loop = asyncio.get_running_loop()
        source.unreachable = True
        await asyncio.sleep(7.0)
        source.remove("e-1", watched=False)
        source.unreachable = False
        recovered_at = loop.time()
        await asyncio.sleep(4.0)
        # The store counts as stable three seconds after its recovery.
        assert names.removed_at["e-1"] - recovered_at <= 3.0

    run_scenario(scenario)


def test_recovery_of_the_store_is_detected_soon():
    """Guards against a late view of the endpoints after a partition.

    Only this instance was cut off from the store, and an endpoint began to
    drain meanwhile.
    """

    async def scenario(source, names, watch, link):
        loop = asyncio.get_running_loop()
        source.unreachable, source.connects = True, False
        await asyncio.sleep(12.0)
        source.unreachable = False
        recovered_at = loop.time()
        await asyncio.sleep(1.0)
        assert link.recovered_at - recovered_at <= 0.5

    run_scenario(scenario)


def test_removal_without_an_outage_applies_immediately():
    async def scenario(source, names, watch, link):
        source.remove("e-1")
        await asyncio.sleep(2.1)
        assert names.names == {"e-2"}

    run_scenario(scenario)


def test_an_unreachable_store_gets_few_calls():
    async def scenario(source, names, watch, link):
        source.unreachable, source.connects = True, False
        await asyncio.sleep(3.0)
        calls_before = source.calls
        await asyncio.sleep(10.0)
        assert source.calls - calls_before <= 30

    run_scenario(scenario)


def test_only_one_watch_probes_an_unreachable_store():
    async def scenario(source, names, watch, link):
        loop = asyncio.get_running_loop()
        other = catalog_watch.CatalogWatch(
            catalog.Kind.ROUTES,
            source,
            Names(),
            link,
            lambda: WATCH_WAIT_S,
            loop.time,
        )
        await other.start()
        source.unreachable, source.connects = True, False
        await asyncio.sleep(3.0)
        calls_before = source.calls
        await asyncio.sleep(10.0)
        assert source.calls - calls_before <= 30
        source.unreachable = False
        await asyncio.sleep(1.0)
        assert watch.age_s() < 1.0 or other.age_s() < 1.0
        await other.close()

    run_scenario(scenario)


def test_a_watch_without_changes_ends_in_time():
    """Guards against a watch that waits forever for changes.

    The store dropped its history without ending or notifying open watches.
    """

    async def scenario(source, names, watch, link):
        await asyncio.sleep(0.1)
        source.remove("e-1", watched=False)
        source.history_gone = True
        await asyncio.sleep(WATCH_WAIT_S + 0.1)
        assert names.names == {"e-2"}

    run_scenario(scenario)


def test_changes_in_quick_succession_need_few_calls():
    """Guards against one list or watch call for each change.

    Endpoints start one after the other and each change ends the watch.
    """

    async def scenario(source, names, watch, link):
        source.return_on_change = True
        calls_before = source.calls
        for number in range(40):
            source.put(f"n-{number}")
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.5)
        assert len(names.names) == 42
        assert source.calls - calls_before <= 12

    run_scenario(scenario)
