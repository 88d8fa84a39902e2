"""Ledger of the slots, KV blocks and queued requests of one decode engine.

The engine's owner keeps the ledger. Urgent requests are served first; a floor
guarantees rank `OTHER` a share of the slots under a flood of urgent requests,
and a reserve keeps slots free for urgent requests under a flood of rank
`OTHER` (trunk reservation). Within a rank, slots are shared fairly between
workspaces. A request that can't be granted in time is declined before any
prefill runs. A slot may be granted shortly before a running stream is expected
to end, so that the prefill overlaps with the end of that stream.
"""

from collections.abc import Collection
import math

from seam_policy import estimate
from seam_policy import hold_estimate
from seam_policy import reconcile
from seam_policy import slot_grants
from seam_policy import slot_queue
from seam_policy import slot_requests

_RANKS = (slot_requests.URGENT, slot_requests.OTHER)
_URGENT_RATE_WINDOW_S = 10.0
_BURST_DEVIATIONS = 1.65


class SlotLedger:
    """Grants the slots of one engine; each request gets exactly one decision.

    Every call that may free a slot or pass a deadline returns the decisions
    that are due; the caller delivers them in order.
    """

    def __init__(self, limits: slot_requests.LedgerLimits):
        """Creates a ledger with all slots free."""
        self.limits = limits
        self._grants: dict[bytes, slot_grants.Grant] = {}
        self._held_by_rank = [0, 0]
        self._kv_blocks_held = 0
        self._queue = slot_queue.SlotQueue(limits.weights, len(_RANKS))
        self._holds = hold_estimate.HoldEstimate(limits)
        self._urgent_rate = estimate.ArrivalRate(_URGENT_RATE_WINDOW_S)
        self._reports = reconcile.Reconciler()

    def configure(self, limits: slot_requests.LedgerLimits) -> None:
        """Applies new limits; existing grants are kept."""
        if limits == self.limits:
            return
        self.limits = limits
        self._holds.configure(limits)

    # Views

    @property
    def usable(self) -> int:
        """Number of slots that may currently be used."""
        return self._holds.usable

    @property
    def running(self) -> int:
        """Number of grants."""
        return len(self._grants)

    @property
    def kv_held(self) -> int:
        """Number of KV blocks held by grants."""
        return self._kv_blocks_held

    @property
    def waiting(self) -> int:
        """Number of queued requests."""
        return len(self._queue)

    def waiting_of(self, rank: int) -> int:
        """Returns the number of queued requests of a rank."""
        return len(self._queue.rank(rank))

    def held_by(self, rank: int) -> int:
        """Returns the number of grants of a rank."""
        return self._held_by_rank[rank]

    def held_ids(self, rank: int) -> list[bytes]:
        """Returns the request ids of the grants of a rank."""
        return [
            key for key, grant in self._grants.items() if grant.rank == rank
        ]

    def holds(self, request_id: bytes) -> bool:
        """Returns whether a request holds a slot."""
        return request_id in self._grants

    def free_slots(self, rank: int, now: float) -> int:
        """Returns the number of free slots for new requests of a rank."""
        if self._kv_free(now) <= 0:
            return 0
        free = self._slots_free(now) - self._headroom(rank, now)
        ahead = len(self._queue.rank(slot_requests.URGENT))
        if rank == slot_requests.OTHER:
            ahead += len(self._queue.rank(slot_requests.OTHER))
        return max(0, free - ahead)

    def estimated_wait_s(self, rank: int, now: float) -> float:
        """Returns the estimated wait of a new request, in seconds."""
        return self._estimated_wait(rank, "", 0.0, now)

    # Requests

    def request_slot(
        self, request: slot_requests.SlotRequest, now: float
    ) -> list[slot_requests.Decision]:
        """Grants, queues or declines a request.

        A duplicate of a queued request shares its decision; a duplicate of a
        request that holds a slot is granted again.
        """
        if request.request_id in self._grants:
            return [slot_requests.Granted(request.request_id, 0.0)]
        if self._queue.get(request.request_id) is not None:
            return self.tick(now)
        if request.rank == slot_requests.URGENT:
            self._urgent_rate.add(now)
        if self._is_too_large(request):
            return [
                slot_requests.Declined(
                    request.request_id, slot_requests.DeclineReason.TOO_LARGE
                )
            ]
        decisions = self.tick(now)
        if self._is_wait_too_long(request, now):
            decisions.append(
                slot_requests.Declined(
                    request.request_id, slot_requests.DeclineReason.TOO_LATE
                )
            )
            return decisions
        self._queue.add(request, now)
        self._process_queue(now, decisions)
        return decisions + self._queue.shed_excess(
            request.rank, self.limits.queue_limit
        )

    def release(
        self,
        request_id: bytes,
        tokens: int,
        per_token_s: float,
        failed: bool,
        now: float,
    ) -> list[slot_requests.Decision]:
        """Releases a slot.

        Args:
            request_id: request that holds the slot; ignored if there is none.
            tokens: output tokens received.
            per_token_s: mean seconds between tokens; 0 if unknown.
            failed: whether the stream failed, which excludes it from the
                estimates.
            now: current time, in monotonic seconds.
        """
        grant = self._grants.get(request_id)
        if grant is not None:
            if not failed:
                self._update_estimates(grant, tokens, per_token_s, now)
            self._remove_grant(grant, now)
            if not grant.adopted:
                extra_tokens = tokens - grant.tokens
                self._queue.rank(grant.rank).charge(
                    grant.workspace, extra_tokens
                )
        return self.tick(now)

    def cancel(
        self, request_id: bytes, now: float
    ) -> list[slot_requests.Decision]:
        """Removes a queued request, or releases its slot."""
        waiting = self._queue.get(request_id)
        if waiting is not None:
            self._queue.remove(waiting)
            cancelled = slot_requests.Declined(
                request_id, slot_requests.DeclineReason.CANCELLED
            )
            return [cancelled, *self.tick(now)]
        grant = self._grants.get(request_id)
        if grant is not None:
            self._remove_grant(grant, now)
        return self.tick(now)

    def tick(self, now: float) -> list[slot_requests.Decision]:
        """Expires grants, drops expired requests and grants free slots."""
        decisions: list[slot_requests.Decision] = []
        self._expire(now)
        self._process_queue(now, decisions)
        return decisions

    # Engine state

    def adopt(
        self, request_id: bytes, rank: int, kv_blocks: int, now: float
    ) -> list[slot_requests.Decision]:
        """Adds a grant for a running stream, even if it exceeds the limits."""
        if request_id in self._grants:
            return []
        decisions: list[slot_requests.Decision] = []
        waiting = self._queue.get(request_id)
        if waiting is not None:
            self._queue.remove(waiting)
            decisions.append(slot_requests.Granted(request_id, 0.0))
        tokens = self._holds.typical_expected_tokens()
        self._add_grant(request_id, rank, "", kv_blocks, tokens, 0.0, True, now)
        return decisions

    def reconcile(
        self,
        running: int,
        kv_free: int,
        now: float,
        age_s: float = 0.0,
        streams: Collection[bytes] | None = None,
    ) -> list[slot_requests.Decision]:
        """Reconciles the grants with an engine's delayed load report.

        Grants that the engine lacks for some time are released; streams that
        the engine has and the ledger lacks count as used slots.

        Args:
            running: number of streams in the report.
            kv_free: free KV blocks in the report.
            now: current time, in monotonic seconds.
            age_s: age of the report.
            streams: request ids in the report; None if it does not list them.
        """
        starts = {key: grant.starts_at for key, grant in self._grants.items()}
        lost = self._reports.find_lost(running, starts, now, age_s, streams)
        for request_id in lost:
            self._remove_grant(self._grants[request_id], now)
        self._reports.count_foreign(
            running,
            max(0, self.limits.kv_blocks - kv_free),
            len(self._grants),
            self._kv_blocks_held,
            now,
        )
        return self.tick(now)

    # Capacity

    def _slots_free(self, now: float) -> int:
        foreign = self._reports.foreign_slots(now)
        return self.usable - len(self._grants) - foreign

    def _kv_free(self, now: float) -> float:
        if self.limits.kv_blocks <= 0:
            return math.inf
        foreign = self._reports.foreign_kv(now)
        return self.limits.kv_blocks - self._kv_blocks_held - foreign

    def _is_too_large(self, request: slot_requests.SlotRequest) -> bool:
        blocks = self.limits.kv_blocks
        return 0 < blocks < request.kv_blocks

    def _floor_slots(self) -> int:
        share = self.limits.other_floor
        if share <= 0:
            return 0
        return max(1, int(self.usable * share))

    def _reserve_slots(self, now: float) -> int:
        max_reserve = math.ceil(self.usable * self.limits.urgent_reserve)
        if max_reserve <= 0:
            return 0
        turnover_s = self._holds.mean_s() / max(1, self.usable)
        arrivals = self._urgent_rate.rate(now) * turnover_s
        burst = arrivals + _BURST_DEVIATIONS * math.sqrt(arrivals)
        return min(max_reserve, max(1, math.ceil(burst)))

    def _is_under_floor(self, now: float) -> bool:
        """Returns whether rank `OTHER` holds fewer slots than its floor.

        A held slot that becomes free before the next request needs it counts
        as released; otherwise the floor would be unused during each prefill.
        """
        floor, held = (
            self._floor_slots(),
            self._held_by_rank[slot_requests.OTHER],
        )
        head = self._queue.rank(slot_requests.OTHER).head()
        if held != floor or head is None or not self._holds.is_predictable():
            return held < floor
        horizon = now + min(head.request.lead_s, self.limits.max_lead_s)
        return any(
            grant.rank == slot_requests.OTHER
            and not grant.adopted
            and grant.starts_at <= now
            and self._holds.late_end_at(grant.starts_at, grant.tokens)
            <= horizon
            for grant in self._grants.values()
        )

    def _headroom(self, rank: int, now: float) -> int:
        if rank == slot_requests.URGENT or self._is_under_floor(now):
            return 0
        return self._reserve_slots(now)

    # Expected ends

    def _grant_delay(
        self, request: slot_requests.SlotRequest, headroom: int, now: float
    ) -> float | None:
        """Returns the seconds until the request's slot is free.

        Returns None if that is too late to grant the request now.
        """
        slots_free = self._slots_free(now) - headroom
        kv_free = self._kv_free(now)
        if slots_free >= 1 and kv_free >= request.kv_blocks:
            return 0.0
        if slots_free + self.limits.overbook < 1:
            return None
        horizon = now + min(request.lead_s, self.limits.max_lead_s)
        for ahead, (end, blocks) in enumerate(
            slot_grants.predicted_ends(self._grants.values(), self._holds, now),
            start=1,
        ):
            if end > horizon or ahead > self.limits.overbook:
                return None
            slots_free += 1
            kv_free += blocks
            if slots_free >= 1 and kv_free >= request.kv_blocks:
                return end - now
        return None

    # Estimated wait

    def _estimated_wait(
        self, rank: int, workspace: str, lead_s: float, now: float
    ) -> float:
        ahead = self._queue.rank(rank).ahead_of(workspace)
        if rank == slot_requests.URGENT:
            return self._wait_behind(ahead, 0, lead_s, now)
        headroom = self._headroom(rank, now)
        total_ahead = ahead + len(self._queue.rank(slot_requests.URGENT))
        wait = self._wait_behind(total_ahead, headroom, lead_s, now)
        return min(wait, self._wait_for_floor(ahead))

    def _wait_behind(
        self, ahead: int, headroom: int, lead_s: float, now: float
    ) -> float:
        missing = ahead + 1 + headroom - self._slots_free(now)
        if missing <= 0:
            return 0.0
        lead_s = min(lead_s, self.limits.max_lead_s)
        remaining_times = slot_grants.expected_hold_times(
            self._grants.values(), self._holds, now
        )
        if not remaining_times:
            return max(
                0.0, self._holds.mean_s() * missing / max(1, self.usable)
            )
        rounds, index = divmod(missing - 1, len(remaining_times))
        wait = remaining_times[index] + rounds * self._holds.mean_s()
        return max(0.0, wait - lead_s)

    def _wait_for_floor(self, ahead: int) -> float:
        floor = self._floor_slots()
        if floor == 0:
            return math.inf
        turn_s = self._holds.mean_s() / floor
        if self._held_by_rank[slot_requests.OTHER] < floor:
            return ahead * turn_s + self._holds.mean_s() / max(1, self.usable)
        return (ahead + 1) * turn_s

    def _is_wait_too_long(
        self, request: slot_requests.SlotRequest, now: float
    ) -> bool:
        if request.wait_s < 0:
            return True
        wait = self._estimated_wait(
            request.rank, request.workspace, request.lead_s, now
        )
        return wait > request.wait_s

    # Queue

    def _process_queue(
        self, now: float, decisions: list[slot_requests.Decision]
    ) -> None:
        """Drops expired requests and grants queue heads while they fit."""
        decisions += self._queue.drop_expired(now)
        while self._queue:
            granted = self._grant_next(now)
            if granted is None:
                return
            decisions.append(granted)

    def _grant_next(self, now: float) -> slot_requests.Granted | None:
        for rank in self._rank_order(now):
            head = self._queue.rank(rank).head()
            if head is None:
                continue
            delay_s = self._grant_delay(
                head.request, self._headroom(rank, now), now
            )
            # Later, smaller requests must not starve the head of the queue.
            return None if delay_s is None else self._grant(head, delay_s, now)
        return None

    def _rank_order(self, now: float) -> tuple[int, ...]:
        if self._is_under_floor(now):
            return (slot_requests.OTHER, slot_requests.URGENT)
        return _RANKS

    def _grant(
        self, head: slot_queue.QueuedRequest, delay_s: float, now: float
    ) -> slot_requests.Granted:
        request = head.request
        queue = self._queue.rank(request.rank)
        queue.serve(request.workspace, request.tokens)
        self._queue.remove(head)
        self._add_grant(
            request.request_id,
            request.rank,
            request.workspace,
            request.kv_blocks,
            request.tokens,
            max(delay_s, request.lead_s),
            False,
            now,
        )
        return slot_requests.Granted(request.request_id, delay_s)

    # Grants

    def _add_grant(
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
        slowest_s = tokens * self._holds.per_token_s
        slowest_s *= self.limits.slowest_factor
        starts_at = now + start_s
        self._grants[request_id] = slot_grants.Grant(
            request_id=request_id,
            rank=rank,
            workspace=workspace,
            kv_blocks=kv_blocks,
            tokens=tokens,
            starts_at=starts_at,
            expires_at=starts_at + slowest_s + self.limits.grant_slack_s,
            adopted=adopted,
        )
        self._held_by_rank[rank] += 1
        self._kv_blocks_held += kv_blocks

    def _remove_grant(self, grant: slot_grants.Grant, now: float) -> None:
        del self._grants[grant.request_id]
        self._held_by_rank[grant.rank] -= 1
        self._kv_blocks_held -= grant.kv_blocks
        if grant.starts_at <= now:
            self._reports.record_end(grant.kv_blocks, now)

    def _expire(self, now: float) -> None:
        expired = [
            grant for grant in self._grants.values() if grant.expires_at < now
        ]
        for grant in expired:
            self._remove_grant(grant, now)

    def _update_estimates(
        self,
        grant: slot_grants.Grant,
        tokens: int,
        per_token_s: float,
        now: float,
    ) -> None:
        self._holds.add_speed(per_token_s, len(self._grants), now)
        if tokens <= 0:
            return
        self._holds.add_length(tokens)
        if grant.adopted or grant.tokens <= 0:
            return
        start_delay_s = None
        if per_token_s > 0:
            start_delay_s = now - tokens * per_token_s - grant.starts_at
        self._holds.add_forecast(tokens, grant.tokens, start_delay_s)
