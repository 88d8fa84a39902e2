"""Places at decode engines, as far as this instance knows them."""

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

HOLD_TIMEOUT_S = 0.25
FULL_S = 0.08
"""How long an engine that had no room is not asked again."""
HOLD_NEW_TOKENS = 256
"""Output tokens that are reserved at the engine beside the prompt."""
MAX_ASKS = 3
"""Engines that are asked in one round."""


@attrs.frozen
class Choice:
    """The engines that should have room for a request, best first."""

    engines: tuple[forwarding.Endpoint, ...]
    """All decode engines that the request may use."""
    ordered: tuple[decode_choice.DecodeCandidate, ...]
    added: kv_forecast.DemandProfile
    """What the request needs."""

    def is_scarce(self) -> bool:
        """Tells whether there is room for one such stream, but not for two."""
        twice = self.added + self.added
        return not any(each.fits(twice) for each in self.ordered)


class EngineRoom:
    """Forecasts the engines' memory and reserves places at them."""

    def __init__(
        self,
        access: engine_access.EngineAccess,
        heard: Callable[[], list[peers.Heard]],
        tell: Callable[[], None],
        load: workload.WorkloadEstimate,
        now: Callable[[], float],
        data_centre: str,
    ):
        """Takes what is known of engines and how to call them.

        Args:
            access: the engines.
            heard: returns the newest heartbeats of the other instances.
            tell: tells them what this one uses.
            load: the usual request.
            now: the clock.
            data_centre: where this instance is.
        """
        self._endpoints = access.endpoints
        self._stats = access.stats
        self._client = access.client
        self._codec = access.codec
        self._releases = access.releases
        self._heard = heard
        self._tell = tell
        self._load = load
        self._now = now
        self._data_centre = data_centre
        self._log = access.log
        self._streams = 0
        """Streams that were ever counted."""
        self._uses: dict[str, kv_forecast.EngineForecast] = {}
        self._full_until: dict[str, float] = {}

    def uses(self) -> tuple[heartbeats.EngineUse, ...]:
        """Returns this instance's use of each engine."""
        now = self._now()
        return tuple(
            heartbeats.EngineUse(key, use.profile(now))
            for key, use in self._uses.items()
        )

    def choose(self, ctx: context.ForwardContext) -> Choice:
        """Returns the engines that may take a request."""
        engines = self.engines(ctx)
        added = kv_forecast.DemandProfile(
            1,
            kv_forecast.stream_demand(
                ctx.size, 0.0, self._load.output_tokens_s
            ),
        )
        ordered = decode_choice.order(
            self._candidates(ctx, engines), added, ctx.now()
        )
        return Choice(tuple(engines), tuple(ordered), added)

    async def reserve(
        self, ctx: context.ForwardContext, choice: Choice
    ) -> context.DecodePlace | None:
        """Asks the best engines in turn; returns None if none had room.

        The other instances are told before the engine is asked, so that they
        don't choose it meanwhile.
        """
        by_key = {each.key: each for each in choice.engines}
        for found in choice.ordered[:MAX_ASKS]:
            endpoint = by_key[found.key]
            stream = self._count(ctx, endpoint)
            held = None
            try:
                held = await self._hold(ctx, endpoint)
            finally:
                if held is None or held.is_error():
                    self._discount(endpoint.key, stream)
            if held.is_ok():
                self._note_placed(ctx, found, choice)
                return context.DecodePlace(endpoint, held.ok, stream)
        return None

    def release(self, place: context.DecodePlace, used: bool) -> None:
        """Gives a place back."""
        self._discount(place.endpoint.key, place.stream)
        self._full_until.pop(place.endpoint.key, None)
        if place.hold and not used:
            call = self._codec.release_hold_call(place.endpoint, place.hold)
            self._releases.send(place.endpoint, call)

    def engines(self, ctx: context.ForwardContext) -> list[forwarding.Endpoint]:
        """Returns the decode engines that a request may use."""
        avoided = self._stats.avoided(ctx.now())
        allowed = [
            each
            for each in self._endpoints.usable(ctx.service.name)
            if each.stage is forwarding.Stage.DECODE
            and ctx.may_try(each.key)
            and each.key not in avoided
        ]
        others = [e for e in allowed if e.key not in ctx.refused_by]
        return self._stats.open_at(others or allowed, ctx.now())

    def _candidates(
        self,
        ctx: context.ForwardContext,
        engines: list[forwarding.Endpoint],
    ) -> list[decode_choice.DecodeCandidate]:
        used = self._used_by_all()
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

    def _used_by_all(self) -> dict[str, kv_forecast.DemandProfile]:
        total: dict[str, kv_forecast.DemandProfile] = {}
        for use in self.uses():
            total[use.key] = use.profile
        for heard in self._heard():
            for use in heard.heartbeat.uses:
                profile = use.profile.aged(heard.age_s)
                before = total.get(use.key)
                both = profile if before is None else before + profile
                total[use.key] = both
        return total

    def _count(
        self, ctx: context.ForwardContext, endpoint: forwarding.Endpoint
    ) -> str:
        """Adds a stream to what this instance uses; returns its name.

        The request's id won't do, as a caller may use one twice.
        """
        self._streams += 1
        stream = str(self._streams)
        use = self._uses.setdefault(
            endpoint.key,
            kv_forecast.EngineForecast(self._load.output_tokens_s),
        )
        use.tokens_s = self._load.output_tokens_s
        use.add(stream, ctx.size, ctx.now())
        self._tell()
        return stream

    def _discount(self, key: str, stream: str) -> None:
        """Takes a stream out of what this instance uses."""
        use = self._uses[key]
        use.remove(stream)
        if not use:
            del self._uses[key]
        self._tell()

    async def _hold(
        self,
        ctx: context.ForwardContext,
        endpoint: forwarding.Endpoint,
    ) -> expression.Result[str, errors.EndpointError]:
        ttl_s = ctx.service.engine.hold_ttl_s
        if ttl_s <= 0:
            return expression.Ok("")
        tokens = ctx.req.prompt.tokens + HOLD_NEW_TOKENS
        call = self._codec.acquire_hold_call(endpoint, tokens, ttl_s)
        asked = await exchange.ask(
            self._client, endpoint.address, call, HOLD_TIMEOUT_S
        )
        if asked.is_error():
            self._note_failed(ctx, endpoint, asked.error)
            return expression.Error(asked.error)
        return expression.Ok(self._codec.decode_hold_id(asked.ok))

    def _note_failed(
        self,
        ctx: context.ForwardContext,
        endpoint: forwarding.Endpoint,
        error: errors.EndpointError,
    ) -> None:
        now = ctx.now()
        if isinstance(error, errors.EndpointRefused):
            self._full_until[endpoint.key] = now + FULL_S
            return
        self._stats.shun(endpoint, now + call_stats.UNREACHABLE_S)
        self._log.error(
            "endpoint_lost", error, endpoint=endpoint.id, request=ctx.req.id
        )

    def _note_placed(
        self,
        ctx: context.ForwardContext,
        found: decode_choice.DecodeCandidate,
        choice: Choice,
    ) -> None:
        heard = self._heard()
        self._log.event(
            "decode_placed",
            request=ctx.req.id,
            endpoint=found.key,
            streams=found.used.slots,
            peak_tokens=round((found.used + choice.added).peak()),
            kv_tokens=found.kv_tokens,
            fitting=len(choice.ordered),
            failing=round(found.failure_share, 2),
            waited_s=round(ctx.age_s(), 4),
            left_s=round(ctx.remaining_s(), 3),
            peers=len(heard),
            oldest_peer_s=round(max((h.age_s for h in heard), default=0), 3),
        )
