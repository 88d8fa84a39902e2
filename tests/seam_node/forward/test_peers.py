"""Heartbeats between instances."""

import asyncio

import expression
import pytest

from seam_node import logs
from seam_node.forward import heartbeat_codec
from seam_node.forward import peers
from seam_node.ports import catalog
from standins import forward_heartbeats
from standins import virtual_loop


class FakeCatalog:
    """Lists the entries of instances and takes deletions."""

    def __init__(self):
        self.names = {"one", "two"}

    async def list(self, kind, timeout_s, allow_stale):
        entries = tuple(
            catalog.Entry(name, 1, forward_heartbeats.make_instance_entry(name))
            for name in sorted(self.names)
        )
        return expression.Ok(catalog.Listing(entries, 1))

    async def withdraw(self, name):
        self.names.discard(name)
        return expression.Ok(None)


def play(scenario):
    loop = virtual_loop.VirtualLoop()

    async def run():
        told, unlisted = [], []
        source = FakeCatalog()
        own = peers.PeerBeats(
            forward_heartbeats.make_instance_entry("one"),
            source,
            lambda: forward_heartbeats.make_heartbeat("one"),
            told.append,
            lambda: unlisted.append(loop.time()),
            loop.time,
            logs.Log("one"),
        )
        own.source, own.unlisted = source, unlisted
        await scenario(own, told)

    loop.run_until_complete(run())
    loop.close()


def test_a_silent_instance_is_not_named_any_more():
    async def scenario(own, told):
        own.datagram_received(
            heartbeat_codec.encode(forward_heartbeats.make_heartbeat("two")),
            None,
        )
        assert [each.entry.name for each in own.live()] == ["two"]
        await asyncio.sleep(peers.SUSPECT_BEATS * own.beat_s() + 0.1)
        assert own.live() == []

    play(scenario)


def test_a_heartbeat_of_an_earlier_life_changes_nothing():
    async def scenario(own, told):
        own.datagram_received(
            heartbeat_codec.encode(
                forward_heartbeats.make_heartbeat("two", True, 5)
            ),
            None,
        )
        own.datagram_received(
            heartbeat_codec.encode(
                forward_heartbeats.make_heartbeat("two", False, 4)
            ),
            None,
        )
        assert [each.serving for each in own.live()] == [True]
        assert len(told) == 1

    play(scenario)


def test_its_own_heartbeat_is_not_taken():
    async def scenario(own, told):
        own.datagram_received(
            heartbeat_codec.encode(forward_heartbeats.make_heartbeat("one")),
            None,
        )
        assert own.live() == []

    play(scenario)


def test_ages_of_heartbeats():
    async def scenario(own, told):
        own.datagram_received(
            heartbeat_codec.encode(forward_heartbeats.make_heartbeat("two")),
            None,
        )
        await asyncio.sleep(0.3)
        assert own.heard()[0].age_s == pytest.approx(0.3)

    play(scenario)


def test_the_entry_of_an_instance_that_ended_is_deleted_in_time():
    async def scenario(own, told):
        refreshing = asyncio.ensure_future(own._refresh())
        await asyncio.sleep(peers.GONE_S - peers.REFRESH_S)
        assert own.source.names == {"one", "two"}
        await asyncio.sleep(3 * peers.REFRESH_S)
        assert own.source.names == {"one"}
        refreshing.cancel()

    play(scenario)


def test_a_living_instance_keeps_its_entry():
    async def scenario(own, told):
        refreshing = asyncio.ensure_future(own._refresh())
        for _ in range(100):
            own.datagram_received(
                heartbeat_codec.encode(
                    forward_heartbeats.make_heartbeat("two")
                ),
                None,
            )
            await asyncio.sleep(1.0)
        assert own.source.names == {"one", "two"}
        refreshing.cancel()

    play(scenario)


def test_an_instance_that_finds_its_entry_deleted_writes_it_again():
    async def scenario(own, told):
        own.source.names.discard("one")
        refreshing = asyncio.ensure_future(own._refresh())
        await asyncio.sleep(0.1)
        assert own.unlisted
        refreshing.cancel()

    play(scenario)


def test_messages_of_an_instance_do_not_grow_with_a_large_fleet():
    async def scenario(own, told):
        rates = {}
        for count in range(1, 101):
            own.datagram_received(
                heartbeat_codec.encode(
                    forward_heartbeats.make_heartbeat(f"i{count}")
                ),
                None,
            )
            rates[count] = count / own.beat_s()
        assert rates[100] <= rates[peers.FULL_RATE_PEERS] * 1.01

    play(scenario)


def test_an_instance_whose_clock_went_back_is_known_again_soon():
    """It was restarted after the time of day had jumped."""

    async def scenario(own, told):
        own.datagram_received(
            heartbeat_codec.encode(
                forward_heartbeats.make_heartbeat("two", True, 5000)
            ),
            None,
        )
        for _ in range(4):
            await asyncio.sleep(peers.HEARTBEAT_S)
            own.datagram_received(
                heartbeat_codec.encode(
                    forward_heartbeats.make_heartbeat("two", True, 4000)
                ),
                None,
            )
        assert [each.entry.incarnation for each in own.live()] == [4000]

    play(scenario)
