"""Order in which decode engines are tried, and choice of a prefill engine."""

import abc
from collections.abc import Iterable
from collections.abc import Sequence
import heapq
import math

import attrs

from seam_policy import rendezvous

MAX_TRIES = 6
"""Most engines that `PowerOfTwoChoices` returns for one request."""
_HASH_RANGE = 1 << 64
_ROOM_HALF_LIFE_S = 1.0
_LEAST_WEIGHT = 0.05
_STALE_REPORT_S = 30.0


@attrs.frozen
class DecodeCandidate:
    """What an instance knows of one decode engine."""

    name: str
    data_centre: str
    models: tuple[str, ...]
    adapters: tuple[str, ...] = ()
    slots: int = 20
    free_slots: int = 0
    """Free slots that the owner last told of."""
    free_slots_age_s: float = math.inf
    wait_s: float = 0.0
    """Wait for a slot that the owner last told of."""
    running: int = 0
    """Streams by the engine's lagging load report."""
    report_age_s: float = math.inf
    prefix_tokens: int = 0
    """Prompt tokens that the engine holds already."""
    transfer_bytes_s: float = 1e9
    """Rate of a transfer to the engine, at its current use."""
    link_s: float = 0.0
    """One-way latency to the engine."""
    leaving: bool = False
    silent: bool = False


@attrs.frozen
class DecodeRequirements:
    """What a request needs of a decode engine."""

    request_id: bytes
    model: str
    prompt_tokens: int
    data_centre: str
    """Where the asking instance is."""
    adapter: str = ""
    kv_bytes_per_token: int = 0


def is_eligible(
    need: "DecodeRequirements | PrefillRequirements",
    candidate: "DecodeCandidate | PrefillCandidate",
) -> bool:
    """Tells whether an engine may take new work of this kind."""
    if candidate.leaving or candidate.silent:
        return False
    if need.model not in candidate.models:
        return False
    return not need.adapter or need.adapter in candidate.adapters


def uniform(seed: int, key: bytes, name: str) -> float:
    """Returns a number in (0, 1) that depends on the arguments only."""
    return _unit(_request_hash(seed, key), name)


def _request_hash(seed: int, key: bytes) -> int:
    return rendezvous.stable_hash(seed.to_bytes(8, "big") + key)


def _unit(request_hash: int, name: str) -> float:
    mixed = rendezvous.mix(request_hash ^ rendezvous.name_hash(name))
    return (mixed + 0.5) / _HASH_RANGE


class Placement(abc.ABC):
    """Orders the decode engines that a request should be tried at."""

    reserves: bool
    """Whether a slot is reserved at the engine's owner first."""
    reads_reports = False
    """Whether an instance needs the load reports of every decode engine."""

    def order(
        self,
        need: DecodeRequirements,
        candidates: Iterable[DecodeCandidate],
        seed: int,
    ) -> tuple[DecodeCandidate, ...]:
        """Returns the eligible candidates, the first to try first."""
        eligible = [each for each in candidates if is_eligible(need, each)]
        eligible.sort(key=lambda each: each.name)
        return tuple(self._order(need, eligible, seed)) if eligible else ()

    @abc.abstractmethod
    def _order(
        self,
        need: DecodeRequirements,
        candidates: list[DecodeCandidate],
        seed: int,
    ) -> Sequence[DecodeCandidate]:
        """Orders eligible candidates, which come sorted by name."""


class RoundRobin(Placement):
    """Takes engines in turn, without reservation; a baseline."""

    reserves = False

    def __init__(self):
        """Starts at the first engine."""
        self._turn = 0

    def _order(
        self,
        need: DecodeRequirements,
        candidates: list[DecodeCandidate],
        seed: int,
    ) -> Sequence[DecodeCandidate]:
        del need, seed
        start = self._turn % len(candidates)
        self._turn += 1
        return candidates[start:] + candidates[:start]


class LeastLoaded(Placement):
    """Takes the least loaded by lagging load reports; a baseline."""

    reserves = False
    reads_reports = True

    def _order(
        self,
        need: DecodeRequirements,
        candidates: list[DecodeCandidate],
        seed: int,
    ) -> Sequence[DecodeCandidate]:
        request_hash = _request_hash(seed, need.request_id)

        def load(candidate: DecodeCandidate) -> tuple[float, float]:
            share = candidate.running / max(1, candidate.slots)
            if candidate.report_age_s > _STALE_REPORT_S:
                share = 1.0
            return share, _unit(request_hash, candidate.name)

        return sorted(candidates, key=load)


class PowerOfTwoChoices(Placement):
    """Takes the cheaper of two engines drawn by advertised room.

    Two random choices (Mitzenmacher, 2001) keep instances that hold the same
    old hints from all asking the same owner. Engines of the asking instance's
    data centre are drawn from first while one of them has room.
    """

    reserves = True

    def __init__(self, prefill_tokens_s: float = 8000.0):
        """Takes the prefill rate that a prefix match saves at."""
        self._prefill_tokens_s = prefill_tokens_s

    def cost_s(
        self, need: DecodeRequirements, candidate: DecodeCandidate
    ) -> float:
        """Returns the expected delay that a candidate adds, in seconds."""
        cached = min(candidate.prefix_tokens, need.prompt_tokens)
        moved = (need.prompt_tokens - cached) * need.kv_bytes_per_token
        transfer_s = moved / max(1.0, candidate.transfer_bytes_s)
        saved_s = cached / max(1.0, self._prefill_tokens_s)
        wait_s = candidate.wait_s if candidate.free_slots <= 0 else 0.0
        wait_s *= _freshness(candidate.free_slots_age_s)
        return wait_s + transfer_s + 2 * candidate.link_s - saved_s

    def _order(
        self,
        need: DecodeRequirements,
        candidates: list[DecodeCandidate],
        seed: int,
    ) -> Sequence[DecodeCandidate]:
        request_hash = _request_hash(seed, need.request_id)
        drawn = heapq.nsmallest(
            MAX_TRIES,
            candidates,
            key=lambda each: _draw(need, each, request_hash),
        )
        ordered: list[DecodeCandidate] = []
        for start in range(0, len(drawn), 2):
            pair = drawn[start : start + 2]
            # The sort is stable: equal costs keep the order of the draw.
            pair.sort(key=lambda each: self.cost_s(need, each))
            ordered.extend(pair)
        return ordered


