"""Interface of the choice of an endpoint for a plain call."""

import abc

import attrs
import expression

from seam_model import errors
from seam_model import forwarding
from seam_node.forward.callers import context
from seam_node.forward.fleet import messages
from seam_node.forward.service_calls import service_client


@attrs.frozen
class Choice:
    """The endpoint that an attempt of a call uses."""

    endpoint: forwarding.Endpoint
    decision: service_client.Decision | None = None
    """The placer's grant; None if this instance chose by itself."""


Chosen = expression.Result[Choice, errors.SeamError]


class EndpointChooser(abc.ABC):
    """Chooses the endpoint of each attempt of a plain call."""

    @abc.abstractmethod
    async def choose(
        self, ctx: context.ForwardContext, error: errors.SeamError
    ) -> Chosen:
        """Returns an endpoint, or why there is none.

        Endpoints that failed or refused the call are left out. If the caller
        should retry at a certain time, the context's `retry_after_s` is set.

        Args:
            ctx: the call.
            error: error of the last attempt, or the one to return if there was
                none; returned if no endpoint is left.
        """

    @abc.abstractmethod
    def ended(
        self, choice: Choice, outcome: messages.Outcome, took_s: float
    ) -> None:
        """Records how the attempt went; must be called once for each choice.

        Args:
            choice: what `choose` returned.
            outcome: how the endpoint did.
            took_s: seconds from sending the call to its complete answer.
        """
