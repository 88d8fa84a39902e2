"""Tests that only one holder of the lease sends orders to engines."""

import asyncio
import itertools
import json

import attrs
import pytest

from proofs import fleet
from seam_model import config
from seam_model import config_check
from seam_model import endpoints
from seam_node.controllers import roles
from standins import history

SEEDS = fleet.seeds(2)
PREFILL = endpoints.EngineRole.PREFILL
DECODE = endpoints.EngineRole.DECODE
LEASE_KEY = "leases/roles"
LIST_INTERVAL_S = 0.5
POLL_INTERVAL_S = 0.05
APPLY_LIMIT_S = 40.0
"""Time until a change of the wanted state has reached every engine."""
OTHER_MODEL = "summarizer"


def now():
    return asyncio.get_running_loop().time()


def wanted_rules(model=fleet.MODEL, swap=False, adapts=False, checks=False):
    """Returns the rules of all engines; `swap` makes decode-3 a prefill one."""
    rules = {}
    for n in (1, 2, 3):
        for kind, role in (("prefill", PREFILL), ("decode", DECODE)):
            rules[f"{kind}-{n}"] = config.EngineRule(
                role, (model,), (), checks, adapts
            )
    if swap:
        rules["decode-3"] = attrs.evolve(rules["decode-3"], role=PREFILL)
    return rules


def with_rules(rules):
    """Returns a function that sets these rules in the defaults."""

    def change(defaults):
        sized = {
            name: config.ModelRule(1000, 60000, weight_bytes=2_000_000_000)
            for name in (fleet.MODEL, OTHER_MODEL)
        }
        return attrs.evolve(defaults, models=sized, engines=rules)

    return change


async def accept(flt, rules):
    """Writes the next version of the configuration."""
    stored = flt.store.get(config.CONFIG_KEY).ok
    cfg = config_check.decode(stored.data).ok
    cfg = attrs.evolve(
        cfg,
        version=cfg.version + 1,
        defaults=with_rules(rules)(cfg.defaults),
    )
    data = config_check.encode(cfg)
    assert flt.store.put(config.CONFIG_KEY, data, stored.version).is_ok()


async def update_engine_list(flt):
    """Keeps role and models of the engines current in the platform's list."""
    while True:
        for name, core in flt.engines.items():
            flt.list_endpoint(
                name,
                flt.links.data_centres[name],
                "engine",
                role=core.role,
                models=core.models,
                slots=core.cost.slots,
                kv_blocks=core.cost.kv_blocks,
            )
        await asyncio.sleep(LIST_INTERVAL_S)


async def track_holder_count(flt, max_holders):
    """Tracks the largest number of instances that held the lease at once."""
    while True:
        held = [
            name
            for name, instance in flt.instances.items()
            if instance.node.roles_lease.valid_for(now()) > 0
        ]
        max_holders[0] = max(max_holders[0], len(held))
        await asyncio.sleep(POLL_INTERVAL_S)


def holder(flt):
    """Returns the holder and the fencing token in the stored lease."""
    record = json.loads(flt.store.get(LEASE_KEY).ok.data)
    return record["holder"], record["fence"]


def states(flt):
    return {name: (c.role, c.models) for name, c in flt.engines.items()}


def wanted_states(rules):
    return {name: (rule.role, rule.models) for name, rule in rules.items()}


def session(seed, scenario, rules):
    """Runs a scenario on a fresh fleet; returns violations and its result."""

    async def main():
        flt = fleet.Fleet(seed, instances=3)
        await flt.start(with_rules(rules))
        max_holders = [0]
        jobs = [
            asyncio.ensure_future(update_engine_list(flt)),
            asyncio.ensure_future(track_holder_count(flt, max_holders)),
        ]
        result = await scenario(flt)
        for job in jobs:
            job.cancel()
        flt.history.model_orders = [
            history.ModelOrderExecuted(name, seen.generation, seen.at_s)
            for name, core in flt.engines.items()
            for seen in core.seen
            if seen.kind == "configure"
        ]
        found = flt.violations()
        await flt.close()
        assert max_holders[0] <= 1
        return found, result

    return fleet.run(main())


@pytest.mark.parametrize("checks", [False, True])
def test_wanted_state_is_reached_once(checks):
    rules = wanted_rules(swap=True, checks=checks)

    async def scenario(flt):
        await asyncio.sleep(APPLY_LIMIT_S)
        orders = [
            name
            for name, core in flt.engines.items()
            for seen in core.seen
            if seen.kind == "configure"
        ]
        return orders, states(flt)

    found, (orders, reached) = session(1, scenario, rules)
    assert found == []
    assert orders == ["decode-3"]
    assert reached == wanted_states(rules)


