"""Queues model requests until a decode engine has capacity for them.

Each instance keeps its own queue. When capacity is scarce, the heartbeats of
the other instances decide whose first request is served next.
"""

import asyncio
from collections.abc import Callable

import expression

from seam_model import errors
from seam_model import forwarding
from seam_node.forward import context
from seam_node.forward import decode_capacity
from seam_node.forward import peers
from seam_node.forward import workload
from seam_policy import kv_forecast
from seam_policy import output_length
from seam_policy import retry_after_schedule
from seam_policy import returning_callers
from seam_policy import wait_queue

RETRY_INTERVAL_S = 0.05
"""Interval at which the first request of the queue retries."""
MAX_WAIT_TARGET_SHARE = 0.7
"""Longest wait for a reservation, as a share of the latency target."""
LATE_MAX_WAIT_S = 2.2
"""Longest wait of a request that has already missed its latency target; its
caller disconnects soon afterwards."""
MAX_RETRY_AFTER_SHARE = 0.33
"""Upper bound of Retry-After, as a share of the request's remaining time."""

Acquired = expression.Result[context.DecodeReservation, errors.SeamError]


class DecodeCapacityQueue:
    """Queues this instance's requests for capacity at decode engines."""

    def __init__(
        self,
        capacity: decode_capacity.DecodeCapacity,
        peer_heartbeats: Callable[[], list[peers.ReceivedHeartbeat]],
        notify_peers: Callable[[], None],
        load: workload.WorkloadEstimate,
        now: Callable[[], float],
    ):
        """Creates an empty queue.

        Args:
            capacity: reserves capacity at engines.
            peer_heartbeats: returns the latest heartbeats of live peers.
            notify_peers: sends a heartbeat to the peers immediately.
            load: average size and output rate of requests.
            now: the clock.
        """
        self._capacity = capacity
        self._peer_heartbeats = peer_heartbeats
        self._notify_peers = notify_peers
        self._load = load
        self._now = now
        self._output_lengths = output_length.OutputLengthEstimator()
        self._returning_callers = returning_callers.ReturningCallers()
        self._queue = wait_queue.WaitQueue()
        self._first_announced = False
        self._retry_schedule = retry_after_schedule.RetryAfterSchedule()
        self._capacity_freed = asyncio.Event()

    def __len__(self) -> int:
        """Returns the number of queued requests."""
        return len(self._queue)

    async def acquire(self, ctx: context.ForwardContext) -> Acquired:
        """Waits for a reservation, for at most a share of the latency target.

        Errors: `NoEndpoint`, `NoDecodePlace`.
        """
        ctx.stream_size = self._size(ctx.req.prompt)
        ctx.is_returning_caller = self._returning_callers.is_returning(
            ctx.route.name, ctx.req.deadline_s, ctx.route.timeout_s
        )
        ticket = self._queue.join(
            ctx.route.rank, ctx.is_returning_caller, ctx.now()
        )
        try:
            return await self._wait(ctx, ticket)
        finally:
            was_first = self._queue.first() == ticket
            self._queue.leave(ticket)
            self._capacity_freed.set()
            if was_first and self._first_announced:
                self._announce_first()

    def queue_head(self) -> wait_queue.QueueHead | None:
        """Returns the first request of the queue, or None."""
        return self._queue.queue_head(self._now())

    def retry_after_s(self, ctx: context.ForwardContext) -> float:
        """Returns the Retry-After of a refused request, in seconds."""
        engines = len(self._capacity.engines(ctx)) or 1
        load = self._load.current()
        streams_per_engine = ctx.service.engine.kv_tokens / (
            load.prompt_tokens + load.output_tokens / 2
        )
        stream_s = load.output_tokens / load.output_tokens_s
        interval_s = (
            stream_s
            / (engines * streams_per_engine)
            * (1 + len(self._peer_heartbeats()))
        )
        max_retry_s = ctx.remaining_s() * MAX_RETRY_AFTER_SHARE
        return self._retry_schedule.assign(ctx.now(), interval_s, max_retry_s)

    def retain_routes(self, route_names: set[str]) -> None:
        """Drops the statistics of all routes but these."""
        self._returning_callers.retain(route_names)

    def release(
        self, reservation: context.DecodeReservation, used: bool
    ) -> None:
        """Releases a reservation and wakes the queue.

        Args:
            reservation: what `acquire` returned.
            used: whether the hold was sent to the engine, which then frees it.
        """
        self._capacity.release(reservation, used)
        self._capacity_freed.set()

    # Waiting

    def _size(self, prompt: forwarding.PromptSize) -> kv_forecast.StreamSize:
        expected_tokens = self._output_lengths.expected_tokens(
            prompt.expected_new_tokens, prompt.max_new_tokens
        )
        return kv_forecast.StreamSize(
            prompt.tokens, expected_tokens, prompt.max_new_tokens
        )

    async def _wait(
        self, ctx: context.ForwardContext, ticket: wait_queue.Ticket
    ) -> Acquired:
        wait_s = (
            LATE_MAX_WAIT_S
            if ticket.late
            else ctx.route.target_s * MAX_WAIT_TARGET_SHARE
        )
        deadline_at = ctx.arrived_at + wait_s
        while True:
            if self._queue.first() == ticket:
                acquired = await self._try_reserve(ctx, ticket)
                if acquired.is_ok() or isinstance(
                    acquired.error, errors.NoEndpoint
                ):
                    return acquired
            remaining_s = min(deadline_at - ctx.now(), ctx.remaining_s())
            if remaining_s <= 0:
                count = len(self._capacity.engines(ctx))
                return expression.Error(errors.NoDecodePlace(count))
            if self._queue.first() == ticket and not self._first_announced:
                self._announce_first()
            await self._sleep(min(RETRY_INTERVAL_S, remaining_s))

    def _announce_first(self) -> None:
        """Sends the first request of the queue to the other instances."""
        self._first_announced = len(self._queue) > 0
        self._notify_peers()

    async def _sleep(self, timeout_s: float) -> None:
        self._capacity_freed.clear()
        try:
            async with asyncio.timeout(timeout_s):
                await self._capacity_freed.wait()
        except TimeoutError:
            return

    async def _try_reserve(
        self, ctx: context.ForwardContext, ticket: wait_queue.Ticket
    ) -> Acquired:
        choice = self._capacity.choose(ctx)
        if not choice.engines:
            return expression.Error(errors.NoEndpoint(ctx.service.name))
        reservation = None
        if not choice.is_scarce() or self._may_take_scarce(ticket):
            reservation = await self._capacity.reserve(ctx, choice)
        if reservation is None:
            return expression.Error(errors.NoDecodePlace(len(choice.engines)))
        return expression.Ok(reservation)

    def _may_take_scarce(self, ticket: wait_queue.Ticket) -> bool:
        others = (each.heartbeat.queue_head for each in self._peer_heartbeats())
        return wait_queue.may_take_scarce_capacity(
            ticket, (each for each in others if each is not None), self._now()
        )
