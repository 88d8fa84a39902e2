"""An unexpected exception never reports that a request did not run.

An exception in a filter may be raised after the request reached an endpoint.
The refusal must then not state that a repeat is safe.
"""

import asyncio
from typing import Any

from seam_model import errors
from seam_node import node
from seam_node.filters import base


class _Log:
    def __init__(self) -> None:
        self.bugs: list[str] = []

    def bug(self, name: str, exc: Exception, **fields: Any) -> None:
        self.bugs.append(name)


class _FailingFilter(base.Filter):
    async def apply(self, ctx: base.Context, proceed: base.Proceed):
        raise KeyError("fault")


def test_exception_is_reported_as_possibly_run(monkeypatch):
    instance = node.Node.__new__(node.Node)
    instance.log = _Log()
    instance.ports = node.Ports(_Clock(), None, None, None, None)
    monkeypatch.setattr(
        node.Node,
        "_refusal",
        lambda self, ctx, error: (error, ctx.reached_endpoint),
    )
    chain = base.Chain([_FailingFilter()])
    ctx = asyncio.run(instance._run(chain, base.RawRequest(b"", {}), None))
    assert ctx.refusal == (errors.Internal("KeyError"), True)
    assert instance.log.bugs == ["request_failed"]


class _Clock:
    def monotonic(self) -> float:
        return 0.0
