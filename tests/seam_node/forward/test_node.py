"""Tests of an instance's life cycle, configuration and stage orders."""

import asyncio

import pytest

from seam_node.forward.placement import stages
from seam_policy import time_bounds
from standins import forward_endpoint
from standins import forward_heartbeats
from standins import forward_world


def test_a_new_route_is_served_without_restart():
    async def scenario(world):
        await world.endpoint("e-1")
        routes_with_new_one = [
            *forward_world.DEFAULT_ROUTES,
            forward_world.route("added", "idempotent", forward_world.CALLS),
        ]
        assert (await world.request("/added/x")).status == 404
        world.store.put(
            "config",
            "main",
            forward_world.configuration(3, routes_with_new_one),
        )
        await world.until(lambda: world.node.routes.table.version == 3)
        assert (await world.request("/added/x")).status == 200

    forward_world.run_scenario(scenario)


def test_body_limit_of_the_configuration_is_enforced():
    async def scenario(world):
        endpoint = await world.endpoint("e-1")
        plain = forward_world.configuration(3, forward_world.DEFAULT_ROUTES)
        plain["limits"]["max_body_bytes"] = 1000
        world.store.put("config", "main", plain)
        await world.until(lambda: world.node.routes.table.version == 3)
        assert (await world.request("/write/x", body=b"x" * 1000)).status == 200
        caller = await world.connect()
        caller.send("/write/x", body=b"x" * 1001)
        refused = await caller.reader.read()
        assert refused.startswith(b"HTTP/1.1 4")
        assert len(endpoint.ran) == 1

    forward_world.run_scenario(scenario)


def test_older_and_unreadable_configurations_are_ignored():
    async def scenario(world):
        routes = forward_world.DEFAULT_ROUTES
        world.store.put(
            "config", "main", forward_world.configuration(9, routes)
        )
        await world.until(lambda: world.node.routes.table.version == 9)
        world.store.put("config", "main", forward_world.configuration(2, []))
        world.store.put("config", "main", {"version": "odd"})
        await world.until(lambda: world.logged("routes_unreadable"))
        assert world.node.routes.table.version == 9

    forward_world.run_scenario(scenario)


def test_an_instance_behind_its_peers_refuses_no_route_as_unknown():
    """It started from a copy of the store that lacks the newest version."""

    async def scenario(world):
        assert (await world.request("/added/x")).status == 404
        newer = forward_heartbeats.make_heartbeat("two", routes_version=99)
        world.node.peers.receive(newer)
        response = await world.request("/added/x")
        assert response.status == 503
        assert (await world.request("/calls/x")).status != 404

    forward_world.run_scenario(scenario)


def test_unknown_routes_get_503_while_the_store_is_unreachable(monkeypatch):
    monkeypatch.setattr(time_bounds, "up_to_date_s", lambda watch_wait_s: 0.0)

    async def scenario(world):
        await world.endpoint("e-1")
        world.store.status = 503
        response = await world.request("/nowhere/x")
        assert response.status == 503
        assert (await world.request("/write/x")).status == 200

    forward_world.run_scenario(scenario)


def test_leaving_finishes_running_requests_and_stops_advertising():
    async def scenario(world):
        may_answer = asyncio.Event()

        async def slow(endpoint, received, writer):
            await may_answer.wait()
            writer.write(forward_endpoint.answer(received))

        endpoint = await world.endpoint("e-1", reply=slow)
        caller = await world.connect()
        caller.send("/write/x")
        await world.until(lambda: endpoint.received)
        leaving = asyncio.ensure_future(world.node.leave())
        await world.until(lambda: world.node.not_ready() is not None)
        assert world.node.entry_answer("here").addresses == ()
        may_answer.set()
        response = await caller.read()
        assert (response.status, response.body) == (200, b"done")
        late_answer = await world.request("/write/x", deadline_ms=500)
        assert late_answer.status == 200
        assert late_answer.headers["connection"] == "close"
        await leaving
        assert world.store.objects["sycamoreseam-instances"] == {}

    forward_world.run_scenario(scenario)


def test_a_leaving_instance_refuses_requests_it_could_not_finish():
    """Guards against streams that are cut off at the end of the grace period.

    A long stream that starts late in the grace period cannot finish in time.
    """

    async def scenario(world):
        prefill, decode = await world.engines()
        endpoint = await world.endpoint("e-1")
        caller, other = await world.connect(), await world.connect()
        assert (await caller.request_model()).status == 200
        assert (await other.request("/write/x", deadline_ms=500)).status == 200
        leaving = asyncio.ensure_future(world.node.leave())
        await world.until(lambda: world.node.not_ready() is not None)
        caller.send("/draft/2", Model="m", Token_Count="100,9000")
        response = await caller.read()
        assert response.status == 503
        assert float(response.headers["retry-after"]) < 0.1
        assert response.headers["connection"] == "close"
        assert len(prefill.received) == len(decode.ran) == 1
        assert (await other.request("/write/x", deadline_ms=500)).status == 200
        assert len(endpoint.ran) == 2
        await leaving

    forward_world.run_scenario(scenario)


def test_a_new_incarnation_replaces_the_old_one():
    async def scenario(world):
        endpoint = await world.endpoint("e-1")
        await world.request("/write/x")
        before = world.node.endpoints.usable("calls")[0]
        assert world.node.stats.call(before).in_progress == 0
        spec = endpoint.entry("calls", born=2000)
        world.store.put("servers", "e-1", spec)
        await world.until(
            lambda: world.node.endpoints.usable("calls")[0].started_ms == 2000
        )
        assert not world.node.endpoints.still_usable(before.key)

    forward_world.run_scenario(scenario)


