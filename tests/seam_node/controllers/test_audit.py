"""Tests that the audit trail has every accepted change exactly once."""

import asyncio
import random

import attrs

from seam_model import config
from seam_node.controllers import audit
from seam_node.controllers import config as config_controller
from standins import fakes
from standins import virtual_loop

CHANGES = config.CHANGES_KEPT + 7


async def read_all(platform, cfg, limit):
    found, before = [], 0
    while True:
        page = (await audit.page(platform, cfg, before, limit)).ok
        found += [change.version for change in page.changes]
        assert len(page.changes) <= limit
        before = page.next_before
        if not before:
            return found


async def check():
    links, store = fakes.Links(random.Random(1)), fakes.Store()
    platform = fakes.FakePlatform(links, "e1", store)
    controller = config_controller.ConfigController(
        platform,
        fakes.FakePeerNetwork(links, "e1", {}),
        virtual_loop.VirtualClock(),
        lambda: (),
        20.0,
        8.0,
    )
    await controller.start()
    while controller.current() is None:
        await asyncio.sleep(0.1)
    for number in range(CHANGES):
        draft = controller.current().draft()
        entry = attrs.evolve(draft.defaults.entry, width=1 + number % 9)
        defaults = attrs.evolve(draft.defaults, entry=entry)
        made = await controller.apply(
            attrs.evolve(draft, defaults=defaults),
            "ana",
            f"change {number}",
            number,
            f"change-{number}",
        )
        assert made.ok.version == number + 1
    cfg = controller.current()
    assert len(cfg.changes) == config.CHANGES_KEPT
    everything = list(range(CHANGES, 0, -1))
    for limit in (1, 7, 50):
        assert await read_all(platform, cfg, limit) == everything
    seeded = attrs.evolve(cfg, changes=())
    assert await read_all(platform, seeded, 9) == everything[50:]
    store.down = True
    kept = await audit.page(platform, cfg, 0, config.CHANGES_KEPT - 1)
    assert len(kept.ok.changes) == config.CHANGES_KEPT - 1
    assert (await audit.page(platform, cfg, 5, 3)).is_error()
    await controller.close()


def test_pages_join_kept_and_archived_changes():
    virtual_loop.run(check())
