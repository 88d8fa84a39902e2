"""Operators' HTTP interface: authorization, input checks, idempotency."""

import asyncio
import random

import attrs
import pytest
from tornado import curl_httpclient
from tornado import httpclient

from seam_ctl import client
from seam_model import admin
from seam_model import codec
from seam_model import errors
from seam_model import ids
from seam_model import operator_errors
from seam_model import platform_errors
from seam_node.controllers import drain
from seam_node.controllers import runs
from tests.seam_node.web import admin_world

REQUEST = ids.make_uuid7(1_750_000_000.0, random.Random(1))


@pytest.fixture
def world():
    made = admin_world.World()
    made.start()
    yield made
    made.close()


@pytest.fixture(scope="module")
def shared():
    made = admin_world.World()
    made.start()
    yield made
    made.close()


def connect(world, who, instance="e1"):
    token = world.tokens.get(who, who)
    return client.AdminClient(world.urls[instance], token)


def send(world, method, path, body=None, token=""):
    async def run():
        conn = curl_httpclient.CurlAsyncHTTPClient(force_instance=True)
        headers = {"Authorization": f"Bearer {token}"} if token else {}
        req = httpclient.HTTPRequest(
            world.urls["e1"] + path,
            method=method,
            body=body,
            headers=headers,
            allow_nonstandard_methods=True,
        )
        resp = await conn.fetch(req, raise_error=False)
        return resp.code, codec.from_json(resp.body, admin.ErrorBody).ok

    return asyncio.run(run())


def with_width(view, width):
    return view.toml.replace("width = 8", f"width = {width}")


def test_the_later_of_two_concurrent_changes_gets_a_conflict(shared):
    async def race():
        view = (await connect(shared, "ana").config()).ok
        return await asyncio.gather(
            *(
                connect(shared, who, instance).apply(
                    with_width(view, width), f"{who} wants it", 0, f"race-{who}"
                )
                for who, instance, width in (("ana", "e1", 3), ("ben", "e2", 4))
            )
        )

    results = asyncio.run(race())
    won = [result.ok for result in results if result.is_ok()]
    lost = [result.error for result in results if result.is_error()]
    assert len(won) == len(lost) == 1
    assert lost[0] == operator_errors.ConfigConflict(
        1, won[0].who, won[0].when, won[0].what[0]
    )
    width = {"ana": 3, "ben": 4}[won[0].who]
    assert won[0].what == (f"defaults.entry.width: 8 -> {width}",)

    async def repeat():
        conn = connect(shared, won[0].who, "e2")
        view = (await conn.config()).ok
        change_id = won[0].change_id
        return await conn.apply(with_width(view, 9), "again", 0, change_id)

    assert asyncio.run(repeat()).ok == won[0]


def test_denied_requests_are_refused_logged_and_counted(world):
    async def denied():
        conn, stranger = connect(world, "vic"), connect(world, "op.stranger")
        return [
            (await conn.apply("", "because of a test", 0, "change-1")).error,
            (await conn.drain("e1", "because of a test")).error,
            (await connect(world, "oli").apply("", "why", 0, "change-2")).error,
            (await stranger.status()).error,
        ]

    assert asyncio.run(denied()) == [
        operator_errors.Denied("admin"),
        operator_errors.Denied("operator"),
        operator_errors.Denied("admin"),
        operator_errors.TokenUnknown(),
    ]
    assert send(world, "GET", "/v1/config")[0] == 401
    text = world.metrics("e1")
    assert 'seam_operator_denied_total{reason="denied"} 3.0' in text
    assert 'seam_operator_denied_total{reason="token_unknown"} 2.0' in text
    lines = world.log.getvalue().splitlines()
    denials = [line for line in lines if "event=operator_denied" in line]
    assert len(denials) == 5
    assert "operator=vic" in denials[0]
    assert "path=/v1/config/apply" in denials[0]
    assert world.nodes["e1"].drain.phase is drain.Phase.SERVING


def test_secrets_are_never_logged_nor_shown(shared):
    async def use():
        for who in admin_world.ROLES:
            conn = connect(shared, who)
            await conn.status()
            await conn.apply("[defaults", "because of a test", 0, "change-1")
        await connect(shared, "op.a-wrong-token").config()

    asyncio.run(use())
    send(shared, "POST", "/v1/config/check", b"{", shared.tokens["ana"])
    shown = shared.log.getvalue() + repr(shared.nodes["e1"].settings)
    secrets = [
        *shared.tokens.values(),
        *shared.hashes.values(),
        shared.peer_key,
    ]
    assert not [secret for secret in secrets if secret in shown]
    assert "op.a-wrong-token" not in shown


