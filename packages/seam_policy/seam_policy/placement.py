"""Orders the decode engines to try, and selects a prefill engine."""

import abc
from collections.abc import Iterable
from collections.abc import Sequence
import heapq
import math

import attrs

from seam_policy import rendezvous

MAX_CANDIDATES = 6
"""Maximum number of engines that `PowerOfTwoChoices` returns."""
_HASH_RANGE = 1 << 64
_HINT_HALF_LIFE_S = 1.0
_MIN_WEIGHT = 0.05
_STALE_REPORT_S = 30.0


@attrs.frozen
class DecodeCandidate:
    """State of a decode engine as known to an instance."""

    name: str
    data_centre: str
    models: tuple[str, ...]
    adapters: tuple[str, ...] = ()
    slots: int = 20
    free_slots: int = 0
    """Free slots as last reported by the engine's owner."""
    free_slots_age_s: float = math.inf
    wait_s: float = 0.0
    """Wait for a slot as last reported by the engine's owner."""
    running: int = 0
    """Running streams in the engine's last, delayed load report."""
    report_age_s: float = math.inf
    prefix_tokens: int = 0
    """Prompt tokens in the engine's cache."""
    transfer_bytes_s: float = 1e9
    """Transfer rate to the engine at the current load."""
    link_s: float = 0.0
    """One-way latency to the engine."""
    leaving: bool = False
    silent: bool = False


@attrs.frozen
class DecodeRequirements:
    """Requirements of a request on a decode engine."""

    request_id: bytes
    model: str
    prompt_tokens: int
    data_centre: str
    """Data centre of the requesting instance."""
    adapter: str = ""
    kv_bytes_per_token: int = 0


def is_eligible(
    need: "DecodeRequirements | PrefillRequirements",
    candidate: "DecodeCandidate | PrefillCandidate",
) -> bool:
    """Returns whether an engine can take the request."""
    if candidate.leaving or candidate.silent:
        return False
    if need.model not in candidate.models:
        return False
    return not need.adapter or need.adapter in candidate.adapters


def uniform(seed: int, key: bytes, name: str) -> float:
    """Returns a pseudo-random number in (0, 1) for the arguments."""
    return _unit(_request_hash(seed, key), name)


def _request_hash(seed: int, key: bytes) -> int:
    return rendezvous.stable_hash(seed.to_bytes(8, "big") + key)


def _unit(request_hash: int, name: str) -> float:
    mixed = rendezvous.mix(request_hash ^ rendezvous.name_hash(name))
    return (mixed + 0.5) / _HASH_RANGE


class Placement(abc.ABC):
    """Policy that orders the decode engines to try for a request."""

    reserves: bool
    """Whether a slot is first reserved with the engine's owner."""
    reads_reports = False
    """Whether the policy needs the load reports of all decode engines."""

    def order(
        self,
        need: DecodeRequirements,
        candidates: Iterable[DecodeCandidate],
        seed: int,
    ) -> tuple[DecodeCandidate, ...]:
        """Returns the eligible candidates in the order to try them."""
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
        """Orders the eligible candidates, which are sorted by name."""


class RoundRobin(Placement):
    """Round robin without reservations; a baseline."""

    reserves = False

    def __init__(self):
        """Starts with the first engine."""
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
    """Least loaded engine first, by delayed load reports; a baseline."""

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
    """Samples engines in pairs by reported free slots, the cheaper one first.

    Two random choices (Mitzenmacher, 2001) prevent instances with the same
    stale hints from all requesting a slot of the same owner. Engines in the
    requesting instance's data centre that have free slots are sampled first.
    """

    reserves = True

    def __init__(self, prefill_tokens_s: float = 8000.0):
        """Takes the prefill rate, used for the time a prefix match saves."""
        self._prefill_tokens_s = prefill_tokens_s

    def cost_s(
        self, need: DecodeRequirements, candidate: DecodeCandidate
    ) -> float:
        """Returns the expected delay at a candidate, in seconds."""
        cached = min(candidate.prefix_tokens, need.prompt_tokens)
        transfer_bytes = (need.prompt_tokens - cached) * need.kv_bytes_per_token
        transfer_s = transfer_bytes / max(1.0, candidate.transfer_bytes_s)
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
        sampled = heapq.nsmallest(
            MAX_CANDIDATES,
            candidates,
            key=lambda each: _sampling_key(need, each, request_hash),
        )
        ordered: list[DecodeCandidate] = []
        for start in range(0, len(sampled), 2):
            pair = sampled[start : start + 2]
            # The sort is stable: equal costs keep the sampled order.
            pair.sort(key=lambda each: self.cost_s(need, each))
            ordered.extend(pair)
        return ordered


