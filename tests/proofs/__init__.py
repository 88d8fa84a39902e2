"""Tests of the guarantees on a virtual clock under injected faults."""