def test_an_idle_engine_is_ordered_to_the_understaffed_stage():
    async def scenario(world):
        for number in range(3):
            await world.engine(f"prefill-{number}", "prefill")
        decode = [
            await world.engine(f"decode-{number}", "decode")
            for number in range(3)
        ]
        await world.until(lambda: world.logged("stage_ordered"))
        ordered = world.logged("stage_ordered")[0]
        assert (ordered["stage"], ordered["outcome"]) == ("decode", "ok")
        assert ordered["endpoint"].startswith("prefill")
        assert all(engine.orders == [] for engine in decode)
        stored = world.store.objects["sycamoreseam-objects"]
        assert "leases-stages" in stored

    forward_world.run_scenario(scenario)


def test_the_last_engine_is_ordered_to_decode():
    """Guards against a service that is left with a prefill engine alone.

    All other engines were removed, and a prefill engine cannot serve callers.
    """

    async def scenario(world):
        last = await world.engine("prefill-0", "prefill")
        await world.until(lambda: last.orders)
        assert last.orders[0]["stage"] == "decode"

    forward_world.run_scenario(scenario)


async def ordered_engine(world):
    """Starts too many prefill engines; returns the one that got an order."""
    engines = [
        await world.engine(f"prefill-{number}", "prefill")
        for number in range(3)
    ]
    await world.engine("decode-0", "decode")
    await world.until(lambda: any(each.orders for each in engines))
    return next(each for each in engines if each.orders)


def test_the_next_order_is_sent_once_the_previous_is_accepted():
    """Guards against slow rebalancing with far too many prefill engines."""

    async def scenario(world):
        engines = [
            await world.engine(f"prefill-{number}", "prefill")
            for number in range(5)
        ]
        await world.engine("decode-0", "decode")
        await world.until(lambda: sum(len(e.orders) for e in engines) == 3)
        assert all(len(engine.orders) <= 1 for engine in engines)

    forward_world.run_scenario(scenario)


def test_an_unanswered_order_delays_the_next_one():
    async def scenario(world):
        async def ignore_orders(endpoint, received, writer):
            if received.target.startswith("/sycamoreseam/order"):
                endpoint.orders.append(received.body)
                await asyncio.sleep(forward_world.WAIT_S)
            else:
                await forward_endpoint.reply_engine(endpoint, received, writer)

        engines = [
            await world.endpoint(
                f"prefill-{number}",
                forward_world.ENGINES,
                ignore_orders,
                "prefill",
            )
            for number in range(5)
        ]
        await world.engine("decode-0", "decode")
        await world.until(lambda: world.logged("stage_ordered"))
        await asyncio.sleep(3 * stages.CHECK_INTERVAL_S)
        assert sum(len(engine.orders) for engine in engines) == 1

    forward_world.run_scenario(scenario)


def answers_orders_with(status):
    """Returns a reply of an engine that keeps an order and fails to say so."""

    async def reply(endpoint, received, writer):
        if received.target.startswith("/sycamoreseam/order"):
            endpoint.orders.append(received.body)
            writer.write(forward_endpoint.answer(received, b"", status))
            return
        await forward_endpoint.reply_engine(endpoint, received, writer)

    return reply


@pytest.mark.parametrize(
    ("status", "left_alone"),
    [("500 Error", True), ("503 Unavailable", True), ("409 Conflict", False)],
)
def test_engine_whose_order_has_failed_unclearly_is_left_alone(
    status, left_alone
):
    # It was given requests again although it may still change its stage.
    async def scenario(world):
        for number in range(5):
            await world.endpoint(
                f"prefill-{number}",
                forward_world.ENGINES,
                answers_orders_with(status),
                "prefill",
            )
        await world.engine("decode-0", "decode")
        await world.until(lambda: world.logged("stage_ordered"))
        (ordered,) = world.logged("stage_ordered")
        excluded = world.node.stats.excluded(world.node.ports.clock.monotonic())
        names = {key.partition("/")[0] for key in excluded}
        assert (ordered["endpoint"] in names) is left_alone

    forward_world.run_scenario(scenario)


def test_an_order_carries_fencing_token_and_precondition():
    async def scenario(world):
        ordered = await ordered_engine(world)
        assert ordered.orders[0] == {
            "opcode": "stage",
            "stage": "decode",
            "holder": "one",
            "fencing_token": 1,
            "precondition": 0,
        }

    forward_world.run_scenario(scenario)


def test_an_engine_under_an_order_gets_no_new_requests():
    async def scenario(world):
        ordered = await ordered_engine(world)
        before = len(ordered.received)
        for _ in range(6):
            caller = await world.connect()
            assert (await caller.request_model()).status == 200
            caller.close()
        assert len(ordered.received) == before

    forward_world.run_scenario(scenario)


def test_a_resumed_instance_lists_the_store_again():
    async def scenario(world):
        await world.endpoint("e-1")
        before = len(world.store.calls)
        world.node._on_resume(4.0)
        await world.until(
            lambda: any(
                call.endswith("/objects/servers")
                for call in world.store.calls[before:]
            )
        )
        assert (await world.request("/write/x")).status == 200

    forward_world.run_scenario(scenario)
