"""Limits on the open files of this process."""

import resource


def open_files_limit(stated: int) -> int:
    """Returns how many descriptors the process may have open.

    Args:
        stated: the number in the settings; the system's limit may be lower.
    """
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return stated if soft == resource.RLIM_INFINITY else min(stated, soft)
