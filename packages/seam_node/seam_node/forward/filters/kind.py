"""Runs the filter chain for the kind of service that a request is for."""

from seam_node import chain
from seam_node.forward.callers import context
from seam_node.forward.filters import base


class KindFilter(base.ForwardFilter):
    """Branches to model requests or plain calls after the common filters."""

    def __init__(self, model_chain: chain.Chain, plain_chain: chain.Chain):
        """Takes the chains of model requests and of plain calls."""
        self._model_chain = model_chain
        self._plain_chain = plain_chain

    async def apply(
        self, ctx: context.ForwardContext, proceed: base.Proceed
    ) -> base.Result:
        """Runs the chain for the request's service."""
        del proceed
        if ctx.service.engine is not None and ctx.req.prompt is not None:
            return await self._model_chain.run(ctx)
        return await self._plain_chain.run(ctx)
