"""Plain calls through a whole instance, by what callers and endpoints see."""

import asyncio

import pytest

from standins import forward_endpoint
from standins import forward_world


def replies(*planned):
    """Returns a reply that plays one planned answer after the other."""
    left = list(planned)

    async def reply(endpoint, seen, writer):
        step = left.pop(0) if left else forward_endpoint.reply_whole
        await step(endpoint, seen, writer)

    return reply


def raw(make, ran=True, close=False):
    """Returns a reply that sends the bytes that `make` returns."""

    async def reply(endpoint, seen, writer):
        if ran:
            endpoint.ran.append(seen)
        writer.write(make(seen))
        await writer.drain()
        if close:
            writer.close()

    return reply


def not_executed(seen):
    return forward_endpoint.answer(
        seen, b"", "503 Service Unavailable", Server_Seal="", Not_Executed="1"
    )


def cut_off(seen):
    return forward_endpoint.answer(seen, b"complete")[:-3]


def unsigned(seen):
    return forward_endpoint.answer(seen, Server_Seal="")


def encoded(seen):
    return forward_endpoint.answer(seen, Content_Encoding="gzip")


def foreign(seen):
    return forward_endpoint.answer(seen, b"foreign", Request_Id="other")


async def silent(endpoint, seen, writer):
    endpoint.ran.append(seen)
    await asyncio.sleep(30)


async def reset(endpoint, seen, writer):
    endpoint.ran.append(seen)
    writer.transport.abort()


def test_answer_is_passed_on_whole_and_unchanged():
    async def scenario(world):
        endpoint = await world.endpoint("e-1")
        got = await world.ask("/write/x?q=%2F", body=b"order")
        assert (got.status, got.body) == (200, b"done")
        assert got.headers["server-seal"] == "seal"
        seen = endpoint.seen[0]
        assert (seen.method, seen.target) == ("POST", "/write/x?q=%2F")
        assert seen.body == b"order"
        assert seen.headers["expect-instance"] == "e-1"
        assert 0 < int(seen.headers["deadline-ms"]) <= 5000
        assert seen.headers["host"] == forward_world.HOST

    forward_world.run_scenario(scenario)


def test_headers_that_are_ours_are_not_taken_from_callers():
    async def scenario(world):
        endpoint = await world.endpoint("e-1")
        await world.ask(
            "/write/x",
            Expect_Instance="e-9",
            Serving_Stage="prefill",
            Kv_Source="1.2.3.4:1/x",
            Kv_Hold="h",
            Pin_Ms="5",
            Kv_Backup="1.2.3.4:1",
            Request_Priority="0",
            Connection="X-Own",
            X_Own="1",
            X_Kept="2",
        )
        headers = endpoint.seen[0].headers
        assert headers["expect-instance"] == "e-1"
        for name in ("serving-stage", "kv-source", "kv-hold", "pin-ms"):
            assert name not in headers
        for name in ("kv-backup", "request-priority", "x-own", "connection"):
            assert name not in headers
        assert headers["x-kept"] == "2"

    forward_world.run_scenario(scenario)


@pytest.mark.parametrize("make", [unsigned, encoded, cut_off])
def test_answer_that_may_not_be_passed_on_promises_nothing(make):
    async def scenario(world):
        await world.endpoint("e-1", reply=raw(make, close=True))
        got = await world.ask("/write/x")
        assert got.status == 502
        assert "server-seal" not in got.headers

    forward_world.run_scenario(scenario)


@pytest.mark.parametrize("make", [unsigned, encoded, cut_off])
def test_idempotent_call_is_retried_elsewhere(make):
    async def scenario(world):
        bad = raw(make, close=True)
        first = await world.endpoint("e-1", reply=bad)
        second = await world.endpoint("e-2")
        got = await world.ask("/read/x")
        assert (got.status, got.body) == (200, b"done")
        assert len(first.ran) == len(second.ran) == 1
        assert not world.logged("request_failed")

    forward_world.run_scenario(scenario)


def test_refusal_says_not_run_only_if_so():
    async def scenario(world):
        endpoint = await world.endpoint(
            "e-1", reply=raw(not_executed, ran=False)
        )
        got = await world.ask("/write/x")
        assert got.status == 503
        assert float(got.headers["retry-after"]) > 0
        assert endpoint.ran == []

    forward_world.run_scenario(scenario)


