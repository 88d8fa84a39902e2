"""What instances tell each other in their heartbeats."""

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
    avoided: tuple[ExcludedEngine, ...] = ()
    waiting: wait_queue.QueueHead | None = None
    """The first request that waits for a decode place."""
    prefills: tuple[PrefillSent, ...] = ()
    ended: tuple[StreamEnded, ...] = ()
