"""The front that forwards requests by routes to endpoints."""
