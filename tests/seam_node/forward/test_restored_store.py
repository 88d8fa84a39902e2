"""The platform's store comes back from a copy that is some seconds old."""

import asyncio

from standins import feed_world


def restore_and_count_past(world, copy):
    """Restores the store and gives out all lost revisions again.

    Configuration 5 and endpoint e-5 are written first.
    """
    lost = world.store.revision
    world.store.restore(copy)
    world.configure(5)
    world.store.put("servers", "e-5", feed_world.spec("10.0.0.5:80"))
    while world.store.revision <= lost:
        world.store.put("other", "o-1", world.store.revision)


def test_an_instance_cut_off_over_a_restore_misses_no_later_change():
    async def scenario(world):
        copy = world.store.copy()
        for version in (2, 3, 4):
            world.configure(version)
        await world.until(lambda: world.versions == {4})
        late = world.sources[0]
        late.cut_off_from_store()
        await world.until(lambda: late.link.unreachable)
        restore_and_count_past(world, copy)
        late.reconnect_to_store()
        await world.until(
            lambda: (
                world.versions == {5}
                and all(
                    each.names == {"e-1", "e-5"} for each in world.instances
                )
            )
        )

    feed_world.run(scenario)


def test_live_endpoints_that_the_copy_lacks_are_used_on():
    """They announce themselves again; no call failed meanwhile."""

    async def scenario(world):
        copy = world.store.copy()
        world.store.put("servers", "e-2", feed_world.spec("10.0.0.2:80"))
        await world.until(
            lambda: all(each.names >= {"e-2"} for each in world.instances)
        )
        world.store.restore(copy)
        restored_at = asyncio.get_running_loop().time()
        await world.until(
            lambda: all(each.link.era == 2 for each in world.instances)
        )
        while asyncio.get_running_loop().time() < restored_at + 1.0:
            assert all(each.names >= {"e-2"} for each in world.instances)
            await asyncio.sleep(0.01)
        world.store.put("servers", "e-2", feed_world.spec("10.0.0.2:80"))
        await asyncio.sleep(1.5)
        assert all(each.names == {"e-1", "e-2"} for each in world.instances)

    feed_world.run(scenario)
