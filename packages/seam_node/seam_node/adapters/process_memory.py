"""Measures the memory of this process."""

import contextlib
import ctypes
import os
import pathlib

_STATM = pathlib.Path("/proc/self/statm")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


_M_MMAP_THRESHOLD = -3
"""Option of the C library, `malloc.h`."""
_M_TRIM_THRESHOLD = -1
_LARGE_BLOCK_BYTES = 128 * 1024
_KEPT_BYTES = 2 * 1024 * 1024
"""Free memory that is kept for small blocks. Less of it would be given back and
taken anew with every few requests."""


def return_large_blocks() -> None:
    """Has the C library give large blocks back as soon as they are freed.

    By itself it keeps blocks of the size of those that were freed before, and
    so the memory of bodies that are gone.
    """
    with contextlib.suppress(AttributeError):
        libc = ctypes.CDLL(None)
        libc.mallopt(_M_MMAP_THRESHOLD, _LARGE_BLOCK_BYTES)
        libc.mallopt(_M_TRIM_THRESHOLD, _KEPT_BYTES)


def private_bytes() -> int | None:
    """Returns the resident memory that no file backs; None if unknown."""
    try:
        _, resident, shared, *_ = _STATM.read_text().split()
        return (int(resident) - int(shared)) * _PAGE_BYTES
    except (OSError, ValueError):
        return None
