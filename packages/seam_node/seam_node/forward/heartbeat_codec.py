"""How heartbeats are spelled in a datagram (msgpack)."""

import msgpack

from seam_model import forwarding
from seam_node.forward import heartbeats
from seam_policy import kv_forecast
from seam_policy import wait_queue

MAX_DATAGRAM_BYTES = 8192
_VERSION = 1


def _pack_use(use: heartbeats.EngineUse) -> list:
    numbers: list = [use.key, use.profile.slots]
    for need in use.profile.demands:
        numbers += [round(need.mean), round(need.variance)]
    return numbers


def _unpack_use(fields: list) -> heartbeats.EngineUse:
    key, slots, *numbers = fields
    needs = tuple(
        kv_forecast.Demand(float(mean), float(variance))
        for mean, variance in zip(numbers[::2], numbers[1::2], strict=True)
    )
    if len(needs) != len(kv_forecast.HORIZONS_S):
        raise ValueError("another forecast")
    return heartbeats.EngineUse(
        str(key), kv_forecast.DemandProfile(int(slots), needs)
    )


def _pack_waiting(waiting: wait_queue.QueueHead | None) -> list:
    if waiting is None:
        return []
    return [waiting.rank, waiting.late, round(waiting.waited_s, 4)]


def _unpack_waiting(fields: list) -> wait_queue.QueueHead | None:
    if not fields:
        return None
    rank, late, waited_s = fields
    return wait_queue.QueueHead(int(rank), bool(late), float(waited_s))


def _pack_prefill(sent: heartbeats.PrefillSent) -> list:
    return [sent.number, sent.key, sent.tokens, round(sent.age_s, 4)]


def _unpack_prefill(fields: list) -> heartbeats.PrefillSent:
    number, key, tokens, age_s = fields
    return heartbeats.PrefillSent(
        int(number), str(key), int(tokens), float(age_s)
    )


def _pack_ended(ended: heartbeats.StreamEnded) -> list:
    return [ended.number, ended.key, ended.failed]


def _unpack_ended(fields: list) -> heartbeats.StreamEnded:
    number, key, failed = fields
    return heartbeats.StreamEnded(int(number), str(key), bool(failed))


def encode(beat: heartbeats.Heartbeat) -> bytes:
    """Returns a datagram."""
    entry = beat.entry
    return msgpack.packb(
        (
            _VERSION,
            entry.name,
            entry.incarnation,
            entry.callers.host,
            entry.callers.port,
            entry.peers.host,
            entry.peers.port,
            entry.data_centre,
            beat.serving,
            beat.routes_version,
            [_pack_use(use) for use in beat.uses],
            [(each.key, round(each.left_s, 3)) for each in beat.avoided],
            _pack_waiting(beat.waiting),
            [_pack_prefill(sent) for sent in beat.prefills],
            [_pack_ended(ended) for ended in beat.ended],
        )
    )


def decode(data: bytes) -> heartbeats.Heartbeat | None:
    """Returns a heartbeat, or None if the datagram is not one."""
    if len(data) > MAX_DATAGRAM_BYTES:
        return None
    try:
        fields = msgpack.unpackb(data)
        if fields[0] != _VERSION:
            return None
        (_, name, incarnation, host, port, peer_host, peer_port) = fields[:7]
        (data_centre, serving, version, uses, shut, first) = fields[7:13]
        entry = forwarding.InstanceEntry(
            str(name),
            int(incarnation),
            forwarding.Address(str(host), int(port)),
            forwarding.Address(str(peer_host), int(peer_port)),
            str(data_centre),
        )
        parsed = tuple(_unpack_use(use) for use in uses)
        avoided = tuple(
            heartbeats.ExcludedEngine(str(key), float(s)) for key, s in shut
        )
        waiting = _unpack_waiting(first)
        # Instances of an earlier version leave out what they did lately.
        sent, done = (*fields[13:15], (), ())[:2]
        prefills = tuple(_unpack_prefill(each) for each in sent)
        ended = tuple(_unpack_ended(each) for each in done)
    except (ValueError, TypeError, IndexError, msgpack.UnpackException):
        return None
    return heartbeats.Heartbeat(
        entry,
        bool(serving),
        int(version),
        parsed,
        avoided,
        waiting,
        prefills,
        ended,
    )
