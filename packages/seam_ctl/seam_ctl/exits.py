"""Exit codes of the command line; part of its interface."""

from seam_model import errors

OK = 0
BUG = 1
"""Something that nobody foresaw; typer and Python use it too."""
USAGE = 2
"""The command line itself is wrong; typer uses it too."""
INVALID = 3
"""Settings, a draft, a request or the profile has problems."""
CONFLICT = 4
"""Another change was accepted first; nothing was changed."""
DENIED = 5
"""The token is unknown or lacks the role."""
NOT_FOUND = 6
UNREACHABLE = 7
"""No instance or no platform answered; nothing was changed."""
UNSETTLED = 8
"""The change may have been accepted; look at the history."""

_CODES: dict[type[errors.SeamError], int] = {
    errors.BadInput: INVALID,
    errors.BodyUnreadable: INVALID,
    errors.ConfigInvalid: INVALID,
    errors.InputInvalid: INVALID,
    errors.ProfileInvalid: INVALID,
    errors.SettingsInvalid: INVALID,
    errors.ConfigConflict: CONFLICT,
    errors.Denied: DENIED,
    errors.TokenUnknown: DENIED,
    errors.NotFound: NOT_FOUND,
    errors.InstanceNotReady: UNREACHABLE,
    errors.PlatformUnavailable: UNREACHABLE,
    errors.PlatformAmbiguous: UNSETTLED,
}


def code_of(error: errors.SeamError) -> int:
    """Returns the exit code of a failure."""
    if isinstance(error, errors.AdminUnreachable):
        return UNSETTLED if error.sent else UNREACHABLE
    return _CODES.get(type(error), BUG)
