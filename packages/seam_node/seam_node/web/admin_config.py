"""Operators' handlers for the configuration and its audit trail."""

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
    """Base of handlers that need the configuration in force."""

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
        """Applies a draft and answers with the change or the failure."""
        result = draft
        if draft.is_ok():
            result = await self.node.config.apply(
                draft.ok, self.who, why, expected_version, change_id
            )
        if result.is_error():
            self.node.log.error(
                "config_not_applied", result.error, operator=self.who
            )
            self.refuse(result.error)
            return
        change = result.ok
        self.acted(action, version=change.version, change=change_id)
        self.answer(change)

    def known_change(self, change_id: str) -> config.Change | None:
        """Returns the change that an earlier try of this request made."""
        for change in self.current().changes:
            if change.change_id == change_id:
                return change
        return None


class ConfigHandler(_ConfigHandler):
    """`GET /v1/config`."""

    @admin_base.needs(_VIEWER)
    async def get(self) -> None:
        """Answers with the configuration in force here."""
        cfg = self.current()
        draft = cfg.draft()
        text = config_check.draft_to_toml(draft)
        self.answer(admin.ConfigView(cfg.version, draft, text))


class CheckHandler(_ConfigHandler):
    """`POST /v1/config/check`."""

    @admin_base.needs(_VIEWER)
    async def post(self) -> None:
        """Answers with every problem of a draft, or its differences."""
        req = self.read(admin.CheckRequest)
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

    @admin_base.needs(_ADMIN)
    async def post(self) -> None:
        """Makes a draft the next version."""
        req = self.read(admin.ApplyRequest)
        if req is None:
            return
        draft = config_check.draft_from_toml(req.toml)
        await self.apply(
            "config_apply", draft, req.why, req.expected_version, req.change_id
        )


class DiffHandler(_ConfigHandler):
    """`GET /v1/config/diff?since=VERSION`."""

    @admin_base.needs(_VIEWER)
    async def get(self) -> None:
        """Answers with the kept changes after a version, newest first."""
        since = self.number("since", 0, VERSION_MAX, 0)
        changes = reversed(self.current().changes)
        self.answer(
            admin.ChangeList(tuple(c for c in changes if c.version > since))
        )


class HistoryHandler(_ConfigHandler):
    """`GET /v1/config/history`."""

    @admin_base.needs(_VIEWER)
    async def get(self) -> None:
        """Answers with the changes that the object keeps, newest first."""
        changes = tuple(reversed(self.current().changes))
        self.answer(admin.ChangeList(changes))


class AuditHandler(_ConfigHandler):
    """`GET /v1/audit?before=VERSION&limit=N`."""

    @admin_base.needs(_VIEWER)
    async def get(self) -> None:
        """Answers with a page of all changes ever accepted."""
        before = self.number("before", 0, VERSION_MAX, 0)
        limit = self.number("limit", 1, admin.PAGE_MAX, admin.PAGE_MAX)
        result = await audit.page(
            self.node.ports.platform, self.current(), before, limit
        )
        if result.is_error():
            self.refuse(result.error)
        else:
            self.answer(result.ok)


class ExceptionsHandler(_ConfigHandler):
    """`GET` and `POST /v1/exceptions`."""

    @admin_base.needs(_VIEWER)
    async def get(self) -> None:
        """Answers with every exception and its reason."""
        cfg = self.current()
        self.answer(admin.ExceptionList(cfg.version, cfg.exceptions))

    @admin_base.needs(_ADMIN)
    async def post(self) -> None:
        """Adds an exception."""
        req = self.read(admin.ExceptionRequest)
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
        version = _expected(req.expected_version, cfg)
        await self.apply("exception_add", draft, why, version, req.change_id)


class ExceptionHandler(_ConfigHandler):
    """`DELETE /v1/exceptions/{id}`."""

    @admin_base.needs(_ADMIN)
    async def delete(self, rule_id: str) -> None:
        """Removes an exception."""
        req = self.read(admin.RemoveRequest)
        if req is None:
            return
        if (done := self.known_change(req.change_id)) is not None:
            self.answer(done)
            return
        cfg = self.current()
        draft = config_edit.without_exception(cfg.draft(), rule_id)
        version = _expected(req.expected_version, cfg)
        await self.apply(
            "exception_remove", draft, req.why, version, req.change_id
        )


def _expected(version: int, cfg: config.FleetConfig) -> int:
    return cfg.version if version == admin.ANY_VERSION else version
