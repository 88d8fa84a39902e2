"""Deployments, request mixes and scenarios that `bench.measure` runs."""

import random

import attrs

from seam_model import endpoints
from seam_model import requests
from standins import costs

COSTS = costs.Costs()
URGENT_SHARE = 0.3
WORKSPACES = 8
"""Workspaces of each rank."""
SHARED_PROMPT_SHARE = 0.25
"""Start of a prompt that all requests of a workspace share."""
CHARS_PER_TOKEN = 4
TOKENS_SPREAD = 0.5
"""Prompt and output lengths vary by this share around their means."""
FLOOD_FACTOR = 10.0
STEADY_LOAD = 0.7
PEAK_LOAD = 0.95


@attrs.frozen
class Deployment:
    """Sizes of one users' fleet; counts are by data centre, in order."""

    name: str
    model: str
    data_centres: tuple[str, ...]
    instances: tuple[int, ...]
    prefill: tuple[int, ...]
    decode: tuple[int, ...]
    one_way_s: float
    """Between data centres."""
    client_s: float
    """One way between a caller and an instance."""
    prompt_tokens: int
    output_tokens: int

    def engines(self) -> dict[str, tuple[str, endpoints.EngineRole]]:
        """Returns data centre and role of each engine by name."""
        found = {}
        for role, counts in (
            (endpoints.EngineRole.PREFILL, self.prefill),
            (endpoints.EngineRole.DECODE, self.decode),
        ):
            for centre, name in _spread(self.data_centres, counts):
                found[f"{role.value}-{name}"] = (centre, role)
        return found

    def entry_instances(self) -> dict[str, str]:
        """Returns the data centre of each instance by name."""
        pairs = _spread(self.data_centres, self.instances)
        return {f"entry-{name}": centre for centre, name in pairs}

    @property
    def decode_rate(self) -> float:
        """Requests a second that the decode pool can carry."""
        hold_s = self.output_tokens * COSTS.step_s
        return sum(self.decode) * COSTS.slots / hold_s

    @property
    def prefill_rate(self) -> float:
        """Requests a second that the prefill pool can carry, uncached."""
        return sum(self.prefill) / COSTS.prefill_s(self.prompt_tokens)


def _spread(
    centres: tuple[str, ...], counts: tuple[int, ...]
) -> list[tuple[str, str]]:
    """Returns data centre and name of each machine."""
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
    prefill=(1, 0, 1, 0),
    decode=(1, 1, 1, 1),
    one_way_s=0.0045,
    client_s=0.003,
    prompt_tokens=1000,
    output_tokens=160,
)
TANEGURA = Deployment(
    name="tanegura",
    model="summarizer",
    data_centres=("fukuoka", "kumamoto", "kagoshima"),
    instances=(2, 2, 2),
    prefill=(1, 1, 0),
    decode=(1, 1, 1),
    one_way_s=0.0035,
    client_s=0.003,
    prompt_tokens=1600,
    output_tokens=160,
)
DEPLOYMENTS = {each.name: each for each in (TABLA, TANEGURA)}


@attrs.frozen
class Scenario:
    """Load, as a share of the decode capacity, and faults."""

    name: str
    load: float
    urgent_factor: float = 1.0
    other_factor: float = 1.0
    faults: bool = False

    def shares(self) -> tuple[float, float]:
        """Returns the load of urgent and of other work."""
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
        rate = share * deployment.decode_rate
        at_s = rng.expovariate(rate)
        while at_s < until_s:
            found.append(_arrival(deployment, rank, at_s, rng))
            at_s += rng.expovariate(rate)
    return sorted(found, key=lambda each: each.at_s)


def _arrival(
    deployment: Deployment,
    rank: requests.Rank,
    at_s: float,
    rng: random.Random,
) -> Arrival:
    workspace = f"{rank.name.lower()}-{rng.randrange(WORKSPACES)}"
    tokens = _vary(deployment.prompt_tokens, rng)
    shared = int(deployment.prompt_tokens * SHARED_PROMPT_SHARE)
    prompt = (workspace + " ") * shared
    prompt = prompt[: shared * CHARS_PER_TOKEN]
    own = f"{rng.getrandbits(64):016x}"
    prompt += own * ((tokens - shared) * CHARS_PER_TOKEN // len(own))
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