def _freshness(age_s: float) -> float:
    """Returns the weight of a hint of this age, in [0, 1]."""
    return 0.5 ** (max(0.0, age_s) / _HINT_HALF_LIFE_S)


def _sampling_key(
    need: DecodeRequirements, candidate: DecodeCandidate, request_hash: int
) -> tuple[bool, float]:
    """Returns the sort key that samples candidates without replacement.

    Weighted sampling after Efraimidis and Spirakis (2006): an exponential
    variate over the weight, the smallest first.
    """
    freshness = _freshness(candidate.free_slots_age_s)
    advertised = candidate.free_slots / max(1, candidate.slots)
    # A stale hint carries little information: assume half of the slots free.
    free_share = freshness * advertised + (1.0 - freshness) * 0.5
    is_last_resort = (
        candidate.data_centre != need.data_centre or free_share <= _MIN_WEIGHT
    )
    weight = max(_MIN_WEIGHT, free_share)
    uniform_draw = _unit(request_hash, candidate.name)
    return is_last_resort, -math.log(uniform_draw) / weight


# Prefill


@attrs.frozen
class PrefillCandidate:
    """State of a prefill engine as known to an instance."""

    name: str
    models: tuple[str, ...]
    adapters: tuple[str, ...] = ()
    prefix_tokens: int = 0
    """Estimated prompt tokens in the engine's cache."""
    backlog_tokens: int = 0
    tokens_s: float = 8000.0
    """Prefill rate, in tokens per second."""
    link_bytes_s: float = 1e9
    """Rate of the link to the chosen decode engine."""
    link_transfers: int = 0
    """Transfers that currently share the link."""
    link_s: float = 0.0
    """One-way latency to the chosen decode engine."""
    kv_life_s: float = 0.8
    leaving: bool = False
    silent: bool = False


@attrs.frozen
class PrefillRequirements:
    """Requirements of a request on a prefill engine."""

    request_id: bytes
    model: str
    prompt_tokens: int
    kv_bytes_per_token: int
    adapter: str = ""
    decode_prefix_tokens: int = 0
    """Tokens in the decode engine's cache, which need no transfer."""


@attrs.frozen
class PrefillChoice:
    """A prefill engine and its expected times, in seconds."""

    name: str
    prefill_s: float
    """Time from the request to the end of the prefill, including the wait."""
    transfer_s: float
    work_s: float = 0.0
    """Duration of the prefill without the wait."""

    @property
    def lead_s(self) -> float:
        """Time from the request until decode can start."""
        return self.prefill_s + self.transfer_s


MAX_TRANSFER_SHARE = 0.7
"""Maximum expected transfer time, as a share of the KV cache's lifetime."""


def transfer_time(
    need: PrefillRequirements, candidate: PrefillCandidate
) -> float:
    """Returns the expected seconds to transfer the KV on the shared link."""
    tokens = max(0, need.prompt_tokens - need.decode_prefix_tokens)
    link_users = 1 + max(0, candidate.link_transfers)
    rate = max(1.0, candidate.link_bytes_s / link_users)
    return candidate.link_s + tokens * need.kv_bytes_per_token / rate


def prefill_time(
    need: PrefillRequirements, candidate: PrefillCandidate
) -> float:
    """Returns the expected seconds until the prefill completes."""
    backlog_s = max(0, candidate.backlog_tokens) / max(1.0, candidate.tokens_s)
    return backlog_s + work_time(need, candidate)


def work_time(need: PrefillRequirements, candidate: PrefillCandidate) -> float:
    """Returns the expected seconds of the prefill without the wait."""
    uncached = max(1, need.prompt_tokens - candidate.prefix_tokens)
    return uncached / max(1.0, candidate.tokens_s)


def choose_prefill(
    need: PrefillRequirements,
    candidates: Iterable[PrefillCandidate],
    seed: int,
) -> tuple[PrefillChoice, ...]:
    """Returns the usable prefill engines, earliest decode start first.

    Engines whose link can't transfer the KV within its lifetime are excluded,
    since their prefill would be wasted.
    """
    request_hash = _request_hash(seed, need.request_id)
    choices = []
    for candidate in candidates:
        if not is_eligible(need, candidate):
            continue
        transfer_s = transfer_time(need, candidate)
        if transfer_s > candidate.kv_life_s * MAX_TRANSFER_SHARE:
            continue
        prefill_s = prefill_time(need, candidate)
        work_s = work_time(need, candidate)
        choice = PrefillChoice(candidate.name, prefill_s, transfer_s, work_s)
        tie = _unit(request_hash, candidate.name)
        choices.append((choice.lead_s, tie, choice))
    choices.sort(key=lambda entry: entry[:2])
    return tuple(entry[2] for entry in choices)
