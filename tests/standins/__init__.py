"""Small stand-ins of the platform, engines and services for tests."""
