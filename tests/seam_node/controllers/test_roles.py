"""Tests role orders: fencing, expired leases, repeats, rate of loads."""

import asyncio

import attrs
import expression

from seam_model import endpoint_errors
from seam_model import endpoints
from seam_node.controllers import lease
from seam_node.controllers import roles
from tests.seam_node.controllers import claim_fakes

DECODE = endpoints.EngineRole.DECODE
WANTED = roles.WantedState(DECODE, ("m",))


class Engines:
    """Engines that record orders and may ignore fencing tokens or hang."""

    def __init__(self, checks_fence=False, count=1):
        self.records = {
            f"e{i}": endpoints.EndpointRecord(
                f"e{i}", "engine", "", "dc", checks_fence=checks_fence
            )
            for i in range(count)
        }
        self.orders = []
        self.highest = 0
        self.hang = False

    def engine(self, record):
        return Engine(self, record.name)

    def observed(self):
        return tuple(self.records.values())


class Engine:
    def __init__(self, engines, name):
        self.engines = engines
        self.name = name

    async def configure(self, order, timeout_s):
        engines = self.engines
        engines.orders.append((self.name, order.fence))
        if engines.hang:
            await asyncio.sleep(10 * timeout_s)
        record = engines.records[self.name]
        if record.checks_fence and order.fence < engines.highest:
            return expression.Error(
                endpoint_errors.OrderFenced(self.name, engines.highest)
            )
        engines.highest = order.fence
        engines.records[self.name] = attrs.evolve(
            record, role=order.role, models=order.models
        )
        return expression.Ok(None)


def make(platform, engines, holder="a", loads_per_s=100.0):
    clock = claim_fakes.Clock()
    held = lease.LeaseController(
        "roles",
        holder,
        1,
        platform,
        clock,
        lambda: True,
        roles.ORDER_TIMEOUT_S,
    )
    controller = roles.RolesController(
        held,
        engines,
        clock,
        engines.observed,
        lambda records: {record.name: WANTED for record in records},
        lambda record, target: (
            len(set(target.models) - set(record.models)) / loads_per_s
        ),
    )
    return held, controller


def test_orders_carry_the_fence_and_stop_at_the_wanted_state():
    async def main():
        engines = Engines()
        held, controller = make(claim_fakes.Platform(), engines)
        await controller.receive(roles.Apply())
        assert engines.orders == []
        await held.receive(lease.Tick())
        await controller.receive(roles.Apply())
        await controller.receive(roles.Apply())
        assert engines.orders == [("e0", 1)]

    claim_fakes.run(main())


def test_engine_without_fence_check_gets_no_order_near_lease_end():
    async def main():
        for checks_fence in (False, True):
            engines = Engines(checks_fence)
            held, controller = make(claim_fakes.Platform(0.0), engines)
            await held.receive(lease.Tick())
            await asyncio.sleep(lease.DURATION_S - roles.ORDER_TIMEOUT_S)
            await controller.receive(roles.Apply())
            assert len(engines.orders) == int(checks_fence)

    claim_fakes.run(main())


def test_paused_holder_sends_nothing_after_its_successor():
    async def main():
        engines = Engines()
        platform = claim_fakes.Platform()
        held, controller = make(platform, engines)
        await held.receive(lease.Tick())
        successor, successor_roles = make(platform, engines, "b")
        await successor.receive(lease.Tick())
        await asyncio.sleep(lease.DURATION_S + roles.ORDER_TIMEOUT_S + 1)
        await successor.receive(lease.Tick())
        await controller.receive(roles.Apply())
        assert engines.orders == []
        await successor_roles.receive(roles.Apply())
        assert engines.orders == [("e0", 2)]

    claim_fakes.run(main())


def test_order_without_answer_ends_within_its_timeout_and_is_repeated():
    async def main():
        engines = Engines()
        engines.hang = True
        held, controller = make(claim_fakes.Platform(), engines)
        await held.receive(lease.Tick())
        await controller.receive(roles.Apply())
        assert held.valid_for(asyncio.get_running_loop().time()) > 0
        engines.hang = False
        await held.receive(lease.Tick())
        await controller.receive(roles.Apply())
        assert engines.records["e0"].models == ("m",)

    claim_fakes.run(main())


def test_model_loads_keep_to_the_rate_of_the_weight_store():
    async def main():
        engines = Engines(count=4)
        held, controller = make(
            claim_fakes.Platform(), engines, loads_per_s=0.1
        )
        await held.start()
        await controller.start()
        await asyncio.sleep(26)
        assert len(engines.orders) == 3
        await asyncio.sleep(20)
        assert len(engines.orders) == 4
        await held.close()
        await controller.close()

    claim_fakes.run(main())
