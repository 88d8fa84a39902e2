"""A fault of the product never says that a request was not run."""

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


class _Broken(base.Filter):
    async def apply(self, ctx: base.Context, proceed: base.Proceed):
        raise KeyError("fault")


def test_exception_is_refused_as_unknown(monkeypatch):
    instance = node.Node.__new__(node.Node)
    instance.log = _Log()
    instance.ports = node.Ports(_Clock(), None, None, None, None)
    monkeypatch.setattr(
        node.Node,
        "_refusal",
        lambda self, ctx, error: (error, ctx.reached_endpoint),
    )
    chain = base.Chain([_Broken()])
    ctx = asyncio.run(instance._run(chain, base.RawRequest(b"", {}), None))
    assert ctx.refusal == (errors.Internal("KeyError"), True)
    assert instance.log.bugs == ["request_failed"]


class _Clock:
    def monotonic(self) -> float:
        return 0.0
