"""Snapshot tests of whole sessions."""
