"""Reserves a decode slot at the owner of a promising decode engine."""

import asyncio

import attrs

from seam_model import endpoints
from seam_model import errors
from seam_model import ids
from seam_model import peers
from seam_node.controllers import engines
from seam_node.controllers import ownership
from seam_node.controllers import planner
from seam_node.controllers import runs
from seam_node.filters import base
from seam_node.ports import peer

CANDIDATES = 2
ANSWER_MARGIN_S = 0.25
FIRST_TOKEN_MARGIN_S = 0.05
"""Time kept for the first decode step and the way to the caller."""


@attrs.define
class _Slot:
    engine: str
    owner: str
    """Instance that granted the slot; empty without a reservation."""


class PlaceFilter(base.Filter):
    """Finds the decode engine, and gives the slot back at the end."""

    name = "place"

    def __init__(
        self,
        directory: engines.EngineDirectory,
        owners: ownership.Ownership,
        network: peer.PeerNetwork,
        plan: planner.Planner,
    ):
        """Takes the engines, their owners, the peers and the planner."""
        self._directory = directory
        self._ownership = owners
        self._network = network
        self._planner = plan

    async def apply(
        self, ctx: base.Context, proceed: base.Proceed
    ) -> base.Result:
        """Reserves a slot, passes on, and releases the slot."""
        if ctx.stream is not None:
            return await self._held(ctx, proceed)
        slot = await self._reserve(ctx)
        if isinstance(slot, errors.SeamError):
            return base.fail(slot)
        ctx.decode = self._directory.record(slot.engine)
        if ctx.decode is None:
            self._release(ctx, slot, failed=True)
            return base.fail(errors.NoEndpoint(slot.engine))
        ctx.note(self.name, f"decode engine {slot.engine}")
        failed = True
        try:
            result = await proceed(ctx)
            failed = result.is_error()
            return result
        finally:
            self._release(ctx, slot, failed)

    async def _held(
        self, ctx: base.Context, proceed: base.Proceed
    ) -> base.Result:
        """Passes on a stream that was taken over, and frees its slot."""
        name = ctx.run.engine
        owner = self._ownership.owner_of(name) or ""
        result = await proceed(ctx)
        self._release(ctx, _Slot(name, owner), result.is_error())
        return result

    async def _reserve(self, ctx: base.Context) -> _Slot | errors.SeamError:
        order = self._planner.decode_order(ctx.generate, ctx.excluded)
        if not order:
            return errors.NoEndpoint(f"decode engine for {ctx.generate.model}")
        if not self._planner.reserves:
            return _Slot(order[0].name, "")
        last: errors.SeamError = errors.Overloaded("no decode slot in time")
        for candidate in order[:CANDIDATES]:
            owner = self._ownership.owner_of(candidate.name)
            if owner is None:
                last = errors.NoEndpoint(f"owner of {candidate.name}")
                continue
            answer = await self._ask(ctx, candidate, owner)
            if isinstance(answer, _Slot):
                return answer
            last = answer
            if ctx.run.stop is not None:
                return runs.stop_error(ctx.run, self.name)
        return last

    async def _ask(
        self, ctx: base.Context, candidate: planner.DecodeChoice, owner: str
    ) -> _Slot | errors.SeamError:
        req = ctx.generate
        wait_s = self._wait_limit(ctx, candidate)
        if wait_s < 0:
            return errors.Overloaded("first token target cannot be met")
        blocks = -(
            -(req.prompt_tokens + req.max_tokens) // endpoints.KV_BLOCK_TOKENS
        )
        message = peers.SlotRequest(
            ids.pack(req.request_id),
            candidate.name,
            int(req.rank),
            req.workspace,
            wait_s,
            blocks,
            req.max_tokens,
            candidate.lead_s,
        )
        asked = asyncio.ensure_future(
            self._network.request(owner, message, wait_s + ANSWER_MARGIN_S)
        )
        answered = await runs.until_stopped(ctx.run, asyncio.shield(asked))
        if answered is None:
            slot = _Slot(candidate.name, owner)
            self._release(ctx, slot, failed=False)
            return runs.stop_error(ctx.run, self.name)
        if answered.is_error():
            if isinstance(answered.error, errors.PeerTimeout):
                self._release(ctx, _Slot(candidate.name, owner), failed=False)
            return answered.error
        answer: peers.SlotAnswer = answered.ok
        self._directory.learn(candidate.name, answer.room, answer.wait_s)
        if not answer.granted:
            return errors.Overloaded(answer.reason)
        ctx.slot_free_at = ctx.now() + answer.delay_s
        return _Slot(candidate.name, owner)

    def _wait_limit(
        self, ctx: base.Context, choice: planner.DecodeChoice
    ) -> float:
        """Returns the longest useful wait for a slot, in seconds."""
        waited_s = ctx.now() - ctx.arrived_at
        target_s = ctx.generate.targets.first_token_s
        return target_s - waited_s - choice.lead_s - FIRST_TOKEN_MARGIN_S

    def _release(self, ctx: base.Context, slot: _Slot, failed: bool) -> None:
        if not slot.owner:
            return
        per_token_us = 0
        if ctx.first_token_at is not None and ctx.tokens > 1:
            span_s = ctx.now() - ctx.first_token_at
            per_token_us = int(span_s / ctx.tokens * 1e6)
        self._network.notify(
            slot.owner,
            peers.SlotRelease(
                ids.pack(ctx.run.request_id),
                slot.engine,
                ctx.tokens,
                per_token_us,
                failed,
            ),
        )
