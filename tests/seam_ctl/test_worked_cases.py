"""Runs the worked cases of docs/OPERATIONS.md and explains their requests."""

import asyncio
import pathlib

import eliot
from typer import testing

from seam_ctl import main
from seam_node import logs
from standins import forward_endpoint
from standins import forward_world
from standins import placement_world

PAGE = pathlib.Path(__file__).parents[2] / "docs" / "OPERATIONS.md"


def explain_scenario(scenario, tmp_path):
    """Runs a scenario and returns the output of the page's command."""
    found = {}

    async def record(world):
        found["request"] = await scenario(world)
        found["lines"] = [
            logs.format_event(event)
            for event in world.events
            if "message_type" in event
        ]

    forward_world.run_scenario(record)
    file = tmp_path / "instances.log"
    file.write_text("\n".join(found["lines"]))
    result = testing.CliRunner().invoke(
        main.app, ["explain", found["request"], "--logs", str(file), "--json"]
    )
    assert result.exit_code == 0, result.output
    return result.output


async def close_mid_stream(endpoint, received, writer):
    if received.target.startswith("/sycamoreseam/") or received.prefills:
        await forward_endpoint.reply_engine(endpoint, received, writer)
        return
    await forward_endpoint.reply_stream(endpoint, received, writer, 2)
    writer.close()


async def abort_without_answer(endpoint, received, writer):
    endpoint.ran.append(received)
    writer.transport.abort()


async def refuse_as_full(endpoint, received, writer):
    writer.write(
        forward_endpoint.answer(received, b"", "503 Service Unavailable")
    )


def test_page_names_the_command():
    text = PAGE.read_text()
    assert text.count("sycamoreseam explain") >= 3
    for words in ("endpoint_lost", "may_run=true", "no_decode_place"):
        assert words in text


def test_a_stream_that_ended_early(tmp_path):
    async def scenario(world):
        _, decode = await world.engines()
        decode.reply = close_mid_stream
        caller = await world.connect()
        request = caller.send("/draft/1", Model="m", Token_Count="100,50")
        got = await caller.read()
        assert not got.complete
        caller.close()
        return request

    printed = explain_scenario(scenario, tmp_path)
    for words in ("decode_placed", "send_failed", "endpoint_lost", "decode-1"):
        assert words in printed


def test_an_order_whose_outcome_is_unknown(tmp_path):
    async def scenario(world):
        endpoint = await world.endpoint("e-1", reply=abort_without_answer)
        caller = await world.connect()
        request = caller.send("/write/1", body=b"order")
        got = await caller.read()
        assert got.status == 502
        assert len(endpoint.ran) == 1
        caller.close()
        return request

    printed = explain_scenario(scenario, tmp_path)
    for words in ("send_failed", '"may_run":"true"', '"status":"502"'):
        assert words in printed


def test_a_request_refused_while_decode_engines_are_full(tmp_path):
    async def scenario(world):
        _, decode = await world.engines()
        decode.reply = refuse_as_full
        caller = await world.connect()
        request = caller.send("/draft/1", Model="m", Token_Count="100,50")
        got = await caller.read()
        assert got.status == 503
        caller.close()
        return request

    printed = explain_scenario(scenario, tmp_path)
    for words in ("no_decode_place", '"may_have_run":"false"'):
        assert words in printed


def explain_placement(scenario, request, tmp_path, **options):
    """Runs a fleet that places requests; explains one from all logs."""
    events = []
    eliot.add_destinations(events.append)
    try:
        placement_world.run(scenario, **options)
    finally:
        eliot.remove_destination(events.append)
    by_instance = {}
    for event in events:
        lines = by_instance.setdefault(event["instance"], [])
        lines.append(logs.format_event(event))
    arguments = ["explain", request, "--json"]
    for name, lines in by_instance.items():
        file = tmp_path / f"{name}.log"
        file.write_text("\n".join(lines))
        arguments += ["--logs", str(file)]
    result = testing.CliRunner().invoke(main.app, arguments)
    assert result.exit_code == 0, result.output
    return result.output


def test_a_draft_that_another_instance_placed(tmp_path):
    names = {}

    async def scenario(world):
        first, asker = world.placer, world.others[0]
        world.silent.add(first.name)
        placed, _ = await asker.place("case-1")
        names["placer"] = placed.ok.placer
        names["suspected"] = first.name

    printed = explain_placement(scenario, "case-1", tmp_path)
    for words in (
        "place_granted",
        "used_tokens",
        f'"placer":"{names["placer"]}"',
        "coordinator_suspected",
        f'"peer":"{names["suspected"]}"',
    ):
        assert words in printed


def test_a_draft_that_another_instance_refused(tmp_path):
    async def scenario(world):
        fill = [
            asyncio.ensure_future(world.placer.place(f"full-{number}"))
            for number in range(20)
        ]
        placed, _ = await world.others[0].place("case-2")
        assert placed.is_error()
        for each in fill:
            each.cancel()

    printed = explain_placement(scenario, "case-2", tmp_path, decode=1)
    for words in ("place_refused", "place_each_s", "retry_after_s"):
        assert words in printed
