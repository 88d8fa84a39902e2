"""Reads the audit trail: changes in the configuration and older ones."""

import asyncio

import expression

from seam_model import admin
from seam_model import codec
from seam_model import config
from seam_model import errors
from seam_node.ports import platform as platform_port

PageResult = expression.Result[admin.ChangeList, errors.SeamError]


async def page(
    platform: platform_port.Platform,
    cfg: config.FleetConfig,
    before: int,
    limit: int,
) -> PageResult:
    """Returns up to `limit` changes, newest first.

    Args:
        platform: Holds the changes that were moved out of the object.
        cfg: The configuration in force.
        before: Only changes of lower versions are returned; 0 for all.
        limit: Most changes in the page.
    """
    kept = [
        c for c in reversed(cfg.changes) if not before or c.version < before
    ]
    if len(kept) > limit:
        return expression.Ok(_page(kept[:limit]))
    oldest = min((c.version for c in cfg.changes), default=cfg.version + 1)
    moved = await _moved(platform, min(before or oldest, oldest))
    if moved.is_error():
        return moved
    keys = moved.ok
    missing = limit - len(kept)
    wanted, rest = keys[:missing], keys[missing:]
    read = await asyncio.gather(*(platform.get(key) for key in wanted))
    for answer in read:
        if answer.is_error():
            return answer
        change = codec.from_json(answer.ok.data, config.Change)
        if change.is_error():
            return change
        kept.append(change.ok)
    if rest:
        return expression.Ok(_page(kept))
    return expression.Ok(admin.ChangeList(tuple(kept)))


def _page(changes: list[config.Change]) -> admin.ChangeList:
    return admin.ChangeList(tuple(changes), changes[-1].version)


async def _moved(
    platform: platform_port.Platform, below: int
) -> expression.Result[list[str], errors.PlatformError]:
    """Returns the keys of moved changes below a version, newest first."""
    listed = await platform.list_keys(config.AUDIT_PREFIX)
    if listed.is_error():
        return listed
    found: list[tuple[int, str]] = []
    for key in listed.ok:
        number = key.removeprefix(config.AUDIT_PREFIX)
        if number.isdecimal() and int(number) < below:
            found.append((int(number), key))
    return expression.Ok([key for _, key in sorted(found, reverse=True)])
