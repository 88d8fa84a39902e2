"""Endpoints that say in their answers that they leave.

Guards against requests that reach an endpoint until it ends, as the store has
not told that it leaves.
"""

import asyncio

import pytest

from standins import forward_endpoint
from standins import forward_world

LEAVING = {"Server-Leaving": "1"}


def is_in_use(world, endpoint, service):
    usable = world.node.endpoints.usable(service)
    return endpoint.id in {each.id for each in usable}


def count_work(endpoint):
    """Returns how many calls an endpoint got that give it work."""
    return sum(each.method != "DELETE" for each in endpoint.received)


async def until_unused(world, endpoint, service):
    await world.until(lambda: not is_in_use(world, endpoint, service))


async def refuse(endpoint, received, writer):
    writer.write(forward_endpoint.refusal(received))


async def fail(endpoint, received, writer):
    writer.write(forward_endpoint.answer(received, b"", "500 Oops"))


async def answer_unframed(endpoint, received, writer):
    whole = forward_endpoint.answer(received)
    writer.write(whole.replace(b"Content-Length: 4\r\n", b""))
    await writer.drain()
    writer.close()


async def answer_in_chunks(endpoint, received, writer):
    whole = forward_endpoint.answer(received)
    head = whole.replace(
        b"Content-Length: 4\r\n", b"Transfer-Encoding: chunked\r\n"
    )
    head = head[: head.index(b"\r\n\r\n") + 4]
    writer.write(head)
    writer.write(forward_endpoint.chunk(b"done") + b"0\r\n\r\n")


@pytest.mark.parametrize(
    "reply",
    [
        forward_endpoint.reply_whole,
        refuse,
        fail,
        answer_unframed,
        answer_in_chunks,
    ],
)
def test_plain_endpoint_that_says_it_leaves_gets_no_further_call(reply):
    async def scenario(world):
        leaving = await world.endpoint("e-1", reply=reply)
        leaving.fields = LEAVING
        await world.request("/write/x")
        await until_unused(world, leaving, forward_world.CALLS)
        other = await world.endpoint("e-2")
        before = count_work(leaving)
        for _ in range(6):
            assert (await world.request("/write/x")).status == 200
        assert (count_work(leaving), len(other.ran)) == (before, 6)
        assert len(world.logged("endpoint_leaving")) == 1

    forward_world.run_scenario(scenario)


@pytest.mark.parametrize("stage", ["prefill", "decode"])
def test_engine_that_says_it_leaves_gets_no_further_work(stage):
    async def scenario(world):
        prefill, decode = await world.engines()
        leaving = prefill if stage == "prefill" else decode

        async def say_at_work(endpoint, received, writer):
            if "hold" not in received.target:
                endpoint.fields.update(LEAVING)
            await forward_endpoint.reply_engine(endpoint, received, writer)

        leaving.reply = say_at_work
        caller = await world.connect()
        response = await caller.request_model()
        # What runs there ends in peace.
        assert (response.status, response.complete) == (200, True)
        await until_unused(world, leaving, forward_world.ENGINES)
        before = count_work(leaving)
        other = await world.engine(f"{stage}-2", stage)
        for _ in range(4):
            assert (await caller.request_model()).status == 200
        assert count_work(leaving) == before
        assert count_work(other) >= 4

    forward_world.run_scenario(scenario)


def test_engine_that_says_so_as_it_holds_a_place_gets_no_request():
    """The request that the place was held for is placed anew."""

    async def scenario(world):
        _, decode = await world.engines()
        other = await world.engine("decode-2", "decode")
        decode.fields = other.fields = {}
        first_asked = []

        async def say_at_first_hold(endpoint, received, writer):
            is_hold = received.target.startswith("/sycamoreseam/hold-take")
            if is_hold and not first_asked:
                first_asked.append(endpoint)
                endpoint.fields.update(LEAVING)
            await forward_endpoint.reply_engine(endpoint, received, writer)

        decode.reply = other.reply = say_at_first_hold
        decode.fields, other.fields = {}, {}
        caller = await world.connect()
        response = await caller.request_model()
        assert (response.status, response.complete) == (200, True)
        assert first_asked[0].ran == []

    forward_world.run_scenario(scenario)


@pytest.mark.parametrize("call", ["report", "order"])
def test_engine_that_says_so_to_a_call_of_ours_is_not_used(call):
    async def scenario(world):
        engines = [
            await world.engine(f"prefill-{number}", "prefill")
            for number in range(4)
        ]
        asked = []

        async def say_once(endpoint, received, writer):
            if call in received.target:
                asked.append(endpoint)
                endpoint.fields.update(LEAVING)
            await forward_endpoint.reply_engine(endpoint, received, writer)

        for each in engines:
            each.reply = say_once
        await world.until(lambda: asked)
        await until_unused(world, asked[0], forward_world.ENGINES)

    forward_world.run_scenario(scenario)


def test_older_listing_does_not_undo_the_sign_but_a_new_incarnation_does():
    async def scenario(world):
        leaving = await world.endpoint("e-1")
        leaving.fields = LEAVING
        await world.request("/write/x")
        await until_unused(world, leaving, forward_world.CALLS)
        # It stays ready in the store, changes, goes away and is back.
        for changes in ({"slots": 5}, {"slots": 6}):
            spec = leaving.entry(forward_world.CALLS, **changes)
            world.store.put("servers", "e-1", spec)
            await asyncio.sleep(0.2)
            assert not is_in_use(world, leaving, forward_world.CALLS)
        spec = world.store.remove_and_return_spec("servers", "e-1")
        await asyncio.sleep(0.2)
        world.store.put("servers", "e-1", spec)
        await world.node._read_anew()
        await asyncio.sleep(0.3)
        assert not is_in_use(world, leaving, forward_world.CALLS)
        # A process that starts at the same name and address is another one.
        leaving.fields = {}
        spec = leaving.entry(forward_world.CALLS, born=2000)
        world.store.put("servers", "e-1", spec)
        await world.until(
            lambda: is_in_use(world, leaving, forward_world.CALLS)
        )
        assert (await world.request("/write/x")).status == 200

    forward_world.run_scenario(scenario)


@pytest.mark.parametrize("value", ["0", "", "yes", "11"])
def test_other_values_are_no_sign(value):
    async def scenario(world):
        endpoint = await world.endpoint("e-1")
        endpoint.fields = {"Server-Leaving": value}
        for _ in range(3):
            assert (await world.request("/write/x")).status == 200
        assert len(endpoint.ran) == 3

    forward_world.run_scenario(scenario)


def test_sign_of_another_incarnation_or_answer_is_not_believed():
    """Guards against shutting out a sound endpoint by a stale sign."""

    async def scenario(world):
        endpoint = await world.endpoint("e-1")

        async def send_stale_answer_first(endpoint, received, writer):
            stale = forward_endpoint.ReceivedRequest(
                "POST", "/", {"request-id": "older"}, b""
            )
            answer = forward_endpoint.answer(stale, Server_Leaving="1")
            writer.write(answer)
            await forward_endpoint.reply_whole(endpoint, received, writer)

        endpoint.reply = send_stale_answer_first
        for _ in range(2):
            assert (await world.request("/write/x")).status == 200
        assert len(endpoint.ran) == 2
        # The address now belongs to another endpoint, which is leaving.
        endpoint.id = "e-other"
        endpoint.fields = LEAVING
        await world.request("/write/x")
        assert not world.logged("endpoint_leaving")

    forward_world.run_scenario(scenario)
