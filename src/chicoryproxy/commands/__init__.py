"""Command line: ``chicory-check``, ``chicory-ctl``, ``chicory-load``, ``chicory-demo``."""
