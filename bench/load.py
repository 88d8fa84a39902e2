"""Sends a bounded load to running instances and reports the results.

`python -m bench.load --url http://127.0.0.1:8080 --token T --rate 20`

Arrivals are a seeded Poisson process; prompt and output lengths are drawn
uniformly between bounds. For each rank, the report gives the share of requests
that met both latency targets, latency quantiles, and refusals by reason.
"""

import asyncio
import json
import random
import time
from typing import Annotated

import attrs
import typer

from bench import caller
from seam_model import ids
from seam_node.adapters import curl

MAX_REQUESTS = 100_000
MAX_DURATION_S = 3600.0
CHARS_PER_TOKEN = 4
QUANTILES = (0.5, 0.95, 0.99)
TARGETS_S = {"urgent": (0.49, 0.037), "other": (2.0, 0.075)}
"""Target time to first token and time per output token, by rank."""

app = typer.Typer(add_completion=False)


@attrs.frozen
class Plan:
    """Parameters of the load."""

    urls: list[str]
    workspace: str
    token: str
    model: str
    rate_per_s: float
    duration_s: float
    urgent_share: float
    prompt_tokens: tuple[int, int]
    max_tokens: tuple[int, int]
    seed: int


@attrs.define
class Outcome:
    """Result of one request."""

    rank: str
    first_token_s: float = 0.0
    per_token_s: float = 0.0
    done: bool = False
    refusal: str = ""

    @property
    def met_targets(self) -> bool:
        """Returns whether the answer was complete and met both targets."""
        first_token_s, per_token_s = TARGETS_S[self.rank]
        in_time = (
            self.first_token_s <= first_token_s
            and self.per_token_s <= per_token_s
        )
        return self.done and in_time


class Load:
    """Sends the requests of one plan."""

    def __init__(self, plan: Plan):
        """Creates a load run from a plan."""
        self._plan = plan
        self._rng = random.Random(plan.seed)

    async def run(self) -> list[Outcome]:
        """Sends until the duration or the maximum request count is reached."""
        plan = self._plan
        client = curl.make_client()
        user = caller.Caller(client, plan.workspace, plan.token)
        jobs: list[asyncio.Future] = []
        end_s = time.monotonic() + plan.duration_s
        while time.monotonic() < end_s and len(jobs) < MAX_REQUESTS:
            url = plan.urls[len(jobs) % len(plan.urls)]
            jobs.append(asyncio.ensure_future(self._send(user, url)))
            await asyncio.sleep(self._rng.expovariate(plan.rate_per_s))
        outcomes = await asyncio.gather(*jobs)
        client.close()
        return outcomes

    async def _send(self, user: caller.Caller, url: str) -> Outcome:
        plan, rng = self._plan, self._rng
        rank = "urgent" if rng.random() < plan.urgent_share else "other"
        prompt_tokens = rng.randint(*plan.prompt_tokens)
        fields = {
            "id": ids.make_uuid7(time.time(), rng),
            "model": plan.model,
            "rank": rank,
            "prompt": "x" * (prompt_tokens * CHARS_PER_TOKEN),
            "prompt_tokens": prompt_tokens,
            "max_tokens": rng.randint(*plan.max_tokens),
        }
        start_s = asyncio.get_running_loop().time()
        answer = await user.generate(url, fields)
        return _outcome(rank, start_s, answer)


def _outcome(rank: str, start_s: float, answer: caller.Answer) -> Outcome:
    outcome = Outcome(rank, done=answer.done)
    times = answer.times_s
    if times:
        outcome.first_token_s = times[0] - start_s
        outcome.per_token_s = (times[-1] - times[0]) / max(1, len(times) - 1)
    if answer.refusal is not None:
        outcome.refusal = f"{answer.refusal['error']}/{answer.refusal['ran']}"
    elif not answer.done:
        outcome.refusal = f"cut off/{answer.status}"
    return outcome


def report(outcomes: list[Outcome]) -> dict:
    """Returns the figures of each rank."""
    ranks = {}
    for rank in TARGETS_S:
        offered = [each for each in outcomes if each.rank == rank]
        first_tokens_s = sorted(
            each.first_token_s for each in offered if each.done
        )
        per_token_s = sorted(each.per_token_s for each in offered if each.done)
        refusals: dict[str, int] = {}
        for each in offered:
            if each.refusal:
                count = refusals.get(each.refusal, 0)
                refusals[each.refusal] = count + 1
        ranks[rank] = {
            "sent": len(offered),
            "answered": len(first_tokens_s),
            "goodput": sum(each.met_targets for each in offered)
            / max(1, len(offered)),
            "first_token_s": _quantiles(first_tokens_s),
            "per_token_s": _quantiles(per_token_s),
            "refusals": refusals,
        }
    return ranks


def _quantiles(ordered: list[float]) -> dict[str, float]:
    last = len(ordered) - 1
    return {
        f"p{quantile * 100:.0f}": round(
            ordered[min(last, int(quantile * last))], 4
        )
        for quantile in QUANTILES
        if ordered
    }


@app.command()
def run(
    url: Annotated[
        list[str], typer.Option(help="Instance URLs, used in turn.")
    ],
    token: Annotated[str, typer.Option(help="The workspace's token.")],
    workspace: Annotated[str, typer.Option()] = "cebu-branch-1",
    model: Annotated[str, typer.Option()] = "dedication-writer",
    rate: Annotated[float, typer.Option(help="Requests per second.")] = 10.0,
    duration: Annotated[
        float, typer.Option(max=MAX_DURATION_S, help="Seconds.")
    ] = 10.0,
    urgent: Annotated[float, typer.Option(min=0.0, max=1.0)] = 0.5,
    prompt_tokens: Annotated[tuple[int, int], typer.Option()] = (50, 2000),
    max_tokens: Annotated[tuple[int, int], typer.Option()] = (10, 100),
    seed: Annotated[int, typer.Option()] = 1,
) -> None:
    """Sends a load and prints the report as JSON."""
    plan = Plan(
        url,
        workspace,
        token,
        model,
        rate,
        duration,
        urgent,
        prompt_tokens,
        max_tokens,
        seed,
    )
    print(json.dumps(report(asyncio.run(Load(plan).run())), indent=1))


if __name__ == "__main__":
    app()
