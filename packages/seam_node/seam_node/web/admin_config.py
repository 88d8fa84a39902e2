"""Operators' handlers for the configuration and its audit log."""

import expression

from seam_model import admin
from seam_model import config
from seam_model import config_check
from seam_model import config_edit
from seam_model import errors
from seam_model import settings
from seam_node.controllers import audit
from seam_node.web import admin_base

VERSION_MAX = 2**53
_VIEWER = settings.OperatorRole.VIEWER
_ADMIN = settings.OperatorRole.ADMIN


class _ConfigHandler(admin_base.Handler):
    """Base of handlers that use the configuration in force."""

    def current(self) -> config.FleetConfig:
        """Returns the configuration in force.

        Raises: `SeamException` with `InstanceNotReady`.
        """
        cfg = self.node.config.current()
        if cfg is None:
            error = errors.InstanceNotReady("no confirmed configuration yet")
            raise errors.SeamException(error)
        return cfg

    async def apply(
        self,
        action: str,
        draft: expression.Result,
        why: str,
        expected_version: int,
        change_id: str,
    ) -> None:
        """Applies a draft and answers with the change or the error."""
        result = draft
        if draft.is_ok():
            result = await self.node.config.apply(
                draft.ok, self.operator_name, why, expected_version, change_id
            )
        if result.is_error():
            self.node.log.error(
                "config_not_applied", result.error, operator=self.operator_name
            )
            self.refuse(result.error)
            return
        change = result.ok
        self.record_action(action, version=change.version, change=change_id)
        self.answer(change)

    def known_change(self, change_id: str) -> config.Change | None:
        """Returns the change that an earlier attempt of this request made.

        Clients repeat a request with the same `change_id` after a lost answer.
        """
        for change in self.current().changes:
            if change.change_id == change_id:
                return change
        return None


class ConfigHandler(_ConfigHandler):
    """`GET /v1/config`."""

    @admin_base.requires_role(_VIEWER)
    async def get(self) -> None:
        """Answers with the configuration in force at this instance."""
        cfg = self.current()
        draft = cfg.draft()
        text = config_check.draft_to_toml(draft)
        self.answer(admin.ConfigView(cfg.version, draft, text))


class CheckHandler(_ConfigHandler):
    """`POST /v1/config/check`."""

    @admin_base.requires_role(_VIEWER)
    async def post(self) -> None:
        """Answers with all problems of a draft or with its differences."""
        req = self.read_body(admin.CheckRequest)
        if req is None:
            return
        cfg = self.current()
        draft = config_check.draft_from_toml(req.toml)
        if draft.is_error():
            self.refuse(draft.error)
            return
        lines = config_check.differences(cfg.draft(), draft.ok)
        self.answer(admin.CheckAnswer(cfg.version, lines))


class ApplyHandler(_ConfigHandler):
    """`POST /v1/config/apply`."""

    @admin_base.requires_role(_ADMIN)
    async def post(self) -> None:
        """Applies a draft as the next version."""
        req = self.read_body(admin.ApplyRequest)
        if req is None:
            return
        draft = config_check.draft_from_toml(req.toml)
        await self.apply(
            "config_apply", draft, req.why, req.expected_version, req.change_id
        )


class DiffHandler(_ConfigHandler):
    """`GET /v1/config/diff?since=VERSION`."""

    @admin_base.requires_role(_VIEWER)
    async def get(self) -> None:
        """Answers with stored changes after a version, newest first."""
        since = self.int_argument("since", 0, VERSION_MAX, 0)
        changes = reversed(self.current().changes)
        self.answer(
            admin.ChangeList(tuple(c for c in changes if c.version > since))
        )


class HistoryHandler(_ConfigHandler):
    """`GET /v1/config/history`."""

    @admin_base.requires_role(_VIEWER)
    async def get(self) -> None:
        """Answers with the changes kept in the object, newest first."""
        changes = tuple(reversed(self.current().changes))
        self.answer(admin.ChangeList(changes))


class AuditHandler(_ConfigHandler):
    """`GET /v1/audit?before=VERSION&limit=N`."""

    @admin_base.requires_role(_VIEWER)
    async def get(self) -> None:
        """Answers with a page of all changes ever accepted."""
        before = self.int_argument("before", 0, VERSION_MAX, 0)
        limit = self.int_argument("limit", 1, admin.PAGE_MAX, admin.PAGE_MAX)
        result = await audit.page(
            self.node.ports.platform, self.current(), before, limit
        )
        if result.is_error():
            self.refuse(result.error)
        else:
            self.answer(result.ok)


class ExceptionsHandler(_ConfigHandler):
    """`GET` and `POST /v1/exceptions`."""

    @admin_base.requires_role(_VIEWER)
    async def get(self) -> None:
        """Answers with all exceptions and their reasons."""
        cfg = self.current()
        self.answer(admin.ExceptionList(cfg.version, cfg.exceptions))

    @admin_base.requires_role(_ADMIN)
    async def post(self) -> None:
        """Adds an exception."""
        req = self.read_body(admin.ExceptionRequest)
        if req is None:
            return
        if (done := self.known_change(req.change_id)) is not None:
            self.answer(done)
            return
        cfg = self.current()
        rule = config.ConfigException(
            req.id, req.scope, req.settings, req.reason
        )
        draft = config_edit.with_exception(cfg.draft(), rule)
        why = f"exception {req.id}: {req.reason}"
        version = _expected_version(req.expected_version, cfg)
        await self.apply("exception_add", draft, why, version, req.change_id)


class ExceptionHandler(_ConfigHandler):
    """`DELETE /v1/exceptions/{id}`."""

    @admin_base.requires_role(_ADMIN)
    async def delete(self, rule_id: str) -> None:
        """Removes an exception."""
        req = self.read_body(admin.RemoveRequest)
        if req is None:
            return
        if (done := self.known_change(req.change_id)) is not None:
            self.answer(done)
            return
        cfg = self.current()
        draft = config_edit.without_exception(cfg.draft(), rule_id)
        version = _expected_version(req.expected_version, cfg)
        await self.apply(
            "exception_remove", draft, req.why, version, req.change_id
        )


def _expected_version(version: int, cfg: config.FleetConfig) -> int:
    return cfg.version if version == admin.ANY_VERSION else version
