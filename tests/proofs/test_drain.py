"""Tests that an instance leaves without cutting off a request."""

import asyncio

import pytest

from proofs import callers
from proofs import fleet
from proofs import senders
from seam_node.controllers import drain

SEEDS = fleet.seeds(2)
LEAVER = "e2"
OTHERS = ["e1", "e3", "e4"]
END_LIMIT_S = 30.0


def session(seed, scenario):
    """Runs a scenario on a fresh fleet; returns violations and its result."""

    async def main():
        flt = fleet.Fleet(seed, instances=4)
        await flt.start()
        clients = callers.Callers(flt)
        orders = senders.Senders(flt)
        result = await scenario(flt, clients, orders)
        await flt.record_held_memory()
        clients.record()
        orders.record()
        found = flt.violations()
        await flt.close()
        return found, result

    return fleet.run(main())


async def no_fault(flt):
    """Injects no fault during the drain."""


async def platform_down(flt):
    flt.store.down = True
    await asyncio.sleep(8)
    flt.store.down = False


async def another_dies(flt):
    await asyncio.sleep(1)
    await flt.kill("e4")


async def another_leaves(flt):
    await asyncio.sleep(1)
    flt.leave("e3")


async def second_signal(flt):
    await asyncio.sleep(0.5)
    flt.node(LEAVER).drain.begin("again")


async def wait_ended_and_kill(flt):
    """Waits for the end of the drain, then kills the instance.

    Returns the number of requests still in progress at the end.
    """
    node = flt.node(LEAVER)
    await asyncio.wait_for(node.drain.wait_ended(), END_LIMIT_S)
    in_progress_at_end = node.drain.in_progress
    await flt.kill(LEAVER)
    return in_progress_at_end


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(
    "beside",
    [no_fault, platform_down, another_dies, another_leaves, second_signal],
)
def test_leaving_cuts_nothing_off(seed, beside):
    async def scenario(flt, clients, orders):
        jobs = [
            asyncio.ensure_future(
                clients.generate([LEAVER, *OTHERS], max_tokens=120)
            )
            for _ in range(8)
        ]
        keys = [orders.new_key() for _ in range(4)]
        for core in flt.services.values():
            core.faults.latency_s = 1.0
        await asyncio.sleep(0.5)
        calls = [orders.send(key, LEAVER) for key in keys]
        fault = asyncio.ensure_future(beside(flt))
        flt.leave(LEAVER)
        in_progress_at_end = await wait_ended_and_kill(flt)
        await fault
        answers = await asyncio.gather(*jobs)
        return in_progress_at_end, answers, calls

    found, (in_progress_at_end, answers, calls) = session(seed, scenario)
    assert found == []
    assert in_progress_at_end == 0
    assert [answer.done for answer in answers] == [True] * 8
    assert all(call.finished.is_set() and not call.broken for call in calls)
    if beside is not platform_down:
        assert all(call.reply is not None for call in calls)


@pytest.mark.parametrize("seed", SEEDS)
def test_leaver_refuses_new_work_and_names_others(seed):
    async def scenario(flt, clients, orders):
        node = flt.node(LEAVER)
        flt.leave(LEAVER)
        keep = callers.Answer(clients.new_id())
        conn = clients.open(keep, LEAVER, max_tokens=200)
        await asyncio.sleep(0.2)
        urls = {
            each.url
            for name in flt.names
            for each in flt.node(name).entry_answer("w").instances
        }
        await asyncio.sleep(0.8)
        early = await orders.send_and_wait(orders.new_key(), LEAVER)
        await asyncio.sleep(2.1)
        late = await orders.send_and_wait(orders.new_key(), LEAVER)
        assert node.drain.phase is drain.Phase.REFUSING
        await clients.read(keep, conn)
        await wait_ended_and_kill(flt)
        return urls, early, late, keep.done

    found, (urls, early, late, is_done) = session(seed, scenario)
    assert found == []
    assert f"http://{LEAVER}" not in urls
    assert early.reply is not None
    assert (late.refusal.error.code, late.refusal.ran.value) == (
        "instance_leaving",
        "no",
    )
    assert late.refusal.instances
    assert f"http://{LEAVER}" not in late.refusal.instances
    assert is_done


@pytest.mark.parametrize("seed", SEEDS)
def test_outcomes_delayed_by_an_outage_are_stored_before_the_end(seed):
    async def scenario(flt, clients, orders):
        key = orders.new_key()
        for core in flt.services.values():
            core.faults.latency_s = 0.5
        call = orders.send(key, LEAVER)
        while not any(c.executions for c in flt.services.values()):
            await asyncio.sleep(0.001)
        flt.store.down = True
        flt.leave(LEAVER)
        await asyncio.sleep(6)
        is_over = flt.node(LEAVER).drain.phase is drain.Phase.ENDED
        flt.store.down = False
        await wait_ended_and_kill(flt)
        return is_over, call, await orders.send_and_wait(key, "e1")

    found, (is_over, call, repeat) = session(seed, scenario)
    assert found == []
    assert not is_over
    assert repeat.reply.body == call.reply.body
