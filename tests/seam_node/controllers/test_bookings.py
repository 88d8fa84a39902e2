"""Tests prefill bookings between two instances over in-memory links."""

import asyncio
import random

from seam_model import ids
from seam_model import requests
from seam_node.controllers import bookings
from seam_policy import placement
from standins import fakes
from standins import virtual_loop

OWNERS = {"prefill-1": "b", "prefill-2": "a"}


class Owners:
    def owner_of(self, engine):
        return OWNERS.get(engine)


class RecordingPlanner:
    def __init__(self):
        self.waits = []

    def record_wait(self, name, rank, wait_s):
        self.waits.append((name, int(rank), wait_s))


def request(number):
    rng = random.Random(number)
    return requests.GenerateRequest(
        ids.make_uuid7(1.0, rng),
        "cebu",
        requests.Rank.URGENT,
        "dedication-writer",
        "text",
        1000,
        10,
        requests.Targets(0.49, 0.037),
        60.0,
    )


CHOICES = (
    placement.PrefillChoice("prefill-1", 0.1, 0.01, 0.1),
    placement.PrefillChoice("prefill-2", 0.1, 0.01, 0.1),
)


class Pair:
    """Instances a and b; a books prefills."""

    def __init__(self):
        self.links = fakes.Links(random.Random(1))
        peers, clock = {}, virtual_loop.VirtualClock()
        self.networks = [
            fakes.FakePeerNetwork(self.links, name, peers) for name in "ab"
        ]
        self.planner = RecordingPlanner()
        for network in self.networks:
            bookings.BookingOwner(network, clock)
        self.client = bookings.BookingClient(
            Owners(), self.networks[0], self.planner
        )

    async def start(self):
        for network in self.networks:
            await network.start()
        self.networks[0]._peers = {"b"}


def test_second_engine_is_taken_when_the_first_has_a_queue():
    async def main():
        pair = Pair()
        await pair.start()
        names = []
        for number in range(4):
            booked = await pair.client.book(request(number), CHOICES)
            names.append(booked.choice.name)
        return names, booked.wait_s

    names, wait_s = virtual_loop.run(main())
    assert sorted(names) == ["prefill-1"] * 2 + ["prefill-2"] * 2
    assert 0.0 < wait_s < 0.1


def test_silent_owner_delays_a_prefill_by_the_time_limit_at_most():
    async def main():
        pair = Pair()
        await pair.start()
        pair.links.cut("a", "b")
        booked = await pair.client.book(request(1), CHOICES)
        return booked, asyncio.get_running_loop().time()

    booked, took_s = virtual_loop.run(main())
    assert booked.choice.name == "prefill-1"
    assert took_s <= bookings.ANSWER_TIMEOUT_S + 0.01
