"""Authenticates the workspace of a request by its signed token."""

from collections.abc import Mapping

from seam_model import errors
from seam_model import keys
from seam_node.filters import base

TOKEN_HEADER = "authorization"
_SCHEME = "bearer "


def bearer_token(header: str) -> str:
    """Returns the token of an Authorization header, or an empty string."""
    if header[: len(_SCHEME)].lower() != _SCHEME:
        return ""
    return header[len(_SCHEME) :].strip()


class IdentifyFilter(base.Filter):
    """Refuses requests without a valid token for their workspace."""

    name = "identify"

    def __init__(self, secrets: Mapping[str, str]):
        """Takes the signing secrets, in hex, by key id."""
        self._secrets = secrets

    async def apply(
        self, ctx: base.Context, proceed: base.Proceed
    ) -> base.Result:
        """Verifies the token against the workspace named in the request."""
        workspace = (ctx.generate or ctx.call).workspace
        token = bearer_token(ctx.raw.headers.get(TOKEN_HEADER, ""))
        if not keys.verify_workspace_token(self._secrets, token, workspace):
            return base.fail(errors.WorkspaceUnknown(workspace))
        return await proceed(ctx)
