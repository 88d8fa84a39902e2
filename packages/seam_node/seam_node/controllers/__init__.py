"""Controllers that own the state of an instance, one per module."""
