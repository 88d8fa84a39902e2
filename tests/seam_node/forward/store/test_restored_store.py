"""The platform's store comes back from a copy that is some seconds old."""

import asyncio

import pytest

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


def leave(world):
    """The endpoint is taken away."""
    world.store.remove("servers", "e-1")


def drain(world):
    """The endpoint announces that it leaves."""
    spec = feed_world.spec(state="draining", sequence=9)
    world.store.put("servers", "e-1", spec)


def restart(world):
    """The endpoint starts anew for another service."""
    spec = feed_world.spec(service="other", sequence=1, born=2000)
    world.store.put("servers", "e-1", spec)


@pytest.mark.parametrize("change", [leave, drain, restart])
def test_an_endpoint_that_left_is_not_used_again_as_the_copy_has_it(change):
    async def scenario(world):
        world.store.put("servers", "e-2", feed_world.spec("10.0.0.2:80"))
        copy = world.store.copy()
        change(world)
        await world.until(
            lambda: all(each.names == {"e-2"} for each in world.instances)
        )
        world.store.restore(copy)
        await world.until(
            lambda: all(each.link.era == 2 for each in world.instances)
        )
        follower = world.followers[0]
        await follower.client.restart()
        until = asyncio.get_running_loop().time() + 1.5
        while asyncio.get_running_loop().time() < until:
            assert all(each.names == {"e-2"} for each in world.instances)
            await asyncio.sleep(0.01)
        world.store.remove("servers", "e-1")
        await asyncio.sleep(feed_world.UNCONFIRMED_S)
        assert all(each.names == {"e-2"} for each in world.instances)

    feed_world.run(scenario)


async def restore_with_an_endpoint_that_left(world):
    """All instances know that e-1 left; the copy has it."""
    copy = world.store.copy()
    world.store.remove("servers", "e-1")
    await world.until(lambda: not any(each.names for each in world.instances))
    world.store.restore(copy)


def test_an_endpoint_that_the_store_keeps_after_a_restore_is_used_again():
    async def scenario(world):
        await restore_with_an_endpoint_that_left(world)
        await world.until(
            lambda: all(each.names == {"e-1"} for each in world.instances)
        )

    feed_world.run(scenario)


def test_an_endpoint_that_announces_itself_after_a_restore_is_used_at_once():
    async def scenario(world):
        await restore_with_an_endpoint_that_left(world)
        await world.until(
            lambda: all(each.link.era == 2 for each in world.instances)
        )
        world.store.put("servers", "e-1", feed_world.spec(sequence=2))
        async with asyncio.timeout(1.0):
            await world.until(
                lambda: all(each.names == {"e-1"} for each in world.instances)
            )

    feed_world.run(scenario)
