"""End-to-end tests of plain calls through a complete instance."""

import asyncio

import pytest

from standins import forward_endpoint
from standins import forward_world


def reply_sequence(*steps):
    """Returns a reply that runs one step for each call, then the default."""
    remaining = list(steps)

    async def reply(endpoint, received, writer):
        step = remaining.pop(0) if remaining else forward_endpoint.reply_whole
        await step(endpoint, received, writer)

    return reply


def raw_reply(make_answer, ran=True, close=False):
    """Returns a reply that sends the bytes from `make_answer`."""

    async def reply(endpoint, received, writer):
        if ran:
            endpoint.ran.append(received)
        writer.write(make_answer(received))
        await writer.drain()
        if close:
            writer.close()

    return reply


def not_executed(received):
    return forward_endpoint.answer(
        received,
        b"",
        "503 Service Unavailable",
        Server_Seal="",
        Not_Executed="1",
    )


def truncated(received):
    return forward_endpoint.answer(received, b"complete")[:-3]


def unsigned(received):
    return forward_endpoint.answer(received, Server_Seal="")


def encoded(received):
    return forward_endpoint.answer(received, Content_Encoding="gzip")


def answer_for_other_request(received):
    return forward_endpoint.answer(received, b"foreign", Request_Id="other")


async def silent(endpoint, received, writer):
    endpoint.ran.append(received)
    await asyncio.sleep(30)


async def reset_connection(endpoint, received, writer):
    endpoint.ran.append(received)
    writer.transport.abort()


def test_answer_is_forwarded_complete_and_unchanged():
    async def scenario(world):
        endpoint = await world.endpoint("e-1")
        response = await world.request("/write/x?q=%2F", body=b"order")
        assert (response.status, response.body) == (200, b"done")
        assert response.headers["server-seal"] == "seal"
        received = endpoint.received[0]
        assert (received.method, received.target) == ("POST", "/write/x?q=%2F")
        assert received.body == b"order"
        assert received.headers["expect-instance"] == "e-1"
        assert 0 < int(received.headers["deadline-ms"]) <= 5000
        assert received.headers["host"] == forward_world.HOST

    forward_world.run_scenario(scenario)


