"""HTTP handlers for callers and operators."""
