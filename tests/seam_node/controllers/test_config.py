"""Tests that changes apply once, never revert and reach every instance."""

import asyncio

import attrs
import expression
import pytest

from seam_model import config
from seam_model import config_check
from seam_model import errors
from seam_model import operator_errors
from seam_model import peers
from seam_model import platform_errors
from seam_node.controllers import config as config_controller
from seam_node.ports import clock as clock_port
from standins import platform_core


class FakeClock(clock_port.Clock):
    now = 0.0

    def monotonic(self):
        return self.now

    def wall(self):
        return self.now


class FakePlatform:
    """Answers from an in-memory core; `fault` selects an injected fault."""

    def __init__(self):
        self.core = platform_core.PlatformCore(lambda: 0.0)
        self.fault = ""
        self.old = None

    async def get(self, key):
        if self.fault == "down":
            return expression.Error(platform_errors.PlatformUnavailable("get"))
        if self.fault == "stale" and self.old is not None:
            return expression.Ok(self.old)
        return self.core.get(key)

    async def put(self, key, data, expected):
        fault = self.fault
        if fault == "down":
            return expression.Error(platform_errors.PlatformUnavailable("put"))
        if fault in ("lost_after", "lost_before"):
            self.fault = ""
            if fault == "lost_after":
                self.core.put(key, data, expected)
            return expression.Error(platform_errors.PlatformAmbiguous("put"))
        return self.core.put(key, data, expected)

    async def watch(self, key, above, timeout_s):
        if self.fault == "down":
            return expression.Error(
                platform_errors.PlatformUnavailable("watch")
            )
        return expression.Ok(await self.core.watch(key, above, timeout_s))


class FakeNetwork:
    """Passes requests to controllers by name."""

    def __init__(self, nodes):
        self.nodes = nodes

    def register_handler(self, message_type, handler):
        self.handler = handler

    async def request(self, peer, message, timeout_s):
        if peer not in self.nodes:
            return expression.Error(errors.PeerUnreachable(peer))
        answer = await self.nodes[peer].handler("x", message)
        return expression.Ok(answer)


class Rig:
    def __init__(self):
        self.platform = FakePlatform()
        self.clock = FakeClock()
        self.nodes = {}
        self.open = []

    async def node(self, name, live=()):
        network = FakeNetwork(self.nodes)
        controller = config_controller.ConfigController(
            self.platform, network, self.clock, lambda: live, 20.0, 8.0
        )
        self.nodes[name] = network
        self.open.append(controller)
        await controller.start()
        return controller


def run(scenario, monkeypatch):
    monkeypatch.setattr(config_controller, "RETRY_DELAY_S", 0.0)

    async def main():
        rig = Rig()
        try:
            await scenario(rig)
        finally:
            for node in rig.open:
                await node.close()

    asyncio.run(main())


async def run_pending_tasks():
    for _ in range(50):
        await asyncio.sleep(0)


def draft(width):
    old = config_check.initial().defaults
    entry = attrs.evolve(old.entry, width=width)
    return config.Draft(attrs.evolve(old, entry=entry))


def test_two_operators_race_and_one_wins(monkeypatch):
    async def scenario(rig):
        a, b = await rig.node("a"), await rig.node("b")
        await run_pending_tasks()
        results = await asyncio.gather(
            a.apply(draft(3), "ann", "why", 0, "1"),
            b.apply(draft(4), "bob", "why", 0, "2"),
        )
        lost = [r.error for r in results if r.is_error()]
        assert [type(e) for e in lost] == [operator_errors.ConfigConflict]
        assert lost[0].who in ("ann", "bob") and "entry.width" in lost[0].what
        await run_pending_tasks()
        assert a.current() == b.current()
        assert a.version() == 1

    run(scenario, monkeypatch)


@pytest.mark.parametrize("fault", ["lost_after", "lost_before"])
def test_ambiguous_write_is_applied_once(monkeypatch, fault):
    async def scenario(rig):
        a = await rig.node("a")
        await run_pending_tasks()
        rig.platform.fault = fault
        change = (await a.apply(draft(3), "ann", "why", 0, "1")).ok
        assert (change.version, change.change_id) == (1, "1")
        again = (await a.apply(draft(3), "ann", "why", 0, "1")).ok
        assert again == change
        assert rig.platform.core.get(config.CONFIG_KEY).ok.version == 1

    run(scenario, monkeypatch)


