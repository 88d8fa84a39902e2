"""Tests of engines that lose answers, as processes."""

from processes import world
import pytest

from bench import caller


@pytest.mark.parametrize("name", ["d1", "p1"])
def test_order_that_libcurl_repeats_is_retried(name):
    async def test(clu, user):
        await clu.control(name, lose_answers=1)
        body = world.request_fields(5)
        answer = caller.Answer(body["id"])
        await user.generate(clu.url("e1"), body, answer)
        assert answer.refusal is None
        world.check_complete(answer, 5)
        await world.wait_nothing_held(clu)

    world.run(test)
