"""Tests that the fakes and the engine core behave as their ports specify."""

import asyncio
import random

import attrs
import pytest

from seam_model import endpoint_errors
from seam_model import endpoints
from seam_model import errors
from seam_model import peers
from seam_model import platform_errors
from standins import engine_core
from standins import engine_parts
from standins import fakes
from standins import virtual_loop

HEARTBEAT = peers.Heartbeat("a", 1, 7, 3, False, ("x",))
NODES = [
    endpoints.InstanceRecord(name, "", "", 0, "d1", 1) for name in ("a", "b")
]


class EnginePair:
    """A prefill and a decode engine with connections from instance `a`."""

    def __init__(self, seed=1):
        rng = random.Random(seed)
        self.links = fakes.Links(rng)
        self.cores = {}
        for name, role in (("p", "prefill"), ("d", "decode")):
            importer = fakes.kv_importer(self.links, name, self.cores)
            self.cores[name] = engine_core.EngineCore(
                name, endpoints.EngineRole(role), importer, rng
            )
        self.prefiller = fakes.FakeEngine(self.links, "a", self.cores["p"])
        self.decoder = fakes.FakeEngine(self.links, "a", self.cores["d"])

    async def prefill(self, request_id="r"):
        order = endpoints.PrefillOrder(request_id, 1, "m", "x" * 5000, 1000, 0)
        return (await self.prefiller.prefill(order, 9.0)).ok.kv_handle

    def order(self, handle, generation=1):
        return endpoints.DecodeOrder(
            "r", generation, "m", 1000, 50, 0, "fake/p", handle, "a/1"
        )

    async def decode(self):
        order = self.order(await self.prefill())
        return (await self.decoder.decode(order, 9.0)).ok


async def read_all(stream):
    """Returns a stream's chunks, and the error that ended it, if any."""
    chunks = []
    while True:
        part = await stream.read()
        if part.is_error() or part.ok is None:
            return chunks, part.is_error()
        chunks.append(part.ok)


def test_stream_is_complete_after_its_reader_was_replaced():
    async def scenario():
        pair = EnginePair()
        old = await pair.decode()
        first = (await old.read()).ok
        order = endpoints.ResumeOrder("r", 2, first.count)
        new = (await pair.decoder.resume(order, 9.0)).ok
        assert (await old.read()).is_error()
        stale = endpoints.ResumeOrder("r", 1, 0)
        refused = (await pair.decoder.resume(stale, 9.0)).error
        assert isinstance(refused, endpoint_errors.StreamUnknown)
        rest, _ = await read_all(new)
        return [first, *rest]

    chunks = virtual_loop.run(scenario())
    data = b"".join(chunk.data for chunk in chunks)
    ids = [int(line[4:]) for line in data.split(b"\n") if line[:3] == b"id:"]
    assert ids == list(range(1, 52))
    assert engine_parts.token_text("r", 50).encode() in data
    assert chunks[-1].done


def test_unused_kv_expires_and_counts_as_waste():
    async def scenario():
        pair = EnginePair()
        handle = await pair.prefill()
        await asyncio.sleep(0.81)
        result = await pair.decoder.decode(pair.order(handle), 9.0)
        return pair, result.error

    pair, error = virtual_loop.run(scenario())
    assert isinstance(error, endpoint_errors.KvExpired)
    assert pair.cores["p"].wasted_prefill_tokens == 1000


def test_abandoned_stream_holds_memory_until_cancelled():
    async def scenario():
        pair = EnginePair()
        await (await pair.decode()).close()
        await asyncio.sleep(30)
        held = pair.cores["d"].held()
        await pair.decoder.cancel("r", 1)
        await pair.decoder.cancel("r", 1)
        late = pair.order(await pair.prefill("r2"))
        refused = await pair.decoder.decode(late, 9.0)
        return held, pair.cores["d"].held(), refused.error

    held, after, refused = virtual_loop.run(scenario())
    assert [h.request_id for h in held] == ["r"]
    assert held[0].idle_s > 29
    assert after == ()
    assert isinstance(refused, endpoint_errors.OrderRejected)


def test_lost_answer_leaves_the_stream_running():
    async def scenario():
        pair = EnginePair()
        handle = await pair.prefill()
        pair.cores["d"].set_faults(lose_answers=1)
        lost = await pair.decoder.decode(pair.order(handle), 9.0)
        resumed = endpoints.ResumeOrder("r", 1, 0)
        stream = (await pair.decoder.resume(resumed, 9.0)).ok
        return lost.error, await read_all(stream)

    error, (chunks, broke) = virtual_loop.run(scenario())
    assert isinstance(error, endpoint_errors.EndpointLost)
    assert not broke
    assert sum(chunk.count for chunk in chunks) == 51


def test_silent_engine_ends_the_read():
    async def scenario():
        pair = EnginePair()
        stream = await pair.decode()
        pair.cores["d"].set_faults(silent=True)
        return (await read_all(stream))[1]

    assert virtual_loop.run(scenario())


def test_same_seed_gives_the_same_times():
    async def scenario():
        await read_all(await EnginePair(seed=4).decode())
        return asyncio.get_running_loop().time()

    assert virtual_loop.run(scenario()) == virtual_loop.run(scenario())


