"""Endpoints that refuse with 503 and ask to be left alone for some time.

Guards against requests that reach such an endpoint meanwhile, and against
callers that are turned away though other endpoints are free.
"""

import asyncio
import itertools

import pytest

from standins import forward_endpoint
from standins import forward_world

PAUSE_S = 1.2


def asks_for_pause(concerns=lambda received: True, retry_after=str(PAUSE_S)):
    """Returns a reply that turns some calls away."""

    async def reply(endpoint, received, writer):
        if concerns(received):
            writer.write(
                forward_endpoint.refusal(received, Retry_After=retry_after)
            )
        elif endpoint.stage:
            await forward_endpoint.reply_engine(endpoint, received, writer)
        else:
            await forward_endpoint.reply_whole(endpoint, received, writer)

    return reply


def is_hold(received):
    return "hold-take" in received.target


def is_run(received):
    return received.target.startswith("/draft")


def is_prefill(received):
    return received.prefills


def set_reply(endpoint, reply, stage=""):
    endpoint.stage = stage
    endpoint.reply = reply


async def until_paused(world, endpoint):
    await world.until(
        lambda: (
            endpoint.id
            in {
                key.rpartition("/")[0] for key in world.node.available.pausing()
            }
        )
    )


def test_other_endpoints_get_the_calls_during_a_pause_and_all_after_it():
    async def scenario(world):
        pausing = await world.endpoint("e-1")
        set_reply(pausing, asks_for_pause())
        caller = await world.connect()
        refused = await caller.request("/write/x")
        assert refused.status == 503
        other = await world.endpoint("e-2")
        for _ in range(20):
            response = await caller.request("/write/x")
            assert response.status == 200
        assert (len(pausing.received), len(other.ran)) == (1, 20)
        set_reply(pausing, forward_endpoint.reply_whole)
        await asyncio.sleep(PAUSE_S)
        await asyncio.gather(*(world.request("/write/x") for _ in range(12)))
        assert len(pausing.ran) > 0
        # A pause is no failure, so the endpoint is not avoided after it.
        record = world.node.stats.existing_call("e-1/1000")
        assert record.failure_share(world.node._now()) == 0.0
        assert len(world.logged("endpoint_pausing")) == 1

    forward_world.run_scenario(scenario)


def test_refused_call_goes_to_another_endpoint_at_once():
    async def scenario(world):
        pausing = await world.endpoint("e-1")
        set_reply(pausing, asks_for_pause())
        other = await world.endpoint("e-2")
        for _ in range(10):
            assert (await world.request("/read/x")).status == 200
        assert len(pausing.received) <= 1
        assert len(other.ran) == 10

    forward_world.run_scenario(scenario)


@pytest.mark.parametrize("concerns", [is_hold, is_run, is_prefill])
def test_engine_gets_nothing_during_its_pause(concerns):
    async def scenario(world):
        prefill, decode = await world.engines()
        stage = "prefill" if concerns is is_prefill else "decode"
        pausing = prefill if stage == "prefill" else decode
        set_reply(pausing, asks_for_pause(concerns), stage)
        caller = await world.connect()
        await caller.request_model()
        await until_paused(world, pausing)
        at_pause = len(pausing.received)
        other = await world.engine(f"{stage}-2", stage)
        for _ in range(6):
            response = await caller.request_model()
            assert (response.status, response.complete) == (200, True)
        assert len(pausing.received) == at_pause
        assert len(other.received) >= 6

    forward_world.run_scenario(scenario)


def test_request_whose_hold_is_turned_away_is_placed_at_another_engine():
    async def scenario(world):
        _, first = await world.engines()
        second = await world.engine("decode-2", "decode")
        reply = asks_for_pause(is_hold)
        set_reply(first, reply, "decode")
        for _ in range(4):
            caller = await world.connect()
            response = await caller.request_model()
            assert (response.status, response.complete) == (200, True)
            caller.close()
        assert len(second.ran) == 4
        assert len(first.received) <= 1

    forward_world.run_scenario(scenario)


