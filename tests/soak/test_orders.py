"""Orders to engines while the instances that may give them come and go."""

import asyncio

import pytest
from soak import checks
from soak import faults
from soak import fleet
from soak import test_planted
from soak import test_soak

HAND_OVERS = 2
MIN_HOLDERS = 2
FORWARD = "packages/seam_node/seam_node/forward"
FENCE = (
    f"{FORWARD}/placement/stages.py",
    (("fence = self._lease.fence()", "fence = 1"),),
)


def holder(soak):
    """Returns the instance that gave the last order, or None."""
    orders = [o for b in soak.fleet.all_backends for o in b.orders_seen]
    if not orders:
        return None
    last = max(orders, key=lambda order: order.at)
    return next(m for m in soak.fleet.members if m.name == last.holder)


async def move_the_lease(soak):
    """Freezes, kills or stops whoever gave the last order, again and again."""
    for _ in range(HAND_OVERS):
        while (member := holder(soak)) is None:
            await asyncio.sleep(0.1)
        fault = soak.rng.choice((faults.freeze_member, faults.end_member))
        await fault(soak.fleet, member, soak.rng, soak.counts)
        await asyncio.sleep(soak.rng.uniform(0.5, 2.0))


def play(tmp_path, seed, root=test_soak.ROOT):
    soak = test_soak.Soak(tmp_path, seed, root=root)
    soak.fleet.announced = fleet.MANY_PREFILLS
    soak.call_faults.share = 0.1

    async def script(soak):
        await move_the_lease(soak)
        soak.call_faults.share = 0.0

    asyncio.run(soak.play(script))
    return soak


def holders(soak):
    return {o.holder for b in soak.fleet.all_backends for o in b.orders_seen}


@pytest.mark.parametrize("seed", test_soak.SEEDS)
def test_orders_of_two_instances_never_share_a_fencing_token(tmp_path, seed):
    soak = play(tmp_path, seed)
    soak.check()
    assert checks.fence_violations(soak.fleet.all_backends) == []
    assert len(holders(soak)) >= MIN_HOLDERS


@pytest.mark.parametrize("seed", test_soak.SEEDS)
def test_dropped_fence_is_found(tmp_path, seed):
    root = tmp_path / "planted"
    test_planted.plant(root, *FENCE)
    soak = play(tmp_path, seed, root)
    assert checks.fence_violations(soak.fleet.all_backends) != []
