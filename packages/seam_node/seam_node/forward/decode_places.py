"""Lets requests wait for places at decode engines, in one line for all."""

import asyncio
from collections.abc import Callable

import expression

from seam_model import errors
from seam_model import forwarding
from seam_node.forward import context
from seam_node.forward import engine_room
from seam_node.forward import peers
from seam_node.forward import workload
from seam_policy import kv_forecast
from seam_policy import output_length
from seam_policy import retry_after_schedule
from seam_policy import returning_callers
from seam_policy import wait_queue

RETRY_S = 0.05
"""Pause after which the first in line asks again."""
WAIT_SHARE = 0.7
"""Part of the latency target that a request may wait for a place."""
LATE_WAIT_S = 2.2
"""Wait of a request that is late already; its caller leaves soon after."""
RETURN_SHARE = 0.33
"""Part of the time left after which callers come back at the latest."""

Acquired = expression.Result[context.DecodePlace, errors.SeamError]


class DecodePlaces:
    """Keeps this instance's line and takes its turn among the others'."""

    def __init__(
        self,
        room: engine_room.EngineRoom,
        heard: Callable[[], list[peers.Heard]],
        tell: Callable[[], None],
        load: workload.WorkloadEstimate,
        now: Callable[[], float],
    ):
        """Takes the engines' room.

        Args:
            room: reserves places.
            heard: returns the newest heartbeats of the other instances.
            tell: sends them a heartbeat at once.
            load: the usual request.
            now: the clock.
        """
        self._room = room
        self._heard = heard
        self._tell = tell
        self._load = load
        self._now = now
        self._lengths = output_length.OutputLengthEstimator()
        self._returning = returning_callers.ReturningCallers()
        self._line = wait_queue.WaitQueue()
        self._announced = False
        self._returns = retry_after_schedule.RetryAfterSchedule()
        self._freed = asyncio.Event()

    def __len__(self) -> int:
        """Returns how many requests wait."""
        return len(self._line)

    async def acquire(self, ctx: context.ForwardContext) -> Acquired:
        """Waits for a place, at most a part of the latency target.

        Errors: `NoEndpoint`, `NoDecodePlace`.
        """
        ctx.size = self._size(ctx.req.prompt)
        ctx.returned = self._returning.is_returning(
            ctx.route.name, ctx.req.deadline_s, ctx.route.timeout_s
        )
        ticket = self._line.join(ctx.route.rank, ctx.returned, ctx.now())
        try:
            return await self._wait(ctx, ticket)
        finally:
            was_first = self._line.first() == ticket
            self._line.leave(ticket)
            self._freed.set()
            if was_first and self._announced:
                self._announce()

    def waiting(self) -> wait_queue.QueueHead | None:
        """Returns the first request in the line."""
        return self._line.queue_head(self._now())

    def return_s(self, ctx: context.ForwardContext) -> float:
        """Returns when a refused caller should come back, in seconds."""
        engines = len(self._room.engines(ctx)) or 1
        load = self._load.current()
        places = ctx.service.engine.kv_tokens / (
            load.prompt_tokens + load.output_tokens / 2
        )
        stream_s = load.output_tokens / load.output_tokens_s
        step_s = stream_s / (engines * places) * (1 + len(self._heard()))
        most_s = ctx.remaining_s() * RETURN_SHARE
        return self._returns.assign(ctx.now(), step_s, most_s)

    def keep_routes(self, names: set[str]) -> None:
        """Forgets what was learnt of other routes."""
        self._returning.retain(names)

    def release(self, place: context.DecodePlace, used: bool) -> None:
        """Gives a place back."""
        self._room.release(place, used)
        self._freed.set()

    # Waiting

    def _size(self, prompt: forwarding.PromptSize) -> kv_forecast.StreamSize:
        likely = self._lengths.expected_tokens(
            prompt.expected_new_tokens, prompt.max_new_tokens
        )
        return kv_forecast.StreamSize(
            prompt.tokens, likely, prompt.max_new_tokens
        )

    async def _wait(
        self, ctx: context.ForwardContext, ticket: wait_queue.Ticket
    ) -> Acquired:
        wait_s = LATE_WAIT_S if ticket.late else ctx.route.target_s * WAIT_SHARE
        give_up_at = ctx.arrived_at + wait_s
        while True:
            if self._line.first() == ticket:
                asked = await self._ask_round(ctx, ticket)
                if asked.is_ok() or isinstance(asked.error, errors.NoEndpoint):
                    return asked
            left_s = min(give_up_at - ctx.now(), ctx.remaining_s())
            if left_s <= 0:
                count = len(self._room.engines(ctx))
                return expression.Error(errors.NoDecodePlace(count))
            if self._line.first() == ticket and not self._announced:
                self._announce()
            await self._sleep(min(RETRY_S, left_s))

    def _announce(self) -> None:
        """Tells the other instances who is first in the line now."""
        self._announced = len(self._line) > 0
        self._tell()

    async def _sleep(self, most_s: float) -> None:
        self._freed.clear()
        try:
            async with asyncio.timeout(most_s):
                await self._freed.wait()
        except TimeoutError:
            return

    async def _ask_round(
        self, ctx: context.ForwardContext, ticket: wait_queue.Ticket
    ) -> Acquired:
        choice = self._room.choose(ctx)
        if not choice.engines:
            return expression.Error(errors.NoEndpoint(ctx.service.name))
        place = None
        if not choice.is_scarce() or self._is_first(ticket):
            place = await self._room.reserve(ctx, choice)
        if place is None:
            return expression.Error(errors.NoDecodePlace(len(choice.engines)))
        return expression.Ok(place)

    def _is_first(self, ticket: wait_queue.Ticket) -> bool:
        others = (each.heartbeat.waiting for each in self._heard())
        return wait_queue.may_take_last_place(
            ticket, (each for each in others if each is not None), self._now()
        )
