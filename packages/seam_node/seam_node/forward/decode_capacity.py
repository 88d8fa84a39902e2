"""Forecasts memory use of decode engines and reserves capacity at them."""

from collections.abc import Callable

import attrs
import expression

from seam_model import errors
from seam_model import forwarding
from seam_node.forward import call_stats
from seam_node.forward import context
from seam_node.forward import engine_access
from seam_node.forward import exchange
from seam_node.forward import heartbeats
from seam_node.forward import peers
from seam_node.forward import workload
from seam_policy import decode_choice
from seam_policy import kv_forecast
from seam_policy import rendezvous

RESERVE_TIMEOUT_S = 0.25
FULL_BACKOFF_S = 0.08
"""Back-off after an engine refused a reservation for lack of capacity."""
RESERVED_OUTPUT_TOKENS = 256
"""Output tokens to reserve at the engine in addition to the prompt."""
MAX_RESERVE_ATTEMPTS = 3
"""Engines tried for one reservation before the request waits again."""


@attrs.frozen
class EngineChoice:
    """Engines for a request; `ordered` has those with capacity, best first."""

    engines: tuple[forwarding.Endpoint, ...]
    """All decode engines that the request may use."""
    ordered: tuple[decode_choice.DecodeCandidate, ...]
    required: kv_forecast.DemandProfile
    """Slots and forecast KV cache memory that the request needs."""

    def is_scarce(self) -> bool:
        """Returns whether no engine has capacity for two such requests."""
        twice = self.required + self.required
        return not any(each.fits(twice) for each in self.ordered)


