"""Abstract base classes for everything outside the instance."""
