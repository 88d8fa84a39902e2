"""What the operators' handlers share: tokens, bodies and failures."""

from collections.abc import Awaitable
from collections.abc import Callable
import functools
import json
from typing import Any

from tornado import web

from seam_model import admin
from seam_model import codec
from seam_model import errors
from seam_model import keys
from seam_model import settings
from seam_model import toml_check
from seam_node import node as node_module
from seam_node.web import refusals

JSON = "application/json"
_BEARER = "Bearer "


def find_operator(
    operators: tuple[settings.OperatorSettings, ...], token: str
) -> settings.OperatorSettings | None:
    """Returns whose token it is.

    Every hash is compared, so that the time taken does not tell which one
    fitted.
    """
    found = None
    for operator in operators:
        if keys.verify_operator_token(operator.token_hash, token):
            found = operator
    return found


def needs(role: settings.OperatorRole) -> Callable:
    """Returns a decorator that lets only operators of a role pass."""

    def decorate(method: Callable[..., Awaitable[None]]) -> Callable:
        @functools.wraps(method)
        async def checked(self: "Handler", *args: str) -> None:
            if self.admit(role):
                await method(self, *args)

        return checked

    return decorate


class Handler(web.RequestHandler):
    """Base of the operators' handlers."""

    def initialize(self, node: node_module.Node) -> None:
        """Takes the node that is asked."""
        self.node = node
        self.who = ""

    def admit(self, role: settings.OperatorRole) -> bool:
        """Checks the token; answers and logs a denied try."""
        header = self.request.headers.get("Authorization", "")
        token = header.removeprefix(_BEARER)
        operators = self.node.settings.operators
        operator = find_operator(operators, token)
        if operator is None:
            self._deny(errors.TokenUnknown(), "")
            return False
        if not operator.role.covers(role):
            self._deny(errors.Denied(role.value), operator.name)
            return False
        self.who = operator.name
        return True

    def _deny(self, error: errors.SeamError, who: str) -> None:
        self.node.metrics.operator_denied(error.code)
        self.node.log.error(
            "operator_denied",
            error,
            operator=who,
            method=self.request.method,
            path=self.request.path,
            address=self.request.remote_ip,
        )
        self.refuse(error)

    # Input

    def read(self, cls: type) -> Any | None:
        """Returns the body as an object of `cls`; None once it is refused."""
        try:
            plain = json.loads(self.request.body)
        except (ValueError, RecursionError) as exc:
            self.refuse(errors.BodyUnreadable(str(exc)))
            return None
        checker = toml_check.Checker()
        made = checker.build(cls, plain)
        if made is None:
            self.refuse(errors.InputInvalid(tuple(checker.problems)))
        return made

    def number(self, name: str, low: int, high: int, default: int) -> int:
        """Returns a whole number of the query.

        Raises: `SeamException` with `BadInput`.
        """
        text = self.get_query_argument(name, str(default))
        if text.isascii() and text.isdecimal() and len(text) < 16:
            value = int(text)
            if low <= value <= high:
                return value
        allowed = f"a whole number from {low} to {high}"
        raise errors.SeamException(errors.BadInput(name, text[:64], allowed))

    # Output

    def answer(self, value: Any) -> None:
        """Answers with an object as JSON."""
        self.set_header("Content-Type", JSON)
        self.finish(codec.to_json(value))

    def refuse(self, error: errors.SeamError) -> None:
        """Answers with a typed failure."""
        self.set_status(refusals.status_of(error))
        self.answer(admin.error_to_body(error))

    def acted(self, action: str, **fields: Any) -> None:
        """Logs and counts what the operator did."""
        self.node.metrics.operator_action(action)
        self.node.log.event(
            "operator_action", operator=self.who, action=action, **fields
        )

    def log_exception(self, typ: Any, value: Any, tb: Any) -> None:
        """Logs what a handler did not expect."""
        del tb
        if not isinstance(value, errors.SeamException | web.HTTPError):
            self.node.log.event(
                "admin_handler_failed",
                "error",
                path=self.request.path,
                detail=f"{typ.__name__}: {value}",
            )

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answers failures that were raised, as typed JSON."""
        exc = (kwargs.get("exc_info") or (None, None, None))[1]
        if isinstance(exc, errors.SeamException):
            self.refuse(exc.error)
            return
        error: errors.SeamError = errors.Internal(type(exc).__name__)
        if isinstance(exc, web.HTTPError):
            error = errors.BadInput("request", str(status_code), "see the docs")
        self.set_status(status_code)
        self.answer(admin.error_to_body(error))


class NotFoundHandler(Handler):
    """Answers for paths that do not exist."""

    def prepare(self) -> None:
        """Refuses with 404."""
        self.refuse(errors.NotFound("path", self.request.path[:200]))
