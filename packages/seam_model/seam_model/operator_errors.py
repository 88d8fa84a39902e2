"""Errors that operators of the fleet see."""

import attrs

from seam_model import errors


@attrs.frozen
class Denied(errors.SeamError):
    """The operator's role does not permit the action."""

    code = "denied"
    needed: str


@attrs.frozen
class InputInvalid(errors.SeamError):
    """An operator's request is invalid; lists every problem."""

    code = "input_invalid"
    problems: tuple[errors.BadInput, ...]

    def describe(self) -> str:
        """Returns one line for each problem."""
        return errors.list_problems(self.code, self.problems)


@attrs.frozen
class TokenUnknown(errors.SeamError):
    """The operator's token is missing or unknown."""

    code = "token_unknown"


@attrs.frozen
class NotFound(errors.SeamError):
    """The object that the operator named does not exist."""

    code = "not_found"
    kind: str
    name: str


@attrs.frozen
class AdminUnreachable(errors.SeamError):
    """The admin address of an instance did not answer."""

    code = "admin_unreachable"
    url: str
    sent: bool
    """Whether an instance may have received a request that makes a change."""


@attrs.frozen
class AdminAnswerUnknown(errors.SeamError):
    """The admin address sent an answer of unknown form."""

    code = "admin_answer_unknown"
    status: int
    detail: str


@attrs.frozen
class ProfileInvalid(errors.SeamError):
    """The operator's profile or environment is incomplete or invalid."""

    code = "profile_invalid"
    problem: str


@attrs.frozen
class ConfigConflict(errors.SeamError):
    """Another configuration change was accepted first."""

    code = "config_conflict"
    version: int
    who: str
    when: str
    what: str
