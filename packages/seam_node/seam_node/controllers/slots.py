"""Acquires and releases slots at the owners of decode engines."""

import asyncio

import attrs
import expression

from seam_model import endpoints
from seam_model import errors
from seam_model import ids
from seam_model import peers
from seam_model import requests
from seam_node.controllers import engines
from seam_node.controllers import ownership
from seam_node.controllers import planner
from seam_node.controllers import runs
from seam_node.ports import peer

ANSWER_MARGIN_S = 0.12
MICROS_PER_S = 1e6


@attrs.frozen
class Slot:
    """A decode slot that a request holds."""

    engine: str
    owner: str
    """Instance that granted the slot; empty without a reservation."""
    delay_s: float = 0.0
    """Expected time from the grant until the slot is free."""


@attrs.frozen
class SlotUsage:
    """Usage of a slot, reported to the owner when it is released."""

    tokens: int = 0
    per_token_s: float = 0.0
    failed: bool = False


class SlotClient:
    """Exchanges slot messages with the owners of engines."""

    def __init__(
        self,
        directory: engines.EngineDirectory,
        owners: ownership.Ownership,
        network: peer.PeerNetwork,
    ):
        """Sends messages over `network` to the instances in `owners`."""
        self._directory = directory
        self._ownership = owners
        self._network = network

    def running_slot(self, engine: str) -> Slot:
        """Returns the slot of a stream that already runs at an engine."""
        return Slot(engine, self._ownership.owner_of(engine) or "")

    async def acquire(
        self,
        run: runs.Run,
        req: requests.GenerateRequest,
        choice: planner.DecodeChoice,
        wait_s: float,
    ) -> expression.Result[Slot, errors.SeamError]:
        """Requests a slot and waits up to `wait_s` for it.

        Errors: `Overloaded`, `Cancelled`, `DeadlinePassed`, `NoEndpoint` and
        the errors of the peer network.
        """
        owner = self._ownership.owner_of(choice.name)
        if owner is None:
            error = errors.NoEndpoint(f"owner of {choice.name}")
            return expression.Error(error)
        message = _slot_request(req, choice, wait_s)
        request_future = asyncio.ensure_future(
            self._network.request(owner, message, wait_s + ANSWER_MARGIN_S)
        )
        answered = await runs.wait_unless_stopped(
            run, asyncio.shield(request_future)
        )
        if answered is None:
            self.release(req.request_id, Slot(choice.name, owner), SlotUsage())
            return expression.Error(runs.stop_error(run, "place"))
        if answered.is_error():
            if isinstance(answered.error, errors.PeerTimeout):
                self.release(
                    req.request_id, Slot(choice.name, owner), SlotUsage()
                )
            return answered
        answer: peers.SlotAnswer = answered.ok
        self._directory.set_hint(
            choice.name, req.rank, answer.free_slots, answer.wait_s
        )
        if not answer.granted:
            return expression.Error(errors.Overloaded(answer.reason))
        return expression.Ok(Slot(choice.name, owner, answer.delay_s))

    def release(self, request_id: str, slot: Slot, usage: SlotUsage) -> None:
        """Releases a slot, or withdraws the request for it."""
        if not slot.owner:
            return
        message = peers.SlotRelease(
            ids.pack(request_id),
            slot.engine,
            usage.tokens,
            int(usage.per_token_s * MICROS_PER_S),
            usage.failed,
        )
        self._network.notify(slot.owner, message)


def _slot_request(
    req: requests.GenerateRequest, choice: planner.DecodeChoice, wait_s: float
) -> peers.SlotRequest:
    tokens = req.prompt_tokens + req.max_tokens
    return peers.SlotRequest(
        request_id=ids.pack(req.request_id),
        engine=choice.name,
        rank=int(req.rank),
        workspace=req.workspace,
        wait_s=wait_s,
        kv_blocks=-(-tokens // endpoints.KV_BLOCK_TOKENS),
        tokens=req.max_tokens,
        lead_s=choice.lead_s,
    )
