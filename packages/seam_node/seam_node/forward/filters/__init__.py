"""Filters that process a forwarded request."""
