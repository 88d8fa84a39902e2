"""Calls to endpoints and what is known of them."""
