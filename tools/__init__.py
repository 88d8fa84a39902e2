"""Development tools that the Makefile runs."""
