"""Encodes heartbeats as msgpack datagrams."""

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
        raise ValueError("forecast with another number of moments")
    return heartbeats.EngineUse(
        str(key), kv_forecast.DemandProfile(int(slots), needs)
    )


def _pack_queue_head(queue_head: wait_queue.QueueHead | None) -> list:
    if queue_head is None:
        return []
    return [queue_head.rank, queue_head.late, round(queue_head.waited_s, 4)]


def _unpack_queue_head(fields: list) -> wait_queue.QueueHead | None:
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


def encode(heartbeat: heartbeats.Heartbeat) -> bytes:
    """Encodes a heartbeat as a datagram."""
    entry = heartbeat.entry
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
            heartbeat.serving,
            heartbeat.routes_version,
            [_pack_use(use) for use in heartbeat.uses],
            [
                (each.key, round(each.remaining_s, 3))
                for each in heartbeat.excluded
            ],
            _pack_queue_head(heartbeat.queue_head),
            [_pack_prefill(sent) for sent in heartbeat.prefills],
            [_pack_ended(ended) for ended in heartbeat.ended],
        )
    )


def decode(data: bytes) -> heartbeats.Heartbeat | None:
    """Decodes a datagram; None if it is not a heartbeat."""
    if len(data) > MAX_DATAGRAM_BYTES:
        return None
    try:
        fields = msgpack.unpackb(data)
        if fields[0] != _VERSION:
            return None
        (_, name, incarnation, host, port, peer_host, peer_port) = fields[:7]
        (
            data_centre,
            serving,
            version,
            use_fields,
            excluded_fields,
            queue_fields,
        ) = fields[7:13]
        entry = forwarding.InstanceEntry(
            str(name),
            int(incarnation),
            forwarding.Address(str(host), int(port)),
            forwarding.Address(str(peer_host), int(peer_port)),
            str(data_centre),
        )
        uses = tuple(_unpack_use(use) for use in use_fields)
        excluded = tuple(
            heartbeats.ExcludedEngine(str(key), float(s))
            for key, s in excluded_fields
        )
        queue_head = _unpack_queue_head(queue_fields)
        # Older versions do not send the last two fields.
        prefill_fields, ended_fields = (*fields[13:15], (), ())[:2]
        prefills = tuple(_unpack_prefill(each) for each in prefill_fields)
        ended = tuple(_unpack_ended(each) for each in ended_fields)
    except (ValueError, TypeError, IndexError, msgpack.UnpackException):
        return None
    return heartbeats.Heartbeat(
        entry,
        bool(serving),
        int(version),
        uses,
        excluded,
        queue_head,
        prefills,
        ended,
    )
