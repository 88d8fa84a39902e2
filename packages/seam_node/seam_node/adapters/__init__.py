"""Adapters that connect the ports to real processes."""
