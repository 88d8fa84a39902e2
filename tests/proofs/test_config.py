"""Tests that accepted configurations reach all instances and never revert."""

import asyncio
import random

import attrs
import expression
import pytest

from proofs import fleet
from seam_model import config
from seam_model import config_check
from seam_model import errors
from seam_model import operator_errors
from seam_model import platform_errors
from seam_node.controllers import config as config_controller
from standins import history

SEEDS = fleet.seeds(2)
POLL_S = 0.05


def now():
    return asyncio.get_running_loop().time()


class Operators:
    """Operators at several instances; records the accepted changes."""

    def __init__(self, flt):
        self.flt = flt
        self.rng = random.Random(flt.rng.getrandbits(32))
        self.results = []

    async def change(self, name, expected=None, width=None):
        """Applies a change as one operator; a conflict is a valid result."""
        node = self.flt.node(name)
        cfg = node.config.current()
        if cfg is None:
            return None
        width = width or self.rng.randint(1, 64)
        entry = attrs.evolve(cfg.defaults.entry, width=width)
        draft = attrs.evolve(
            cfg.draft(), defaults=attrs.evolve(cfg.defaults, entry=entry)
        )
        base = cfg.version if expected is None else expected
        change_id = f"{name}-{len(self.results)}-{now()}"
        job = self.flt.spawn(
            name, node.config.apply(draft, name, "a test", base, change_id)
        )
        self.results.append(None)
        result = await job
        self.results.append(result)
        if result.is_ok():
            accepted = history.ConfigAccepted(result.ok.version, now())
            self.flt.history.accepted.append(accepted)
        return result

    async def apply_random_changes(self, count):
        """Applies changes at two random instances at once, `count` times."""
        for _ in range(count):
            names = sorted(self.flt.instances)
            pair = self.rng.sample(names, min(2, len(names)))
            jobs = [asyncio.ensure_future(self.change(name)) for name in pair]
            await asyncio.wait(jobs, timeout=3.0)
            await asyncio.sleep(self.rng.uniform(0, 1))


async def record_configs(flt):
    """Records each version that an instance puts in force."""
    held = {}
    while True:
        for name, instance in flt.instances.items():
            cfg = instance.node.config.current()
            seen = (instance, cfg.version if cfg else None)
            if cfg is not None and held.get(name) != seen:
                held[name] = seen
                row = history.ConfigInForce(name, cfg.version, now())
                flt.history.configs_in_force.append(row)
        await asyncio.sleep(POLL_S)


def session(seed, scenario):
    """Runs a scenario on a fresh fleet; returns violations and its result."""

    async def main():
        flt = fleet.Fleet(seed, instances=5)
        await flt.start()
        watcher = asyncio.ensure_future(record_configs(flt))
        operators = Operators(flt)
        result = await scenario(flt, operators)
        await asyncio.sleep(history.CONFIG_PROPAGATION_LIMIT_S + 2)
        watcher.cancel()
        found = flt.violations()
        held = {
            config_check.encode(instance.node.config.current())
            for instance in flt.instances.values()
        }
        assert len(held) == 1
        await flt.close()
        return found, result

    return fleet.run(main())


# Faults: coroutines that run concurrently with the operators


async def no_fault(flt, rng):
    """Injects no fault."""


async def platform_slow(flt, rng):
    flt.store.latency_s = 1.5
    await asyncio.sleep(8)
    flt.store.latency_s = 0.0


async def platform_down(flt, rng):
    for _ in range(2):
        await asyncio.sleep(rng.uniform(0.5, 2))
        flt.store.down = True
        await asyncio.sleep(rng.uniform(1, 4))
        flt.store.down = False


async def answers_lost(flt, rng):
    for _ in range(8):
        flt.store.lose_answers = 1
        await asyncio.sleep(rng.uniform(0.2, 1.5))


async def instances_restart(flt, rng):
    for _ in range(3):
        await asyncio.sleep(rng.uniform(0.2, 2))
        name = rng.choice(sorted(flt.instances))
        await flt.kill(name)
        await asyncio.sleep(rng.uniform(0.1, 2))
        await flt.start_instance(name)


async def links_lose_messages(flt, rng):
    flt.links.loss = 0.1
    await asyncio.sleep(8)
    flt.links.loss = 0.0


async def watch_answers_lost(flt, rng):
    """Drops all messages of the platform to one instance."""
    flt.links.cut("platform", rng.choice(flt.names), both=False)
    await asyncio.sleep(8)
    flt.links.heal()


async def instances_pause(flt, rng):
    for _ in range(3):
        await asyncio.sleep(rng.uniform(0.2, 1))
        name = rng.choice(sorted(flt.instances))
        flt.freeze(name)
        await asyncio.sleep(rng.uniform(0.5, 2))
        flt.thaw(name)


