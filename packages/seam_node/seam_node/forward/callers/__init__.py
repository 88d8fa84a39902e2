"""Connections and requests of callers."""
