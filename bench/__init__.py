"""Demo, load and measuring tools."""