@pytest.mark.parametrize("broken", [reset, silent])
def test_a_call_that_may_have_run_is_neither_repeated_nor_refused(broken):
    async def scenario(world):
        first = await world.endpoint("e-1", reply=broken)
        second = await world.endpoint("e-2", reply=broken)
        got = await world.ask("/write/x", deadline_ms=400)
        assert got.status in (502, 504)
        assert len(first.ran) + len(second.ran) == 1

    forward_world.run_scenario(scenario)


def test_bytes_after_an_answer_reach_nobody():
    def doubled(seen):
        return forward_endpoint.answer(seen) + forward_endpoint.answer(
            seen, b"again"
        )

    async def scenario(world):
        endpoint = await world.endpoint("e-1", reply=replies(raw(doubled)))
        caller = await world.connect()
        for _ in range(3):
            got = await caller.ask("/write/x")
            assert (got.status, got.body) == (200, b"done")
        assert endpoint.connections == 2
        caller.close()

    forward_world.run_scenario(scenario)


def test_late_answer_of_another_request_is_passed_over():
    async def late_then_own(endpoint, seen, writer):
        endpoint.ran.append(seen)
        writer.write(foreign(seen) + forward_endpoint.answer(seen, b"own"))

    async def scenario(world):
        await world.endpoint("e-1", reply=late_then_own)
        got = await world.ask("/write/x")
        assert got.body == b"own"

    forward_world.run_scenario(scenario)


def test_answer_that_ends_with_the_connection():
    def unframed(seen):
        return forward_endpoint.answer(seen, b"all of it", Content_Length="")

    async def scenario(world):
        await world.endpoint("e-1", reply=raw(unframed, close=True))
        got = await world.ask("/write/x")
        assert (got.status, got.body) == (200, b"all of it")

    forward_world.run_scenario(scenario)


def test_another_incarnation_at_the_address_does_not_run_it():
    async def scenario(world):
        stale = await world.endpoint("e-1")
        good = await world.endpoint("e-2")
        stale.id = "e-9"
        for _ in range(3):
            assert (await world.ask("/write/x")).status == 200
        assert stale.ran == []
        assert len(good.ran) == 3

    forward_world.run_scenario(scenario)


def test_endpoint_that_is_gone_costs_no_call():
    async def scenario(world):
        gone = await world.endpoint("e-1")
        await world.endpoint("e-2")
        await gone.close()
        for _ in range(3):
            assert (await world.ask("/write/x")).status == 200

    forward_world.run_scenario(scenario)


def test_failure_of_the_endpoint_is_passed_on_with_its_seal():
    async def scenario(world):
        await world.endpoint("e-1", reply=raw(failing))
        got = await world.ask("/write/x")
        assert (got.status, got.body) == (500, b"bad")
        assert got.headers["server-seal"] == "seal"

    forward_world.run_scenario(scenario)


def failing(seen):
    return forward_endpoint.answer(seen, b"bad", "500 Internal Error")


def test_idempotent_call_that_failed_at_an_endpoint_is_tried_elsewhere():
    async def scenario(world):
        first = await world.endpoint("e-1", reply=raw(failing))
        second = await world.endpoint("e-2")
        got = await world.ask("/read/x")
        assert (got.status, got.body) == (200, b"done")
        assert len(first.ran) == len(second.ran) == 1

    forward_world.run_scenario(scenario)


def test_failure_everywhere_is_passed_on_as_it_is():
    async def scenario(world):
        endpoints = [
            await world.endpoint(f"e-{number}", reply=raw(failing))
            for number in range(3)
        ]
        got = await world.ask("/read/x")
        assert (got.status, got.body) == (500, b"bad")
        assert got.headers["server-seal"] == "seal"
        assert sum(len(each.ran) for each in endpoints) == 2

    forward_world.run_scenario(scenario)


def test_failure_with_no_other_endpoint_is_passed_on():
    async def scenario(world):
        await world.endpoint("e-1", reply=raw(failing))
        got = await world.ask("/read/x")
        assert (got.status, got.body) == (500, b"bad")

    forward_world.run_scenario(scenario)


