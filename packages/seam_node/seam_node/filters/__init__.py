"""The filters that a request passes, one module each."""
