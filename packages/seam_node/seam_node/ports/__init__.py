"""Abstract base classes for the systems outside the instance."""
