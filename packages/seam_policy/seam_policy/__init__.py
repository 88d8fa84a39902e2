"""Policies for placement, admission, queueing, limits and retries.

The package does no I/O, reads no clock and uses no global random source: time
and seed are arguments, so the same input always gives the same output.
"""
