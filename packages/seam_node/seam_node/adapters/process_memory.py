"""Measures the memory of this process."""

import os
import pathlib

_STATM = pathlib.Path("/proc/self/statm")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def private_bytes() -> int | None:
    """Returns the resident memory that no file backs; None if unknown."""
    try:
        _, resident, shared, *_ = _STATM.read_text().split()
        return (int(resident) - int(shared)) * _PAGE_BYTES
    except (OSError, ValueError):
        return None
