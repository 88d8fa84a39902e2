"""Behaviour of a plain service, shared by the HTTP stand-in and the fake.

It runs every order that it is sent, so that a doubled order shows.
"""

import asyncio

import attrs
import expression

from seam_model import errors
from seam_model import requests

OPERATIONS = {
    "plank-ledger": ("reserve", "withdraw", "lookup"),
    "vault-desk": ("reserve", "withdraw", "lookup"),
}


@attrs.define
class Faults:
    """Switches that a test may set at any time."""

    down: bool = False
    silent: bool = False
    lose_answers: int = 0
    """Number of coming calls that run without an answer."""
    latency_s: float = 0.002


@attrs.frozen
class Execution:
    """One run of an operation."""

    service: str
    operation: str
    key: str
    body: str
    at_s: float


class ServiceCore:
    """One endpoint of the plain services."""

    def __init__(self, name: str):
        self.name = name
        self.faults = Faults()
        self.executions: list[Execution] = []
        self._heard = asyncio.Event()
        self._heard.set()

    def set_faults(self, **switches: object) -> None:
        """Sets fault switches by name."""
        for key, value in switches.items():
            setattr(self.faults, key, value)
        if self.faults.silent:
            self._heard.clear()
        else:
            self._heard.set()

    async def call(
        self, service: str, operation: str, key: str, body: bytes
    ) -> expression.Result[requests.ServiceReply, errors.EndpointError]:
        """Runs one operation, once for each call."""
        if self.faults.down:
            return expression.Error(errors.EndpointUnreachable(self.name))
        if operation not in OPERATIONS.get(service, ()):
            return expression.Error(errors.OrderRejected(self.name, 404))
        now = asyncio.get_running_loop().time()
        text = body.decode()
        run = Execution(service, operation, key, text, now)
        self.executions.append(run)
        number = len(self.executions)
        await asyncio.sleep(self.faults.latency_s)
        await self._heard.wait()
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return expression.Error(errors.EndpointLost(self.name))
        reply = f'{{"execution":{number},"key":"{key}"}}'.encode()
        return expression.Ok(
            requests.ServiceReply(200, "application/json", reply)
        )
