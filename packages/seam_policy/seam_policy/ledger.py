"""Ledger of one decode engine: slots, KV blocks and the queue for them.

The engine's owner keeps one. Urgent asks go first; a floor keeps a share of
the slots for the other rank under a flood of urgent work, and a reserve keeps
slots free for urgent asks under a flood of other work (trunk reservation).
Within a rank, workspaces share fairly. An ask that can't be met in time is
declined before any prefill has run. A slot may be granted some time before a
running stream is expected to end, so that prefill runs meanwhile.
"""

from collections.abc import Collection
import math

import attrs

from seam_policy import concurrency
from seam_policy import estimate
from seam_policy import fair
from seam_policy import reconcile
from seam_policy import slot_requests

_RANKS = (slot_requests.URGENT, slot_requests.OTHER)
_RATE_WINDOW_S = 10.0
_BURST_DEVIATIONS = 1.65
_MIN_RATIO = 0.02
_MIN_SAMPLES = 10
_MAX_RATIO = 1.5


@attrs.frozen
class _Waiting:
    ask: slot_requests.SlotRequest
    deadline: float


@attrs.frozen
class _Run:
    request_id: bytes
    rank: int
    workspace: str
    kv_blocks: int
    tokens: int
    starts_at: float
    expires_at: float
    adopted: bool


