"""Stand-ins for the platform, engines and services in tests."""