@pytest.mark.parametrize("model", [True, False])
def test_callers_come_back_one_by_one_when_the_first_pause_is_over(model):
    async def scenario(world):
        if model:
            endpoints = [
                await world.engine(f"decode-{number}", "decode")
                for number in range(2)
            ]
        else:
            endpoints = [await world.endpoint(f"e-{n}") for n in range(2)]
        stage = "decode" if model else ""
        for endpoint, pause_s in zip(endpoints, ("3", "1.2"), strict=True):
            reply = asks_for_pause(retry_after=pause_s)
            set_reply(endpoint, reply, stage)
        loop = asyncio.get_running_loop()
        caller = await world.connect()

        async def ask():
            if model:
                return await caller.request_model()
            return await caller.request("/write/x")

        while len(world.node.available.pausing()) < 2:
            await ask()
        times = []
        for _ in range(10):
            started = loop.time()
            response = await ask()
            assert response.status == 503
            assert loop.time() - started < 0.2
            times.append(loop.time() + float(response.headers["retry-after"]))
        due = [
            world.node.available.pause_left_s(f"{e.id}/1000") for e in endpoints
        ]
        first_due_at = loop.time() + min(due)
        assert min(times) >= first_due_at - 0.05
        assert max(times) < first_due_at + 1.0
        gaps = [b - a for a, b in itertools.pairwise(times)]
        assert min(gaps) > 0.005
        assert sum(len(each.received) for each in endpoints) <= 4

    forward_world.run_scenario(scenario)


@pytest.mark.parametrize(
    "value",
    [
        "",
        "-1",
        "nan",
        "inf",
        "1e9",
        "soon",
        "Wed, 21 Oct 2026 07:28:00 GMT",
        "0",
    ],
)
def test_values_that_ask_for_no_pause(value):
    async def scenario(world):
        endpoint = await world.endpoint("e-1")
        set_reply(endpoint, asks_for_pause(retry_after=value))
        for _ in range(3):
            assert (await world.request("/write/x")).status == 503
        assert len(endpoint.received) == 3
        assert not world.node.available.pausing()

    forward_world.run_scenario(scenario)


def test_later_ask_replaces_an_earlier_one():
    """A longer, a shorter and none at all, from answers on their way."""

    async def scenario(world):
        endpoint = await world.endpoint("e-1")
        may_answer = [asyncio.Event() for _ in range(3)]
        values = ["20", "0.4", "30"]

        async def refuse_in_turn(endpoint, received, writer):
            number = len(endpoint.received) - 1
            await may_answer[number].wait()
            writer.write(
                forward_endpoint.refusal(received, Retry_After=values[number])
            )

        endpoint.reply = refuse_in_turn
        callers = [await world.connect() for _ in values]
        for number, caller in enumerate(callers):
            caller.send("/write/x")
            await world.until(lambda n=number: len(endpoint.received) > n)
        left = []
        for number, caller in enumerate(callers):
            may_answer[number].set()
            await caller.read()
            left.append(world.node.available.pause_left_s("e-1/1000"))
        assert 19 < left[0] <= 20
        assert left[1] <= 0.4
        assert 29 < left[2] <= 30

    forward_world.run_scenario(scenario)


def test_endpoint_that_starts_anew_does_not_pause():
    async def scenario(world):
        endpoint = await world.endpoint("e-1")
        set_reply(endpoint, asks_for_pause(retry_after="20"))
        await world.request("/write/x")
        set_reply(endpoint, forward_endpoint.reply_whole)
        spec = endpoint.entry(forward_world.CALLS, born=2000)
        world.store.put("servers", "e-1", spec)
        await world.until(lambda: world.node.endpoints.still_usable("e-1/2000"))
        assert (await world.request("/write/x")).status == 200

    forward_world.run_scenario(scenario)
