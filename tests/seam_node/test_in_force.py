"""Applied configuration takes effect on an instance, with its exceptions.

Guards against limits and entry answers that ignore the data centre or
workspace of an exception.
"""

import asyncio
import random

import attrs
import expression

from seam_model import config
from seam_model import config_edit
from seam_model import endpoints
from seam_model import keys
from seam_model import settings
from seam_node import node
from seam_node.filters import base
from standins import fakes
from standins import virtual_loop

SECRET = "00" * 32


class DiscardingSink(base.Sink):
    async def write(self, data):
        return True

    def is_disconnected(self):
        return False

    def on_disconnect(self, callback):
        del callback


def make_node(data_centre):
    links = fakes.Links(random.Random(1))
    loaded = settings.from_plain(
        {
            "instance": {"name": "e1", "data_centre": data_centre},
            "platform": {"url": "http://127.0.0.1:1"},
            "peers": {"key": SECRET},
            "workspaces": {"keys": {"k1": SECRET}},
        }
    ).ok
    record = endpoints.InstanceRecord(
        "e1", "http://e1.test", "127.0.0.1", 1, data_centre, 1
    )
    ports = node.Ports(
        virtual_loop.VirtualClock(),
        fakes.FakePlatform(links, "e1", fakes.Store()),
        fakes.FakePeerNetwork(links, "e1", {}),
        fakes.FakeEngineFactory(links, "e1", {}),
        fakes.FakeService(links, "e1", {}),
    )
    return node.Node(loaded, record, ports, random.Random(1))


async def apply_exception(instance, scope, settings_):
    draft = instance.config.current().draft()
    lookup = {"ledger": {"lookup": config.OperationRule(True, 2.0)}}
    defaults = attrs.evolve(draft.defaults, services=lookup)
    rule = config.ConfigException("x", scope, settings_, "because of a test")
    draft = config_edit.with_exception(
        attrs.evolve(draft, defaults=defaults), rule
    ).ok
    done = await instance.config.apply(draft, "ana", "a test", 0, "change-1")
    assert isinstance(done, expression.Result)
    assert done.is_ok(), done.error


async def call_outcomes(data_centre, scope, settings_, workspaces):
    instance = make_node(data_centre)
    await instance.start()
    await instance.wait_ready()
    await apply_exception(instance, scope, settings_)
    codes = []
    for workspace in workspaces:
        token = keys.make_workspace_token("k1", SECRET, workspace)
        headers = {
            "authorization": f"Bearer {token}",
            "x-workspace": workspace,
        }
        raw = base.RawRequest(b"{}", headers, "ledger", "lookup")
        ctx = await instance.call_service(raw, DiscardingSink())
        codes.append(ctx.refusal.error.code)
    cache_s = {name: instance.entry_answer(name).cache_s for name in workspaces}
    await instance.close()
    return codes, cache_s


def test_workspace_limits_follow_data_centre_and_workspace():
    spent = ["no_endpoint", "limit_exceeded"]
    free = ["no_endpoint", "no_endpoint"]
    limits = {"workspace.burst": 1, "workspace.rate_per_s": 0.001}
    here = config.Scope(data_centre="cebu-a")
    both = config.Scope(workspace="w", data_centre="cebu-a")
    for data_centre, scope, workspaces, wanted in (
        ("cebu-a", here, "ww", spent),
        ("cebu-a", both, "ww", spent),
        ("cebu-a", both, "vv", free),
        ("cebu-b", here, "ww", free),
        ("cebu-b", both, "ww", free),
    ):
        found, _ = virtual_loop.run(
            call_outcomes(data_centre, scope, limits, workspaces)
        )
        assert found == wanted, (data_centre, scope, workspaces)


def test_entry_answers_follow_data_centre_and_workspace():
    scope = config.Scope(workspace="w", data_centre="cebu-a")
    for data_centre, wanted in (("cebu-a", 7.0), ("cebu-b", 30.0)):
        _, cache_s = virtual_loop.run(
            call_outcomes(data_centre, scope, {"entry.cache_s": 7.0}, "wv")
        )
        assert cache_s == {"w": wanted, "v": 30.0}


def test_an_instance_without_peers_stays_ready_while_the_platform_answers():
    async def main():
        instance = make_node("cebu-a")
        await instance.start()
        await instance.wait_ready()
        found = set()
        for _ in range(200):
            await asyncio.sleep(0.5)
            found.add(instance.not_ready())
        await instance.close()
        assert found == {None}

    virtual_loop.run(main())