def test_internal_headers_of_callers_are_dropped():
    async def scenario(world):
        endpoint = await world.endpoint("e-1")
        await world.request(
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
        headers = endpoint.received[0].headers
        assert headers["expect-instance"] == "e-1"
        for name in ("serving-stage", "kv-source", "kv-hold", "pin-ms"):
            assert name not in headers
        for name in ("kv-backup", "request-priority", "x-own", "connection"):
            assert name not in headers
        assert headers["x-kept"] == "2"

    forward_world.run_scenario(scenario)


@pytest.mark.parametrize("make_answer", [unsigned, encoded, truncated])
def test_invalid_answer_becomes_502(make_answer):
    async def scenario(world):
        await world.endpoint("e-1", reply=raw_reply(make_answer, close=True))
        response = await world.request("/write/x")
        assert response.status == 502
        assert "server-seal" not in response.headers

    forward_world.run_scenario(scenario)


@pytest.mark.parametrize("make_answer", [unsigned, encoded, truncated])
def test_idempotent_call_is_retried_elsewhere(make_answer):
    async def scenario(world):
        bad = raw_reply(make_answer, close=True)
        first = await world.endpoint("e-1", reply=bad)
        second = await world.endpoint("e-2")
        response = await world.request("/read/x")
        assert (response.status, response.body) == (200, b"done")
        assert len(first.ran) == len(second.ran) == 1
        assert not world.logged("request_failed")

    forward_world.run_scenario(scenario)


def test_a_request_that_was_not_executed_gets_503():
    async def scenario(world):
        endpoint = await world.endpoint(
            "e-1", reply=raw_reply(not_executed, ran=False)
        )
        response = await world.request("/write/x")
        assert response.status == 503
        assert float(response.headers["retry-after"]) > 0
        assert endpoint.ran == []

    forward_world.run_scenario(scenario)


@pytest.mark.parametrize("broken", [reset_connection, silent])
def test_a_call_that_may_have_run_is_neither_retried_nor_refused(broken):
    async def scenario(world):
        first = await world.endpoint("e-1", reply=broken)
        second = await world.endpoint("e-2", reply=broken)
        response = await world.request("/write/x", deadline_ms=400)
        assert response.status in (502, 504)
        assert len(first.ran) + len(second.ran) == 1

    forward_world.run_scenario(scenario)


def test_bytes_after_an_answer_are_discarded():
    def answered_twice(received):
        return forward_endpoint.answer(received) + forward_endpoint.answer(
            received, b"again"
        )

    async def scenario(world):
        endpoint = await world.endpoint(
            "e-1", reply=reply_sequence(raw_reply(answered_twice))
        )
        caller = await world.connect()
        for _ in range(3):
            response = await caller.request("/write/x")
            assert (response.status, response.body) == (200, b"done")
        assert endpoint.connections == 2
        caller.close()

    forward_world.run_scenario(scenario)


def test_late_answer_to_another_request_is_skipped():
    async def other_then_own_answer(endpoint, received, writer):
        endpoint.ran.append(received)
        writer.write(
            answer_for_other_request(received)
            + forward_endpoint.answer(received, b"own")
        )

    async def scenario(world):
        await world.endpoint("e-1", reply=other_then_own_answer)
        response = await world.request("/write/x")
        assert response.body == b"own"

    forward_world.run_scenario(scenario)


def test_answer_without_a_length_ends_with_the_connection():
    def without_length(received):
        return forward_endpoint.answer(
            received, b"all of it", Content_Length=""
        )

    async def scenario(world):
        await world.endpoint("e-1", reply=raw_reply(without_length, close=True))
        response = await world.request("/write/x")
        assert (response.status, response.body) == (200, b"all of it")

    forward_world.run_scenario(scenario)


def test_another_incarnation_at_the_address_does_not_run_the_call():
    async def scenario(world):
        stale = await world.endpoint("e-1")
        good = await world.endpoint("e-2")
        stale.id = "e-9"
        for _ in range(3):
            assert (await world.request("/write/x")).status == 200
        assert stale.ran == []
        assert len(good.ran) == 3

    forward_world.run_scenario(scenario)


def test_an_unreachable_endpoint_fails_no_call():
    async def scenario(world):
        gone = await world.endpoint("e-1")
        await world.endpoint("e-2")
        await gone.close()
        for _ in range(3):
            assert (await world.request("/write/x")).status == 200

    forward_world.run_scenario(scenario)


def test_server_error_is_forwarded_with_its_seal():
    async def scenario(world):
        await world.endpoint("e-1", reply=raw_reply(server_error))
        response = await world.request("/write/x")
        assert (response.status, response.body) == (500, b"bad")
        assert response.headers["server-seal"] == "seal"

    forward_world.run_scenario(scenario)


def server_error(received):
    return forward_endpoint.answer(received, b"bad", "500 Internal Error")


def test_idempotent_call_is_retried_elsewhere_after_a_server_error():
    async def scenario(world):
        first = await world.endpoint("e-1", reply=raw_reply(server_error))
        second = await world.endpoint("e-2")
        response = await world.request("/read/x")
        assert (response.status, response.body) == (200, b"done")
        assert len(first.ran) == len(second.ran) == 1

    forward_world.run_scenario(scenario)


def test_server_error_of_all_endpoints_is_forwarded():
    async def scenario(world):
        endpoints = [
            await world.endpoint(f"e-{number}", reply=raw_reply(server_error))
            for number in range(3)
        ]
        response = await world.request("/read/x")
        assert (response.status, response.body) == (500, b"bad")
        assert response.headers["server-seal"] == "seal"
        assert sum(len(each.ran) for each in endpoints) == 2

    forward_world.run_scenario(scenario)


def test_server_error_of_the_only_endpoint_is_forwarded():
    async def scenario(world):
        await world.endpoint("e-1", reply=raw_reply(server_error))
        response = await world.request("/read/x")
        assert (response.status, response.body) == (500, b"bad")

    forward_world.run_scenario(scenario)


def test_retries_stay_within_the_budget():
    async def scenario(world):
        endpoints = [
            await world.endpoint(f"e-{number}", reply=raw_reply(server_error))
            for number in range(2)
        ]
        requests = 60
        for _ in range(requests):
            assert (await world.request("/read/x")).status == 500
        runs = sum(len(each.ran) for each in endpoints)
        retries = world.node.settings.retries
        allowed = retries.ratio * requests + retries.allowance
        assert requests < runs <= requests + allowed

    forward_world.run_scenario(scenario)


def test_draining_endpoint_gets_no_new_calls():
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
            assert (await world.request("/write/x")).status == 200
        assert first.ran == []

    forward_world.run_scenario(scenario)


def test_unreadable_announcement_adds_no_endpoint():
    async def scenario(world):
        endpoint = await world.endpoint("e-1")
        for forged in ({"address": 7}, "text", {"state": "odd"}):
            world.store.put("servers", "e-2", forged)
        await world.until(lambda: world.logged("endpoint_unreadable"))
        assert (await world.request("/write/x")).status == 200
        assert len(endpoint.ran) == 1

    forward_world.run_scenario(scenario)


def test_unknown_route_gets_404_and_missing_id_400():
    async def scenario(world):
        await world.endpoint("e-1")
        assert (await world.request("/nowhere/x")).status == 404
        assert (await world.request("/write/x", host="other")).status == 404
        assert (await world.request("/write/x", Request_Id="")).status == 400

    forward_world.run_scenario(scenario)


def test_disconnect_of_the_caller_cancels_the_call():
    async def scenario(world):
        closed = asyncio.Event()

        async def work(endpoint, received, writer):
            endpoint.ran.append(received)
            await writer.wait_closed()
            closed.set()

        endpoint = await world.endpoint("e-1", reply=work)
        caller = await world.connect()
        caller.send("/read/x")
        await world.until(lambda: endpoint.ran)
        caller.close()
        async with asyncio.timeout(forward_world.WAIT_S):
            await world.until(lambda: not world.node.caller_server.running)

    forward_world.run_scenario(scenario)


def test_request_smuggled_with_two_lengths_does_not_run():
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
        assert [received.request_id for received in endpoint.ran] in (
            [],
            ["outer"],
        )

    forward_world.run_scenario(scenario)


def test_each_request_is_logged_once():
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


async def failure_share(world, deadline_ms, disconnect):
    """Runs a call that is never answered; returns the failure share."""
    endpoint = await world.endpoint("e-1", reply=silent)
    caller = await world.connect()
    caller.send("/write/x", deadline_ms=deadline_ms)
    await world.until(lambda: endpoint.ran)
    if disconnect:
        caller.close()
    await world.until(lambda: not world.node.caller_server.running)
    incarnation = world.node.endpoints.usable("calls")[0]
    return world.node.stats.call(incarnation).failure_share(world.node._now())


def test_an_early_disconnect_is_no_endpoint_failure():
    async def scenario(world):
        assert await failure_share(world, 5000, disconnect=True) == 0

    forward_world.run_scenario(scenario)


def test_a_missed_deadline_is_an_endpoint_failure():
    async def scenario(world):
        assert await failure_share(world, 300, disconnect=False) > 0

    forward_world.run_scenario(scenario)
