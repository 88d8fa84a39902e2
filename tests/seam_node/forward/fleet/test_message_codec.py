"""Tests of the datagrams between instances."""

import msgpack
import pytest

from seam_node.forward.fleet import message_codec
from seam_node.forward.fleet import messages
from seam_node.forward.service_calls import service_messages
from seam_policy import estimate
from seam_policy import kv_forecast
from standins import forward_heartbeats

SIZE = kv_forecast.StreamSize(3000, 900, 2000)
MESSAGES = [
    forward_heartbeats.make_heartbeat("two"),
    messages.StreamReport(
        "two",
        7,
        (messages.StreamRow(3, "e/1", SIZE, -0.25),),
        (messages.ExcludedEngine("e/2", 1.5),),
        messages.WorkloadMeans(prompt_tokens=estimate.Mean(3000.5, 12.0)),
        usage=(messages.UsageRow("w", 9000, 200),),
    ),
    messages.PlaceAsk(
        "two",
        7,
        3,
        "r-1",
        "engines",
        "draft",
        1,
        3000,
        2000,
        900,
        0.125,
        14.0,
        14.0,
        1.0,
        4.0,
        "here",
        ("e/2",),
        (),
        (),
        "w",
        5000,
        9000,
        200,
    ),
    messages.PlaceAnswer(
        "one", 3, messages.PlaceState.GRANTED, "e/1", "p/1", 0.05, 900, True
    ),
    messages.PrefillEnded(
        "two", 3, "p/1", 3000, 0.2, 0.05, messages.Outcome.FULL
    ),
    messages.StreamEnded("two", 7, 3, "e/1", messages.Outcome.SERVED),
    messages.QuotaNotice((messages.SpentRow("w", 0.25),)),
    messages.UsageReport("two", 7, (messages.UsageRow("w", 9000, 200),)),
    messages.KeeperDebts((messages.DebtRow("w", 5000.5),)),
    service_messages.ServiceAsk(
        "two",
        7,
        3,
        "r-1",
        "calls",
        "read",
        1,
        "desk",
        0.125,
        2.0,
        2.0,
        0.35,
        "here",
        ("e/2",),
    ),
    service_messages.ServiceAnswer(
        "one", 3, service_messages.ServiceState.GRANTED, "e/1", 0.25
    ),
    service_messages.ServiceEnded(
        "two", 7, 3, "calls", "e/1", messages.Outcome.SERVED, 0.07
    ),
]


@pytest.mark.parametrize("message", MESSAGES, ids=lambda m: type(m).__name__)
def test_messages_survive_the_wire(message):
    assert message_codec.decode(message_codec.encode(message)) == message


@pytest.mark.parametrize("message", MESSAGES, ids=lambda m: type(m).__name__)
def test_damaged_datagrams_are_ignored(message):
    data = message_codec.encode(message)
    for cut in range(len(data)):
        assert message_codec.decode(data[:cut]) is None
    row = msgpack.unpackb(data)
    for index in range(len(row)):
        damaged = [*row[:index], {"odd": 1}, *row[index + 1 :]]
        decoded = message_codec.decode(msgpack.packb(damaged))
        assert decoded is None or isinstance(decoded, type(message))


def test_other_versions_and_unknown_messages_are_ignored():
    row = msgpack.unpackb(message_codec.encode(MESSAGES[0]))
    assert message_codec.decode(msgpack.packb([row[0] + 1, *row[1:]])) is None
    assert message_codec.decode(msgpack.packb([row[0], 99])) is None
    assert message_codec.decode(b"\xc1") is None
    assert message_codec.decode(b"x" * 70_000) is None


def test_messages_of_a_request_are_small():
    sizes = [len(message_codec.encode(each)) for each in MESSAGES[2:]]
    assert max(sizes) <= 160