def test_repeats_stay_within_the_budget():
    async def scenario(world):
        endpoints = [
            await world.endpoint(f"e-{number}", reply=raw(failing))
            for number in range(2)
        ]
        requests = 60
        for _ in range(requests):
            assert (await world.ask("/read/x")).status == 500
        runs = sum(len(each.ran) for each in endpoints)
        retries = world.node.settings.retries
        allowed = retries.ratio * requests + retries.allowance
        assert requests < runs <= requests + allowed

    forward_world.run_scenario(scenario)


def test_draining_endpoint_gets_nothing_more():
    async def scenario(world):
        first = await world.endpoint("e-1")
        await world.endpoint("e-2")
        world.store.put(
            "servers", "e-1", first.entry("calls", state="draining")
        )
        await world.until(
            lambda: len(world.node.endpoints.usable("calls")) == 1
        )
        for _ in range(4):
            assert (await world.ask("/write/x")).status == 200
        assert first.ran == []

    forward_world.run_scenario(scenario)


def test_unreadable_announcement_names_no_endpoint():
    async def scenario(world):
        endpoint = await world.endpoint("e-1")
        for forged in ({"address": 7}, "text", {"state": "odd"}):
            world.store.put("servers", "e-2", forged)
        await world.until(lambda: world.logged("endpoint_unreadable"))
        assert (await world.ask("/write/x")).status == 200
        assert len(endpoint.ran) == 1

    forward_world.run_scenario(scenario)


def test_unknown_route_and_missing_id():
    async def scenario(world):
        await world.endpoint("e-1")
        assert (await world.ask("/nowhere/x")).status == 404
        assert (await world.ask("/write/x", host="other")).status == 404
        assert (await world.ask("/write/x", Request_Id="")).status == 400

    forward_world.run_scenario(scenario)


def test_caller_that_leaves_frees_the_endpoint():
    async def scenario(world):
        closed = asyncio.Event()

        async def work(endpoint, seen, writer):
            endpoint.ran.append(seen)
            await writer.wait_closed()
            closed.set()

        endpoint = await world.endpoint("e-1", reply=work)
        caller = await world.connect()
        caller.send("/read/x")
        await world.until(lambda: endpoint.ran)
        caller.close()
        async with asyncio.timeout(forward_world.WAIT_S):
            await world.until(lambda: not world.node.front.running)

    forward_world.run_scenario(scenario)


def test_request_smuggled_behind_two_lengths_does_not_run():
    async def scenario(world):
        endpoint = await world.endpoint("e-1")
        caller = await world.connect()
        caller.writer.write(
            b"POST /write/x HTTP/1.1\r\nHost: app.example\r\n"
            b"Request-Id: outer\r\nContent-Length: 4\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
            b"POST /write/y HTTP/1.1\r\nHost: app.example\r\n"
            b"Request-Id: inner\r\nContent-Length: 0\r\n\r\n"
        )
        await caller.reader.read()
        assert [seen.request_id for seen in endpoint.ran] in ([], ["outer"])

    forward_world.run_scenario(scenario)


def test_each_request_leaves_one_line():
    async def scenario(world):
        await world.endpoint("e-1")
        ids = []
        caller = await world.connect()
        for _ in range(3):
            ids.append(caller.send("/write/x"))
            await caller.read()
        lines = [each["request"] for each in world.logged("request_ended")]
        assert lines == ids
        caller.close()

    forward_world.run_scenario(scenario)


async def share_of_failures(world, deadline_ms, leave):
    """Lets one call wait in vain; returns the endpoint's failures."""
    endpoint = await world.endpoint("e-1", reply=silent)
    caller = await world.connect()
    caller.send("/write/x", deadline_ms=deadline_ms)
    await world.until(lambda: endpoint.ran)
    if leave:
        caller.close()
    await world.until(lambda: not world.node.front.running)
    known = world.node.endpoints.usable("calls")[0]
    return world.node.stats.call(known).failure_share(world.node._now())


def test_a_caller_that_leaves_early_blames_no_endpoint():
    async def scenario(world):
        assert await share_of_failures(world, 5000, leave=True) == 0

    forward_world.run_scenario(scenario)


def test_a_call_that_meets_its_deadline_blames_the_endpoint():
    async def scenario(world):
        assert await share_of_failures(world, 300, leave=False) > 0

    forward_world.run_scenario(scenario)
