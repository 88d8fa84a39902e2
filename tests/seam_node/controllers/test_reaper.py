"""Tests that exactly the streams without an owner are cancelled."""

import asyncio
import random

import expression
import pytest

from seam_model import endpoint_errors
from seam_model import endpoints
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
            return expression.Error(
                endpoint_errors.EndpointUnreachable("engine")
            )
        self.cancelled.append((request_id, incarnation))
        return expression.Ok(None)


async def cancel_orphans(nodes, engine, stream, window_s=5.0):
    reported = []
    node = nodes["b"]
    stream_reaper = reaper.Reaper(
        node.members, node.network, reported.append, lambda: window_s
    )
    report = endpoints.LoadReport("engine", 0.0, 1, 20, 0, 0, (stream,))
    await stream_reaper.cancel_orphans(engine, report)
    assert len(reported) == len(engine.cancelled)
    return engine.cancelled


@pytest.mark.parametrize(
    ("request_id", "owner", "idle_s", "orphaned"),
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
def test_only_orphaned_streams_are_cancelled(
    request_id, owner, idle_s, orphaned
):
    async def main():
        _, nodes = await test_registry.fleet(21)
        await nodes["a"].registry.begin(ids.pack(HELD), test_registry.TAG)
        stream = endpoints.HeldStream(request_id, 1, owner, idle_s)
        cancelled = await cancel_orphans(nodes, Engine(), stream)
        assert cancelled == ([(request_id, 1)] if orphaned else [])
        assert await nodes["a"].registry.confirm(ids.pack(HELD))

    peer_world.run(main())


def test_stream_of_an_unreachable_owner_is_kept_until_it_is_dead():
    async def main():
        world, nodes = await test_registry.fleet(22)
        stream = endpoints.HeldStream(DENIED, 1, "a/1", 100.0)
        world.partition("a", "bcde")
        assert await cancel_orphans(nodes, Engine(), stream) == []
        await asyncio.sleep(10)
        assert await cancel_orphans(nodes, Engine(works=False), stream) == []
        assert await cancel_orphans(nodes, Engine(), stream) == [(DENIED, 1)]

    peer_world.run(main())


def test_longer_resume_window_delays_cancelling():
    async def main():
        _, nodes = await test_registry.fleet(23)
        stream = endpoints.HeldStream(DENIED, 1, "nobody/1", 30.0)
        assert (
            await cancel_orphans(nodes, Engine(), stream, window_s=30.0) == []
        )
        assert await cancel_orphans(nodes, Engine(), stream) == [(DENIED, 1)]

    peer_world.run(main())
