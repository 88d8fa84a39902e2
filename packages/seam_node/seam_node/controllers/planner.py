"""Supplies the placement policy with engine state and estimates."""

from collections.abc import Callable
from collections.abc import Collection

import attrs

from seam_model import config
from seam_model import endpoints
from seam_model import ids
from seam_model import requests
from seam_model import settings
from seam_node.controllers import engines
from seam_node.ports import clock
from seam_policy import estimate
from seam_policy import placement
from seam_policy import prefix

PREFILL_TOKENS_PER_S = 8000.0
"""Prefill rate assumed until an engine's first prefill was measured."""


@attrs.frozen
class DecodeChoice:
    """A decode engine to try, and the time until decode can start there."""

    name: str
    lead_s: float


@attrs.define
class _Load:
    running: int = 0
    queued_tokens: int = 0
    measured_at: float = float("-inf")


class _WaitEstimate:
    """Estimates the wait at a prefill engine from its owner's answers."""

    def __init__(self) -> None:
        self._mean = estimate.Ewma(0.0)
        self._last_wait_s = 0.0
        self._last_answer_at = float("-inf")

    def add(self, wait_s: float, now: float) -> None:
        """Adds the wait from an answer."""
        self._mean.add(wait_s)
        self._last_wait_s = wait_s
        self._last_answer_at = now

    def expected_s(self, now: float) -> float:
        """Returns the larger of the rest of the last wait and the mean wait."""
        return max(
            self._last_wait_s - (now - self._last_answer_at), self._mean.value
        )


