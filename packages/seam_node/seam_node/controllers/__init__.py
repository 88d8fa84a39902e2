"""The controllers that own an instance's state, one module each."""