class SlotLedger:
    """Grants the slots of one engine; every ask gets exactly one answer.

    Every call that may free a slot or pass a deadline returns the answers that
    are due, for the caller to deliver in order.
    """

    def __init__(self, limits: slot_requests.LedgerLimits):
        """Starts with all slots free."""
        self.limits = limits
        self._runs: dict[bytes, _Run] = {}
        self._held = [0, 0]
        self._kv_held = 0
        self._waiting: dict[bytes, _Waiting] = {}
        self._next_deadline = math.inf
        self._queues = tuple(
            fair.FairQueue[_Waiting](limits.weights) for _ in _RANKS
        )
        self._limit = _adaptive_limit(limits)
        self._limit.per_token.value = limits.per_token_s
        self._token_ratio = estimate.Ewma(1.0)
        self._typical_tokens = estimate.Ewma(256.0)
        self._start_delay = estimate.Ewma(0.0)
        """Seconds by which streams start later than was reckoned."""
        self._urgent_rate = estimate.ArrivalRate(_RATE_WINDOW_S)
        self._reports = reconcile.Reconciler()

    def configure(self, limits: slot_requests.LedgerLimits) -> None:
        """Puts new limits in force; grants that are held stay held."""
        if limits == self.limits:
            return
        per_token = self._limit.per_token
        self.limits = limits
        self._limit = _adaptive_limit(limits)
        self._limit.per_token = per_token

    # Views

    @property
    def usable(self) -> int:
        """Slots that may be used now."""
        return self._limit.usable

    @property
    def running(self) -> int:
        """Grants that are held."""
        return len(self._runs)

    @property
    def kv_held(self) -> int:
        """KV blocks that grants hold."""
        return self._kv_held

    @property
    def waiting(self) -> int:
        """Asks that have no answer yet."""
        return len(self._waiting)

    def waiting_of(self, rank: int) -> int:
        """Returns the asks of a rank that have no answer yet."""
        return len(self._queues[rank])

    def held_by(self, rank: int) -> int:
        """Returns the grants that a rank holds."""
        return self._held[rank]

    def held_ids(self, rank: int) -> list[bytes]:
        """Returns the ids of the grants that a rank holds."""
        return [key for key, run in self._runs.items() if run.rank == rank]

    def holds(self, request_id: bytes) -> bool:
        """Tells whether a request holds a slot."""
        return request_id in self._runs

    def free_slots(self, rank: int, now: float) -> int:
        """Returns the free slots that an ask of a rank could have."""
        if self._kv_free(now) <= 0:
            return 0
        free = self._slots_free(now) - self._headroom(rank, now)
        ahead = len(self._queues[slot_requests.URGENT])
        if rank == slot_requests.OTHER:
            ahead += len(self._queues[slot_requests.OTHER])
        return max(0, free - ahead)

    def estimated_wait_s(self, rank: int, now: float) -> float:
        """Returns the estimated wait of an ask that comes now, in seconds."""
        return self._wait(rank, "", 0.0, now)

    # Requests

    def request_slot(
        self, ask: slot_requests.SlotRequest, now: float
    ) -> list[slot_requests.Decision]:
        """Grants, queues or declines.

        An ask that is repeated while the first one waits shares its answer;
        one that is repeated while it holds the slot is granted again.
        """
        if ask.request_id in self._runs:
            return [slot_requests.Granted(ask.request_id, 0.0)]
        if ask.request_id in self._waiting:
            return self.tick(now)
        if ask.rank == slot_requests.URGENT:
            self._urgent_rate.add(now)
        if self._is_too_large(ask):
            return [
                slot_requests.Declined(
                    ask.request_id, slot_requests.DeclineReason.TOO_LARGE
                )
            ]
        actions = self.tick(now)
        if self._can_not_wait(ask, now):
            actions.append(
                slot_requests.Declined(
                    ask.request_id, slot_requests.DeclineReason.TOO_LATE
                )
            )
            return actions
        self._enqueue(ask, now)
        self._pump(now, actions)
        self._shed(ask.rank, actions)
        return actions

    def release(
        self,
        request_id: bytes,
        tokens: int,
        per_token_s: float,
        failed: bool,
        now: float,
    ) -> list[slot_requests.Decision]:
        """Takes a slot back.

        Args:
            request_id: the grant; one that is not held is ignored.
            tokens: output tokens that came.
            per_token_s: mean seconds between them; 0 when not known.
            failed: whether the run broke, so that it tells nothing.
            now: monotonic seconds.
        """
        run = self._runs.get(request_id)
        if run is not None:
            if not failed:
                self._learn(run, tokens, per_token_s, now)
            self._remove(run, now)
            if not run.adopted:
                extra = tokens - run.tokens
                self._queues[run.rank].charge(run.workspace, extra)
        return self.tick(now)

    def cancel(
        self, request_id: bytes, now: float
    ) -> list[slot_requests.Decision]:
        """Forgets an ask that waits, or takes its slot back."""
        waiting = self._waiting.get(request_id)
        if waiting is not None:
            self._dequeue(waiting)
            cancelled = slot_requests.Declined(
                request_id, slot_requests.DeclineReason.CANCELLED
            )
            return [cancelled, *self.tick(now)]
        run = self._runs.get(request_id)
        if run is not None:
            self._remove(run, now)
        return self.tick(now)

    def tick(self, now: float) -> list[slot_requests.Decision]:
        """Expires grants, drops late asks and grants what is free."""
        actions: list[slot_requests.Decision] = []
        self._expire(now)
        self._pump(now, actions)
        return actions

    # What the engine shows

    def adopt(
        self, request_id: bytes, rank: int, kv_blocks: int, now: float
    ) -> list[slot_requests.Decision]:
        """Records a stream that runs already, over the limits if need be."""
        if request_id in self._runs:
            return []
        actions: list[slot_requests.Decision] = []
        waiting = self._waiting.get(request_id)
        if waiting is not None:
            self._dequeue(waiting)
            actions.append(slot_requests.Granted(request_id, 0.0))
        ratio = max(_MIN_RATIO, self._token_ratio.value)
        tokens = max(1, round(self._typical_tokens.value / ratio))
        self._hold(request_id, rank, "", kv_blocks, tokens, 0.0, True, now)
        return actions

    def reconcile(
        self,
        running: int,
        kv_free: int,
        now: float,
        age_s: float = 0.0,
        streams: Collection[bytes] | None = None,
    ) -> list[slot_requests.Decision]:
        """Reconciles with an engine's load report, which lags.

        Grants that the engine lacks for long are taken back; streams that the
        engine has and the ledger lacks count as used slots.

        Args:
            running: streams that the engine held.
            kv_free: its free KV blocks.
            now: monotonic seconds.
            age_s: age of the report.
            streams: request ids that the engine held, when it lists them.
        """
        starts = {key: run.starts_at for key, run in self._runs.items()}
        lost = self._reports.lost(running, starts, now, age_s, streams)
        for request_id in lost:
            self._remove(self._runs[request_id], now)
        self._reports.count_foreign(
            running,
            max(0, self.limits.kv_blocks - kv_free),
            len(self._runs),
            self._kv_held,
            now,
        )
        return self.tick(now)

    # Capacity

    def _slots_free(self, now: float) -> int:
        foreign = self._reports.foreign_slots(now)
        return self.usable - len(self._runs) - foreign

    def _kv_free(self, now: float) -> float:
        if self.limits.kv_blocks <= 0:
            return math.inf
        foreign = self._reports.foreign_kv(now)
        return self.limits.kv_blocks - self._kv_held - foreign

    def _is_too_large(self, ask: slot_requests.SlotRequest) -> bool:
        blocks = self.limits.kv_blocks
        return 0 < blocks < ask.kv_blocks

    def _floor_slots(self) -> int:
        share = self.limits.other_floor
        if share <= 0:
            return 0
        return max(1, int(self.usable * share))

    def _reserve_slots(self, now: float) -> int:
        most = math.ceil(self.usable * self.limits.urgent_reserve)
        if most <= 0:
            return 0
        turnover_s = self._hold_s() / max(1, self.usable)
        arrivals = self._urgent_rate.rate(now) * turnover_s
        burst = arrivals + _BURST_DEVIATIONS * math.sqrt(arrivals)
        return min(most, max(1, math.ceil(burst)))

    def _is_under_floor(self, now: float) -> bool:
        """Tells whether the other rank holds less than its floor.

        A slot that it holds and that ends before the next ask needs one counts
        as given back, else the floor would stand empty during each prefill.
        """
        floor, held = self._floor_slots(), self._held[slot_requests.OTHER]
        head = self._queues[slot_requests.OTHER].head()
        if held != floor or head is None or not self._is_predictable():
            return held < floor
        horizon = now + min(head.ask.lead_s, self.limits.max_lead_s)
        return any(
            run.rank == slot_requests.OTHER
            and not run.adopted
            and run.starts_at <= now
            and self._late_end(run) <= horizon
            for run in self._runs.values()
        )

    def _headroom(self, rank: int, now: float) -> int:
        if rank == slot_requests.URGENT or self._is_under_floor(now):
            return 0
        return self._reserve_slots(now)

    # Expected ends

    def _stream_s(self, tokens: float, spreads: float = 0.0) -> float:
        ratio = self._token_ratio.high(spreads)
        ratio = min(_MAX_RATIO, max(_MIN_RATIO, ratio))
        return tokens * ratio * self._limit.per_token.value

    def _hold_s(self) -> float:
        mean = self._typical_tokens.value * self._limit.per_token.value
        return max(0.01, mean)

    def _is_predictable(self) -> bool:
        """Tells whether streams end close enough to when they should."""
        if self._token_ratio.samples < _MIN_SAMPLES:
            return False
        spread_tokens = self._token_ratio.spread * self._typical_tokens.value
        spread_s = spread_tokens * self._limit.per_token.value
        return spread_s <= self.limits.max_lead_s

    def _sure_ends(self, now: float) -> list[tuple[float, int]]:
        """Returns late ends and KV blocks of streams not yet overdue."""
        if not self._is_predictable():
            return []
        ends = []
        for run in self._runs.values():
            if run.adopted:
                continue
            end = self._late_end(run)
            if run.starts_at <= now <= end:
                ends.append((end, run.kv_blocks))
        ends.sort()
        return ends

    def _late_end(self, run: _Run) -> float:
        """Returns when a stream has ended in most cases."""
        started_at = run.starts_at + self._start_delay.high(1.0)
        return started_at + self._stream_s(run.tokens, spreads=1.0)

    def _mean_ends(self, now: float) -> list[float]:
        """Returns how long each grant is expected to be held from now."""
        hold_s = self._hold_s()
        lefts = []
        for run in self._runs.values():
            left = run.starts_at + self._stream_s(run.tokens) - now
            lefts.append(left if left > 0 else hold_s / 2)
        lefts.sort()
        return lefts

    def _delay(
        self, ask: slot_requests.SlotRequest, headroom: int, now: float
    ) -> float | None:
        """Returns when the ask's slot is free, or None if too late to grant."""
        slots_free = self._slots_free(now) - headroom
        kv_free = self._kv_free(now)
        if slots_free >= 1 and kv_free >= ask.kv_blocks:
            return 0.0
        if slots_free + self.limits.overbook < 1:
            return None
        horizon = now + min(ask.lead_s, self.limits.max_lead_s)
        for ahead, (end, blocks) in enumerate(self._sure_ends(now), start=1):
            if end > horizon or ahead > self.limits.overbook:
                return None
            slots_free += 1
            kv_free += blocks
            if slots_free >= 1 and kv_free >= ask.kv_blocks:
                return end - now
        return None

    # Estimated wait

    def _wait(
        self, rank: int, workspace: str, lead_s: float, now: float
    ) -> float:
        ahead = self._queues[rank].ahead_of(workspace)
        if rank == slot_requests.URGENT:
            return self._wait_behind(ahead, 0, lead_s, now)
        headroom = self._headroom(rank, now)
        everyone = ahead + len(self._queues[slot_requests.URGENT])
        wait = self._wait_behind(everyone, headroom, lead_s, now)
        return min(wait, self._wait_for_floor(ahead))

    def _wait_behind(
        self, ahead: int, headroom: int, lead_s: float, now: float
    ) -> float:
        short = ahead + 1 + headroom - self._slots_free(now)
        if short <= 0:
            return 0.0
        lead_s = min(lead_s, self.limits.max_lead_s)
        lefts = self._mean_ends(now)
        if not lefts:
            return max(0.0, self._hold_s() * short / max(1, self.usable))
        rounds, index = divmod(short - 1, len(lefts))
        wait = lefts[index] + rounds * self._hold_s()
        return max(0.0, wait - lead_s)

    def _wait_for_floor(self, ahead: int) -> float:
        floor = self._floor_slots()
        if floor == 0:
            return math.inf
        turn_s = self._hold_s() / floor
        if self._held[slot_requests.OTHER] < floor:
            return ahead * turn_s + self._hold_s() / max(1, self.usable)
        return (ahead + 1) * turn_s

    def _can_not_wait(self, ask: slot_requests.SlotRequest, now: float) -> bool:
        if ask.wait_s < 0:
            return True
        wait = self._wait(ask.rank, ask.workspace, ask.lead_s, now)
        return wait > ask.wait_s

    # Queue

    def _enqueue(self, ask: slot_requests.SlotRequest, now: float) -> None:
        waiting = _Waiting(ask, now + ask.wait_s)
        self._waiting[ask.request_id] = waiting
        self._next_deadline = min(self._next_deadline, waiting.deadline)
        queue = self._queues[ask.rank]
        queue.push(ask.workspace, ask.request_id, waiting)

    def _dequeue(self, waiting: _Waiting) -> None:
        ask = waiting.ask
        del self._waiting[ask.request_id]
        self._queues[ask.rank].remove(ask.workspace, ask.request_id)

    def _shed(self, rank: int, actions: list[slot_requests.Decision]) -> None:
        queue = self._queues[rank]
        while len(queue) > self.limits.queue_limit:
            waiting = queue.last_of(queue.longest())
            self._dequeue(waiting)
            request_id = waiting.ask.request_id
            actions.append(
                slot_requests.Declined(
                    request_id, slot_requests.DeclineReason.QUEUE_FULL
                )
            )

    def _drop_late(
        self, now: float, actions: list[slot_requests.Decision]
    ) -> None:
        if now <= self._next_deadline:
            return
        late = [
            waiting
            for waiting in self._waiting.values()
            if waiting.deadline < now
        ]
        self._next_deadline = min(
            (
                waiting.deadline
                for waiting in self._waiting.values()
                if waiting.deadline >= now
            ),
            default=math.inf,
        )
        for waiting in late:
            self._dequeue(waiting)
            request_id = waiting.ask.request_id
            actions.append(
                slot_requests.Declined(
                    request_id, slot_requests.DeclineReason.DROPPED
                )
            )

    def _pump(self, now: float, actions: list[slot_requests.Decision]) -> None:
        """Drops late asks and grants heads while they fit."""
        self._drop_late(now, actions)
        while self._waiting:
            granted = self._grant_next(now)
            if granted is None:
                return
            actions.append(granted)

    def _grant_next(self, now: float) -> slot_requests.Granted | None:
        for rank in self._order(now):
            head = self._queues[rank].head()
            if head is None:
                continue
            delay_s = self._delay(head.ask, self._headroom(rank, now), now)
            # A smaller ask behind the head must not overtake it for ever.
            return None if delay_s is None else self._grant(head, delay_s, now)
        return None

    def _order(self, now: float) -> tuple[int, ...]:
        if self._is_under_floor(now):
            return (slot_requests.OTHER, slot_requests.URGENT)
        return _RANKS

    def _grant(
        self, head: _Waiting, delay_s: float, now: float
    ) -> slot_requests.Granted:
        ask = head.ask
        queue = self._queues[ask.rank]
        queue.serve(ask.workspace, ask.tokens)
        self._dequeue(head)
        self._hold(
            ask.request_id,
            ask.rank,
            ask.workspace,
            ask.kv_blocks,
            ask.tokens,
            max(delay_s, ask.lead_s),
            False,
            now,
        )
        return slot_requests.Granted(ask.request_id, delay_s)

    # Grants

    def _hold(
        self,
        request_id: bytes,
        rank: int,
        workspace: str,
        kv_blocks: int,
        tokens: int,
        start_s: float,
        adopted: bool,
        now: float,
    ) -> None:
        slowest_s = tokens * self._limit.per_token.value
        slowest_s *= self.limits.slowest_factor
        starts_at = now + start_s
        self._runs[request_id] = _Run(
            request_id=request_id,
            rank=rank,
            workspace=workspace,
            kv_blocks=kv_blocks,
            tokens=tokens,
            starts_at=starts_at,
            expires_at=starts_at + slowest_s + self.limits.grant_slack_s,
            adopted=adopted,
        )
        self._held[rank] += 1
        self._kv_held += kv_blocks

    def _remove(self, run: _Run, now: float) -> None:
        del self._runs[run.request_id]
        self._held[run.rank] -= 1
        self._kv_held -= run.kv_blocks
        if run.starts_at <= now:
            self._reports.note_end(run.kv_blocks, now)

    def _expire(self, now: float) -> None:
        expired = [run for run in self._runs.values() if run.expires_at < now]
        for run in expired:
            self._remove(run, now)

    def _learn(
        self, run: _Run, tokens: int, per_token_s: float, now: float
    ) -> None:
        in_use = len(self._runs)
        self._limit.add(per_token_s, in_use, now)
        if tokens <= 0:
            return
        self._typical_tokens.add(float(tokens))
        if run.adopted or run.tokens <= 0:
            return
        self._token_ratio.add(tokens / run.tokens)
        if per_token_s > 0:
            started_at = now - tokens * per_token_s
            self._start_delay.add(started_at - run.starts_at)


def _adaptive_limit(
    limits: slot_requests.LedgerLimits,
) -> concurrency.AdaptiveLimit:
    return concurrency.AdaptiveLimit(
        limits.slots,
        limits.min_slots,
        limits.per_token_target_s,
        limits.adapt_interval_s,
    )
