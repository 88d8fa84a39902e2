"""Tests of one run per request: resume, takeover, duplicate arrivals."""

import asyncio

import pytest

from proofs import callers
from proofs import fleet
from seam_model import ids
from seam_node.controllers import membership
from seam_node.controllers import mirror

LONG_TOKENS = 1200
TOKENS = 40


@pytest.mark.parametrize("seed", fleet.seeds(2))
def test_answer_is_whole_after_a_connection_went_silent(seed):
    async def scenario(flt, clients):
        answers = await asyncio.gather(
            *(
                clients.generate(
                    flt.names[n % 3 : n % 3 + 3], silent_after=lost
                )
                for n, lost in enumerate((0, 1, 20, TOKENS - 1, TOKENS))
            )
        )
        await flt.record_held_memory()
        return (
            answers,
            callers.used_capacity(flt),
            callers.remaining_grants(flt),
        )

    found, (answers, used, books) = callers.session(seed, scenario)
    assert not callers.incomplete(answers)
    assert not found
    assert not used
    assert not books


@pytest.mark.parametrize("seed", fleet.seeds(3))
def test_arrivals_in_the_same_instant_have_one_run(seed):
    """Keeps both connections open, so that a second relay is detected."""

    async def scenario(flt, clients):
        answers = []
        for delay_s in (0.0, 0.001, 0.01, 0.05, 0.5):
            answer = callers.Answer(clients.new_id())
            answers.append(answer)
            for name in flt.rng.sample(flt.names, 3):
                clients.open(answer, name, max_tokens=TOKENS)
                await asyncio.sleep(delay_s)
        await asyncio.sleep(4.0)
        for answer in answers:
            if not any(c.answered() for c in answer.connections):
                await clients.generate(flt.names, answer)
        await flt.record_held_memory()
        return answers, callers.used_capacity(flt)

    found, (answers, used) = callers.session(seed, scenario)
    assert not found
    assert not used
    for answer in answers:
        assert sum(conn.answered() for conn in answer.connections) == 1


@pytest.mark.parametrize("seed", fleet.seeds(3))
def test_arrivals_during_a_takeover_have_one_run(seed):
    async def scenario(flt, clients):
        answer = callers.Answer(clients.new_id())
        conn = clients.open(answer, flt.names[0], max_tokens=200)
        await clients.read(answer, conn, 20)
        for n in range(1, 5):
            clients.open(answer, flt.names[n], True, max_tokens=200)
            await asyncio.sleep(flt.rng.choice((0.0, 0.002, 0.01)))
        await asyncio.sleep(1.0)
        relays = [conn.end is None for conn in answer.connections]
        if any(relays):
            await asyncio.sleep(7.0)
        if not any(conn.answered() for conn in answer.connections):
            await clients.generate(flt.names, answer, max_tokens=200)
        await flt.record_held_memory()
        return answer, callers.used_capacity(flt)

    found, (answer, used) = callers.session(seed, scenario)
    assert not found
    assert not used
    assert sum(conn.answered() for conn in answer.connections) == 1


@pytest.mark.parametrize("seed", fleet.seeds(2))
@pytest.mark.parametrize("also", [None, "kill", "freeze"])
def test_cut_instances_that_reach_callers_and_engines(seed, also):
    """Sends each id to both sides; at most one may start or relay it."""

    async def scenario(flt, clients):
        side, others = flt.names[:2], flt.names[2:]
        flt.partition(*side)
        answers = [callers.Answer(clients.new_id()) for _ in range(6)]
        for n, answer in enumerate(answers):
            clients.open(answer, side[n % 2], max_tokens=TOKENS)
            clients.open(answer, others[n % 3], max_tokens=TOKENS)
        if also == "kill":
            await flt.kill(others[0])
        if also == "freeze":
            flt.freeze(others[0])
        await asyncio.sleep(8.0)
        flt.links.heal()
        if also == "freeze":
            flt.thaw(others[0])
        await asyncio.sleep(4.0)
        for answer in answers:
            if not any(c.answered() for c in answer.connections):
                await clients.generate(others[1:], answer)
        await asyncio.sleep(12.0)
        await flt.record_held_memory()
        return answers, callers.used_capacity(flt)

    found, (answers, used) = callers.session(seed, scenario)
    assert not found
    assert not used
    for answer in answers:
        assert any(c.answered() for c in answer.connections)


@pytest.mark.parametrize("seed", fleet.seeds(3))
def test_thawed_instance_sends_nothing_of_a_run_taken_over(seed):
    async def scenario(flt, clients):
        name, *others = flt.rng.sample(flt.names, 5)
        answers = [callers.Answer(clients.new_id()) for _ in range(4)]
        for answer in answers:
            conn = clients.open(answer, name, max_tokens=400)
            await clients.read(answer, conn, 10 + flt.rng.randint(0, 9))
            conn.close_lost = True
        flt.freeze(name)
        resumed = [
            asyncio.ensure_future(
                clients.generate(others, answer, max_tokens=400)
            )
            for answer in answers
        ]
        await asyncio.sleep(6.0 + flt.rng.random())
        flt.thaw(name)
        await asyncio.gather(*resumed)
        await flt.record_held_memory()
        return answers, callers.used_capacity(flt)

    found, (answers, used) = callers.session(seed, scenario)
    assert not callers.incomplete(answers)
    assert not found
    assert not used


@pytest.mark.parametrize("seed", fleet.seeds(2))
@pytest.mark.parametrize("deaths", [1, 2])
def test_mirrors_cancel_what_a_dead_instance_left(seed, deaths):
    async def scenario(flt, clients):
        name = flt.rng.choice(flt.names)
        answers = []
        for _ in range(4):
            answer = callers.Answer(clients.new_id())
            answers.append(answer)
            clients.open(answer, name, max_tokens=4000)
        await asyncio.sleep(1.0)
        replicas = mirror.replica_names(
            ids.pack(answers[0].request_id),
            flt.node(name).members.view().listed,
        )
        await flt.kill(name)
        if deaths == 2:
            await flt.kill(next(n for n in replicas if n != name))
        for waited_s in range(40):
            if not callers.used_capacity(flt):
                return waited_s
            await asyncio.sleep(1.0)
        return 40

    found, waited_s = callers.session(seed, scenario)
    assert not found
    found_s = membership.DEAD_AFTER_S + membership.HEARTBEAT_S
    window_s = mirror.RESUME_WINDOW_S + mirror.SWEEP_S + 1.0
    assert waited_s <= found_s + window_s + deaths * mirror.CANCEL_STAGGER_S


@pytest.mark.parametrize("seed", fleet.seeds(2))
def test_long_cut_between_instances_ends_no_stream(seed):
    """Mirrors that lose the owner must not cancel a stream it still reads."""

    async def scenario(flt, clients):
        name = flt.rng.choice(flt.names)
        conns = [
            clients.open(
                callers.Answer(clients.new_id()),
                name,
                max_tokens=LONG_TOKENS,
                rank="other",
            )
            for _ in range(4)
        ]
        await asyncio.sleep(2.0)
        flt.partition(name)
        await asyncio.sleep(25.0)
        flt.links.heal()
        await asyncio.sleep(15.0)
        await flt.record_held_memory()
        return [conn.answered() for conn in conns], callers.used_capacity(flt)

    found, (answered, used) = callers.session(seed, scenario)
    assert all(answered)
    assert not found
    assert not used
