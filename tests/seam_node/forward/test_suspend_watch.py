"""Tests of the detection of suspensions of the process."""

import asyncio

import pytest

from seam_node import logs
from seam_node.forward import suspend_watch
from standins import virtual_loop


def run_scenario(scenario):
    loop = virtual_loop.VirtualLoop()

    class Clock:
        """A clock that adds suspended time to the loop's time."""

        suspended_s = 0.0

        def now(self):
            return loop.time() + self.suspended_s

    async def run():
        clock, suspensions = Clock(), []
        watch = suspend_watch.SuspendWatch(
            clock.now, suspensions.append, logs.Log("one")
        )
        await watch.start()
        await asyncio.sleep(1.0)
        await scenario(clock, suspensions)
        await watch.close()

    loop.run_until_complete(run())
    loop.close()


def test_a_suspension_is_reported_once():
    async def scenario(clock, suspensions):
        clock.suspended_s += 4.0
        await asyncio.sleep(suspend_watch.CHECK_INTERVAL_S + 0.01)
        assert suspensions == [pytest.approx(4.0)]
        await asyncio.sleep(5.0)
        assert len(suspensions) == 1

    run_scenario(scenario)


def test_a_short_pause_is_not_reported():
    async def scenario(clock, suspensions):
        clock.suspended_s += 0.1
        await asyncio.sleep(1.0)
        assert suspensions == []

    run_scenario(scenario)


def test_a_frozen_process_is_reported_though_its_clock_went_on():
    """A freeze of the process alone: every timer fires late."""

    async def scenario(clock, suspensions):
        asyncio.get_running_loop().call_later(0.1, freeze, 7.5)
        await asyncio.sleep(8.0)
        assert suspensions == [pytest.approx(7.5, abs=0.3)]

    def freeze(seconds):
        # Time passes on the loop's own clock while no callback runs.
        asyncio.get_running_loop().advance(seconds)

    run_scenario(scenario)
