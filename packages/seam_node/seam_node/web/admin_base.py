"""Base of the operators' handlers: authorization, bodies and errors."""

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
from seam_model import operator_errors
from seam_model import settings
from seam_model import toml_check
from seam_node import node as node_module
from seam_node.web import refusals

JSON = "application/json"
_BEARER = "Bearer "


def find_operator(
    operators: tuple[settings.OperatorSettings, ...], token: str
) -> settings.OperatorSettings | None:
    """Returns the operator that a token belongs to, or None.

    Every hash is compared, so that the response time does not reveal which
    one matched.
    """
    matched = None
    for operator in operators:
        if keys.verify_operator_token(operator.token_hash, token):
            matched = operator
    return matched


def requires_role(role: settings.OperatorRole) -> Callable:
    """Returns a decorator that admits only operators with a role."""

    def decorate(method: Callable[..., Awaitable[None]]) -> Callable:
        @functools.wraps(method)
        async def checked(self: "Handler", *args: str) -> None:
            if self.authorize(role):
                await method(self, *args)

        return checked

    return decorate


class Handler(web.RequestHandler):
    """Base of the operators' handlers."""

    def initialize(self, node: node_module.Node) -> None:
        """Sets the node that serves the request."""
        self.node = node
        self.operator_name = ""

    def authorize(self, role: settings.OperatorRole) -> bool:
        """Authorizes the request's token; answers and logs a denial."""
        header = self.request.headers.get("Authorization", "")
        token = header.removeprefix(_BEARER)
        operators = self.node.settings.operators
        operator = find_operator(operators, token)
        if operator is None:
            self._deny(operator_errors.TokenUnknown(), "")
            return False
        if not operator.role.covers(role):
            self._deny(operator_errors.Denied(role.value), operator.name)
            return False
        self.operator_name = operator.name
        return True

    def _deny(self, error: errors.SeamError, operator_name: str) -> None:
        self.node.metrics.operator_denied(error.code)
        self.node.log.error(
            "operator_denied",
            error,
            operator=operator_name,
            method=self.request.method,
            path=self.request.path,
            address=self.request.remote_ip,
        )
        self.refuse(error)

    # Requests

    def read_body(self, cls: type) -> Any | None:
        """Returns the body as an object of `cls`.

        Returns None if it is invalid; the request is then answered.
        """
        try:
            plain = json.loads(self.request.body)
        except (ValueError, RecursionError) as exc:
            self.refuse(errors.BodyUnreadable(str(exc)))
            return None
        checker = toml_check.Checker()
        value = checker.build(cls, plain)
        if value is None:
            self.refuse(operator_errors.InputInvalid(tuple(checker.problems)))
        return value

    def int_argument(self, name: str, low: int, high: int, default: int) -> int:
        """Returns an integer argument of the query.

        Raises: `SeamException` with `BadInput`.
        """
        text = self.get_query_argument(name, str(default))
        if text.isascii() and text.isdecimal() and len(text) < 16:
            value = int(text)
            if low <= value <= high:
                return value
        allowed = f"a whole number from {low} to {high}"
        raise errors.SeamException(errors.BadInput(name, text[:64], allowed))

    # Answers and logs

    def answer(self, value: Any) -> None:
        """Answers with an object as JSON."""
        self.set_header("Content-Type", JSON)
        self.finish(codec.to_json(value))

    def refuse(self, error: errors.SeamError) -> None:
        """Answers with a typed error."""
        self.set_status(refusals.status_of(error))
        self.answer(admin.error_to_body(error))

    def record_action(self, action: str, **fields: Any) -> None:
        """Logs and counts an action of the operator."""
        self.node.metrics.operator_action(action)
        self.node.log.event(
            "operator_action",
            operator=self.operator_name,
            action=action,
            **fields,
        )

    def log_exception(self, typ: Any, value: Any, tb: Any) -> None:
        """Logs an unexpected exception of a handler."""
        del tb
        if not isinstance(value, errors.SeamException | web.HTTPError):
            self.node.log.event(
                "admin_handler_failed",
                "error",
                path=self.request.path,
                detail=f"{typ.__name__}: {value}",
            )

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answers a raised exception with a typed error as JSON."""
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
    """Answers requests for unknown paths."""

    def prepare(self) -> None:
        """Answers 404."""
        self.refuse(operator_errors.NotFound("path", self.request.path[:200]))
