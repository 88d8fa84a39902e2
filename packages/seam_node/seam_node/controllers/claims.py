"""Claims idempotency keys before a non-idempotent order is sent.

Any instance may write any claim; the owner of a shard only batches the writes.
If two instances act as owner at once, their conditional updates conflict, and
the one that fails reads the object again.
"""

import asyncio
from collections.abc import Callable
import random
from typing import Any

import attrs
import expression

from seam_model import claims
from seam_model import errors
from seam_model import ids
from seam_model import peers
from seam_model import platform_errors
from seam_model import requests
from seam_node import task
from seam_node.controllers import claim_store
from seam_node.ports import clock as clock_port
from seam_node.ports import peer as peer_port
from seam_node.ports import platform as platform_port

OWNER_TIMEOUT_S = 0.5
OWNER_ATTEMPTS = 2
"""Requests sent to the owner before the instance writes the claim itself."""
HELD_ATTEMPTS = 4
"""Requests for the outcome of a key that another attempt has claimed."""
HELD_RETRY_DELAY_S = 0.3
"""Slightly above `claim_store.OUTCOME_LINGER_S`, which delays outcomes."""
RETRY_MIN_S = 0.25
RETRY_MAX_S = 5.0
SWEEP_PERIOD_S = 60.0


@attrs.frozen
class Claim:
    """A claimed key: permission to send one order, or the recorded reply."""

    key: str
    nonce: bytes
    reply: requests.ServiceReply | None = None
    """Recorded reply of an earlier order; None if the order may be sent."""


@attrs.frozen
class Sweep:
    """Requests the deletion of expired objects."""


