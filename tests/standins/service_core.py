"""Behaviour of a plain service, shared by the HTTP stand-in and the fake.

It runs every order that it receives, so that a duplicate order is visible.
"""

import asyncio

import attrs
import expression

from seam_model import endpoint_errors
from seam_model import requests

OPERATIONS = {
    "plank-ledger": ("reserve", "withdraw", "lookup"),
    "vault-desk": ("reserve", "withdraw", "lookup"),
}


@attrs.define
class Faults:
    """Fault switches that a test may set at any time."""

    down: bool = False
    silent: bool = False
    lose_answers: int = 0
    """Number of next calls that run but whose answer is lost."""
    latency_s: float = 0.002


@attrs.frozen
class Execution:
    """One execution of an operation."""

    service: str
    operation: str
    key: str
    body: str
    at_s: float


class ServiceCore:
    """One endpoint that runs the operations of the plain services."""

    def __init__(self, name: str):
        self.name = name
        self.faults = Faults()
        self.executions: list[Execution] = []
        self._answering = asyncio.Event()
        self._answering.set()

    def set_faults(self, **switches: object) -> None:
        """Sets fault switches by name."""
        for key, value in switches.items():
            setattr(self.faults, key, value)
        if self.faults.silent:
            self._answering.clear()
        else:
            self._answering.set()

    async def call(
        self, service: str, operation: str, key: str, body: bytes
    ) -> expression.Result[
        requests.ServiceReply, endpoint_errors.EndpointError
    ]:
        """Runs one operation on each call; repeated keys run again."""
        if self.faults.down:
            return expression.Error(
                endpoint_errors.EndpointUnreachable(self.name)
            )
        if operation not in OPERATIONS.get(service, ()):
            return expression.Error(
                endpoint_errors.OrderRejected(self.name, 404)
            )
        now = asyncio.get_running_loop().time()
        text = body.decode()
        run = Execution(service, operation, key, text, now)
        self.executions.append(run)
        number = len(self.executions)
        await asyncio.sleep(self.faults.latency_s)
        await self._answering.wait()
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return expression.Error(endpoint_errors.EndpointLost(self.name))
        reply = f'{{"execution":{number},"key":"{key}"}}'.encode()
        return expression.Ok(
            requests.ServiceReply(200, "application/json", reply)
        )
