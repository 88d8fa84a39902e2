"""Finds in logs what instances did not use or serve at a time, and why.

That is endpoints, a configuration that can't be read, and workspaces whose
quota was used up.
"""

from collections.abc import Iterable

import attrs

from seam_ctl import log_lines

LEAVES = "leaves"
PAUSES = "pauses"
UNREADABLE = "unreadable"
"""Its object in the store can't be read."""
OVER_QUOTA = "over_quota"
"""The workspace had used up its quota within the last `OVER_QUOTA_S`."""
OVER_QUOTA_S = 5.0
"""Time for which a line on a spent quota counts, in seconds. While the quota
stays spent, the quota keeper writes a line at this interval."""
CONFIGURATION = "configuration"
_STARTED = "instance_started"
_BELIEF_BY_EVENT = {
    "endpoint_leaving": LEAVES,
    "endpoint_pausing": PAUSES,
    "endpoint_unreadable": UNREADABLE,
    "routes_unreadable": UNREADABLE,
    "quota_spent": OVER_QUOTA,
}


@attrs.frozen
class Belief:
    """Why one instance does not use something."""

    instance: str
    name: str
    """Key or id of an endpoint, name of a workspace, or `CONFIGURATION`."""
    what: str
    """`LEAVES`, `PAUSES`, `UNREADABLE` or `OVER_QUOTA`."""
    line: log_lines.LogLine
    """The line that tells since when and, in `answer_to`, from which answer."""


def beliefs(
    lines: Iterable[log_lines.LogLine], at: float
) -> tuple[Belief, ...]:
    """Returns the beliefs of all instances that hold at a time.

    An instance forgets them with its start, those of an endpoint with the end
    of its incarnation, and that of a configuration with one that can be read.
    """
    held: dict[tuple[str, str, str], Belief] = {}
    for line in sorted(lines, key=lambda each: each.at):
        if line.at > at:
            break
        if line.event == _STARTED:
            held = {k: v for k, v in held.items() if k[0] != line.instance}
        elif line.event in ("endpoint_changed", "routes_in_force"):
            held = {k: v for k, v in held.items() if not _ends(line, v)}
        elif line.event in _BELIEF_BY_EVENT:
            what = _BELIEF_BY_EVENT[line.event]
            name = _name_of(line)
            held[(line.instance, name, what)] = Belief(
                line.instance, name, what, line
            )
    return tuple(each for each in held.values() if not _is_over(each, at))


def _name_of(line: log_lines.LogLine) -> str:
    """Returns what a line is about; see `Belief.name`."""
    if line.event == "quota_spent":
        return line.fields.get("workspace", "")
    return line.fields.get("endpoint", CONFIGURATION)


def _ends(change: log_lines.LogLine, belief: Belief) -> bool:
    """Returns whether a change of the thing ends a belief about it."""
    if belief.what == OVER_QUOTA:
        return False
    name, _, born_ms = belief.name.partition("/")
    fields = change.fields
    if change.event == "routes_in_force":
        is_same = change.instance == belief.instance
        return is_same and belief.name == CONFIGURATION
    if change.instance != belief.instance or fields.get("endpoint") != name:
        return False
    return (
        belief.what == UNREADABLE
        or fields.get("state") == "gone"
        or fields.get("born_ms") != born_ms
    )


def _is_over(belief: Belief, at: float) -> bool:
    if belief.what == OVER_QUOTA:
        return belief.line.at + OVER_QUOTA_S <= at
    if belief.what != PAUSES:
        return False
    try:
        pause_s = float(belief.line.fields.get("pause_s", ""))
    except ValueError:
        return False
    return belief.line.at + pause_s <= at
