"""The two processes of an instance: ``chicory-entry`` and ``chicory-view``."""