FAULTS = (
    no_fault,
    platform_slow,
    platform_down,
    answers_lost,
    instances_restart,
    watch_answers_lost,
    instances_pause,
)
PAIRS = (
    (links_lose_messages,),
    (platform_down, instances_restart),
    (answers_lost, instances_restart),
    (platform_slow, answers_lost),
    (instances_restart, instances_restart),
    (watch_answers_lost, platform_slow),
    (instances_pause, answers_lost),
)


def under(*faults):
    """Returns a scenario of changes under faults."""

    async def scenario(flt, operators):
        jobs = [
            asyncio.ensure_future(
                fault(flt, random.Random(flt.rng.getrandbits(32)))
            )
            for fault in faults
        ]
        await operators.apply_random_changes(6)
        await asyncio.gather(*jobs)
        return flt.history

    return scenario


def fault_names(faults):
    return "+".join(fault.__name__ for fault in faults)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(
    "faults", [*((fault,) for fault in FAULTS), *PAIRS], ids=fault_names
)
def test_accepted_versions_reach_all_instances_in_time(seed, faults):
    found, seen = session(seed, under(*faults))
    assert found == []
    versions = [accepted.version for accepted in seen.accepted]
    assert len(set(versions)) == len(versions) > 0


@pytest.mark.parametrize("seed", SEEDS)
def test_of_two_operators_at_once_one_gets_a_conflict_that_names_the_other(
    seed,
):
    async def scenario(flt, operators):
        return await asyncio.gather(
            operators.change("e1", expected=1, width=11),
            operators.change("e4", expected=1, width=14),
        )

    found, results = session(seed, scenario)
    assert found == []
    lost = [result.error for result in results if result.is_error()]
    assert [type(error) for error in lost] == [operator_errors.ConfigConflict]
    assert (lost[0].version, lost[0].who) in ((2, "e1"), (2, "e4"))
    assert "entry.width" in lost[0].what


@pytest.mark.parametrize("seed", SEEDS)
def test_peers_spread_what_was_accepted_just_before_an_outage(seed):
    async def scenario(flt, operators):
        cut = [name for name in flt.names if name != "e2"]
        for name in cut:
            flt.links.cut(name, "platform")
        result = await operators.change("e2")
        flt.store.down = True
        await asyncio.sleep(history.CONFIG_PROPAGATION_LIMIT_S)
        held = [flt.node(name).config.version() for name in flt.names]
        return result, held

    found, (result, held) = session(seed, scenario)
    assert found == []
    assert (result.ok.version, held) == (2, [2] * 5)


def test_instance_that_starts_in_an_outage_waits_for_a_serving_peer():
    async def scenario(flt, operators):
        await operators.change("e1")
        await asyncio.sleep(2)
        await flt.kill("e3")
        real = flt.store.get
        out = expression.Error(platform_errors.PlatformUnavailable("get"))
        started = await flt.start_instance("e3")
        # Only reads of objects fail; the fleet list is still available.
        flt.store.get = lambda key: out
        await asyncio.sleep(3)
        served = started.node.config.current()
        flt.store.get = real
        return served

    found, served = session(1, scenario)
    assert found == []
    assert served.version == 2


@pytest.mark.parametrize("seed", SEEDS)
def test_stale_read_after_a_restart_is_not_served(seed):
    async def scenario(flt, operators):
        old = flt.store.get(config.CONFIG_KEY)
        await operators.change("e1")
        await asyncio.sleep(2)
        await flt.kill("e3")
        real, flt.store.get = flt.store.get, lambda key: old
        started = await flt.start_instance("e3")
        await asyncio.sleep(4)
        served = started.node.config.current()
        flt.store.get = real
        return served

    found, served = session(seed, scenario)
    assert found == []
    assert served.version == 2


def test_instance_that_starts_cut_off_from_all_serves_nothing():
    async def scenario(flt, operators):
        await operators.change("e1")
        await asyncio.sleep(1)
        await flt.kill("e3")
        flt.partition("e3")
        flt.links.cut("e3", "platform")
        started = await flt.start_instance("e3")
        await asyncio.sleep(6)
        alone = started.node.not_ready()
        flt.links.heal()
        await asyncio.sleep(5)
        return alone, started.node.config.current()

    found, (alone, healed) = session(1, scenario)
    assert found == []
    assert isinstance(alone, errors.InstanceNotReady)
    assert healed.version == 2


# Planted fault that the history checker must catch


def test_removed_version_check_is_caught(monkeypatch):
    def adopt_any(self, cfg):
        self._cfg = cfg
        self._in_force = True

    monkeypatch.setattr(config_controller.ConfigController, "_adopt", adopt_any)

    async def scenario(flt, operators):
        await operators.change("e1")
        old = flt.store.get(config.CONFIG_KEY).ok
        await asyncio.sleep(1)
        await operators.change("e1")
        await asyncio.sleep(1)
        for name in flt.names:
            flt.node(name).config._take(expression.Ok(old))
        await asyncio.sleep(1)

    found, _ = session(1, scenario)
    assert history.ConfigReverted in {type(each) for each in found}
