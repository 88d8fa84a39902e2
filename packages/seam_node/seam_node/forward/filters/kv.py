"""Releases the KV cache of a prompt that no engine was told of."""

from seam_node.forward.callers import context
from seam_node.forward.endpoints import engine_access
from seam_node.forward.filters import base


class KvFilter(base.ForwardFilter):
    """Owns a prompt's KV cache between its prefill and its use.

    It is kept while the request gets another place.
    """

    def __init__(self, access: engine_access.EngineAccess):
        """Takes the means to call engines."""
        self._access = access

    async def apply(
        self, ctx: context.ForwardContext, proceed: base.Proceed
    ) -> base.Result:
        """Runs the rest of the chain, then releases what is left."""
        try:
            return await proceed(ctx)
        finally:
            release(ctx, self._access)


def release(
    ctx: context.ForwardContext, access: engine_access.EngineAccess
) -> None:
    """Releases the KV cache of a request, if it has one."""
    kv, ctx.kv = ctx.kv, None
    if kv is not None:
        call = access.codec.release_kv_call(kv.endpoint, kv.handle)
        access.releases.send(kv.endpoint, call)
