"""Snapshot tests of whole sessions; `--snapshot-update` rewrites them."""

import asyncio
import random

import attrs
from proofs import fleet

from golden import wire
from seam_model import claims
from seam_model import config
from seam_model import config_check
from seam_model import ids
from standins import virtual_loop

SEED = 7
ID_TIME_STEP_S = 10.0


def session(scenario, defaults=lambda built_in: built_in):
    """Returns the transcript of a scenario on a new fleet."""

    async def main():
        flt = fleet.Fleet(SEED, instances=3)
        await flt.start(defaults)
        link = wire.Wire(flt)
        await scenario(flt, link)
        await flt.close()
        return link.transcript.text()

    return fleet.run(main())


def new_id(number, age_s=0.0):
    """Returns an id with the time rounded down to `ID_TIME_STEP_S`.

    Small changes of timing do not change the id.
    """
    wall_s = (
        virtual_loop.VirtualClock().wall() // ID_TIME_STEP_S * ID_TIME_STEP_S
    )
    return ids.make_uuid7(wall_s - age_s, random.Random(number))


def test_plain_generation(snapshot):
    async def scenario(flt, link):
        await link.send("GET", "/v1/entry?workspace=cebu-branch-1", "e1")
        await link.generated(new_id(1), "e1")

    assert session(scenario) == snapshot


def test_resume_at_another_instance(snapshot):
    async def scenario(flt, link):
        request_id = new_id(1)
        first = link.generate(request_id, "e1", max_tokens=6)
        await first.until(events=2)
        link.transcript.response(first)
        first.close()
        link.note("the connection broke")
        await link.generated(request_id, "e3", max_tokens=6, last_event_id="2")

    assert session(scenario) == snapshot


def test_cancel(snapshot):
    async def scenario(flt, link):
        request_id = new_id(1)
        running = link.generate(request_id, "e1", max_tokens=40)
        await running.until(events=2)
        path = f"/v1/requests/{request_id}"
        headers = {**wire.workspace_headers(), "X-Workspace": fleet.WORKSPACE}
        await link.send("DELETE", path, "e2", headers)
        await running.until()
        link.note("the stream at e1")
        link.transcript.response(running)
        await link.send("DELETE", path, "e2", headers)
        await link.generated(request_id, "e3")

    assert session(scenario) == snapshot


def test_refusals_of_what_callers_send(snapshot):
    async def scenario(flt, link):
        await link.generated("not-a-uuid", "e1")
        await link.generated(new_id(1), "e1", rank="first")
        await link.generated(new_id(2), "e1", model="ghost")
        await link.generated(new_id(3), "e1", workspace="someone-else")
        await link.send("POST", "/v1/generate", "e1", {}, b"{broken")
        await link.generated(new_id(4), "e1", last_event_id="3")
        headers = {**wire.workspace_headers(), "X-Workspace": fleet.WORKSPACE}
        for path in ("ghost/reserve", f"{fleet.SERVICE}/reserve"):
            path = f"/v1/services/{path}"
            await link.send("POST", path, "e1", headers, b"{}")
        await link.send("DELETE", f"/v1/requests/{new_id(5)}", "e1", headers)

    assert session(scenario) == snapshot


def test_refusals_by_state(snapshot):
    def one_at_a_time(built_in):
        limits = config.WorkspaceLimits(100.0, 100, 1)
        return attrs.evolve(built_in, workspace=limits)

    async def scenario(flt, link):
        request_id = new_id(1)
        running = link.generate(request_id, "e1", max_tokens=40)
        await running.until(events=1)
        link.note("while one request runs and the limit is one")
        await link.generated(new_id(2), "e1")
        await running.until()
        link.note("too short a deadline")
        await link.generated(new_id(3), "e1", deadline_s=0.001)
        link.note("an id that was answered")
        await link.generated(request_id, "e2")
        for core in flt.engines.values():
            core.set_faults(down=True)
        link.note("no engine answers")
        await link.generated(new_id(4), "e1")
        flt.partition("e2")
        flt.links.cut("e2", "platform")
        await asyncio.sleep(12)
        link.note("e2 hears nobody")
        await link.generated(new_id(5), "e2")
        link.note("an instance that has just started")
        await flt.kill("e3")
        flt.store.down = True
        await flt.start_instance("e3")
        await link.generated(new_id(6), "e3")

    assert session(scenario, one_at_a_time) == snapshot


def test_order_and_repeat(snapshot):
    async def scenario(flt, link):
        key = new_id(1)
        await link.ordered(key, "e1")
        link.note("the same order at another instance")
        await link.ordered(key, "e2")
        link.note("another order with the same key")
        await link.ordered(key, "e2", b'{"plank":8}')
        link.note("the service loses the answer")
        for core in flt.services.values():
            core.faults.lose_answers = 1
        lost = new_id(2)
        await link.ordered(lost, "e1")
        await link.ordered(lost, "e3")
        link.note("a key older than the window")
        await link.ordered(new_id(3, claims.WINDOW_S + 1), "e1")
        runs = sum(len(core.executions) for core in flt.services.values())
        link.note(f"orders that the services ran: {runs}")

    assert session(scenario) == snapshot


def test_order_across_an_outage(snapshot):
    async def scenario(flt, link):
        key, held = new_id(1), new_id(2)
        await link.ordered(key, "e1")
        flt.store.down = True
        link.note("the platform is down")
        await link.ordered(held, "e1")
        await link.ordered(key, "e2")
        await link.generated(new_id(3), "e1")
        await asyncio.sleep(5)
        flt.store.down = False
        link.note("the platform is back")
        await link.ordered(held, "e2")
        await link.ordered(key, "e3")
        runs = sum(len(core.executions) for core in flt.services.values())
        link.note(f"orders that the services ran: {runs}")

    assert session(scenario) == snapshot


def test_configuration_conflict(snapshot):
    async def scenario(flt, link):
        draft = flt.node("e1").config.current().draft()
        text = config_check.draft_to_toml(draft)

        def change(who, name, width, version=1):
            line = f"width = {width}"
            fields = {
                "why": f"{who} wants {width}",
                "expected_version": version,
                "change_id": f"change-{who}",
                "toml": text.replace("width = 8", line),
            }
            link.note(f"the text with {line}")
            return link.administer(
                who, "POST", "/v1/config/apply", name, **fields
            )

        await change("ann", "e1", 4)
        await change("bob", "e2", 5)
        link.note("the same change once more, as after a lost answer")
        await change("ann", "e3", 4)
        await change("bob", "e2", 900, version=2)
        await asyncio.sleep(4)
        for name in flt.names:
            link.note(f"{name} runs {flt.node(name).config.version()}")
        await link.administer("bob", "GET", "/v1/config/history", "e3")

    assert session(scenario) == snapshot


def test_drain(snapshot):
    async def scenario(flt, link):
        running = link.generate(new_id(1), "e2", max_tokens=150)
        await running.until(events=1)
        flt.leave("e2")
        await asyncio.sleep(0.2)
        link.note("e2 leaves")
        await link.send("GET", "/v1/entry", "e1")
        link.note("new work is still taken")
        await link.ordered(new_id(2), "e2")
        await asyncio.sleep(3)
        link.note("after 3 s")
        await link.ordered(new_id(3), "e2")
        await link.generated(new_id(4), "e2")
        await running.until()
        last = running.body.decode().rstrip("\n").split("\n")[-1]
        link.note(f"the running stream ended with {last}")
        await asyncio.wait_for(flt.node("e2").drain.wait_ended(), 30.0)
        link.note("e2 has ended")

    assert session(scenario) == snapshot
