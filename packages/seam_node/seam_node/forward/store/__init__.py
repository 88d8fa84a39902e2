"""Local copies of the platform's store, and the feed between instances."""