class ClaimController(task.Task):
    """Claims keys, records outcomes and deletes expired objects.

    `owner_of` maps the name of a shard to the instance that batches its writes,
    or to None if no instance is live; the mapping must be the same on every
    instance.
    """

    def __init__(
        self,
        self_name: str,
        platform: platform_port.Platform,
        network: peer_port.PeerNetwork,
        clock: clock_port.Clock,
        owner_of: Callable[[bytes], str | None],
        rng: random.Random,
        window_s: Callable[[], float] = lambda: claims.WINDOW_S,
    ):
        """Registers the handlers of claim messages at `network`.

        `window_s` may narrow the window in which this instance accepts keys;
        objects are kept for the whole of `claims.WINDOW_S` in any case.
        """
        super().__init__("claims")
        self._self_name = self_name
        self._platform = platform
        self._network = network
        self._clock = clock
        self._owner_of = owner_of
        self._rng = rng
        self._window_s = window_s
        self._store = claim_store.ClaimStore(platform, self.spawn)
        self._unstored: set[asyncio.Task] = set()
        network.register_handler(peers.ClaimRequest, self._on_message)
        network.register_handler(peers.ClaimOutcome, self._on_message)
        network.register_handler(peers.ClaimRelease, self._on_message)

    async def start(self) -> None:
        """Starts the mailbox loop and the sweep timer."""
        await super().start()
        self.spawn(self._sweep_timer())

    async def claim(
        self, key: str, digest: bytes
    ) -> expression.Result[Claim, errors.SeamError]:
        """Claims a key for one order.

        Errors: `BadInput`, `KeyReused`, `ClaimsFull` and
        `PlatformUnavailable` if no byte of an order with this body was sent
        under this claim; `OutcomeUnknown` if an earlier order may have run;
        `OutcomeNotKept` if it has run. `KeyOutsideWindow` has a field for
        whether an order may have run.
        """
        if not ids.is_uuid7(key):
            return expression.Error(
                errors.BadInput("Idempotency-Key", key, "a UUIDv7")
            )
        packed = ids.pack(key)
        wall_s = self._clock.wall()
        if not claims.in_window(packed, wall_s, self._window_s()):
            ran = claims.may_have_run(packed, wall_s)
            return expression.Error(errors.KeyOutsideWindow(key, ran))
        nonce = self._rng.randbytes(claims.NONCE_BYTES)
        req = peers.ClaimRequest(packed, digest, self._self_name, nonce)
        try:
            answer = await self._request_until_settled(req)
        except asyncio.CancelledError:
            self._release(packed, nonce)
            raise
        return _to_result(key, nonce, answer)

    def record(self, claim: Claim, reply: requests.ServiceReply) -> None:
        """Stores an outcome in the background, with retries for the window."""
        self._deliver(
            peers.ClaimOutcome(
                ids.pack(claim.key),
                claim.nonce,
                reply.status,
                reply.content_type,
                reply.body,
            )
        )

    def release(self, claim: Claim) -> None:
        """Releases a claim; allowed only if no byte of its order was sent."""
        self._release(ids.pack(claim.key), claim.nonce)

    def unstored(self) -> int:
        """Returns the number of outcomes and releases not stored yet."""
        return len(self._unstored)

    async def flush(self) -> None:
        """Waits until every outcome and release is stored or has expired."""
        while self._unstored:
            await asyncio.wait(set(self._unstored))

    async def receive(self, message: Any) -> Any:
        """Handles `Sweep`."""
        if isinstance(message, Sweep):
            await self._sweep()

    # Claim requests

    async def _request_until_settled(
        self, req: peers.ClaimRequest
    ) -> peers.ClaimAnswer:
        """Retries while another attempt holds the key, to get its outcome."""
        answer = await self._request_claim(req)
        for _ in range(HELD_ATTEMPTS - 1):
            if answer.state != claims.ClaimState.HELD.value:
                break
            await asyncio.sleep(HELD_RETRY_DELAY_S)
            answer = await self._request_claim(req)
        return answer

    async def _request_claim(
        self, req: peers.ClaimRequest
    ) -> peers.ClaimAnswer:
        maybe_stored = False
        answer = peers.ClaimAnswer(claims.ClaimState.UNAVAILABLE.value)
        for attempt in range(OWNER_ATTEMPTS + 1):
            local = attempt == OWNER_ATTEMPTS
            sent = await self._send(req, local)
            if sent.is_error():
                maybe_stored = True
                continue
            answer = sent.ok
            state = claims.ClaimState(answer.state)
            if state is claims.ClaimState.UNSETTLED:
                maybe_stored = True
            elif state is not claims.ClaimState.UNAVAILABLE:
                break
        if maybe_stored and answer.state not in _FINAL:
            self._release(req.key, req.nonce)
        return answer

    async def _send(
        self, message: Any, local: bool
    ) -> expression.Result[Any, errors.PeerError]:
        name = claims.shard_name(claims.shard_of(message.key))
        owner = self._owner_of(name) or self._self_name
        if local or owner == self._self_name:
            answer = await self._on_message(self._self_name, message)
            return expression.Ok(answer)
        return await self._network.request(owner, message, OWNER_TIMEOUT_S)

    async def _on_message(self, sender: str, message: Any) -> Any:
        is_claim = isinstance(message, peers.ClaimRequest)
        if is_claim and not self._accepts(message.key):
            return peers.ClaimAnswer(claims.ClaimState.OUTSIDE.value)
        answer = await self._store.submit(message)
        # The window is checked again after the write: a write delayed until
        # after the deletion of its object must not count as a first claim.
        if is_claim and not self._accepts(message.key):
            return peers.ClaimAnswer(claims.ClaimState.OUTSIDE.value)
        return answer

    def _accepts(self, key: bytes) -> bool:
        return claims.in_window(key, self._clock.wall())

    # Outcomes and releases

    def _release(self, key: bytes, nonce: bytes) -> None:
        self._deliver(peers.ClaimRelease(key, nonce))

    def _deliver(self, message: Any) -> None:
        runner = self.spawn(self._deliver_until_stored(message))
        self._unstored.add(runner)
        runner.add_done_callback(self._unstored.discard)

    async def _deliver_until_stored(self, message: Any) -> None:
        wait_s = RETRY_MIN_S
        attempt = 0
        while self._accepts(message.key):
            sent = await self._send(message, local=attempt % 2 == 1)
            if sent.is_ok() and sent.ok.stored:
                return
            attempt += 1
            await asyncio.sleep(wait_s)
            wait_s = min(2 * wait_s, RETRY_MAX_S)

    # Deleting expired objects

    async def _sweep_timer(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_PERIOD_S)
            self.tell(Sweep())

    def _owned_shards(self) -> set[int]:
        return {
            shard
            for shard in range(claims.SHARDS)
            if self._owner_of(claims.shard_name(shard)) == self._self_name
        }

    async def _sweep(self) -> None:
        owned = self._owned_shards()
        if not owned:
            return
        listed = await self._platform.list_keys(claims.PREFIX)
        if listed.is_error():
            return
        for object_key in listed.ok:
            bucket, shard = claims.parse_object_key(object_key)
            expired = claims.is_expired(bucket, self._clock.wall())
            if shard in owned and expired:
                await self._delete(object_key)

    async def _delete(self, object_key: str) -> None:
        version = self._store.version(object_key)
        self._store.invalidate(object_key)
        if not version:
            got = await self._platform.get(object_key)
            if got.is_error():
                return
            version = got.ok.version
        await self._platform.delete(object_key, version)


_FINAL = frozenset(
    state.value
    for state in (
        claims.ClaimState.CLAIMED,
        claims.ClaimState.DONE,
        claims.ClaimState.DONE_NO_BODY,
    )
)


def _to_result(
    key: str, nonce: bytes, answer: peers.ClaimAnswer
) -> expression.Result[Claim, errors.SeamError]:
    state = claims.ClaimState(answer.state)
    if state is claims.ClaimState.CLAIMED:
        return expression.Ok(Claim(key, nonce))
    if state is claims.ClaimState.DONE:
        reply = requests.ServiceReply(
            answer.status, answer.content_type, answer.body
        )
        return expression.Ok(Claim(key, nonce, reply))
    failures = {
        claims.ClaimState.HELD: errors.OutcomeUnknown(key),
        claims.ClaimState.DONE_NO_BODY: errors.OutcomeNotKept(
            key, answer.status
        ),
        claims.ClaimState.MISMATCH: errors.KeyReused(key),
        claims.ClaimState.OUTSIDE: errors.KeyOutsideWindow(key),
        claims.ClaimState.FULL: errors.ClaimsFull(key),
    }
    unavailable = platform_errors.PlatformUnavailable("claim")
    return expression.Error(failures.get(state, unavailable))
