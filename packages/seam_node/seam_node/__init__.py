"""The entry instance: request filters, state controllers and ports."""
