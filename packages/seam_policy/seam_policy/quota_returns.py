"""Schedules when callers over quota should retry.

Each workspace has a schedule of its own, whose steps are the time in which the
bucket refills for one such request. Callers thus return spread out, and about
when the quota admits them. This handles a flood whose refused callers would
otherwise all return at once.
"""

from seam_policy import retry_after_schedule

MIN_RETRY_AFTER_S = 0.05
"""Shortest Retry-After of a caller over quota."""


class QuotaReturns:
    """Assigns a separate retry time to each refused caller."""

    def __init__(self) -> None:
        """Creates empty schedules."""
        self._schedules: dict[str, retry_after_schedule.RetryAfterSchedule] = {}

    def assign(
        self,
        workspace: str,
        wait_s: float,
        step_s: float,
        remaining_s: float,
        now: float,
    ) -> float:
        """Returns the seconds after which a caller should retry.

        Args:
            workspace: name of the caller's workspace.
            wait_s: time until its bucket is above zero.
            step_s: time in which the bucket refills for one such request.
            remaining_s: time until the caller's deadline.
            now: current time.
        """
        schedule = self._schedules.get(workspace)
        if schedule is None:
            schedule = self._schedules[workspace] = (
                retry_after_schedule.RetryAfterSchedule(MIN_RETRY_AFTER_S)
            )
        most_s = retry_after_schedule.MAX_SHARE * max(0.0, remaining_s)
        return schedule.assign(now, step_s, most_s, wait_s)

    def retain(self, workspaces: set[str]) -> None:
        """Drops the schedules of all other workspaces."""
        for name in set(self._schedules) - workspaces:
            del self._schedules[name]