def test_stale_read_never_reverts(monkeypatch):
    async def scenario(rig):
        a = await rig.node("a")
        await run_pending_tasks()
        await a.apply(draft(3), "ann", "why", 0, "1")
        rig.platform.old = rig.platform.core.get(config.CONFIG_KEY).ok
        await a.apply(draft(4), "ann", "why", 1, "2")
        rig.platform.fault = "stale"
        result = await a.apply(draft(5), "ann", "why", 1, "3")
        assert isinstance(result.error, platform_errors.PlatformError)
        assert a.current().defaults.entry.width == 4
        late = await rig.node("late")
        late.note_peer_version("a", 2)
        await run_pending_tasks()
        assert late.current().version == 2

    run(scenario, monkeypatch)


def test_restart_without_platform_adopts_the_peers_version(monkeypatch):
    async def scenario(rig):
        a = await rig.node("a")
        await run_pending_tasks()
        await a.apply(draft(3), "ann", "why", 0, "1")
        rig.platform.fault = "down"
        alone = await rig.node("alone", live=("a", "ghost"))
        b = await rig.node("b", live=("a",))
        await run_pending_tasks()
        assert alone.current() is None
        assert b.current().defaults.entry.width == 3
        result = await b.apply(draft(4), "bob", "why", 1, "2")
        assert isinstance(result.error, platform_errors.PlatformUnavailable)

    run(scenario, monkeypatch)


def test_starting_peer_does_not_confirm_a_configuration(monkeypatch):
    async def scenario(rig):
        a = await rig.node("a")
        await run_pending_tasks()
        await a.apply(draft(3), "ann", "why", 0, "1")
        rig.platform.fault = "down"
        b = await rig.node("b", live=("a", "ghost"))
        await run_pending_tasks()
        gone = rig.nodes.pop("a")
        c = await rig.node("c", live=("b",))
        await run_pending_tasks()
        assert (b.current(), c.current()) == (None, None)
        rig.nodes["a"] = gone
        d = await rig.node("d", live=("a", "b"))
        await run_pending_tasks()
        assert d.current().version == 1

    run(scenario, monkeypatch)


def test_silence_makes_the_configuration_stale(monkeypatch):
    async def scenario(rig):
        a = await rig.node("a")
        await run_pending_tasks()
        rig.platform.fault = "down"
        assert a.check_freshness(8.0).is_ok()
        assert a.check_freshness(9.0).error == errors.ConfigStale(9.0)
        rig.clock.now = 9.0
        a.note_peer_version("b", 0)
        await run_pending_tasks()
        assert a.check_freshness(9.0).is_ok()

    run(scenario, monkeypatch)


def test_exception_without_a_reason_is_refused(monkeypatch):
    async def scenario(rig):
        a = await rig.node("a")
        await run_pending_tasks()
        rule = config.ConfigException(
            "x", config.Scope(workspace="w"), {"entry.width": 0}, " "
        )
        bad = attrs.evolve(draft(3), exceptions=(rule,))
        found = (await a.apply(bad, "", "why", 0, "1")).error.problems
        assert [p.field for p in found] == [
            "exceptions[0].reason",
            "exceptions[0].settings.entry.width",
            "who",
        ]
        assert rig.platform.core.counts["writes"] == 0

    run(scenario, monkeypatch)


def test_old_changes_move_to_audit_objects(monkeypatch):
    async def scenario(rig):
        a = await rig.node("a")
        await run_pending_tasks()
        for version in range(53):
            width = 1 + version % 2
            result = await a.apply(
                draft(width), "ann", "why", version, str(version)
            )
            assert result.is_ok()
        kept = [change.version for change in a.current().changes]
        moved = rig.platform.core.list_keys(config.AUDIT_PREFIX)
        assert kept == list(range(4, 54))
        assert moved == ("audit/000001", "audit/000002", "audit/000003")

    run(scenario, monkeypatch)


def test_fetch_returns_only_newer_versions(monkeypatch):
    async def scenario(rig):
        a = await rig.node("a")
        await run_pending_tasks()
        await a.apply(draft(3), "ann", "why", 0, "1")
        handler = rig.nodes["a"].handler
        assert (await handler("b", peers.ConfigFetch(1))).data == b""
        assert (await handler("b", peers.ConfigFetch(0))).version == 1

    run(scenario, monkeypatch)