def test_loop_reports_a_deadlock():
    async def scenario():
        await asyncio.Event().wait()

    async def too_long():
        await asyncio.sleep(100)

    with pytest.raises(virtual_loop.DeadlockError):
        virtual_loop.run(asyncio.wait_for(scenario(), None), limit_s=None)
    with pytest.raises(TimeoutError):
        virtual_loop.run(too_long(), limit_s=99)


@pytest.mark.parametrize(
    ("fault", "error"),
    [
        (lambda links: None, None),
        (lambda links: links.cut("a", "b", both=False), errors.PeerTimeout),
        (lambda links: links.cut("b", "a", both=False), errors.PeerTimeout),
        (lambda links: links.freeze("b"), errors.PeerTimeout),
    ],
)
def test_peer_request(fault, error):
    async def scenario():
        links, nodes, seen = fakes.Links(random.Random(1)), {}, []

        async def answer(sender, message):
            seen.append((sender, message))
            return peers.HeartbeatAck("b", 1, message.sequence, 3)

        nets = [fakes.FakePeerNetwork(links, n, nodes) for n in ("a", "b")]
        for net in nets:
            net.register_handler(peers.Heartbeat, answer)
            net.set_peers(NODES)
            await net.start()
        fault(links)
        return await nets[0].request("b", HEARTBEAT, 1.0), seen

    result, seen = virtual_loop.run(scenario())
    if error is None:
        assert result.ok == peers.HeartbeatAck("b", 1, 7, 3)
        assert seen == [("a", HEARTBEAT)]
    else:
        assert isinstance(result.error, error)


def test_platform_write_whose_answer_is_lost_took_effect():
    async def scenario():
        links, store = fakes.Links(random.Random(1)), fakes.Store()
        platform = fakes.FakePlatform(links, "a", store)
        watching = asyncio.ensure_future(platform.watch("k", 0, 5.0))
        store.lose_answers = 1
        lost = await platform.put("k", b"1", 0)
        again = await platform.put("k", b"2", 0)
        store.down = True
        down = await platform.get("k")
        return lost.error, again.error, down.error, (await watching).ok

    lost, again, down, watched = virtual_loop.run(scenario())
    assert isinstance(lost, platform_errors.PlatformAmbiguous)
    assert again == platform_errors.VersionConflict("k", 0, 1)
    assert isinstance(down, platform_errors.PlatformUnavailable)
    assert watched.data == b"1"


def test_full_engine_and_failed_transfer_refuse():
    async def scenario():
        pair = EnginePair()
        handle = await pair.prefill()
        pair.cores["d"].set_faults(fail_transfers=1)
        failed = await pair.decoder.decode(pair.order(handle), 9.0)
        retried = await pair.decoder.decode(pair.order(handle), 9.0)
        await pair.decoder.cancel("r", 1)
        big = attrs.evolve(pair.order(handle), request_id="b", max_tokens=10**7)
        full = await pair.decoder.decode(big, 9.0)
        return failed.error, retried.is_ok(), full.error

    failed, retried, full = virtual_loop.run(scenario())
    assert isinstance(failed, endpoint_errors.TransferFailed)
    assert retried
    assert isinstance(full, endpoint_errors.EndpointFull)


def test_prefill_serves_the_urgent_rank_first():
    async def scenario():
        pair, ended = EnginePair(), []

        async def one(name, rank, start_s):
            await asyncio.sleep(start_s)
            order = endpoints.PrefillOrder(name, 1, "m", "", 1000, rank)
            await pair.cores["p"].prefill(order)
            ended.append(name)

        names = [("first", 1, 0), ("late", 1, 0.01), ("urgent", 0, 0.02)]
        await asyncio.gather(*(one(*name) for name in names))
        return ended, asyncio.get_running_loop().time()

    ended, took_s = virtual_loop.run(scenario())
    assert ended == ["first", "urgent", "late"]
    assert took_s == pytest.approx(3 * 0.0625)


@pytest.mark.parametrize("checks", [True, False])
def test_old_fence_is_refused_only_where_it_is_checked(checks):
    async def scenario():
        role = endpoints.EngineRole.DECODE
        core = engine_core.EngineCore(
            "e", role, None, random.Random(1), checks_fence=checks
        )
        await core.configure(endpoints.ModelOrder("o2", 2, role, ("new",)))
        old = endpoints.ModelOrder("o1", 1, role, ("old",))
        return await core.configure(old), core.models

    result, models = virtual_loop.run(scenario())
    assert models == (("new",) if checks else ("old",))
    assert result.is_error() == checks


def test_cut_or_abandoned_decode_leaves_no_slot_taken():
    async def scenario():
        pair = EnginePair()
        order = pair.order(await pair.prefill())
        waiting = asyncio.ensure_future(pair.decoder.decode(order, 9.0))
        await asyncio.sleep(0.002)
        waiting.cancel()
        await asyncio.sleep(1.0)
        idle = [held.idle_s > 0 for held in pair.cores["d"].held()]
        await pair.decoder.cancel("r", 1)
        return idle, pair.cores["d"]._slots_used

    assert virtual_loop.run(scenario()) == ([True], 0)
