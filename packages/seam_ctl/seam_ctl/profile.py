"""Determines the address and the token that a command uses.

Options take precedence over the environment, and the environment over the
profile file.
"""

from collections.abc import Mapping
import pathlib
import tomllib
from typing import Any

import attrs
import expression

from seam_model import errors
from seam_model import operator_errors
from seam_model import toml_check

URL_VARIABLE = "SYCAMORESEAM_URL"
TOKEN_VARIABLE = "SYCAMORESEAM_TOKEN"
PROFILE_VARIABLE = "SYCAMORESEAM_PROFILE"
DEFAULT_PATH = "~/.config/sycamoreseam/profile.toml"


@attrs.frozen
class Profile:
    """Admin addresses and token; both may be empty."""

    url: str = ""
    token: str = toml_check.checked_field(secret=True, default="")
    token_file: str = ""


ProfileResult = expression.Result[Profile, operator_errors.ProfileInvalid]


def find(
    url: str, token: str, path: str, environ: Mapping[str, str]
) -> ProfileResult:
    """Returns the address and the token to use.

    Args:
      url: Value of `--url`, or empty.
      token: Value of `--token`, or empty.
      path: Value of `--profile`, or empty.
      environ: Environment variables.
    """
    named = path or environ.get(PROFILE_VARIABLE, "")
    base = _load(named or DEFAULT_PATH, required=bool(named))
    if base.is_error():
        return base
    merged = Profile(
        url or environ.get(URL_VARIABLE, "") or base.ok.url,
        token or environ.get(TOKEN_VARIABLE, "") or base.ok.token,
        base.ok.token_file,
    )
    merged = _with_token_file(merged)
    if merged.is_error():
        return merged
    if not merged.ok.url:
        return _problem(f"no address: give --url or set {URL_VARIABLE}")
    if not merged.ok.token:
        return _problem(f"no token: set {TOKEN_VARIABLE} or a profile")
    return merged


def _load(path: str, required: bool) -> ProfileResult:
    file = pathlib.Path(path).expanduser()
    if not required and not file.exists():
        return expression.Ok(Profile())
    try:
        plain = tomllib.loads(file.read_text("utf-8"))
    except (OSError, ValueError) as exc:
        return _problem(f"{file}: {exc}")
    checker = toml_check.Checker()
    loaded = checker.build(Profile, plain)
    if loaded is None:
        lines = errors.list_problems(str(file), tuple(checker.problems))
        return _problem(lines)
    return expression.Ok(loaded)


def _with_token_file(merged: Profile) -> ProfileResult:
    if merged.token or not merged.token_file:
        return expression.Ok(merged)
    file = pathlib.Path(merged.token_file).expanduser()
    try:
        token = file.read_text("utf-8").strip()
    except (OSError, ValueError) as exc:
        return _problem(f"{file}: {exc}")
    return expression.Ok(attrs.evolve(merged, token=token))


def _problem(
    text: str,
) -> expression.Result[Any, operator_errors.ProfileInvalid]:
    return expression.Error(operator_errors.ProfileInvalid(text))
