"""Command-line programs ``chicory-check``, ``chicory-ctl``, ``chicory-load``, ``chicory-demo``."""
