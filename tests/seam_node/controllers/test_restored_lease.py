"""Leases in a store that comes back from a copy."""

import asyncio

import pytest

from seam_node.controllers import lease
from standins import memory_store
from tests.seam_node.controllers import claim_fakes

ORDER_TIMEOUT_S = 4.0
DURATION_S = 6.0
WAIT_S = DURATION_S + ORDER_TIMEOUT_S


class Holder:
    """A lease controller that ticks when it is told to."""

    def __init__(self, store, name, incarnation=1):
        self.is_wanted = True
        self.lease = lease.LeaseController(
            "stages",
            name,
            incarnation,
            store,
            claim_fakes.Clock(),
            lambda: self.is_wanted,
            ORDER_TIMEOUT_S,
            DURATION_S,
            takes_over_own=True,
        )

    async def tick(self):
        await self.lease.receive(lease.Tick())
        return self.is_valid

    @property
    def is_valid(self):
        return self.lease.valid_for(asyncio.get_running_loop().time()) > 0

    @property
    def fence(self):
        return self.lease.fence()


async def watch_for_two_holders(holders, duration_s):
    """Ticks all holders; fails if two are valid at once."""
    until = asyncio.get_running_loop().time() + duration_s
    while asyncio.get_running_loop().time() < until:
        for each in holders:
            await each.tick()
            assert sum(one.is_valid for one in holders) <= 1
        await asyncio.sleep(0.5)


def test_a_lease_that_the_store_lost_is_not_taken_while_its_holder_acts():
    async def main():
        store = memory_store.MemoryStore()
        old, new = Holder(store, "a"), Holder(store, "b")
        copy = store.copy()
        assert await old.tick()
        store.restore(copy)
        assert not await new.tick()
        assert old.is_valid

    claim_fakes.run(main())


def test_a_lease_released_since_the_copy_is_not_renewed_from_it():
    """Another instance took it in the lost time, and may still act."""

    async def main():
        store = memory_store.MemoryStore()
        first, second = Holder(store, "a"), Holder(store, "b")
        await first.tick()
        copy = store.copy()
        await first.lease.receive(lease.Release())
        await second.tick()
        await asyncio.sleep(ORDER_TIMEOUT_S + 0.1)
        assert await second.tick()
        store.restore(copy)
        again = Holder(store, "a", incarnation=2)
        assert not await again.tick()
        assert second.is_valid
        await watch_for_two_holders((again, second), 3 * WAIT_S)

    claim_fakes.run(main())


def test_unchanged_before_and_after_a_restore_is_not_unchanged():
    """Its holder renewed it in between, in the lost time."""

    async def main():
        store = memory_store.MemoryStore()
        old, new = Holder(store, "a"), Holder(store, "b")
        await old.tick()
        copy = store.copy()
        await new.tick()
        await asyncio.sleep(DURATION_S - 1)
        await old.tick()
        await asyncio.sleep(WAIT_S - DURATION_S + 1.1)
        store.restore(copy)
        assert not await new.tick()
        assert old.is_valid

    claim_fakes.run(main())


def test_a_write_by_a_version_given_out_again_does_not_hold_the_lease():
    async def main():
        store = memory_store.MemoryStore()
        old, new = Holder(store, "a"), Holder(store, "b")
        await old.tick()
        await asyncio.sleep(DURATION_S + 0.1)
        copy = memory_store.MemoryStore().copy()
        real_put = store.put

        async def put_after_a_restore(key, data, expected):
            """The version that the write expects is one of another holder."""
            store.put = real_put
            store.restore(copy)
            while not await new.tick():
                await asyncio.sleep(1.0)
            assert store.objects[key].version == expected
            return await real_put(key, data, expected)

        store.put = put_after_a_restore
        await old.tick()
        assert new.is_valid
        assert not old.is_valid
        await watch_for_two_holders((old, new), 3 * WAIT_S)

    claim_fakes.run(main())


@pytest.mark.parametrize("restores", [1, 3])
def test_fencing_tokens_are_not_given_out_twice(restores):
    async def main():
        store = memory_store.MemoryStore()
        copy = store.copy()
        fences = []
        for number in range(restores + 1):
            holder = Holder(store, f"h-{number}")
            async with asyncio.timeout(5 * WAIT_S):
                while not await holder.tick():
                    await asyncio.sleep(1.0)
            fences.append(holder.fence)
            await asyncio.sleep(WAIT_S)
            store.restore(copy)
        assert fences == sorted(set(fences))

    claim_fakes.run(main())


def test_a_holder_writes_the_lease_that_the_store_lost_again():
    async def main():
        store = memory_store.MemoryStore()
        holder, other = Holder(store, "a"), Holder(store, "b")
        copy = store.copy()
        await holder.tick()
        fence = holder.fence
        store.restore(copy)
        await asyncio.sleep(DURATION_S - 1)
        await holder.tick()
        await asyncio.sleep(DURATION_S - 1)
        assert holder.is_valid
        assert holder.fence > fence
        await watch_for_two_holders((other, holder), 3 * WAIT_S)
        assert holder.is_valid

    claim_fakes.run(main())


def test_a_lease_is_taken_in_time_after_a_restore():
    """Also by a process that was started after it."""

    async def main():
        store = memory_store.MemoryStore()
        store.restore(store.copy())
        holder = Holder(store, "a")
        await holder.tick()
        await asyncio.sleep(WAIT_S + 0.1)
        assert await holder.tick()

    claim_fakes.run(main())
