"""Streams that nobody holds are freed, others are not."""

import asyncio
import random

import expression
import pytest

from seam_model import endpoints
from seam_model import errors
from seam_model import ids
from seam_node.controllers import reaper
from tests.seam_node.controllers import peer_world
from tests.seam_node.controllers import test_registry

HELD = ids.make_uuid7(1.0, random.Random(1))
DENIED = ids.make_uuid7(1.0, random.Random(2))


class Engine:
    """Records cancels."""

    def __init__(self, works=True):
        self.cancelled = []
        self.works = works

    async def cancel(self, request_id, incarnation):
        if not self.works:
            return expression.Error(errors.EndpointUnreachable("engine"))
        self.cancelled.append((request_id, incarnation))
        return expression.Ok(None)


async def cancel_orphans(nodes, engine, stream, window_s=5.0):
    freed = []
    node = nodes["b"]
    judge = reaper.Reaper(
        node.members, node.network, freed.append, lambda: window_s
    )
    report = endpoints.LoadReport("engine", 0.0, 1, 20, 0, 0, (stream,))
    await judge.cancel_orphans(engine, report)
    assert len(freed) == len(engine.cancelled)
    return engine.cancelled


@pytest.mark.parametrize(
    ("request_id", "owner", "idle_s", "lost"),
    [
        (HELD, "a/1", 100.0, False),
        (DENIED, "a/1", 100.0, True),
        (DENIED, "a/1", 14.0, False),
        (DENIED, "a/0", 100.0, True),
        (DENIED, "a/2", 100.0, True),
        (DENIED, "nobody/1", 100.0, True),
        (DENIED, "", 100.0, True),
    ],
)
def test_what_is_lost(request_id, owner, idle_s, lost):
    async def main():
        _, nodes = await test_registry.fleet(21)
        await nodes["a"].registry.begin(ids.pack(HELD), test_registry.TAG)
        stream = endpoints.HeldStream(request_id, 1, owner, idle_s)
        cancelled = await cancel_orphans(nodes, Engine(), stream)
        assert cancelled == ([(request_id, 1)] if lost else [])
        assert await nodes["a"].registry.confirm(ids.pack(HELD))

    peer_world.run(main())


def test_an_owner_that_cannot_be_asked_keeps_its_stream():
    async def main():
        world, nodes = await test_registry.fleet(22)
        stream = endpoints.HeldStream(DENIED, 1, "a/1", 100.0)
        world.part("a", "bcde")
        assert await cancel_orphans(nodes, Engine(), stream) == []
        await asyncio.sleep(10)
        assert await cancel_orphans(nodes, Engine(works=False), stream) == []
        assert await cancel_orphans(nodes, Engine(), stream) == [(DENIED, 1)]

    peer_world.run(main())


def test_a_longer_resume_window_is_waited_for():
    async def main():
        _, nodes = await test_registry.fleet(23)
        stream = endpoints.HeldStream(DENIED, 1, "nobody/1", 30.0)
        assert (
            await cancel_orphans(nodes, Engine(), stream, window_s=30.0) == []
        )
        assert await cancel_orphans(nodes, Engine(), stream) == [(DENIED, 1)]

    peer_world.run(main())
