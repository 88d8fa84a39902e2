"""Exit codes of the command line; scripts may rely on them."""

from seam_model import errors
from seam_model import operator_errors
from seam_model import platform_errors

OK = 0
BUG = 1
"""Unexpected error; typer and Python use this code too."""
USAGE = 2
"""Invalid command line; typer uses this code too."""
INVALID = 3
"""Settings, a draft, a request or the profile is invalid."""
CONFLICT = 4
"""Another change was accepted first; nothing was changed."""
DENIED = 5
"""The token is unknown or its role does not permit the action."""
NOT_FOUND = 6
UNREACHABLE = 7
"""No instance answered, or the platform is unavailable; nothing changed."""
UNSETTLED = 8
"""The change may have been accepted; check the history."""

_CODES: dict[type[errors.SeamError], int] = {
    errors.BadInput: INVALID,
    errors.BodyUnreadable: INVALID,
    errors.ConfigInvalid: INVALID,
    operator_errors.InputInvalid: INVALID,
    operator_errors.ProfileInvalid: INVALID,
    errors.SettingsInvalid: INVALID,
    operator_errors.ConfigConflict: CONFLICT,
    operator_errors.Denied: DENIED,
    operator_errors.TokenUnknown: DENIED,
    operator_errors.NotFound: NOT_FOUND,
    errors.InstanceNotReady: UNREACHABLE,
    platform_errors.PlatformUnavailable: UNREACHABLE,
    platform_errors.PlatformAmbiguous: UNSETTLED,
}


def code_of(error: errors.SeamError) -> int:
    """Returns the exit code for an error."""
    if isinstance(error, operator_errors.AdminUnreachable):
        return UNSETTLED if error.sent else UNREACHABLE
    return _CODES.get(type(error), BUG)
