"""Tests claims with lost answers, two owners, outages, expiry, overflow."""

import asyncio
import random

from seam_model import claims as claim_model
from seam_model import errors
from seam_model import ids
from seam_model import platform_errors
from seam_model import requests
from seam_node.controllers import claim_store
from seam_node.controllers import claims
from tests.seam_node.controllers import claim_fakes

REPLY = requests.ServiceReply(201, "application/json", b'{"plank":7}')


class Fleet:
    def __init__(self, names=("a", "b"), owners=None):
        self.platform = claim_fakes.Platform()
        self.network = claim_fakes.Network()
        self.clock = claim_fakes.Clock()
        self.rng = random.Random(11)
        self.nodes = {}
        for seed, name in enumerate(names):
            owner = (owners or {}).get(name, names[0])
            self.nodes[name] = claims.ClaimController(
                name,
                self.platform,
                self.network.link(name),
                self.clock,
                lambda shard, owner=owner: owner,
                random.Random(seed),
            )

    async def __aenter__(self):
        for node in self.nodes.values():
            await node.start()
        return self

    async def __aexit__(self, *exc_info):
        for node in self.nodes.values():
            await node.close()

    def key(self, age_s=0.0):
        return ids.make_uuid7(self.clock.wall() - age_s, self.rng)

    def same_object_keys(self, count):
        keys = [self.key()]
        wanted = claim_model.object_key(ids.pack(keys[0]))
        while len(keys) < count:
            key = self.key()
            if claim_model.object_key(ids.pack(key)) == wanted:
                keys.append(key)
        return keys


def scenario(body, **options):
    async def main():
        async with Fleet(**options) as fleet:
            await body(fleet)

    claim_fakes.run(main())


def test_repeat_is_held_then_replayed_and_other_body_is_refused():
    async def body(fleet):
        a, b = fleet.nodes["a"], fleet.nodes["b"]
        key = fleet.key()
        first = (await b.claim(key, b"d")).ok
        assert first.reply is None
        assert (await a.claim(key, b"d")).error == errors.OutcomeUnknown(key)
        b.record(first, REPLY)
        await b.flush()
        assert (await a.claim(key, b"d")).ok.reply == REPLY
        assert (await a.claim(key, b"x")).error == errors.KeyReused(key)

    scenario(body)


def test_two_owners_at_once_grant_one_claim():
    async def body(fleet):
        nodes = list(fleet.nodes.values())
        for _ in range(20):
            key = fleet.key()
            got = await asyncio.gather(*(n.claim(key, b"d") for n in nodes))
            assert sum(result.is_ok() for result in got) == 1

    scenario(body, owners={"a": "a", "b": "b"})


def test_concurrent_owners_keep_each_others_keys():
    async def body(fleet):
        keys = fleet.same_object_keys(12)
        nodes = list(fleet.nodes.values())
        got = await asyncio.gather(
            *(nodes[i % 2].claim(key, b"d") for i, key in enumerate(keys))
        )
        assert all(result.is_ok() for result in got)
        for key in keys:
            again = await nodes[0].claim(key, b"d")
            assert again.error == errors.OutcomeUnknown(key)

    scenario(body, owners={"a": "a", "b": "b"})


def test_lost_platform_answer_is_resolved_whether_written_or_not():
    async def body(fleet):
        for fault in ("lost_before", "lost_after"):
            fleet.platform.faults = [fault]
            key = fleet.key()
            assert (await fleet.nodes["a"].claim(key, b"d")).is_ok()
            assert not (await fleet.nodes["b"].claim(key, b"d")).is_ok()

    scenario(body)


def test_request_is_repeated_after_a_lost_owner_answer():
    async def body(fleet):
        fleet.network.lose_answers = 1
        key = fleet.key()
        assert (await fleet.nodes["b"].claim(key, b"d")).is_ok()

    scenario(body)


def test_owner_that_dies_after_the_write_leaves_the_claim_usable():
    async def body(fleet):
        key = fleet.key()
        asking = asyncio.ensure_future(fleet.nodes["b"].claim(key, b"d"))
        await asyncio.sleep(0.0015)
        fleet.network.dead.add("a")
        assert (await asking).is_ok()
        assert len(fleet.platform.objects) == 1

    scenario(body)


def test_unsettled_claim_is_released_when_the_platform_returns():
    async def body(fleet):
        b = fleet.nodes["b"]
        key = fleet.key()
        fleet.platform.faults = ["lost_after_then_down"]
        refused = await b.claim(key, b"d")
        assert refused.error == platform_errors.PlatformUnavailable("claim")
        await asyncio.sleep(60)
        fleet.platform.down = False
        await b.flush()
        assert (await b.claim(key, b"d")).is_ok()
        assert not (await b.claim(key, b"d")).is_ok()

    scenario(body)


