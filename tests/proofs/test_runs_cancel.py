"""Tests that engines hold nothing for a caller that has left."""

import asyncio

import pytest

from proofs import callers
from proofs import fleet


def in_phase(flt, name, phase):
    """Returns whether the newest run of an instance is in a phase."""
    run = flt.node(name).runs.runs()[-1:]
    if not run:
        return False
    last = run[0].trace.steps[-1:]
    match phase:
        case "queue":
            books = [i.node.owner.ledgers() for i in flt.instances.values()]
            return any(b.waiting for book in books for b in book.values())
        case "prefill":
            return last and last[0].what.startswith("prefill")
        case "transfer":
            return run[0].engine and run[0].stream is None
    return run[0].stream is not None


def fill(flt, clients):
    """Occupies every decode slot of the fleet."""
    return [
        clients.open(
            callers.Answer(clients.new_id()),
            flt.names[n % 5],
            max_tokens=3000,
            first_token_s=2.0,
        )
        for n in range(80)
    ]


@pytest.mark.parametrize("seed", fleet.seeds(1))
@pytest.mark.parametrize("way", ["close", "delete", "delete_far", "deadline"])
@pytest.mark.parametrize("phase", ["queue", "prefill", "transfer", "decode"])
def test_nothing_is_held_for_a_caller_that_is_gone(seed, way, phase):
    async def scenario(flt, clients):
        name, far = flt.names[:2]
        fields = {"max_tokens": 2000, "prompt_tokens": 4000}
        fields["first_token_s"] = 200.0
        fillers = []
        if phase == "queue":
            fillers = fill(flt, clients)
            await asyncio.sleep(1.0)
        if way == "deadline":
            at_s = {"queue": 0.2, "prefill": 0.1, "transfer": 0.29}
            fields["deadline_s"] = at_s.get(phase, 0.6)
        answer = callers.Answer(clients.new_id())
        conn = clients.open(answer, name, **fields)
        await callers.until(lambda: in_phase(flt, name, phase))
        at = flt.node(far if way == "delete_far" else name)
        if way == "close":
            conn.close()
            await asyncio.sleep(5.0)
        elif way != "deadline":
            assert await flt.spawn(
                name, at.cancel(answer.request_id, fleet.WORKSPACE)
            )
        gone_at = asyncio.get_running_loop().time()
        await asyncio.sleep(1.0)
        for other in fillers:
            other.close()
        held = [
            stream
            for core in flt.engines.values()
            for stream in core.held()
            if stream.request_id == answer.request_id
        ]
        if fillers:
            await asyncio.sleep(6.0)
        else:
            await asyncio.sleep(0.5)
        late_s = conn.end_s - gone_at
        return (
            held,
            late_s,
            callers.used_capacity(flt),
            callers.remaining_grants(flt),
        )

    found, (held, late_s, used, books) = callers.session(seed, scenario)
    assert not found
    assert not held
    assert late_s <= 1.0
    assert not used
    assert not books