class Planner:
    """Ranks decode engines and prefill engines for requests.

    Used only on the event loop's thread; no method waits.
    """

    def __init__(
        self,
        directory: engines.EngineDirectory,
        policy: placement.Placement,
        distances: settings.DistanceSettings,
        data_centre: str,
        model_settings: Callable[[str], config.ModelRule | None],
        clk: clock.Clock,
        seed: int,
    ):
        """Starts without measurements.

        `data_centre` is the one of this instance; `model_settings` returns
        the settings of a model; `seed` goes into the policy's hashes.
        """
        self._directory = directory
        self._policy = policy
        self._distances = distances
        self._data_centre = data_centre
        self._model_settings = model_settings
        self._clock = clk
        self._seed = seed
        self._loads: dict[str, _Load] = {}
        self._inflight_tokens: dict[str, int] = {}
        self._transfers: dict[str, int] = {}
        self._waits: dict[tuple[str, int], _WaitEstimate] = {}
        self._rates: dict[str, estimate.PeakRate] = {}
        self.prefixes = prefix.PrefixIndex()

    @property
    def reserves(self) -> bool:
        """Whether the policy reserves a slot at the owner before prefill."""
        return self._policy.reserves

    @property
    def reads_reports(self) -> bool:
        """Whether the policy needs the load reports of every decode engine."""
        return self._policy.reads_reports

    # Choices

    def decode_order(
        self, req: requests.GenerateRequest, excluded: set[str]
    ) -> list[DecodeChoice]:
        """Returns the decode engines to try, best first.

        Excluded ones are returned only if there is no other. Those that are
        down are suspected, and not among the engines of the directory.
        """
        need = placement.DecodeRequirements(
            ids.pack(req.request_id),
            req.model,
            req.prompt_tokens,
            self._data_centre,
            req.adapter,
            self._kv_bytes_per_token(req.model),
        )
        usable = self._directory.engines(
            endpoints.EngineRole.DECODE, req.model, req.adapter
        )
        others = [each for each in usable if each.name not in excluded]
        candidates = [
            self._decode_candidate(record, req.rank)
            for record in others or usable
        ]
        ordered = self._policy.order(need, candidates, self._seed)
        return [
            DecodeChoice(each.name, self._lead_s(req, each.name))
            for each in ordered
        ]

    def prefill_order(
        self,
        req: requests.GenerateRequest,
        decode: str,
        excluded: Collection[str],
    ) -> tuple[placement.PrefillChoice, ...]:
        """Returns the prefill engines to try, best first."""
        need = placement.PrefillRequirements(
            ids.pack(req.request_id),
            req.model,
            req.prompt_tokens,
            self._kv_bytes_per_token(req.model),
            req.adapter,
        )
        hashes = prefix.prefix_hashes(req.prompt, req.model)
        candidates = [
            self._prefill_candidate(record, decode, req, hashes)
            for record in self._directory.engines(
                endpoints.EngineRole.PREFILL, req.model, req.adapter
            )
            if record.name not in excluded
        ]
        return placement.choose_prefill(need, candidates, self._seed)

    # Measurements

    def prefill_started(self, name: str, tokens: int) -> None:
        """Adds tokens to those in flight at a prefill engine."""
        self._inflight_tokens[name] = (
            self._inflight_tokens.get(name, 0) + tokens
        )

    def prefill_ended(self, name: str, tokens: int) -> None:
        """Removes tokens from those in flight at a prefill engine."""
        left = self._inflight_tokens.get(name, 0) - tokens
        self._inflight_tokens[name] = max(0, left)

    def record_prefill(
        self,
        name: str,
        req: requests.GenerateRequest,
        cached_tokens: int,
        took_s: float,
    ) -> None:
        """Records the cached prefixes and the prefill rate of an engine."""
        hashes = prefix.prefix_hashes(req.prompt, req.model)
        self.prefixes.record_prefill(name, hashes)
        computed = req.prompt_tokens - cached_tokens
        initial = estimate.PeakRate(PREFILL_TOKENS_PER_S)
        rate = self._rates.setdefault(name, initial)
        rate.add(computed, took_s)

    def record_wait(self, name: str, rank: int, wait_s: float) -> None:
        """Records the wait that the owner of a prefill engine expects."""
        waits = self._waits.setdefault((name, int(rank)), _WaitEstimate())
        waits.add(wait_s, self._clock.monotonic())

    def transfer_started(self, name: str) -> None:
        """Counts a KV transfer from a prefill engine as started."""
        self._transfers[name] = self._transfers.get(name, 0) + 1

    def transfer_ended(self, name: str) -> None:
        """Counts a KV transfer from a prefill engine as ended."""
        self._transfers[name] = max(0, self._transfers.get(name, 0) - 1)

    def observe(self, report: endpoints.LoadReport) -> None:
        """Records the load report of an engine."""
        at = self._clock.monotonic() - report.age_s
        self._loads[report.engine] = _Load(
            report.running, report.queued_prefill_tokens, at
        )

    # Candidates for the policy

    def _kv_bytes_per_token(self, model: str) -> int:
        model_settings = self._model_settings(model)
        return model_settings.kv_bytes_per_token if model_settings else 0

    def _lead_s(self, req: requests.GenerateRequest, decode: str) -> float:
        choices = self.prefill_order(req, decode, frozenset())
        return choices[0].lead_s if choices else 0.0

    def _decode_candidate(
        self, record: endpoints.EndpointRecord, rank: int
    ) -> placement.DecodeCandidate:
        now = self._clock.monotonic()
        hint = self._directory.hint(record.name, rank)
        load = self._loads.get(record.name, _Load())
        link_s = self._distances.one_way_s(
            self._data_centre, record.data_centre
        )
        return placement.DecodeCandidate(
            name=record.name,
            data_centre=record.data_centre,
            models=record.models,
            adapters=record.adapters,
            slots=record.slots,
            free_slots=hint.free_slots,
            free_slots_age_s=now - hint.received_at,
            wait_s=hint.wait_s,
            running=load.running,
            report_age_s=now - load.measured_at,
            transfer_bytes_s=self._distances.link_bytes_per_s,
            link_s=link_s,
        )

    def _prefill_candidate(
        self,
        record: endpoints.EndpointRecord,
        decode: str,
        req: requests.GenerateRequest,
        hashes: tuple[int, ...],
    ) -> placement.PrefillCandidate:
        target = self._directory.record(decode)
        target_data_centre = target.data_centre if target else self._data_centre
        rate = self._rates.get(record.name)
        speed = rate.rate if rate else PREFILL_TOKENS_PER_S
        return placement.PrefillCandidate(
            name=record.name,
            models=record.models,
            adapters=record.adapters,
            prefix_tokens=self.prefixes.expected_tokens(
                record.name, hashes, req.prompt_tokens
            ),
            backlog_tokens=self._backlog_tokens(record.name, req.rank, speed),
            tokens_s=speed,
            link_bytes_s=self._distances.link_bytes_per_s,
            link_transfers=self._transfers.get(record.name, 0),
            link_s=self._distances.one_way_s(
                record.data_centre, target_data_centre
            ),
        )

    def _backlog_tokens(self, name: str, rank: int, tokens_s: float) -> int:
        waits = self._waits.get((name, int(rank)))
        if waits is not None:
            wait_s = waits.expected_s(self._clock.monotonic())
            return int(wait_s * tokens_s)
        load = self._loads.get(name, _Load())
        return max(self._inflight_tokens.get(name, 0), load.queued_tokens)
