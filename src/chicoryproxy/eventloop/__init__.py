"""Event loop, streams and HTTP of the entry on the platform."""
