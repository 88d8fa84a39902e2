"""Filters of the request chains, one per module."""
