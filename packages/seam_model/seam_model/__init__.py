"""Messages, typed errors, settings, configuration schema and codecs."""
