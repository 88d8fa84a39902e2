"""Datagrams that instances send to each other. All of their state is soft."""

import enum

import attrs

from seam_model import forwarding
from seam_policy import estimate
from seam_policy import kv_forecast
from seam_policy import quarantine


@attrs.frozen
class Heartbeat:
    """Identity and state of an instance, sent to all others."""

    entry: forwarding.InstanceEntry
    serving: bool
    """Whether the instance accepts new callers."""
    routes_version: int
    capacity: float
    """Processor capacity, relative to one core."""
    reaches_store: bool
    """Whether the platform's store answers it."""
    leaving: bool = False
    """Whether the instance stops. It answers other instances until its exit."""


@attrs.frozen
class StreamRow:
    """One stream in a report."""

    number: int
    engine: str
    """Key of the decode engine's incarnation."""
    size: kv_forecast.StreamSize
    age_s: float
    """Time since the engine started to generate; negative before that."""


@attrs.frozen
class ExcludedEngine:
    """An engine that should get no new work for some time.

    Either it is changing its stage, or its KV caches were lost before the
    decode engine fetched them.
    """

    key: str
    remaining_s: float


@attrs.frozen
class WorkloadMeans:
    """What one instance observed of its model requests."""

    prompt_tokens: estimate.Mean = estimate.NO_SAMPLES
    output_tokens: estimate.Mean = estimate.NO_SAMPLES
    output_tokens_s: estimate.Mean = estimate.NO_SAMPLES
    prefill_tokens_s: estimate.Mean = estimate.NO_SAMPLES


@attrs.frozen
class PromptLost:
    """A prompt whose engine crashed before it had generated anything."""

    service: str
    engine: str
    """Key of the engine's incarnation."""
    parts: tuple[str, ...]
    """The prompt's parts that others may share."""
    age_s: float
    """Time since the crash."""


@attrs.frozen
class PromptStarted:
    """A prompt for which an engine has generated something."""

    service: str
    parts: tuple[str, ...]
    age_s: float


@attrs.frozen
class PromptReport:
    """What an instance saw of prompts that may crash engines."""

    lost: tuple[PromptLost, ...] = ()
    """Of some time, so that a message that was lost does no harm."""
    started: tuple[PromptStarted, ...] = ()
    """Since the report before."""
    quarantine_digest: int = 0
    """Digest of the instance's copy of the quarantine."""


@attrs.frozen
class QuarantineRow:
    """An entry of the quarantine as one instance knows it."""

    entry: quarantine.Entry
    retry_after_s: float
    """Time until its next trial."""


@attrs.frozen
class QuarantineNotice:
    """A coordinator's copy of the quarantine."""

    rows: tuple[QuarantineRow, ...]


@attrs.frozen
class LimitRow:
    """What one instance knows of an endpoint's rate limit."""

    key: str
    """Key of the endpoint's incarnation."""
    rate: float
    """Requests a second; negative if the endpoint names no limit any more."""
    age_s: float
    """Time since the endpoint said so."""


@attrs.frozen
class LimitNotice:
    """Rate limits that an endpoint named or ended."""

    rows: tuple[LimitRow, ...]


@attrs.frozen
class UsageRow:
    """Use of a workspace's quota at one instance."""

    workspace: str
    counted: int
    """Units of all requests counted since the instance's start."""
    refunded: int
    """Units of those that have not run and never will."""


@attrs.frozen
class SpentRow:
    """A workspace whose quota is used up."""

    workspace: str
    wait_s: float
    """Time until its requests are admitted again, in seconds."""


@attrs.frozen
class QuotaNotice:
    """Workspaces whose plain calls are refused until their quota refills."""

    rows: tuple[SpentRow, ...]


@attrs.frozen
class StreamReport:
    """All streams of an instance, sent to the placers at an interval."""

    holder: str
    incarnation: int
    streams: tuple[StreamRow, ...]
    excluded: tuple[ExcludedEngine, ...]
    workload: WorkloadMeans
    prompts: PromptReport = PromptReport()
    limits: tuple[LimitRow, ...] = ()
    """The rate limits that hold, as far as the instance knows."""
    usage: tuple[UsageRow, ...] = ()
    """Use of the quotas of workspaces."""


