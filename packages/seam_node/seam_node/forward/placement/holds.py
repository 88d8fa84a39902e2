"""Holds places at decode engines, which decide what they can take."""

import expression

from seam_model import endpoint_errors
from seam_model import forwarding
from seam_node.forward.callers import context
from seam_node.forward.endpoints import call_stats
from seam_node.forward.endpoints import engine_access
from seam_node.forward.endpoints import exchange

_NO_FAULTS = (
    endpoint_errors.EndpointRefused,
    endpoint_errors.EndpointUnavailable,
)
HOLD_TIMEOUT_S = 0.25
HELD_OUTPUT_TOKENS = 256
"""Output tokens to hold at the engine in addition to the prompt."""


class EngineHolds:
    """Takes and releases holds."""

    def __init__(self, access: engine_access.EngineAccess):
        """Takes the engines, their statistics and the client."""
        self._stats = access.stats
        self._client = access.client
        self._codec = access.codec
        self._releases = access.releases
        self._log = access.log

    async def take(
        self, ctx: context.ForwardContext, engine: forwarding.Endpoint
    ) -> expression.Result[str, endpoint_errors.EndpointError]:
        """Takes a hold for a request; returns its id, empty without holds."""
        ttl_s = ctx.service.engine.hold_ttl_s
        if ttl_s <= 0:
            return expression.Ok("")
        tokens = ctx.req.prompt.tokens + HELD_OUTPUT_TOKENS
        call = self._codec.acquire_hold_call(engine, tokens, ttl_s)
        response = await exchange.call_endpoint(
            self._client, engine.address, call, HOLD_TIMEOUT_S
        )
        if response.is_ok():
            return expression.Ok(self._codec.decode_hold_id(response.ok))
        if not isinstance(response.error, _NO_FAULTS):
            until = ctx.now() + call_stats.UNREACHABLE_BACKOFF_S
            self._stats.deprioritize(engine.key, until)
            self._log.error(
                "endpoint_lost",
                response.error,
                endpoint=engine.id,
                request=ctx.req.id,
            )
        return expression.Error(response.error)

    def release(self, engine: forwarding.Endpoint, hold_id: str) -> None:
        """Releases a hold that was not used."""
        if hold_id:
            call = self._codec.release_hold_call(engine, hold_id)
            self._releases.send(engine, call)
