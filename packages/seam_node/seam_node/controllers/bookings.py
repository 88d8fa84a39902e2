"""Books prefills with the owners of prefill engines.

The age of a load report exceeds the duration of most prefills, so reports do
not show the queue that a prefill will find. Therefore each prefill is booked
with the engine's owner when it is sent. Bookings are advisory: without an
answer the prefill is sent all the same.
"""

from collections.abc import Sequence

import attrs

from seam_model import ids
from seam_model import peers
from seam_model import requests
from seam_node.controllers import ownership
from seam_node.controllers import planner
from seam_node.ports import clock
from seam_node.ports import peer
from seam_policy import backlog
from seam_policy import placement

ANSWER_TIMEOUT_S = 0.1
SECOND_CHOICE_WAIT_S = 0.03
"""Wait at the first engine above which a second engine is booked too."""
MAX_ENGINES = 2048


class BookingOwner:
    """Answers the bookings of the engines that this instance owns.

    Used only on the event loop's thread; no method waits.
    """

    def __init__(self, network: peer.PeerNetwork, clk: clock.Clock):
        """Registers the handlers of booking messages."""
        self._clock = clk
        self._backlogs: dict[str, backlog.Backlog] = {}
        network.register_handler(peers.PrefillBook, self._on_book)
        network.register_handler(peers.PrefillWithdraw, self._on_withdraw)

    async def _on_book(
        self, sender: str, message: peers.PrefillBook
    ) -> peers.PrefillBooked:
        del sender
        if len(self._backlogs) >= MAX_ENGINES:
            self._backlogs.clear()
        engine_backlog = self._backlogs.setdefault(
            message.engine, backlog.Backlog()
        )
        booking = backlog.Booking(
            message.request_id, message.rank, message.work_s
        )
        wait_s = engine_backlog.book(booking, self._clock.monotonic())
        return peers.PrefillBooked(wait_s)

    async def _on_withdraw(
        self, sender: str, message: peers.PrefillWithdraw
    ) -> None:
        del sender
        engine_backlog = self._backlogs.get(message.engine)
        if engine_backlog is not None:
            engine_backlog.withdraw(message.request_id, self._clock.monotonic())


@attrs.frozen
class Booked:
    """A chosen prefill engine and the wait that its owner expects."""

    choice: placement.PrefillChoice
    wait_s: float

    @property
    def ready_s(self) -> float:
        """Expected time until decode can start."""
        return self.wait_s + self.choice.work_s + self.choice.transfer_s


class BookingClient:
    """Books the prefill engine that is expected to be ready first."""

    def __init__(
        self,
        owners: ownership.Ownership,
        network: peer.PeerNetwork,
        plan: planner.Planner,
    ):
        """Reports the waits in the owners' answers to `plan`."""
        self._ownership = owners
        self._network = network
        self._planner = plan

    async def book(
        self,
        req: requests.GenerateRequest,
        choices: Sequence[placement.PrefillChoice],
    ) -> Booked:
        """Books the first engine, or the earlier of two if it has a queue."""
        first = await self._book_at(req, choices[0])
        if first.wait_s <= SECOND_CHOICE_WAIT_S or len(choices) == 1:
            return first
        second = await self._book_at(req, choices[1])
        best, worse = sorted((first, second), key=lambda each: each.ready_s)
        self.withdraw(req, worse.choice.name)
        return best

    def withdraw(self, req: requests.GenerateRequest, engine: str) -> None:
        """Withdraws a booking whose prefill is not sent."""
        owner = self._ownership.owner_of(engine)
        if owner is not None:
            message = peers.PrefillWithdraw(ids.pack(req.request_id), engine)
            self._network.notify(owner, message)

    async def _book_at(
        self, req: requests.GenerateRequest, choice: placement.PrefillChoice
    ) -> Booked:
        estimated_wait_s = choice.prefill_s - choice.work_s
        owner = self._ownership.owner_of(choice.name)
        if owner is None:
            return Booked(choice, estimated_wait_s)
        message = peers.PrefillBook(
            ids.pack(req.request_id), choice.name, int(req.rank), choice.work_s
        )
        answer = await self._network.request(owner, message, ANSWER_TIMEOUT_S)
        if answer.is_error():
            return Booked(choice, estimated_wait_s)
        self._planner.record_wait(choice.name, req.rank, answer.ok.wait_s)
        return Booked(choice, answer.ok.wait_s)
