"""Errors of the platform's object store."""

import attrs

from seam_model import errors


@attrs.frozen
class PlatformError(errors.SeamError):
    """Base class of errors of the platform's object service."""

    code = "platform"


@attrs.frozen
class PlatformUnavailable(PlatformError):
    """The platform could not be reached, so the call had no effect."""

    code = "platform_unavailable"
    operation: str


@attrs.frozen
class PlatformAmbiguous(PlatformError):
    """The platform's answer was lost; a write may have taken effect."""

    code = "platform_ambiguous"
    operation: str


@attrs.frozen
class VersionConflict(PlatformError):
    """A conditional update expected a version other than the current one."""

    code = "version_conflict"
    key: str
    expected: int
    current: int


@attrs.frozen
class ObjectMissing(PlatformError):
    """The object does not exist."""

    code = "object_missing"
    key: str


@attrs.frozen
class ObjectUnreadable(PlatformError):
    """The object is there but cannot be decoded."""

    code = "object_unreadable"
    key: str
    version: int
    """Its version; 0 if that cannot be read either."""


@attrs.frozen
class HistoryGone(PlatformError):
    """The store no longer keeps the changes after a revision."""

    code = "history_gone"
    revision: int


@attrs.frozen
class StoreOutdated(PlatformError):
    """The answer is from before the store was restored from a copy.

    What was written by such a call is lost.
    """

    code = "store_outdated"
    operation: str
