"""Defines deployments, load mixes and scenarios for `bench.measure`."""

import random

import attrs

from seam_model import endpoints
from seam_model import requests
from standins import costs

COSTS = costs.Costs()
URGENT_SHARE = 0.3
WORKSPACES = 8
"""Number of workspaces of each rank."""
SHARED_PREFIX_SHARE = 0.25
"""Prefix common to a workspace, as a share of the mean prompt length."""
CHARS_PER_TOKEN = 4
TOKENS_SPREAD = 0.5
"""Prompt and output lengths vary by up to this share of their means."""
FLOOD_FACTOR = 10.0
STEADY_LOAD = 0.7
PEAK_LOAD = 0.95


@attrs.frozen
class Deployment:
    """Size of one users' fleet; counts follow the order of data centres."""

    name: str
    model: str
    data_centres: tuple[str, ...]
    instances: tuple[int, ...]
    prefill_engines: tuple[int, ...]
    decode_engines: tuple[int, ...]
    one_way_s: float
    """One-way latency between data centres."""
    client_one_way_s: float
    """One-way latency between a caller and an instance."""
    prompt_tokens: int
    output_tokens: int

    def engines(self) -> dict[str, tuple[str, endpoints.EngineRole]]:
        """Returns data centre and role of each engine by name."""
        found = {}
        for role, counts in (
            (endpoints.EngineRole.PREFILL, self.prefill_engines),
            (endpoints.EngineRole.DECODE, self.decode_engines),
        ):
            for centre, name in _numbered_names(self.data_centres, counts):
                found[f"{role.value}-{name}"] = (centre, role)
        return found

    def entry_instances(self) -> dict[str, str]:
        """Returns the data centre of each instance by name."""
        pairs = _numbered_names(self.data_centres, self.instances)
        return {f"entry-{name}": centre for centre, name in pairs}

    @property
    def decode_rate_per_s(self) -> float:
        """Requests per second that the decode pool can sustain."""
        slot_time_s = self.output_tokens * COSTS.step_s
        return sum(self.decode_engines) * COSTS.slots / slot_time_s

    @property
    def prefill_rate_per_s(self) -> float:
        """Uncached requests per second that the prefill pool can sustain."""
        return sum(self.prefill_engines) / COSTS.prefill_s(self.prompt_tokens)


def _numbered_names(
    centres: tuple[str, ...], counts: tuple[int, ...]
) -> list[tuple[str, str]]:
    """Returns data centre and name of each counted engine or instance."""
    return [
        (centre, f"{centre}-{number}")
        for centre, count in zip(centres, counts, strict=True)
        for number in range(1, count + 1)
    ]


TABLA = Deployment(
    name="tabla",
    model="dedication-writer",
    data_centres=("cebu-a", "cebu-b", "iloilo-a", "bohol-a"),
    instances=(2, 2, 2, 1),
    prefill_engines=(1, 0, 1, 0),
    decode_engines=(1, 1, 1, 1),
    one_way_s=0.0045,
    client_one_way_s=0.003,
    prompt_tokens=1000,
    output_tokens=160,
)
TANEGURA = Deployment(
    name="tanegura",
    model="summarizer",
    data_centres=("fukuoka", "kumamoto", "kagoshima"),
    instances=(2, 2, 2),
    prefill_engines=(1, 1, 0),
    decode_engines=(1, 1, 1),
    one_way_s=0.0035,
    client_one_way_s=0.003,
    prompt_tokens=1600,
    output_tokens=160,
)
DEPLOYMENTS = {each.name: each for each in (TABLA, TANEGURA)}


@attrs.frozen
class Scenario:
    """Offered load, as a share of the decode capacity, and faults."""

    name: str
    load: float
    urgent_factor: float = 1.0
    other_factor: float = 1.0
    faults: bool = False

    def shares(self) -> tuple[float, float]:
        """Returns the offered load of the urgent and the other rank."""
        urgent = self.load * URGENT_SHARE * self.urgent_factor
        other = self.load * (1.0 - URGENT_SHARE) * self.other_factor
        return urgent, other


SCENARIOS = {
    each.name: each
    for each in (
        Scenario("steady", STEADY_LOAD),
        Scenario("peak", PEAK_LOAD),
        Scenario("flood_least", STEADY_LOAD, other_factor=FLOOD_FACTOR),
        Scenario("flood_most", STEADY_LOAD, urgent_factor=FLOOD_FACTOR),
        Scenario("peak_faults", PEAK_LOAD, faults=True),
    )
}


@attrs.frozen
class Arrival:
    """One request that a caller sends."""

    at_s: float
    rank: requests.Rank
    workspace: str
    prompt: str
    prompt_tokens: int
    max_tokens: int
    seed: int


def arrivals(
    deployment: Deployment, scenario: Scenario, until_s: float, seed: int
) -> list[Arrival]:
    """Returns Poisson arrivals of both ranks up to `until_s`, in order."""
    found: list[Arrival] = []
    for rank, share in zip(requests.Rank, scenario.shares(), strict=True):
        rng = random.Random(f"{seed}/{deployment.name}/{scenario.name}/{rank}")
        rate_per_s = share * deployment.decode_rate_per_s
        at_s = rng.expovariate(rate_per_s)
        while at_s < until_s:
            found.append(_arrival(deployment, rank, at_s, rng))
            at_s += rng.expovariate(rate_per_s)
    return sorted(found, key=lambda each: each.at_s)


def _arrival(
    deployment: Deployment,
    rank: requests.Rank,
    at_s: float,
    rng: random.Random,
) -> Arrival:
    workspace = f"{rank.name.lower()}-{rng.randrange(WORKSPACES)}"
    tokens = _vary(deployment.prompt_tokens, rng)
    shared_tokens = int(deployment.prompt_tokens * SHARED_PREFIX_SHARE)
    prompt = (workspace + " ") * shared_tokens
    prompt = prompt[: shared_tokens * CHARS_PER_TOKEN]
    own_text = f"{rng.getrandbits(64):016x}"
    prompt += own_text * (
        (tokens - shared_tokens) * CHARS_PER_TOKEN // len(own_text)
    )
    return Arrival(
        at_s,
        rank,
        workspace,
        prompt,
        tokens,
        _vary(deployment.output_tokens, rng),
        rng.getrandbits(32),
    )


def _vary(mean: int, rng: random.Random) -> int:
    return round(mean * rng.uniform(1 - TOKENS_SPREAD, 1 + TOKENS_SPREAD))