@attrs.frozen
class PlaceAsk:
    """Asks a placer for a place at engines; repeated until it is answered."""

    holder: str
    incarnation: int
    number: int
    """Number of the stream among those of the holder's incarnation."""
    request_id: str
    service: str
    route: str
    rank: int
    prompt_tokens: int
    max_tokens: int
    hinted_tokens: int
    """The caller's estimate of the output's length."""
    age_s: float
    """Time since the request arrived."""
    deadline_s: float
    """Time that the caller allowed at arrival; negative if it set none."""
    timeout_s: float
    target_s: float
    patience_s: float
    data_centre: str
    """Data centre of the holder."""
    avoid: tuple[str, ...] = ()
    """Keys of engines that failed or refused the request."""
    only: tuple[str, ...] = ()
    """Keys of the engines that the request may still use; empty for all."""
    parts: tuple[str, ...] = ()
    """The prompt's parts that others may share."""
    workspace: str = ""
    """Name of the caller's workspace; empty without one."""
    quota_cost: int = 0
    """Units to charge to the workspace's quota; 0 if there is none or if the
    request was charged before."""
    quota_counted: int = 0
    """Units that the holder has counted for the workspace, these included;
    see `UsageRow`."""
    quota_refunded: int = 0
    """Units of those that have not run and never will."""


class PlaceState(enum.IntEnum):
    """State of a request for a place."""

    QUEUED = 0
    GRANTED = 1
    FULL = 2
    """Refused: no place in time."""
    NO_ENGINE = 3
    """Refused: the service has no usable decode engine."""
    QUARANTINED = 4
    """Refused: prompts with these parts crash engines."""
    OVER_QUOTA = 5
    """Refused: the workspace has used up its quota."""


@attrs.frozen
class PlaceAnswer:
    """A placer's answer to `PlaceAsk`."""

    placer: str
    number: int
    state: PlaceState
    decode: str = ""
    """Key of the decode engine."""
    prefill: str = ""
    """Key of the prefill engine; empty to prefill at the decode engine."""
    queued_s: float = 0.0
    """Expected wait of the prompt at the prefill engine."""
    expected_tokens: int = 0
    """Expected length of the output."""
    late: bool = False
    """Whether the request can no longer meet its latency target."""
    retry_after_s: float = 0.0
    engines: int = 0
    """Decode engines that the request could use."""


class Outcome(enum.IntEnum):
    """How the use of a place ended."""

    UNKNOWN = 0
    """Nothing is known about the engine, for example as the caller left."""
    SERVED = 1
    FAILED = 2
    """The engine failed before the first event."""
    FULL = 3
    """The engine refused, and did not run anything."""
    GONE = 4
    """Nothing listens at the engine's address any more."""
    ABANDONED = 5
    """The caller of a plain call left; its endpoint may still run it."""


@attrs.frozen
class PrefillEnded:
    """Tells placers how long a prefill took, or that it failed."""

    holder: str
    number: int
    """Number of the stream whose prompt it was."""
    engine: str
    tokens: int
    took_s: float
    queued_s: float
    outcome: Outcome


@attrs.frozen
class StreamEnded:
    """Tells placers that a stream no longer needs its place."""

    holder: str
    incarnation: int
    number: int
    engine: str
    outcome: Outcome


@attrs.frozen
class UsageReport:
    """What an instance has counted, for keepers that get no `StreamReport`."""

    holder: str
    incarnation: int
    usage: tuple[UsageRow, ...]


@attrs.frozen
class DebtRow:
    """A workspace that has used more than its quota."""

    workspace: str
    units: float
    """Units by which its bucket is below zero."""


@attrs.frozen
class KeeperDebts:
    """Tells quota keepers which debts another one knows of."""

    rows: tuple[DebtRow, ...]


Message = (
    Heartbeat
    | KeeperDebts
    | LimitNotice
    | StreamReport
    | PlaceAsk
    | PlaceAnswer
    | PrefillEnded
    | PromptLost
    | QuarantineNotice
    | QuotaNotice
    | StreamEnded
    | UsageReport
)
