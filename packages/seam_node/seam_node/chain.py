"""Defines request filters and links them into chains."""

import abc
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
from typing import Any
from typing import Generic
from typing import TypeVar

import expression

from seam_model import errors

ContextT = TypeVar("ContextT")
"""Type of the request context that a chain processes."""

Result = expression.Result[None, errors.SeamError]
Proceed = Callable[[ContextT], Awaitable[Result]]

OK: Result = expression.Ok(None)


def fail(error: errors.SeamError) -> Result:
    """Returns a failed result."""
    return expression.Error(error)


class Filter(abc.ABC, Generic[ContextT]):
    """One processing step for all requests of a kind."""

    @abc.abstractmethod
    async def apply(self, ctx: ContextT, proceed: Proceed) -> Result:
        """Processes the request; awaits `proceed` to run the next filter."""


class Chain(Generic[ContextT]):
    """Filters in order, each of which decides whether to run the next."""

    def __init__(self, filters: Sequence[Filter[ContextT]]):
        """Links the filters, outermost first."""
        proceed: Proceed = _end_of_chain
        for filter_ in reversed(filters):
            proceed = _bind(filter_, proceed)
        self._entry = proceed

    async def run(self, ctx: ContextT) -> Result:
        """Runs one request through the filters."""
        return await self._entry(ctx)


def _bind(filter_: Filter, proceed: Proceed) -> Proceed:
    def apply(ctx: Any) -> Any:
        return filter_.apply(ctx, proceed)

    return apply


async def _end_of_chain(ctx: Any) -> Result:
    del ctx
    return OK
