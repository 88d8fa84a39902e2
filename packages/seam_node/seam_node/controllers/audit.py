"""Reads the audit trail from the configuration and the archived changes."""

import asyncio

import expression

from seam_model import admin
from seam_model import codec
from seam_model import config
from seam_model import errors
from seam_model import platform_errors
from seam_node.ports import platform as platform_port

PageResult = expression.Result[admin.ChangeList, errors.SeamError]


async def page(
    platform: platform_port.Platform,
    cfg: config.FleetConfig,
    before: int,
    limit: int,
) -> PageResult:
    """Returns up to `limit` changes, newest first.

    Each version results from exactly one change, so archived changes are read
    by version number: a page costs at most `limit` calls, whatever the length
    of the trail.

    Args:
        platform: Stores the changes archived from the configuration object.
        cfg: The configuration in force.
        before: Only changes of lower versions are returned; 0 for all.
        limit: Maximum number of changes in the page.
    """
    below = before or cfg.version + 1
    kept = [c for c in reversed(cfg.changes) if c.version < below][:limit]
    oldest = min((c.version for c in cfg.changes), default=cfg.version + 1)
    last = max(1, min(below, oldest) - (limit - len(kept)))
    moved = range(min(below, oldest) - 1, last - 1, -1)
    read = await asyncio.gather(*(_read(platform, number) for number in moved))
    for answer in read:
        if answer.is_error():
            return answer
    changes = [*kept, *(answer.ok for answer in read if answer.ok is not None)]
    lowest = last if moved else min((c.version for c in kept), default=1)
    more = lowest if lowest > 1 else 0
    return expression.Ok(admin.ChangeList(tuple(changes), more))


async def _read(
    platform: platform_port.Platform, version: int
) -> expression.Result[config.Change | None, errors.SeamError]:
    """Returns an archived change, or None if the version has no change."""
    stored = await platform.get(config.audit_key(version))
    if stored.is_ok():
        return codec.from_json(stored.ok.data, config.Change)
    if isinstance(stored.error, platform_errors.ObjectMissing):
        return expression.Ok(None)
    return stored
