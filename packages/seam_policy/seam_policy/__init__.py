"""Decisions about placement, admission and retries.

Nothing here does I/O, reads a clock or draws from a global random source: time
and seed are arguments, so the same input always gives the same output.
"""