def _freshness(age_s: float) -> float:
    """Returns how far a hint of this age counts, in [0, 1]."""
    return 0.5 ** (max(0.0, age_s) / _ROOM_HALF_LIFE_S)


def _draw(
    need: DecodeRequirements, candidate: DecodeCandidate, request_hash: int
) -> tuple[bool, float]:
    """Returns a key by which candidates are drawn without replacement.

    Weighted sampling after Efraimidis and Spirakis (2006): an exponential
    variate over the weight, the smallest first.
    """
    fresh = _freshness(candidate.free_slots_age_s)
    advertised = candidate.free_slots / max(1, candidate.slots)
    # An old hint tells little, so its engine counts as half free.
    room = fresh * advertised + (1.0 - fresh) * 0.5
    far = candidate.data_centre != need.data_centre or room <= _LEAST_WEIGHT
    weight = max(_LEAST_WEIGHT, room)
    draw = _unit(request_hash, candidate.name)
    return far, -math.log(draw) / weight


# Prefill


@attrs.frozen
class PrefillCandidate:
    """What an instance knows of one prefill engine."""

    name: str
    models: tuple[str, ...]
    adapters: tuple[str, ...] = ()
    prefix_tokens: int = 0
    """Prompt tokens in its cache, approximately."""
    backlog_tokens: int = 0
    tokens_s: float = 8000.0
    """Prefill rate."""
    link_bytes_s: float = 1e9
    """Rate of the link to the chosen decode engine."""
    link_transfers: int = 0
    """Transfers that share the link now."""
    link_s: float = 0.0
    """One-way latency to the chosen decode engine."""
    kv_life_s: float = 0.8
    leaving: bool = False
    silent: bool = False


@attrs.frozen
class PrefillRequirements:
    """What a request needs of a prefill engine."""

    request_id: bytes
    model: str
    prompt_tokens: int
    kv_bytes_per_token: int
    adapter: str = ""
    decode_prefix_tokens: int = 0
    """Tokens that the decode engine holds, which need no transfer."""


@attrs.frozen
class PrefillChoice:
    """A prefill engine and the times expected there, in seconds."""

    name: str
    prefill_s: float
    """Time from the order to the end of the prefill, with its wait."""
    transfer_s: float
    work_s: float = 0.0
    """Time that the prefill alone takes."""

    @property
    def lead_s(self) -> float:
        """Time from the order until decode can start."""
        return self.prefill_s + self.transfer_s


KV_LIFE_SHARE = 0.7
"""Share of the KV's life that a transfer may be expected to take."""


def transfer_time(
    need: PrefillRequirements, candidate: PrefillCandidate
) -> float:
    """Returns the expected seconds to move the KV, the link being shared."""
    tokens = max(0, need.prompt_tokens - need.decode_prefix_tokens)
    sharers = 1 + max(0, candidate.link_transfers)
    rate = max(1.0, candidate.link_bytes_s / sharers)
    return candidate.link_s + tokens * need.kv_bytes_per_token / rate


def prefill_time(
    need: PrefillRequirements, candidate: PrefillCandidate
) -> float:
    """Returns the expected seconds until the prefill has ended."""
    backlog_s = max(0, candidate.backlog_tokens) / max(1.0, candidate.tokens_s)
    return backlog_s + work_time(need, candidate)


def work_time(need: PrefillRequirements, candidate: PrefillCandidate) -> float:
    """Returns the expected seconds of the prefill without any wait."""
    uncached = max(1, need.prompt_tokens - candidate.prefix_tokens)
    return uncached / max(1.0, candidate.tokens_s)


def choose_prefill(
    need: PrefillRequirements,
    candidates: Iterable[PrefillCandidate],
    seed: int,
) -> tuple[PrefillChoice, ...]:
    """Returns the usable prefill engines, earliest decode start first.

    Engines whose link can't carry the KV within its life are left out, since
    their prefill would be thrown away.
    """
    request_hash = _request_hash(seed, need.request_id)
    found = []
    for candidate in candidates:
        if not is_eligible(need, candidate):
            continue
        transfer_s = transfer_time(need, candidate)
        if transfer_s > candidate.kv_life_s * KV_LIFE_SHARE:
            continue
        prefill_s = prefill_time(need, candidate)
        work_s = work_time(need, candidate)
        choice = PrefillChoice(candidate.name, prefill_s, transfer_s, work_s)
        tie = _unit(request_hash, candidate.name)
        found.append((choice.lead_s, tie, choice))
    found.sort(key=lambda entry: entry[:2])
    return tuple(entry[2] for entry in found)
