"""The entry instance: request filters, controllers and ports."""