def test_no_rules_mean_no_lease_and_no_orders():
    async def scenario(flt):
        await asyncio.sleep(APPLY_LIMIT_S)
        seen = [each.kind for c in flt.engines.values() for each in c.seen]
        return flt.store.get(LEASE_KEY).is_error(), seen

    found, (is_unclaimed, seen) = session(1, scenario, {})
    assert found == []
    assert is_unclaimed
    assert "configure" not in seen


def paused_holder(rules):
    """Returns a scenario in which the holder pauses before it sends orders."""

    async def scenario(flt):
        await asyncio.sleep(5)
        first, fence = holder(flt)
        await accept(flt, rules)
        await asyncio.sleep(1)
        flt.freeze(first)
        await asyncio.sleep(APPLY_LIMIT_S)
        second, later_fence = holder(flt)
        await accept(flt, wanted_rules())
        await asyncio.sleep(APPLY_LIMIT_S / 2)
        flt.thaw(first)
        await asyncio.sleep(APPLY_LIMIT_S / 2)
        return first != second, later_fence - fence, states(flt)

    return scenario


@pytest.mark.parametrize("seed", SEEDS)
def test_holder_that_was_paused_gives_no_order_after_its_successor(seed):
    scenario = paused_holder(wanted_rules(swap=True))
    found, (changed, steps, reached) = session(seed, scenario, wanted_rules())
    assert found == []
    assert (changed, steps) == (True, 1)
    assert reached == wanted_states(wanted_rules())


@pytest.mark.parametrize("seed", SEEDS)
def test_two_claimants_never_hold_the_lease_together(seed):
    async def scenario(flt):
        await asyncio.sleep(5)
        first, _ = holder(flt)
        others = [name for name in flt.names if name != first]
        flt.partition(first, others[0])
        await accept(flt, wanted_rules(swap=True))
        await asyncio.sleep(APPLY_LIMIT_S)
        flt.links.heal()
        await asyncio.sleep(APPLY_LIMIT_S)
        return states(flt)

    found, reached = session(seed, scenario, wanted_rules())
    assert found == []
    assert reached == wanted_states(wanted_rules(swap=True))


@pytest.mark.parametrize("seed", SEEDS)
def test_orders_go_on_after_death_and_outage(seed):
    async def scenario(flt):
        await asyncio.sleep(5)
        await accept(flt, wanted_rules(OTHER_MODEL))
        await asyncio.sleep(3)
        await flt.kill(holder(flt)[0])
        flt.store.down = True
        await asyncio.sleep(10)
        flt.store.down = False
        flt.store.lose_answers = 2
        await asyncio.sleep(2 * APPLY_LIMIT_S)
        return states(flt)

    found, reached = session(seed, scenario, wanted_rules())
    assert found == []
    assert reached == wanted_states(wanted_rules(OTHER_MODEL))


def test_loads_keep_to_the_rate_of_the_weight_store():
    async def scenario(flt):
        await asyncio.sleep(5)
        await accept(flt, wanted_rules(OTHER_MODEL))
        await asyncio.sleep(2 * APPLY_LIMIT_S)
        return sorted(
            seen.at_s
            for core in flt.engines.values()
            for seen in core.seen
            if seen.kind == "configure"
        )

    found, times = session(1, scenario, wanted_rules())
    assert found == []
    gaps = [late - early for early, late in itertools.pairwise(times)]
    assert len(gaps) == 5
    assert min(gaps) >= 1.0


def test_demand_moves_one_engine_to_the_full_pool():
    async def scenario(flt):
        for name, core in flt.engines.items():
            if name.startswith("decode"):
                core._slots_used = core.cost.slots
                core._snapshot()
        await asyncio.sleep(50)
        early = states(flt)
        await asyncio.sleep(200)
        return early, states(flt)

    rules = wanted_rules(adapts=True)
    found, (early, late) = session(1, scenario, rules)
    assert found == []
    roles_at = [
        [role for role, _ in reached.values()].count(PREFILL)
        for reached in (early, late)
    ]
    assert roles_at[0] == 2
    assert roles_at[1] >= 1


# Planted fault that the history checker must catch


def test_ignored_lease_is_caught(monkeypatch):
    monkeypatch.setattr(
        roles.RolesController,
        "_may_send",
        lambda self, checks_fence: self._lease.fence() > 0,
    )
    scenario = paused_holder(wanted_rules(swap=True))
    found, _ = session(1, scenario, wanted_rules())
    assert history.FencingTokenReverted in {type(each) for each in found}
