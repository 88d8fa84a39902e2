"""Heartbeats of instances, and how they are spelled in a datagram."""

import attrs
import msgpack

from seam_model import forwarding
from seam_policy import kv_forecast
from seam_policy import waiting_line

MAX_DATAGRAM_BYTES = 8192
_VERSION = 1


@attrs.frozen
class EngineUse:
    """One instance's use of one decode engine."""

    key: str
    profile: kv_forecast.Profile


@attrs.frozen
class Avoided:
    """An engine that should get no new work.

    It changes its stage, or its KV caches are lost before they are fetched.
    """

    key: str
    left_s: float
    """How much longer it should get none."""


@attrs.frozen
class PrefillSent:
    """A prompt that an instance sent to a prefill engine a moment ago."""

    number: int
    """Counts the instance's prompts, so that none is taken twice."""
    key: str
    """Incarnation of the prefill engine."""
    tokens: int
    age_s: float


@attrs.frozen
class StreamEnded:
    """How a stream of an instance ended a moment ago."""

    number: int
    """Counts the instance's streams, so that none is taken twice."""
    key: str
    """Incarnation of the decode engine."""
    failed: bool
    """Whether the engine is to blame."""


@attrs.frozen
class Heartbeat:
    """What an instance says of itself."""

    entry: forwarding.InstanceEntry
    serving: bool
    """Whether callers may be sent to it."""
    routes_version: int
    uses: tuple[EngineUse, ...] = ()
    avoided: tuple[Avoided, ...] = ()
    waiting: waiting_line.Waiting | None = None
    """The first request that waits for a decode place."""
    prefills: tuple[PrefillSent, ...] = ()
    ended: tuple[StreamEnded, ...] = ()


def _pack_use(use: EngineUse) -> list:
    numbers: list = [use.key, use.profile.slots]
    for need in use.profile.needs:
        numbers += [round(need.mean), round(need.variance)]
    return numbers


def _unpack_use(fields: list) -> EngineUse:
    key, slots, *numbers = fields
    needs = tuple(
        kv_forecast.Need(float(mean), float(variance))
        for mean, variance in zip(numbers[::2], numbers[1::2], strict=True)
    )
    if len(needs) != len(kv_forecast.MOMENTS_S):
        raise ValueError("another forecast")
    return EngineUse(str(key), kv_forecast.Profile(int(slots), needs))


def _pack_waiting(waiting: waiting_line.Waiting | None) -> list:
    if waiting is None:
        return []
    return [waiting.rank, waiting.late, round(waiting.waited_s, 4)]


def _unpack_waiting(fields: list) -> waiting_line.Waiting | None:
    if not fields:
        return None
    rank, late, waited_s = fields
    return waiting_line.Waiting(int(rank), bool(late), float(waited_s))


def _pack_prefill(sent: PrefillSent) -> list:
    return [sent.number, sent.key, sent.tokens, round(sent.age_s, 4)]


def _unpack_prefill(fields: list) -> PrefillSent:
    number, key, tokens, age_s = fields
    return PrefillSent(int(number), str(key), int(tokens), float(age_s))


def _pack_ended(ended: StreamEnded) -> list:
    return [ended.number, ended.key, ended.failed]


def _unpack_ended(fields: list) -> StreamEnded:
    number, key, failed = fields
    return StreamEnded(int(number), str(key), bool(failed))


def encode(beat: Heartbeat) -> bytes:
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


def decode(data: bytes) -> Heartbeat | None:
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
        avoided = tuple(Avoided(str(key), float(s)) for key, s in shut)
        waiting = _unpack_waiting(first)
        # Instances of an earlier version leave out what they did lately.
        sent, done = (*fields[13:15], (), ())[:2]
        prefills = tuple(_unpack_prefill(each) for each in sent)
        ended = tuple(_unpack_ended(each) for each in done)
    except (ValueError, TypeError, IndexError, msgpack.UnpackException):
        return None
    return Heartbeat(
        entry,
        bool(serving),
        int(version),
        parsed,
        avoided,
        waiting,
        prefills,
        ended,
    )
