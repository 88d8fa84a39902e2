"""Contents of the heartbeats between instances."""

import attrs

from seam_model import forwarding
from seam_policy import kv_forecast
from seam_policy import wait_queue


@attrs.frozen
class EngineUse:
    """One instance's use of one decode engine."""

    key: str
    profile: kv_forecast.DemandProfile


@attrs.frozen
class ExcludedEngine:
    """An engine that should get no new work for some time.

    Either it is changing its stage, or its KV caches were lost before the
    decode engine fetched them.
    """

    key: str
    remaining_s: float
    """Remaining time of the exclusion."""


@attrs.frozen
class PrefillSent:
    """A prompt that an instance recently sent to a prefill engine."""

    number: int
    """Sequence number of the prompt, for deduplication by the receiver."""
    key: str
    """Key of the prefill engine's incarnation."""
    tokens: int
    age_s: float


@attrs.frozen
class StreamEnded:
    """Outcome of an instance's recent stream."""

    number: int
    """Sequence number of the outcome, for deduplication by the receiver."""
    key: str
    """Key of the decode engine's incarnation."""
    failed: bool
    """Whether the engine caused the stream to fail."""


@attrs.frozen
class Heartbeat:
    """State that an instance publishes to its peers."""

    entry: forwarding.InstanceEntry
    serving: bool
    """Whether the instance accepts new callers."""
    routes_version: int
    uses: tuple[EngineUse, ...] = ()
    excluded: tuple[ExcludedEngine, ...] = ()
    queue_head: wait_queue.QueueHead | None = None
    """First request of the queue for decode capacity."""
    prefills: tuple[PrefillSent, ...] = ()
    ended: tuple[StreamEnded, ...] = ()
