"""Tests that urgent calls get permits when a service is overloaded."""

import asyncio

import attrs
import pytest

from bench import gate
from seam_model import config_check
from seam_model import endpoints
from seam_model import errors
from seam_node.controllers import engines
from seam_node.controllers import service_gate
from seam_policy import slot_requests
from standins import virtual_loop

URGENT = service_gate.CallerShare(slot_requests.URGENT, "curators")
OTHER = service_gate.CallerShare(slot_requests.OTHER, "farms")


@pytest.mark.parametrize("seed", range(2))
def test_urgent_calls_are_served_under_overload(seed):
    ungated = virtual_loop.run(gate.measure(False, 3000.0, seed, 2.0))
    gated = virtual_loop.run(gate.measure(True, 3000.0, seed, 2.0))
    urgent, other = gated.outcomes
    assert urgent.share(urgent.in_target) >= 0.97
    assert other.answered > 0
    assert other.late == 0
    floor = other.answered / (other.answered + urgent.answered)
    assert floor >= config_check.initial().defaults.admission.other_floor
    # Without the gate, urgent calls are late under the same overload.
    ungated_urgent = ungated.outcomes[slot_requests.URGENT]
    assert ungated_urgent.share(ungated_urgent.in_target) < 0.5


def _gates(count: int):
    directory = engines.EngineDirectory(None, virtual_loop.VirtualClock())
    directory.update(
        endpoints.EndpointRecord(f"d{n}", "service", "", "x", service="s")
        for n in range(count)
    )
    gates = service_gate.ServiceGates(directory, virtual_loop.VirtualClock())
    rule = attrs.evolve(
        config_check.initial().defaults.admission,
        service_slots=1,
        urgent_reserve=0.0,
    )
    return directory, gates, rule


def test_cancelled_call_leaves_its_permit_to_the_next():
    async def main():
        _, gates, rule = _gates(1)
        first = await gates.acquire("s", URGENT, 1.0, rule)
        waiting = asyncio.ensure_future(gates.acquire("s", OTHER, 0.4, rule))
        cancelled = asyncio.ensure_future(gates.acquire("s", URGENT, 0.4, rule))
        await asyncio.sleep(0.1)
        cancelled.cancel()
        await asyncio.sleep(0)
        gates.release(first.ok, 0.1, False)
        assert (await waiting).is_ok()
        assert gates.ledgers()["s"].waiting == 0

    virtual_loop.run(main())


def test_call_without_a_permit_is_refused_in_time():
    async def main():
        _, gates, rule = _gates(1)
        assert (await gates.acquire("s", OTHER, 1.0, rule)).is_ok()
        loop = asyncio.get_running_loop()
        refused = await gates.acquire("s", URGENT, 0.4, rule)
        assert isinstance(refused.error, errors.Overloaded)
        assert loop.time() <= 0.4 + 1e-6
        assert gates.ledgers()["s"].running == 1

    virtual_loop.run(main())


def test_new_endpoints_add_permits_and_keep_held_ones():
    async def main():
        directory, gates, rule = _gates(1)
        held = await gates.acquire("s", OTHER, 1.0, rule)
        directory.update(
            endpoints.EndpointRecord(f"d{n}", "service", "", "x", service="s")
            for n in range(3)
        )
        more = [await gates.acquire("s", URGENT, 0.1, rule) for _ in range(3)]
        assert [each.is_ok() for each in more] == [True, True, False]
        gates.release(held.ok, 0.1, False)
        assert (await gates.acquire("s", OTHER, 0.1, rule)).is_ok()
        missing = await gates.acquire("t", OTHER, 0.1, rule)
        assert missing.error == errors.NoEndpoint("t")

    virtual_loop.run(main())
