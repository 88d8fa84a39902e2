"""Tests that silent connections are replaced while new ones work."""

import asyncio

import attrs
from processes import world

from bench import caller
from bench import cluster
from bench import relay
from seam_model import config
from seam_model import config_check
from seam_node.adapters import platform_http


class RelayedCluster(cluster.Cluster):
    """A cluster with relays before the platform or named endpoints."""

    def __init__(self, layout, names):
        super().__init__(layout)
        self._names = names
        self.relays = {}

    async def start_standin(self, name, module, *args):
        process = await super().start_standin(name, module, *args)
        if name in self._names:
            new_relay = relay.Relay(world.port_of(process.url))
            await new_relay.start()
            self.relays[name] = new_relay
        return process

    def settings(self, name, data_centre):
        plain = super().settings(name, data_centre)
        if "platform" in self.relays:
            plain["platform"]["url"] = self.relays["platform"].url
        return plain

    async def register(self, record):
        if record.name in self.relays:
            record = attrs.evolve(record, url=self.relays[record.name].url)
        await super().register(record)

    async def close(self):
        for each in self.relays.values():
            await each.close()
        await super().close()


def test_callers_silent_connection_is_replaced():
    async def test(clu, user):
        body = world.request_fields(300)
        answer = caller.Answer(body["id"])
        link = relay.Relay(world.port_of(clu.url("e1")))
        await link.start()
        job = asyncio.ensure_future(
            world.generate(user, link.url, body, answer)
        )
        await world.wait_until(lambda: answer.last_seq >= 10)
        assert link.silence()
        second = caller.Answer(body["id"], 200)
        second.events, second.texts = list(answer.events), list(answer.texts)
        await world.resume(user, [link.url], body, second)
        world.check_complete(second, 300)
        assert not answer.done
        job.cancel()
        await link.close()
        await world.wait_nothing_held(clu)
        await world.wait_idle(clu, "e1")

    world.run(test, cluster.Cluster(world.layout(world.INSTANCES[:2])))


def test_engines_silent_connection_is_replaced():
    layout = world.layout(world.INSTANCES[:2])
    clu = RelayedCluster(layout, ("d1", "p1"))

    async def test(clu, user):
        url = clu.url("e1")
        world.check_complete(
            await world.generate(user, url, world.request_fields(5)), 5
        )
        body = world.request_fields(300)
        answer = caller.Answer(body["id"])
        job = asyncio.ensure_future(world.generate(user, url, body, answer))
        await world.wait_until(lambda: answer.last_seq >= 10)
        for each in clu.relays.values():
            assert each.silence()
        await job
        assert answer.refusal is None
        world.check_complete(answer, 300)
        world.check_complete(
            await world.generate(user, url, world.request_fields(5)), 5
        )
        await world.wait_nothing_held(clu)

    world.run(test, clu)


def test_platforms_silent_connections_are_replaced():
    clu = RelayedCluster(world.layout(world.INSTANCES[:2]), ("platform",))

    async def test(clu, user):
        url = clu.url("e1")
        assert (await world.send_order(clu, user, url, world.new_id()))[
            0
        ] == 200
        assert clu.relays["platform"].silence()
        await _change_config(clu.url("platform"))
        key = world.new_id()
        orders = [world.send_order(clu, user, url, key) for _ in range(2)]
        for status, body in await asyncio.gather(*orders):
            assert status == 200 or body["ran"] in ("no", "unknown")
        for name in ("e1", "e2"):

            async def in_force(name=name):
                version = await world.metric(clu, name, "seam_config_version")
                return version == 2

            await world.wait_until(in_force, "the new configuration")

        async def works():
            fresh = world.new_id()
            return (await world.send_order(clu, user, url, fresh))[0] == 200

        await world.wait_until(works, "a successful order")
        assert max((await world.execution_counts(clu)).values()) == 1

    world.run(test, clu)


async def _change_config(url):
    platform = platform_http.HttpPlatform(url, 5.0)
    await platform.start()
    stored = (await platform.get(config.CONFIG_KEY)).ok
    cfg = config_check.decode(stored.data).ok
    changed = attrs.evolve(cfg, version=cfg.version + 1)
    data = config_check.encode(changed)
    assert (await platform.put(config.CONFIG_KEY, data, stored.version)).is_ok()
    await platform.close()
