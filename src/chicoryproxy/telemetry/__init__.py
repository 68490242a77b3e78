"""Logs and metrics of ``chicory-entry`` and ``chicory-view``."""
