"""Messages between entry instances.

Each class is registered with a small integer tag, and travels as a msgpack
array of the tag and the field values in order. Request ids travel as 16 bytes.
"""

import attrs

# Membership


@attrs.frozen
class Heartbeat:
    """Periodic proof of life, with what the receiver may have missed."""

    name: str
    incarnation: int
    sequence: int
    config_version: int
    leaving: bool
    suspects: tuple[str, ...] = ()
    """Whose heartbeats the sender misses, each as `name/incarnation`."""


@attrs.frozen
class HeartbeatAck:
    """Answers a heartbeat."""

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
    """1 for a first run; a takeover uses one more than the run it replaces."""
    instance: str
    incarnation: int
    tag: bytes
    """Binds the id to its workspace; see `ids.workspace_tag`."""


@attrs.frozen
class RegisterAnswer:
    """A mirror's vote on a registration."""

    granted: bool
    generation: int
    """Generation of the run that the mirror holds after the vote."""
    instance: str
    incarnation: int
    engine: str
    final_outcome: str
    """Outcome of a run that has ended, else empty."""
    warming: bool = False
    """The mirror has just started and cannot vote yet."""
    placement_number: int = 0
    """Number of the placement that `engine` is from; the highest counts."""


@attrs.frozen
class RunPlaced:
    """Tells a mirror which engine holds the stream of a run."""

    request_id: bytes
    placement_number: int
    """See `ids.engine_incarnation`; rises with each placement of a run."""
    engine: str


@attrs.frozen
class RunEnded:
    """Tells a mirror that a run has ended."""

    request_id: bytes
    generation: int
    outcome: str


@attrs.frozen
class RunReleased:
    """Withdraws a registration that has no majority or sent nothing."""

    request_id: bytes
    generation: int
    instance: str
    incarnation: int
    keep_generation: bool = False
    """Whether an endpoint may know the generation, so that it stays used."""


@attrs.frozen
class RunQuery:
    """Asks a mirror what it holds; answered by `RegisterAnswer`.

    The answer's `granted` is true; its generation is 0 for an unknown run.
    """

    request_id: bytes
    tag: bytes


@attrs.frozen
class MirrorSync:
    """Asks a peer for the runs that `name` mirrors."""

    name: str


@attrs.frozen
class MirrorSyncAnswer:
    """Runs as columns of equal length."""

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
    """Asks the instance that relays a stream to let it go."""

    request_id: bytes
    generation: int


@attrs.frozen
class HandOverAnswer:
    """Says where the stream is held now."""

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
    """Says whether the run was known here."""

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
    """Longest useful wait for the slot, in seconds."""
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
    """Free slots for the rank that asked, after this answer."""
    wait_s: float
    """Estimated wait for a request of that rank that asks now."""
    delay_s: float = 0.0
    """Expected time until a granted slot is free."""


@attrs.frozen
class SlotRelease:
    """Returns a slot, with what the owner learns from the run."""

    request_id: bytes
    engine: str
    tokens: int
    per_token_us: int
    failed: bool


# Prefills


@attrs.frozen
class PrefillBooking:
    """Tells a prefill engine's owner of a prefill that is about to be sent."""

    request_id: bytes
    engine: str
    rank: int
    work_s: float
    """Time that the prefill takes without any wait."""


@attrs.frozen
class PrefillBookingAnswer:
    """Answers a booking."""

    wait_s: float
    """Expected wait at the engine."""


@attrs.frozen
class PrefillBookingCancel:
    """Takes back a booking whose prefill is not sent."""

    request_id: bytes
    engine: str


# Orders


@attrs.frozen
class ClaimRequest:
    """Asks a claim shard's owner to claim an idempotency key."""

    key: bytes
    digest: bytes
    """First bytes of a hash of the order, to tell a reused key."""
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
    """Says whether an outcome was recorded."""

    stored: bool


@attrs.frozen
class ClaimRelease:
    """Gives up a claim of which no byte was sent; answered `ClaimStored`."""

    key: bytes
    nonce: bytes


# Configuration


@attrs.frozen
class ConfigFetch:
    """Asks a peer for its configuration object."""

    above_version: int


@attrs.frozen
class ConfigObject:
    """A configuration object as bytes; empty when there is none newer."""

    version: int
    data: bytes
    in_force: bool = True
    """Whether the sender serves by it; false while the sender starts."""


# Operators' questions


@attrs.frozen
class StatusQuery:
    """Asks an instance for its `admin.InstanceStatus`."""


@attrs.frozen
class StatusAnswer:
    """An `admin.InstanceStatus` as JSON."""

    data: bytes


@attrs.frozen
class TraceQuery:
    """Asks an instance how a request went there."""

    request: str


@attrs.frozen
class TraceAnswer:
    """An `admin.RequestTrace` as JSON; empty for an unknown request."""

    data: bytes