def test_outage_keeps_the_key_usable_and_outcomes_are_retried():
    async def body(fleet):
        b = fleet.nodes["b"]
        key, held = fleet.key(), fleet.key()
        claim = (await b.claim(held, b"d")).ok
        fleet.platform.down = True
        b.record(claim, REPLY)
        refused = await b.claim(key, b"d")
        assert refused.error == platform_errors.PlatformUnavailable("claim")
        await asyncio.sleep(120)
        fleet.platform.down = False
        assert (await b.claim(key, b"d")).is_ok()
        await b.flush()
        assert (await b.claim(held, b"d")).ok.reply == REPLY

    scenario(body)


def test_late_request_of_a_released_claim_is_not_granted():
    async def body(fleet):
        node = fleet.nodes["a"]
        key = fleet.key()
        packed = ids.pack(key)
        late = claims.peers.ClaimRequest(packed, b"d", "b", b"n" * 16)
        await node._on_message(
            "b", claims.peers.ClaimRelease(packed, late.nonce)
        )
        answer = await node._on_message("b", late)
        assert answer.state == "unavailable"
        assert (await node.claim(key, b"d")).is_ok()

    scenario(body)


def test_cancelled_claim_does_not_lock_the_key():
    async def body(fleet):
        b = fleet.nodes["b"]
        key = fleet.key()
        asking = asyncio.ensure_future(b.claim(key, b"d"))
        await asyncio.sleep(0.003)
        asking.cancel()
        await asyncio.sleep(1)
        assert (await b.claim(key, b"d")).is_ok()

    scenario(body)


def test_keys_outside_the_window_are_refused_unsent():
    async def body(fleet):
        for age_s in (
            claim_model.WINDOW_S + 1,
            -claim_model.KEY_AHEAD_LIMIT_S - 1,
        ):
            key = fleet.key(age_s)
            got = await fleet.nodes["a"].claim(key, b"d")
            assert got.error == errors.KeyOutsideWindow(key)
        assert fleet.platform.calls == []

    scenario(body)


def test_expired_object_is_deleted_and_its_key_stays_refused():
    async def body(fleet):
        a = fleet.nodes["a"]
        key = fleet.key()
        assert (await a.claim(key, b"d")).is_ok()
        await asyncio.sleep(claim_model.WINDOW_S + 60)
        assert len(fleet.platform.objects) == 1
        await asyncio.sleep(200)
        assert fleet.platform.objects == {}
        assert (await a.claim(key, b"d")).error == errors.KeyOutsideWindow(key)

    scenario(body)


def test_write_delayed_past_the_deletion_is_not_granted():
    async def body(fleet):
        b = fleet.nodes["b"]
        key = fleet.key()
        assert (await b.claim(key, b"d")).is_ok()
        await asyncio.sleep(claim_model.WINDOW_S - 1)
        fleet.platform.latency_s = 400.0
        slow = asyncio.ensure_future(fleet.nodes["a"].claim(key, b"d"))
        await asyncio.sleep(1)
        fleet.platform.objects.clear()
        got = await slow
        assert got.error == errors.KeyOutsideWindow(key)

    scenario(body)


def test_waiting_claims_of_an_object_share_a_write():
    async def body(fleet):
        a = fleet.nodes["a"]
        keys = fleet.same_object_keys(30)
        got = await asyncio.gather(*(a.claim(key, b"d") for key in keys))
        assert all(result.is_ok() for result in got)
        assert fleet.platform.calls == ["put"]

    scenario(body)


def test_full_object_refuses_claims_and_keeps_no_large_reply(monkeypatch):
    monkeypatch.setattr(claim_model, "CLAIM_LIMIT_BYTES", 5 * 128)

    async def body(fleet):
        a = fleet.nodes["a"]
        keys = fleet.same_object_keys(6)
        got = [await a.claim(key, b"d") for key in keys]
        assert [result.is_ok() for result in got] == [True] * 5 + [False]
        assert got[5].error == errors.ClaimsFull(keys[5])
        large = requests.ServiceReply(201, "text/plain", b"x" * 20_000)
        a.record(got[0].ok, large)
        await a.flush()
        again = await a.claim(keys[0], b"d")
        assert again.error == errors.OutcomeNotKept(keys[0], 201)

    scenario(body)


def test_size_bound_holds_for_the_largest_entry():
    entry = claim_model.Entry(
        b"d" * 16,
        b"n" * 16,
        claim_model.Phase.DONE,
        599,
        "t" * claim_model.CONTENT_TYPE_LIMIT_BYTES,
        b"b" * claim_model.REPLY_LIMIT_BYTES,
        (b"r" * 16,) * claim_model.RELEASED_NONCES_KEPT,
    )
    entries = {bytes([i]) * 16: entry for i in range(50)}
    data = claim_model.encode(entries)
    assert len(data) <= claim_model.size_bound(entries)
    assert claim_model.decode(data).ok == entries


def test_undecodable_object_grants_no_claim():
    async def body(fleet):
        key = fleet.key()
        object_key = claim_model.object_key(ids.pack(key))
        fleet.platform.objects[object_key] = (1, b"\xc1")
        got = await fleet.nodes["a"].claim(key, b"d")
        assert got.is_error()
        assert fleet.platform.objects[object_key] == (1, b"\xc1")
        assert len(fleet.platform.calls) < claim_store.ATTEMPTS

    scenario(body)
