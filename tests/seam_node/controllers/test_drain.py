"""Tests drain phases, requests in progress, second signal, final hooks."""

import asyncio

from seam_model import errors
from seam_node.controllers import drain
from tests.seam_node.controllers import claim_fakes

Phase = drain.Phase


def scenario(body, *hooks):
    async def main():
        phases = []
        controller = drain.DrainController("a", phases.append, hooks)
        await controller.start()
        await body(controller, phases)
        await controller.close()

    claim_fakes.run(main())


def test_phases_follow_each_other_and_wait_for_the_last_request():
    async def body(controller, phases):
        assert controller.admit().is_ok()
        controller.begin("SIGTERM")
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert phases == [Phase.ANNOUNCED]
        assert controller.admit().is_ok()
        await asyncio.sleep(drain.REFUSE_AFTER_S + 0.1)
        assert controller.admit().error == errors.InstanceLeaving("a")
        controller.end_request()
        await asyncio.sleep(600)
        assert phases == [Phase.ANNOUNCED, Phase.REFUSING]
        controller.end_request()
        await controller.wait_ended()
        assert phases[-1] is Phase.ENDED

    scenario(body)


def test_second_signal_expedites_without_cutting_requests():
    async def body(controller, phases):
        controller.admit()
        controller.begin("SIGTERM")
        controller.begin("SIGTERM")
        await asyncio.sleep(0.1)
        assert controller.phase is Phase.REFUSING
        await asyncio.sleep(600)
        assert controller.phase is Phase.REFUSING
        controller.end_request()
        await controller.wait_ended()
        assert phases == [Phase.ANNOUNCED, Phase.REFUSING, Phase.ENDED]

    scenario(body)


def test_final_hooks_run_after_requests_and_survive_a_failed_hook():
    seen = []

    async def fails():
        raise OSError("gone")

    async def hook():
        seen.append("hook")

    async def body(controller, phases):
        controller.admit()
        controller.begin("operator")
        await asyncio.sleep(60)
        assert seen == []
        controller.end_request()
        await controller.wait_ended()
        assert seen == ["hook"]
        assert len(controller.failed_hooks) == 1

    scenario(body, fails, hook)


def test_second_signal_bounds_a_stuck_final_hook():
    async def stuck():
        await asyncio.sleep(10_000)

    async def body(controller, phases):
        controller.begin("SIGTERM")
        await asyncio.sleep(60)
        assert controller.phase is Phase.REFUSING
        controller.begin("SIGTERM")
        await asyncio.sleep(drain.EXPEDITED_HOOKS_S + 0.1)
        assert controller.phase is Phase.ENDED

    scenario(body, stuck)
