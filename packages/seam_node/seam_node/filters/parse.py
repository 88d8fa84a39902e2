"""Validates callers' input and converts it into typed requests."""

from collections.abc import Callable
import json
from typing import Any

import expression

from seam_model import config
from seam_model import errors
from seam_model import ids
from seam_model import requests
from seam_model import settings
from seam_node.controllers import engines
from seam_node.filters import base

EVENT_ID_HEADER = "last-event-id"
KEY_HEADER = "idempotency-key"
WORKSPACE_HEADER = "x-workspace"
RANK_HEADER = "x-rank"
CHARS_PER_TOKEN = 4
MAX_TOKENS = 32768
MAX_WORKSPACE_CHARS = 128
_RANKS = {"urgent": requests.Rank.URGENT, "other": requests.Rank.OTHER}
_RANKS_ALLOWED = " or ".join(_RANKS)

ConfigSource = Callable[[], config.FleetConfig | None]


class _Fields:
    """Reads and validates typed fields of a JSON object."""

    def __init__(self, plain: dict[str, Any]):
        self._plain = plain

    def text(self, name: str, limit: int, default: str | None = None) -> str:
        value = self._plain.get(name, default)
        if not isinstance(value, str) or len(value) > limit:
            raise _bad_input(name, value, f"text of at most {limit} characters")
        if not value and default is None:
            raise _bad_input(name, value, "non-empty text")
        if not _is_unicode(value):
            raise _bad_input(name, value, "text without lone surrogates")
        return value

    def integer(
        self, name: str, low: int, high: int, default: int | None
    ) -> int:
        value = self._plain.get(name, default)
        if (
            not isinstance(value, int)
            or isinstance(value, bool)
            or not low <= value <= high
        ):
            raise _bad_input(
                name, value, f"a whole number from {low} to {high}"
            )
        return value

    def seconds(self, name: str, high: float, default: float) -> float:
        value = self._plain.get(name, default)
        if (
            not isinstance(value, int | float)
            or isinstance(value, bool)
            or not 0 < value <= high
        ):
            raise _bad_input(
                name, value, f"seconds, above 0 and at most {high}"
            )
        return float(value)

    def rank(self) -> requests.Rank:
        value = self._plain.get("rank", "other")
        if not isinstance(value, str) or value not in _RANKS:
            raise _bad_input("rank", value, _RANKS_ALLOWED)
        return _RANKS[value]


def _is_unicode(text: str) -> bool:
    """Returns whether text can be encoded.

    JSON escapes may produce lone surrogates, which have no UTF-8 encoding.
    """
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def _bad_input(field: str, value: Any, allowed: str) -> errors.SeamException:
    return errors.SeamException(
        errors.BadInput(field, repr(value)[:80], allowed)
    )


def read_object(
    body: bytes, limit: int
) -> expression.Result[dict[str, Any], errors.SeamError]:
    """Returns the JSON object in a request body.

    Errors: `BodyTooLarge`, `BodyUnreadable`.
    """
    if len(body) > limit:
        return expression.Error(errors.BodyTooLarge(limit))
    try:
        plain = json.loads(body)
    except (ValueError, RecursionError) as exc:
        return expression.Error(errors.BodyUnreadable(str(exc)[:200]))
    if not isinstance(plain, dict):
        return expression.Error(errors.BodyUnreadable("not a JSON object"))
    return expression.Ok(plain)


