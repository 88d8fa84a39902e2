"""Tests lease races, lost answers, takeover delay, release and expiry."""

import asyncio

import pytest

from seam_node.controllers import lease
from tests.seam_node.controllers import claim_fakes

ORDER_TIMEOUT_S = 5.0
WAIT_S = lease.DURATION_S + ORDER_TIMEOUT_S


def make(platform, holder, incarnation=1, takes_over_own=False):
    clock = claim_fakes.Clock()
    return lease.LeaseController(
        "roles",
        holder,
        incarnation,
        platform,
        clock,
        lambda: True,
        ORDER_TIMEOUT_S,
        takes_over_own=takes_over_own,
    )


def now():
    return asyncio.get_running_loop().time()


def test_two_holders_race_for_one_lease():
    async def main():
        platform = claim_fakes.Platform()
        both = [make(platform, name) for name in "ab"]
        await asyncio.gather(*(one.receive(lease.Tick()) for one in both))
        assert sorted(one.valid_for(now()) > 0 for one in both) == [0, 1]

    claim_fakes.run(main())


def test_validity_counts_from_before_the_write_was_sent():
    async def main():
        platform = claim_fakes.Platform(latency_s=2.0)
        one = make(platform, "a")
        await one.receive(lease.Tick())
        assert one.valid_for(now()) == lease.DURATION_S - 2.0

    claim_fakes.run(main())


def test_successor_waits_out_lease_and_order_timeout():
    async def main():
        platform = claim_fakes.Platform(latency_s=0.0)
        old, new = make(platform, "a"), make(platform, "b")
        await old.receive(lease.Tick())
        await new.receive(lease.Tick())
        await asyncio.sleep(WAIT_S - 0.1)
        await new.receive(lease.Tick())
        assert old.valid_for(now()) == 0
        assert new.valid_for(now()) == 0
        await asyncio.sleep(0.2)
        await new.receive(lease.Tick())
        assert new.valid_for(now()) > 0
        assert (old.fence(), new.fence()) == (1, 2)
        await old.receive(lease.Tick())
        assert old.valid_for(now()) == 0

    claim_fakes.run(main())


def test_renewed_lease_is_not_taken():
    async def main():
        platform = claim_fakes.Platform()
        old, new = make(platform, "a"), make(platform, "b")
        await old.start()
        await asyncio.sleep(1)
        await new.start()
        await asyncio.sleep(10 * WAIT_S)
        assert old.valid_for(now()) > 0
        assert new.fence() == 0
        await old.close()
        await new.close()

    claim_fakes.run(main())


@pytest.mark.parametrize("fault", ["lost_after", "lost_before"])
def test_lost_answer_is_read_back(fault):
    async def main():
        platform = claim_fakes.Platform()
        platform.faults = [fault]
        one = make(platform, "a")
        await one.receive(lease.Tick())
        assert (one.valid_for(now()) > 0) == (fault == "lost_after")
        await one.receive(lease.Tick())
        assert one.valid_for(now()) > 0
        assert one.fence() == 1

    claim_fakes.run(main())


def test_lost_renewal_does_not_lengthen_the_lease():
    async def main():
        platform = claim_fakes.Platform(latency_s=0.0)
        one = make(platform, "a")
        await one.receive(lease.Tick())
        end_s = now() + one.valid_for(now())
        await asyncio.sleep(5)
        platform.faults = ["lost_before"]
        await one.receive(lease.Tick())
        assert now() + one.valid_for(now()) == end_s

    claim_fakes.run(main())


def test_restarted_holder_waits_for_its_own_old_lease():
    async def main():
        platform = claim_fakes.Platform()
        await make(platform, "a", 1).receive(lease.Tick())
        again = make(platform, "a", 2)
        await again.receive(lease.Tick())
        assert again.valid_for(now()) == 0
        await asyncio.sleep(WAIT_S + 1)
        await again.receive(lease.Tick())
        assert again.fence() == 2

    claim_fakes.run(main())


def test_released_lease_is_free_after_the_order_timeout():
    async def main():
        platform = claim_fakes.Platform()
        old, new = make(platform, "a"), make(platform, "b")
        await old.receive(lease.Tick())
        await old.receive(lease.Release())
        assert old.valid_for(now()) == 0
        await new.receive(lease.Tick())
        await asyncio.sleep(ORDER_TIMEOUT_S + 0.1)
        await new.receive(lease.Tick())
        assert new.valid_for(now()) > 0

    claim_fakes.run(main())


def test_a_restarted_holder_takes_its_lease_over_with_a_higher_fence():
    async def main():
        platform = claim_fakes.Platform(latency_s=0.0)
        old = make(platform, "a")
        await old.receive(lease.Tick())
        restarted = make(platform, "a", 2, takes_over_own=True)
        other = make(platform, "b", 2, takes_over_own=True)
        await other.receive(lease.Tick())
        await restarted.receive(lease.Tick())
        assert restarted.valid_for(now()) == lease.DURATION_S
        assert restarted.fence() == old.fence() + 1
        assert other.valid_for(now()) == 0

    claim_fakes.run(main())


def test_a_restarted_holder_waits_unless_its_old_process_is_known_to_be_gone():
    async def main():
        platform = claim_fakes.Platform(latency_s=0.0)
        await make(platform, "a").receive(lease.Tick())
        restarted = make(platform, "a", 2)
        await restarted.receive(lease.Tick())
        assert restarted.valid_for(now()) == 0

    claim_fakes.run(main())
