"""Runs that fail with a status that says that nothing has run.

Each test guards against a caller that is told so of a request that has run.
"""

import pytest

from standins import forward_endpoint
from standins import forward_world

STATUSES = ("408 Request Timeout", "429 Too Many", "503 Unavailable")
PATHS = ("/read/1", "/write/1", "/draft/1", "/long/1")
PROMISES = (408, 421, 429, 503)


def fails_with(status):
    """Returns a reply of an endpoint whose runs fail."""

    async def reply(endpoint, received, writer):
        internal = received.target.startswith("/sycamoreseam/")
        if internal or received.prefills:
            await forward_endpoint.reply_engine(endpoint, received, writer)
            return
        endpoint.ran.append(received)
        writer.write(
            forward_endpoint.answer(
                received, b"it failed", status, Retry_After="1.5"
            )
        )

    return reply


@pytest.mark.parametrize("status", STATUSES)
@pytest.mark.parametrize("path", PATHS)
def test_failed_run_is_no_promise_that_nothing_ran(path, status):
    async def scenario(world):
        plain = await world.endpoint("plain-1", reply=fails_with(status))
        _, decode = await world.engines()
        decode.reply = fails_with(status)
        caller = await world.connect()
        is_model = path in ("/draft/1", "/long/1")
        request = caller.request_model if is_model else caller.request
        response = await request(path)
        assert plain.ran or decode.ran
        assert response.status not in PROMISES
        assert (response.status, response.complete) == (502, True)
        assert response.body == b"it failed"
        assert "server-seal" not in response.headers
        assert "retry-after" not in response.headers

    forward_world.run_scenario(scenario)


def test_failed_run_of_an_order_that_runs_once_is_not_repeated():
    async def scenario(world):
        route = forward_world.route(
            "write", "non_idempotent", forward_world.CALLS, max_attempts=3
        )
        world.store.put(
            "config", "main", forward_world.configuration(2, [route])
        )
        await world.until(lambda: world.node.routes.table.version == 2)
        endpoints = [
            await world.endpoint(name, reply=fails_with("503 Unavailable"))
            for name in ("plain-1", "plain-2")
        ]
        assert (await world.request("/write/1")).status == 502
        assert sum(len(each.ran) for each in endpoints) == 1

    forward_world.run_scenario(scenario)


def test_large_answer_of_a_failed_run_is_no_promise_either(monkeypatch):
    body = b"x" * 200_000

    async def reply(endpoint, received, writer):
        endpoint.ran.append(received)
        status = "503 Unavailable"
        writer.write(forward_endpoint.answer(received, body, status))

    async def scenario(world):
        monkeypatch.setattr(world.node.memory, "take_answer", lambda *_: False)
        await world.endpoint("plain-1", reply=reply)
        response = await world.request("/write/1")
        assert (response.status, response.body) == (502, body)

    forward_world.run_scenario(scenario)


def test_refusal_that_says_not_run_stays_a_promise():
    async def reply(endpoint, received, writer):
        writer.write(forward_endpoint.refusal(received))

    async def scenario(world):
        plain = await world.endpoint("plain-1", reply=reply)
        response = await world.request("/write/1")
        assert (response.status, plain.ran) == (503, [])

    forward_world.run_scenario(scenario)


@pytest.mark.parametrize("status", ("500 Internal Error", "404 Not Found"))
def test_failures_that_promise_nothing_are_passed_on_unchanged(status):
    async def scenario(world):
        await world.endpoint("plain-1", reply=fails_with(status))
        response = await world.request("/write/1")
        assert response.status == int(status[:3])
        assert response.headers["server-seal"] == "seal"
        assert response.headers["retry-after"] == "1.5"

    forward_world.run_scenario(scenario)


def fails_first(concerns):
    """Returns a reply whose first call of some kind fails unclearly."""
    failed = []

    async def reply(endpoint, received, writer):
        if concerns(received) and not failed:
            failed.append(received)
            writer.write(
                forward_endpoint.answer(received, b"", "503 Unavailable")
            )
            return
        await forward_endpoint.reply_engine(endpoint, received, writer)

    return reply


@pytest.mark.parametrize(
    "concerns",
    [
        lambda received: received.prefills,
        lambda received: received.target == "/sycamoreseam/hold-take",
    ],
    ids=["prefill", "hold"],
)
def test_failure_of_a_call_that_runs_nothing_costs_no_request(concerns):
    async def scenario(world):
        engines = [
            await world.engine(name, stage)
            for name, stage in (
                ("prefill-1", "prefill"),
                ("decode-1", "decode"),
                ("decode-2", "decode"),
            )
        ]
        reply = fails_first(concerns)
        for each in engines:
            each.reply = reply
        caller = await world.connect()
        response = await caller.request_model()
        assert (response.status, response.complete) == (200, True)
        assert sum(len(each.ran) for each in engines) == 1

    forward_world.run_scenario(scenario)