class ParseGenerateFilter(base.Filter):
    """Parses and validates model requests."""

    name = "parse"

    def __init__(
        self,
        limits: settings.LimitSettings,
        current_config: ConfigSource,
        directory: engines.EngineDirectory,
        data_centre: str,
    ):
        """Takes the limits, configuration, engines and own data centre."""
        self._limits = limits
        self._current_config = current_config
        self._directory = directory
        self._data_centre = data_centre

    async def apply(
        self, ctx: base.Context, proceed: base.Proceed
    ) -> base.Result:
        """Sets `ctx.generate`, or fails with a typed error."""
        if ctx.raw.receive_error is not None:
            return base.fail(ctx.raw.receive_error)
        plain = read_object(ctx.raw.body, self._limits.max_body_bytes)
        if plain.is_error():
            return base.fail(plain.error)
        try:
            self._parse(ctx, _Fields(plain.ok))
        except errors.SeamException as exc:
            return base.fail(exc.error)
        if not self._directory.serves_model(ctx.generate.model):
            return base.fail(errors.ModelUnknown(ctx.generate.model))
        return await proceed(ctx)

    def _parse(self, ctx: base.Context, fields: _Fields) -> None:
        request_id = fields.text("id", 36)
        if not ids.is_uuid7(request_id):
            raise _bad_input(
                "id", request_id, "a UUIDv7 in lower-case text form"
            )
        workspace = fields.text("workspace", MAX_WORKSPACE_CHARS)
        model = fields.text("model", MAX_WORKSPACE_CHARS)
        rank = fields.rank()
        effective = self._effective(workspace, model, rank)
        ctx.effective = effective
        targets = effective.targets.of(rank)
        deadlines = effective.deadlines
        prompt = fields.text("prompt", self._limits.max_body_bytes)
        estimate = len(prompt) // CHARS_PER_TOKEN + 1
        max_prompt_tokens = self._limits.max_prompt_tokens
        rule = effective.models.get(model)
        if rule is not None:
            max_prompt_tokens = min(max_prompt_tokens, rule.max_prompt_tokens)
        event_id = ctx.raw.headers.get(EVENT_ID_HEADER)
        ctx.generate = requests.GenerateRequest(
            request_id=request_id,
            workspace=workspace,
            rank=rank,
            model=model,
            prompt=prompt,
            prompt_tokens=fields.integer(
                "prompt_tokens", 1, max_prompt_tokens, estimate
            ),
            max_tokens=fields.integer("max_tokens", 1, MAX_TOKENS, 256),
            targets=requests.Targets(
                fields.seconds("first_token_s", 3600.0, targets.first_token_s),
                fields.seconds("per_token_s", 60.0, targets.per_token_s),
            ),
            deadline_s=fields.seconds(
                "deadline_s", deadlines.max_s, deadlines.of(rank)
            ),
            adapter=fields.text("adapter", MAX_WORKSPACE_CHARS, ""),
            after_seq=_event_id(event_id),
            resumes=event_id is not None,
        )
        ctx.next_seq = ctx.generate.after_seq + 1
        ctx.trace.request_id = request_id
        ctx.trace.workspace = workspace
        ctx.trace.rank = rank.name.lower()
        ctx.trace.model = model

    def _effective(
        self, workspace: str, model: str, rank: requests.Rank
    ) -> config.Defaults:
        scope = config.Scope(
            workspace=workspace,
            model=model,
            data_centre=self._data_centre,
            rank=config.RANK_NAMES[rank],
        )
        return config.resolve(self._current_config(), scope)


def _event_id(text: str | None) -> int:
    if text is None:
        return 0
    if not text.isascii() or not text.isdigit() or len(text) > 9:
        raise _bad_input(
            EVENT_ID_HEADER, text, "an event number of at most 9 digits"
        )
    return int(text)


class ParseServiceFilter(base.Filter):
    """Parses and validates calls to plain services."""

    name = "parse"

    def __init__(
        self,
        limits: settings.LimitSettings,
        current_config: ConfigSource,
        data_centre: str,
    ):
        """Takes the limits, configuration and own data centre."""
        self._limits = limits
        self._current_config = current_config
        self._data_centre = data_centre

    async def apply(
        self, ctx: base.Context, proceed: base.Proceed
    ) -> base.Result:
        """Sets `ctx.call`, or fails with a typed error."""
        if ctx.raw.receive_error is not None:
            return base.fail(ctx.raw.receive_error)
        if len(ctx.raw.body) > self._limits.max_body_bytes:
            limit = self._limits.max_body_bytes
            return base.fail(errors.BodyTooLarge(limit))
        try:
            self._parse(ctx)
        except errors.SeamException as exc:
            return base.fail(exc.error)
        return await proceed(ctx)

    def _parse(self, ctx: base.Context) -> None:
        raw = ctx.raw
        rule = self._current_config().defaults.operation(
            raw.service, raw.operation
        )
        if rule is None:
            raise errors.SeamException(
                errors.ServiceUnknown(raw.service, raw.operation)
            )
        fields = _Fields(
            {
                "workspace": raw.headers.get(WORKSPACE_HEADER),
                "rank": raw.headers.get(RANK_HEADER, "other"),
                "key": raw.headers.get(KEY_HEADER, ""),
            }
        )
        workspace = fields.text("workspace", MAX_WORKSPACE_CHARS)
        rank = fields.rank()
        key = fields.text("key", 36, "")
        if not rule.idempotent and not ids.is_uuid7(key):
            raise _bad_input(
                KEY_HEADER, key, "a UUIDv7 in lower-case text form"
            )
        scope = config.Scope(
            workspace=workspace,
            data_centre=self._data_centre,
            rank=config.RANK_NAMES[rank],
        )
        ctx.effective = config.resolve(self._current_config(), scope)
        ctx.call = requests.ServiceRequest(
            service=raw.service,
            operation=raw.operation,
            workspace=workspace,
            rank=rank,
            body=raw.body,
            deadline_s=rule.timeout_s,
            idempotent=rule.idempotent,
            key="" if rule.idempotent else key,
        )
        ctx.trace.request_id = ctx.call.key
        ctx.trace.workspace = workspace
        ctx.trace.rank = rank.name.lower()
        ctx.trace.model = f"{raw.service}/{raw.operation}"