@pytest.mark.parametrize(
    ("method", "path", "body", "status", "code"),
    [
        ("POST", "/v1/config/check", b"{", 400, "body_unreadable"),
        ("POST", "/v1/config/check", b"[" * 9999, 400, "body_unreadable"),
        ("POST", "/v1/config/check", b"[]", 400, "input_invalid"),
        ("POST", "/v1/config/check", b'{"toml":1}', 400, "input_invalid"),
        ("POST", "/v1/config/check", b'{"toml":"a="}', 422, "config_invalid"),
        ("POST", "/v1/config/apply", b"{}", 400, "input_invalid"),
        ("POST", "/v1/exceptions", b'{"scope":3}', 400, "input_invalid"),
        ("DELETE", "/v1/exceptions/x", b"{}", 400, "input_invalid"),
        ("POST", "/v1/drain", b'{"instance":"e2"}', 400, "input_invalid"),
        ("GET", "/v1/audit?before=-1", None, 400, "bad_input"),
        ("GET", "/v1/audit?limit=99999999999999999", None, 400, "bad_input"),
        ("GET", "/v1/explain/who", None, 400, "bad_input"),
        ("GET", "/v1/nothing", None, 404, "not_found"),
        ("PUT", "/v1/config", b"", 405, "bad_input"),
    ],
)
def test_bad_input_is_refused_with_a_typed_error(
    shared, method, path, body, status, code
):
    got, answer = send(shared, method, path, body, shared.tokens["ana"])
    assert (got, answer.error) == (status, code)


def test_explain_queries_the_other_instances(world):
    trace = runs.Trace(REQUEST, "w", "urgent", "m", "overloaded")
    trace.steps.append(runs.Step(0.25, "place", "no room at decode-1"))
    world.nodes["e2"].runs.add_trace(trace)
    found = asyncio.run(connect(world, "vic").explain(REQUEST)).ok
    assert found.traces == (
        admin.RequestTrace(
            "e2",
            "w",
            "urgent",
            "m",
            "overloaded",
            (admin.TraceStep(0.25, "place", "no room at decode-1"),),
        ),
    )
    world.links.freeze("e2")
    found = asyncio.run(connect(world, "vic").explain(REQUEST)).ok
    states = asyncio.run(connect(world, "vic").status()).ok.instances
    world.links.thaw("e2")
    assert (found.traces, found.silent) == ((), ("e2",))
    assert [each.state for each in states] == ["serving", admin.UNREACHABLE]


def test_a_change_retried_after_a_closed_connection_is_applied_once(world):
    async def main():
        listener = await asyncio.start_server(
            lambda reader, writer: writer.close(), "127.0.0.1", 0
        )
        port = listener.sockets[0].getsockname()[1]
        dead = f"http://127.0.0.1:{port}"
        urls = ",".join((dead, world.urls["e1"]))
        conn = client.AdminClient(urls, world.tokens["ana"])
        toml = with_width((await conn.config()).ok, 5)
        first = await conn.apply(toml, "a test", 0, "change-1")
        again = await conn.apply(toml, "a test", 0, "change-1")
        alone = client.AdminClient(dead, world.tokens["ana"])
        lost = await alone.apply(toml, "a test", 1, "change-2")
        history = (await conn.history()).ok
        listener.close()
        return first.ok, again.ok, lost.error.sent, len(history.changes)

    first, again, sent, changes = asyncio.run(main())
    assert first == again
    assert (sent, changes) == (True, 1)


def test_an_operator_drains_an_instance_through_another(world):
    async def leave():
        conn, token = connect(world, "oli"), world.tokens["oli"]
        wrong = await conn.drain("e2", "not this one")
        first = await client.drain_instance(conn, token, "e2", "replace it")
        again = await client.drain_instance(conn, token, "e2", "replace it")
        none = await client.drain_instance(conn, token, "e9", "replace it")
        return wrong.error, first.ok.answer, again.ok.answer, none.error

    wrong, first, again, none = asyncio.run(leave())
    assert isinstance(wrong, errors.BadInput)
    assert first == again == admin.DrainAnswer("e2", "announced", 0)
    assert none == operator_errors.NotFound("instance", "e9")
    assert world.nodes["e1"].drain.phase is drain.Phase.SERVING
    lines = world.log.getvalue().splitlines()
    acts = [line for line in lines if "event=operator_action" in line]
    assert len(acts) == 1
    assert 'operator=oli action=drain why="replace it"' in acts[0]


def test_errors_keep_their_type_through_encoding_and_decoding():
    problem = errors.BadInput("field", "value", "allowed")
    for error in (
        errors.ConfigInvalid((problem, problem)),
        operator_errors.ConfigConflict(3, "ana", "today", "a -> b"),
        platform_errors.PlatformAmbiguous("apply"),
        platform_errors.VersionConflict("key", 1, 2),
        operator_errors.TokenUnknown(),
    ):
        data = codec.to_json(admin.error_to_body(error))
        body = codec.from_json(data, admin.ErrorBody).ok
        assert admin.error_from_body(body) == error
    body = attrs.evolve(body, error="of a newer version")
    assert admin.error_from_body(body) is None
