"""Answers the asks of other instances for endpoints of plain services."""

import asyncio
from collections.abc import Callable

from seam_model import forwarding
from seam_node import logs
from seam_node.forward.service_calls import service_messages
from seam_node.forward.service_calls import service_placer

SWEEP_INTERVAL_S = 0.25
HOLDER_LAPSE_S = 3.0
"""Silence after which the calls of an instance that is not live are dropped."""


class ServiceAnswers:
    """Runs the service placer for other instances."""

    def __init__(
        self,
        placer: service_placer.ServicePlacer,
        live: Callable[[], set[str]],
        entry_of: Callable[[str], forwarding.InstanceEntry | None],
        send: Callable[
            [service_messages.ServiceMessage, forwarding.InstanceEntry], None
        ],
        now: Callable[[], float],
        log: logs.Log,
    ):
        """Creates a service that is not started.

        Args:
            placer: grants the endpoints.
            live: returns the names of the live peers.
            entry_of: returns the entry of an instance.
            send: sends a message to an instance.
            now: the clock.
            log: the log.
        """
        self._placer = placer
        self._live = live
        self._entry_of = entry_of
        self._send = send
        self._now = now
        self._log = log
        self._incarnations: dict[str, int] = {}
        """Latest incarnation of each other instance."""
        self._heard_at: dict[str, float] = {}
        """Time of the last message of each other instance."""
        self._sweeper: asyncio.Task | None = None

    async def start(self) -> None:
        """Starts to end the leases of silent instances."""
        self._sweeper = asyncio.ensure_future(self._sweep_loop())

    async def close(self) -> None:
        """Stops to end leases, and the placer."""
        if self._sweeper is not None:
            self._sweeper.cancel()
            await asyncio.gather(self._sweeper, return_exceptions=True)
        self._placer.close()

    def on_ask(self, ask: service_messages.ServiceAsk) -> None:
        """Answers an ask, at once or later."""
        if self._note_holder(ask.holder, ask.incarnation):
            self._placer.ask(ask, lambda answer: self._reply(ask, answer))

    def on_ended(self, ended: service_messages.ServiceEnded) -> None:
        """Ends a call, or withdraws an ask."""
        if self._note_holder(ended.holder, ended.incarnation):
            self._placer.ended(ended)

    def _reply(
        self,
        ask: service_messages.ServiceAsk,
        answer: service_messages.ServiceAnswer,
    ) -> None:
        entry = self._entry_of(ask.holder)
        if entry is not None:
            self._send(answer, entry)

    def _note_holder(self, holder: str, incarnation: int) -> bool:
        """Notes a holder's incarnation; returns whether it is the latest.

        A lower one counts once the holder has been silent, as the wall clock
        may have been set back before a restart.
        """
        now = self._now()
        known = self._incarnations.get(holder, incarnation)
        silent_s = now - self._heard_at.get(holder, now)
        if incarnation < known and silent_s <= HOLDER_LAPSE_S:
            return False
        if incarnation != known:
            self._placer.drop_holder(holder)
        self._incarnations[holder] = incarnation
        self._heard_at[holder] = now
        return True

    async def _sweep_loop(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            self._sweep()

    def _sweep(self) -> None:
        """Forgets instances that are silent and not live, with their calls."""
        self._placer.sweep()
        with_calls = self._placer.holders()
        for holder in self._silent():
            del self._heard_at[holder]
            del self._incarnations[holder]
            if holder in with_calls:
                self._drop(holder)

    def _drop(self, holder: str) -> None:
        dropped = self._placer.drop_holder(holder)
        self._log.event(
            "service_calls_lapsed", "warning", holder=holder, calls=dropped
        )

    def _silent(self) -> list[str]:
        latest = self._now() - HOLDER_LAPSE_S
        live = self._live()
        return [
            holder
            for holder, heard_at in self._heard_at.items()
            if heard_at < latest and holder not in live
        ]
