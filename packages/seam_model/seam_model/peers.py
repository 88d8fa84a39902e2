"""Messages between entry instances.

`codec` assigns each class a small integer tag and encodes a message as a
msgpack array of the tag and the field values in order. Fields are therefore
never reordered. Request ids are encoded as 16 bytes.
"""

import attrs

# Membership


@attrs.frozen
class Heartbeat:
    """Periodic liveness message with the sender's current state."""

    name: str
    incarnation: int
    sequence: int
    config_version: int
    leaving: bool
    suspects: tuple[str, ...] = ()
    """Instances whose heartbeats the sender misses, as `name/incarnation`."""


@attrs.frozen
class HeartbeatAck:
    """Acknowledges a heartbeat."""

    name: str
    incarnation: int
    sequence: int
    config_version: int


# Running requests


@attrs.frozen
class RegisterRun:
    """Asks a mirror to record the run of a request."""

    request_id: bytes
    generation: int
    """1 for a first run; each takeover increments it by 1."""
    instance: str
    incarnation: int
    tag: bytes
    """Hash that ties the id to its workspace; see `ids.workspace_tag`."""


@attrs.frozen
class RegisterAnswer:
    """A mirror's vote on a registration."""

    granted: bool
    generation: int
    """Generation of the run that the mirror records after the vote."""
    instance: str
    incarnation: int
    engine: str
    final_outcome: str
    """Outcome of a run that has ended, else empty."""
    warming: bool = False
    """Whether the mirror has just started and cannot vote yet."""
    placement_number: int = 0
    """Number of the placement on `engine`; the highest one is current."""


@attrs.frozen
class RunPlaced:
    """Notifies a mirror of the engine that holds the stream of a run."""

    request_id: bytes
    placement_number: int
    """An `ids.engine_incarnation`; increases with each placement of a run."""
    engine: str


@attrs.frozen
class RunEnded:
    """Notifies a mirror that a run has ended."""

    request_id: bytes
    generation: int
    outcome: str


@attrs.frozen
class RunReleased:
    """Withdraws a registration that got no majority or sent nothing."""

    request_id: bytes
    generation: int
    instance: str
    incarnation: int
    keep_generation: bool = False
    """Whether the mirror keeps the generation as used.

    Set when an endpoint may have received a request of this generation.
    """


@attrs.frozen
class RunQuery:
    """Asks a mirror for its record of a run; answered by `RegisterAnswer`.

    In the answer, `granted` is true, and the generation of an unknown run is 0.
    """

    request_id: bytes
    tag: bytes


@attrs.frozen
class MirrorSync:
    """Asks a peer for the runs for which instance `name` is a mirror."""

    name: str


@attrs.frozen
class MirrorSyncAnswer:
    """Answers `MirrorSync` with one column per field, all of equal length."""

    request_ids: tuple[bytes, ...]
    generations: tuple[int, ...]
    instances: tuple[str, ...]
    incarnations: tuple[int, ...]
    engines: tuple[str, ...]
    final_outcomes: tuple[str, ...]
    tags: tuple[bytes, ...]
    placement_numbers: tuple[int, ...]


@attrs.frozen
class HandOver:
    """Asks the instance that relays a stream to stop and hand it over."""

    request_id: bytes
    generation: int


@attrs.frozen
class HandOverAnswer:
    """Answers `HandOver` with the engine that holds the stream."""

    held: bool
    engine: str
    generation: int


@attrs.frozen
class CancelRun:
    """Asks the instance that relays a stream to cancel it."""

    request_id: bytes
    tag: bytes


@attrs.frozen
class CancelAnswer:
    """Answers `CancelRun`: whether the run was found at the instance."""

    known: bool


# Decode slots


@attrs.frozen
class SlotRequest:
    """Asks an engine's owner for a decode slot and KV blocks."""

    request_id: bytes
    engine: str
    rank: int
    workspace: str
    wait_s: float
    """Maximum useful wait for the slot, in seconds."""
    kv_blocks: int
    tokens: int
    """Expected output tokens."""
    lead_s: float
    """Time that prefill and transfer take before the slot is needed."""


@attrs.frozen
class SlotAnswer:
    """Grants or declines a decode slot."""

    granted: bool
    reason: str
    free_slots: int
    """Free slots for the requested rank, after this answer."""
    wait_s: float
    """Estimated wait for another request of that rank made now."""
    delay_s: float = 0.0
    """Expected time until a granted slot becomes free."""


@attrs.frozen
class SlotRelease:
    """Releases a slot and reports the run's measurements to the owner."""

    request_id: bytes
    engine: str
    tokens: int
    per_token_us: int
    failed: bool


# Prefills


@attrs.frozen
class PrefillBooking:
    """Books a prefill, about to be sent, with the engine's owner."""

    request_id: bytes
    engine: str
    rank: int
    work_s: float
    """Duration of the prefill itself, without queueing."""


@attrs.frozen
class PrefillBookingAnswer:
    """Answers `PrefillBooking`."""

    wait_s: float
    """Expected queueing time at the engine."""


@attrs.frozen
class PrefillBookingCancel:
    """Cancels a booking whose prefill is not sent."""

    request_id: bytes
    engine: str


# Orders


@attrs.frozen
class ClaimRequest:
    """Asks a claim shard's owner to claim an idempotency key."""

    key: bytes
    digest: bytes
    """First bytes of a hash of the order, which reveal a reused key."""
    instance: str
    nonce: bytes


@attrs.frozen
class ClaimAnswer:
    """Outcome of a claim."""

    state: str
    """Value of a `claims.ClaimState`."""
    status: int = 0
    content_type: str = ""
    body: bytes = b""


@attrs.frozen
class ClaimOutcome:
    """Records the outcome of a claimed order."""

    key: bytes
    nonce: bytes
    status: int
    content_type: str
    body: bytes


@attrs.frozen
class ClaimStored:
    """Answers `ClaimOutcome` and `ClaimRelease`: whether it was recorded."""

    stored: bool


@attrs.frozen
class ClaimRelease:
    """Releases a claim whose order was not sent; answered by `ClaimStored`."""

    key: bytes
    nonce: bytes


# Configuration


@attrs.frozen
class ConfigFetch:
    """Asks a peer for its configuration object."""

    above_version: int


@attrs.frozen
class ConfigObject:
    """A configuration object as bytes; empty if the peer has none newer."""

    version: int
    data: bytes
    in_force: bool = True
    """Whether the configuration is in force at the sender.

    False while the sender starts.
    """


# Operators' queries


@attrs.frozen
class StatusQuery:
    """Asks an instance for its `admin.InstanceStatus`."""


@attrs.frozen
class StatusAnswer:
    """An `admin.InstanceStatus` as JSON."""

    data: bytes


@attrs.frozen
class TraceQuery:
    """Asks an instance for its `admin.RequestTrace` of a request."""

    request: str


@attrs.frozen
class TraceAnswer:
    """An `admin.RequestTrace` as JSON; empty for an unknown request."""

    data: bytes
