"""A task keeps running after the handling of a message raises."""

import asyncio

import pytest

from seam_node import task
from standins import virtual_loop


class Divider(task.Task):
    async def receive(self, message):
        return 1 / message


def test_task_continues_after_a_failed_message():
    async def main():
        reported = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(
            lambda loop, context: reported.append(context["exception"])
        )
        divider = Divider("divider")
        await divider.start()
        divider.tell(0)
        with pytest.raises(ZeroDivisionError):
            await asyncio.wait_for(divider.ask(0), 5.0)
        assert await asyncio.wait_for(divider.ask(2), 5.0) == 0.5
        await divider.close()
        return [type(exc) for exc in reported]

    assert virtual_loop.run(main()) == [ZeroDivisionError] * 2
