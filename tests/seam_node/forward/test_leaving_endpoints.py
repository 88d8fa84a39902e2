"""Endpoints that leave while a request waits to be sent to them."""

import asyncio

from standins import forward_endpoint
from standins import forward_world
from standins import placement_world

SLOW_S = 0.6


def drain(world, endpoint, service=forward_world.ENGINES, stage="decode"):
    spec = endpoint.entry(service, stage, state="draining", sequence=2)
    world.store.put("servers", endpoint.id, spec)


def is_known_to_leave(world, endpoint, service=forward_world.ENGINES):
    usable = world.node.endpoints.usable(service)
    return endpoint.id not in {each.id for each in usable}


async def prefill_slowly(endpoint, received, writer):
    if received.prefills:
        await asyncio.sleep(SLOW_S)
    await forward_endpoint.reply_engine(endpoint, received, writer)


async def hold_slowly(endpoint, received, writer):
    if received.target.startswith("/sycamoreseam/hold-take"):
        await asyncio.sleep(0.2)
    await forward_endpoint.reply_engine(endpoint, received, writer)


def test_engine_that_leaves_during_a_slow_prefill_gets_no_request():
    """Guards against streams that are cut off as their engine ends."""

    async def scenario(world):
        prefill, first = await world.engines()
        second = await world.engine("decode-2", "decode")
        prefill.reply = prefill_slowly
        caller = await world.connect()
        caller.send("/draft/1", Model="m", Token_Count="100,50")
        await world.until(lambda: prefill.received)
        held = first if first.holds else second
        other = second if held is first else first
        drain(world, held)
        await world.until(lambda: is_known_to_leave(world, held))
        response = await caller.read()
        assert (response.status, response.complete) == (200, True)
        assert (len(held.ran), len(other.ran)) == (0, 1)
        # The prompt is not prefilled again, and the hold is given back.
        assert len(prefill.received) == 1
        assert "kv-source" in other.ran[0].headers
        await world.until(lambda: "/sycamoreseam/hold-drop/h1" in held.released)

    forward_world.run_scenario(scenario)


def test_kv_cache_that_ended_during_a_second_hold_is_not_named():
    """Guards against refusals by an engine that fetches an ended KV cache."""

    async def scenario(world):
        changed = forward_world.configuration(2, forward_world.DEFAULT_ROUTES)
        changed["services"][1]["engine"]["handle_ttl_s"] = 0.2
        world.store.put("config", "main", changed)
        prefill, first = await world.engines()
        second = await world.engine("decode-2", "decode")
        prefill.reply = prefill_slowly
        caller = await world.connect()
        caller.send("/draft/1", Model="m", Token_Count="100,50")
        await world.until(lambda: prefill.received)
        held = first if first.holds else second
        other = second if held is first else first
        other.reply = hold_slowly
        drain(world, held)
        drain(world, prefill, stage="prefill")
        response = await caller.read()
        assert (response.status, response.complete) == (200, True)
        assert "kv-source" not in other.ran[0].headers
        await world.until(lambda: len(prefill.received) == 2)
        assert prefill.received[1].target == "/sycamoreseam/kv-handle/kv1"

    forward_world.run_scenario(scenario)


def test_prefill_engine_that_leaves_during_a_hold_gets_no_prompt():
    """Guards against prompts that are lost as their engine ends."""

    async def scenario(world):
        first, decode = await world.engines()
        second = await world.engine("prefill-2", "prefill")
        decode.reply = hold_slowly
        caller = await world.connect()
        caller.send("/draft/1", Model="m", Token_Count="100,50")
        await world.until(lambda: world.logged("decode_placed"))
        chosen = world.logged("decode_placed")[0]["prefill"]
        leaving = first if chosen.startswith(first.id) else second
        other = second if leaving is first else first
        drain(world, leaving, stage="prefill")
        await world.until(lambda: is_known_to_leave(world, leaving))
        response = await caller.read()
        assert (response.status, response.complete) == (200, True)
        assert (len(leaving.received), len(other.received)) == (0, 1)

    forward_world.run_scenario(scenario)


def test_endpoint_that_leaves_during_a_connect_gets_no_call(monkeypatch):
    """Guards against calls that are sent after the wait for a connection."""

    async def scenario(world):
        first = await world.endpoint("e-1")
        acquire = world.node._conns.acquire
        waiting, may_go_on = asyncio.Event(), asyncio.Event()

        async def acquire_late(*args):
            acquired = await acquire(*args)
            waiting.set()
            await may_go_on.wait()
            return acquired

        monkeypatch.setattr(world.node._conns, "acquire", acquire_late)
        caller = await world.connect()
        caller.send("/write/x")
        await waiting.wait()
        second = await world.endpoint("e-2")
        drain(world, first, forward_world.CALLS, "")
        await world.until(
            lambda: is_known_to_leave(world, first, forward_world.CALLS)
        )
        may_go_on.set()
        response = await caller.read()
        assert (response.status, response.body) == (200, b"done")
        assert (first.received, len(second.ran)) == ([], 1)

    forward_world.run_scenario(scenario)


def test_place_at_an_engine_that_the_placer_does_not_know_to_leave():
    """Guards against refusals though another engine is free."""

    async def scenario(world):
        asker = world.others[0]
        placed, _ = await asker.place("r-1")
        leaving = placed.ok.decode
        asker.placement.end(
            placed.ok.number,
            leaving.key,
            placement_world.messages.Outcome.SERVED,
        )
        asker.endpoints.remove(leaving.id)
        for number in range(6):
            placed, _ = await asker.place(f"r-{number}")
            assert placed.is_ok()
            assert placed.ok.decode.key != leaving.key

    placement_world.run(scenario)


def test_no_engine_but_one_that_leaves_is_refused_at_once():
    async def scenario(world):
        asker = world.others[0]
        asker.endpoints.remove("d-0")
        placed, _ = await asker.place()
        assert placed.error.code == "no_endpoint"

    placement_world.run(scenario, decode=1)
