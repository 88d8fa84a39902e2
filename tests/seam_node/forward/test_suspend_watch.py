"""Suspensions that the event loop's clock does not count."""

import asyncio

import pytest

from seam_node import logs
from seam_node.forward import suspend_watch
from standins import virtual_loop


def play(scenario):
    loop = virtual_loop.VirtualLoop()

    class Clock:
        """Counts suspended time besides the loop's."""

        suspended_s = 0.0

        def now(self):
            return loop.time() + self.suspended_s

    async def run():
        clock, thaws = Clock(), []
        watch = suspend_watch.SuspendWatch(
            clock.now, thaws.append, logs.Log("one")
        )
        await watch.start()
        await asyncio.sleep(1.0)
        await scenario(clock, thaws)
        await watch.close()

    loop.run_until_complete(run())
    loop.close()


def test_a_suspension_is_noticed_soon_and_once():
    async def scenario(clock, thaws):
        clock.suspended_s += 4.0
        await asyncio.sleep(suspend_watch.CHECK_INTERVAL_S + 0.01)
        assert thaws == [pytest.approx(4.0)]
        await asyncio.sleep(5.0)
        assert len(thaws) == 1

    play(scenario)


def test_a_short_pause_is_no_suspension():
    async def scenario(clock, thaws):
        clock.suspended_s += 0.1
        await asyncio.sleep(1.0)
        assert thaws == []

    play(scenario)