class DecodeCapacity:
    """Tracks the use of decode engines and reserves capacity at them."""

    def __init__(
        self,
        access: engine_access.EngineAccess,
        peer_heartbeats: Callable[[], list[peers.ReceivedHeartbeat]],
        notify_peers: Callable[[], None],
        load: workload.WorkloadEstimate,
        now: Callable[[], float],
        data_centre: str,
    ):
        """Starts without any use.

        Args:
            access: the engines, their statistics and the client.
            peer_heartbeats: returns the latest heartbeats of live peers.
            notify_peers: sends this instance's use to the peers.
            load: average size and output rate of requests.
            now: the clock.
            data_centre: data centre of this instance.
        """
        self._endpoints = access.endpoints
        self._stats = access.stats
        self._client = access.client
        self._codec = access.codec
        self._releases = access.releases
        self._peer_heartbeats = peer_heartbeats
        self._notify_peers = notify_peers
        self._load = load
        self._now = now
        self._data_centre = data_centre
        self._log = access.log
        self._streams_counted = 0
        """Streams added since the start; the source of stream ids."""
        self._uses: dict[str, kv_forecast.EngineForecast] = {}
        self._full_until: dict[str, float] = {}

    def uses(self) -> tuple[heartbeats.EngineUse, ...]:
        """Returns this instance's use of each engine."""
        now = self._now()
        return tuple(
            heartbeats.EngineUse(key, use.profile(now))
            for key, use in self._uses.items()
        )

    def choose(self, ctx: context.ForwardContext) -> EngineChoice:
        """Returns the candidate engines for a request."""
        engines = self.engines(ctx)
        required = kv_forecast.DemandProfile(
            1,
            kv_forecast.stream_demand(
                ctx.stream_size, 0.0, self._load.output_tokens_s
            ),
        )
        ordered = decode_choice.order(
            self._candidates(ctx, engines), required, ctx.now()
        )
        return EngineChoice(tuple(engines), tuple(ordered), required)

    async def reserve(
        self, ctx: context.ForwardContext, choice: EngineChoice
    ) -> context.DecodeReservation | None:
        """Tries to reserve capacity, best engine first; else None.

        The use is published to the other instances before the engine is
        called, so that they do not choose the same engine during the call.
        """
        by_key = {each.key: each for each in choice.engines}
        for candidate in choice.ordered[:MAX_RESERVE_ATTEMPTS]:
            endpoint = by_key[candidate.key]
            stream_id = self._add_stream(ctx, endpoint)
            reserved = None
            try:
                reserved = await self._reserve_at(ctx, endpoint)
            finally:
                if reserved is None or reserved.is_error():
                    self._remove_stream(endpoint.key, stream_id)
            if reserved.is_ok():
                self._log_reserved(ctx, candidate, choice)
                return context.DecodeReservation(
                    endpoint, reserved.ok, stream_id
                )
        return None

    def release(
        self, reservation: context.DecodeReservation, used: bool
    ) -> None:
        """Releases a reservation; an unused hold is released at the engine."""
        self._remove_stream(reservation.endpoint.key, reservation.stream_id)
        self._full_until.pop(reservation.endpoint.key, None)
        if reservation.hold_id and not used:
            call = self._codec.release_hold_call(
                reservation.endpoint, reservation.hold_id
            )
            self._releases.send(reservation.endpoint, call)

    def engines(self, ctx: context.ForwardContext) -> list[forwarding.Endpoint]:
        """Returns the decode engines that a request may use."""
        excluded = self._stats.excluded(ctx.now())
        allowed = [
            each
            for each in self._endpoints.usable(ctx.service.name)
            if each.stage is forwarding.Stage.DECODE
            and ctx.may_try(each.key)
            and each.key not in excluded
        ]
        others = [e for e in allowed if e.key not in ctx.failed_keys]
        return self._stats.preferred(others or allowed, ctx.now())

    def _candidates(
        self,
        ctx: context.ForwardContext,
        engines: list[forwarding.Endpoint],
    ) -> list[decode_choice.DecodeCandidate]:
        used = self._total_use()
        spec = ctx.service.engine
        nothing = kv_forecast.DemandProfile()
        return [
            decode_choice.DecodeCandidate(
                key=each.key,
                slots=spec.slots,
                kv_tokens=spec.kv_tokens,
                used=used.get(each.key, nothing),
                local=each.data_centre == self._data_centre,
                full_until=self._full_until.get(each.key, 0.0),
                failure_share=self._stats.call(each).failure_share(ctx.now()),
                jitter=rendezvous.uniform(ctx.req.id.encode(), each.key),
            )
            for each in engines
        ]

    def _total_use(self) -> dict[str, kv_forecast.DemandProfile]:
        total: dict[str, kv_forecast.DemandProfile] = {}
        for use in self.uses():
            total[use.key] = use.profile
        for peer in self._peer_heartbeats():
            for use in peer.heartbeat.uses:
                profile = use.profile.aged(peer.age_s)
                before = total.get(use.key)
                both = profile if before is None else before + profile
                total[use.key] = both
        return total

    def _add_stream(
        self, ctx: context.ForwardContext, endpoint: forwarding.Endpoint
    ) -> str:
        """Adds a stream to this instance's use; returns the stream's id.

        The request id is not unique, because a caller may send it twice.
        """
        self._streams_counted += 1
        stream_id = str(self._streams_counted)
        use = self._uses.setdefault(
            endpoint.key,
            kv_forecast.EngineForecast(self._load.output_tokens_s),
        )
        use.tokens_s = self._load.output_tokens_s
        use.add(stream_id, ctx.stream_size, ctx.now())
        self._notify_peers()
        return stream_id

    def _remove_stream(self, key: str, stream_id: str) -> None:
        """Removes a stream from this instance's use."""
        use = self._uses[key]
        use.remove(stream_id)
        if not use:
            del self._uses[key]
        self._notify_peers()

    async def _reserve_at(
        self,
        ctx: context.ForwardContext,
        endpoint: forwarding.Endpoint,
    ) -> expression.Result[str, errors.EndpointError]:
        ttl_s = ctx.service.engine.hold_ttl_s
        if ttl_s <= 0:
            return expression.Ok("")
        tokens = ctx.req.prompt.tokens + RESERVED_OUTPUT_TOKENS
        call = self._codec.acquire_hold_call(endpoint, tokens, ttl_s)
        response = await exchange.call_endpoint(
            self._client, endpoint.address, call, RESERVE_TIMEOUT_S
        )
        if response.is_error():
            self._record_failure(ctx, endpoint, response.error)
            return expression.Error(response.error)
        return expression.Ok(self._codec.decode_hold_id(response.ok))

    def _record_failure(
        self,
        ctx: context.ForwardContext,
        endpoint: forwarding.Endpoint,
        error: errors.EndpointError,
    ) -> None:
        now = ctx.now()
        if isinstance(error, errors.EndpointRefused):
            self._full_until[endpoint.key] = now + FULL_BACKOFF_S
            return
        self._stats.deprioritize(
            endpoint, now + call_stats.UNREACHABLE_BACKOFF_S
        )
        self._log.error(
            "endpoint_lost", error, endpoint=endpoint.id, request=ctx.req.id
        )

    def _log_reserved(
        self,
        ctx: context.ForwardContext,
        candidate: decode_choice.DecodeCandidate,
        choice: EngineChoice,
    ) -> None:
        received = self._peer_heartbeats()
        self._log.event(
            "decode_placed",
            request=ctx.req.id,
            endpoint=candidate.key,
            streams=candidate.used.slots,
            peak_tokens=round((candidate.used + choice.required).peak()),
            kv_tokens=candidate.kv_tokens,
            fitting=len(choice.ordered),
            failing=round(candidate.failure_share, 2),
            waited_s=round(ctx.age_s(), 4),
            left_s=round(ctx.remaining_s(), 3),
            peers=len(received),
            oldest_peer_s=round(max((h.age_s for h in received), default=0), 3),
        )
