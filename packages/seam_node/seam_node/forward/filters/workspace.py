"""Determines the workspace of a request from its key."""

from collections.abc import Callable

import attrs

from seam_model import errors
from seam_model import forwarding
from seam_node.forward.callers import context
from seam_node.forward.callers import key_refusals
from seam_node.forward.filters import base
from seam_node.forward.store import catalog_state
from seam_policy import retry_after_schedule


class WorkspaceFilter(base.ForwardFilter):
    """Checks keys where the configuration has workspaces.

    A key that this instance does not know may be in a configuration that it
    has not received yet, and one that it knows may have been withdrawn. While
    that can't be ruled out, the request is refused without a verdict on its
    key.
    """

    def __init__(
        self,
        routes: catalog_state.Routes,
        keys_proved: Callable[[], bool],
        is_up_to_date: Callable[[], bool],
        refusals: key_refusals.KeyRefusals,
    ):
        """Creates the filter.

        Args:
            routes: the configuration in force.
            keys_proved: returns whether the configuration is recent enough to
                accept its keys.
            is_up_to_date: returns whether the configuration is recent enough
                to refuse a key that it does not have.
            refusals: counts the refused requests.
        """
        self._routes = routes
        self._keys_proved = keys_proved
        self._is_up_to_date = is_up_to_date
        self._refusals = refusals

    async def apply(
        self, ctx: context.ForwardContext, proceed: base.Proceed
    ) -> base.Result:
        """Sets the workspace in the context and drops the key."""
        if ctx.table.workspaces is None:
            ctx.req = _with_identity_fields(ctx.req)
            return await proceed(ctx)
        key = ctx.req.key
        ctx.req = attrs.evolve(ctx.req, key="", identity_fields=())
        if ctx.route.public:
            return await proceed(ctx)
        if not self._keys_proved():
            return self._refuse(ctx, key_refusals.Reason.UNPROVED)
        ctx.workspace = self._routes.find_workspace(key) if key else None
        if ctx.workspace is not None:
            return await proceed(ctx)
        if not self._is_up_to_date():
            return self._refuse(ctx, key_refusals.Reason.UNPROVED)
        if key:
            return self._refuse(ctx, key_refusals.Reason.UNKNOWN)
        return self._refuse(ctx, key_refusals.Reason.MISSING)

    def _refuse(
        self, ctx: context.ForwardContext, reason: key_refusals.Reason
    ) -> base.Result:
        self._refusals.note(reason, ctx.route.name, ctx.table.version)
        if reason is not key_refusals.Reason.UNPROVED:
            return base.fail(errors.KeyUnknown())
        ctx.retry_after_s = min(
            ctx.retry_after_s,
            max(0.0, ctx.remaining_s()) * retry_after_schedule.MAX_SHARE,
        )
        return base.fail(errors.KeysUnproved())


def _with_identity_fields(
    req: forwarding.ForwardRequest,
) -> forwarding.ForwardRequest:
    """Returns a request whose caller's own identity is forwarded."""
    if not req.identity_fields:
        return req
    return attrs.evolve(
        req,
        fields=req.fields + req.identity_fields,
        key="",
        identity_fields=(),
    )
