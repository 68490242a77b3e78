"""Processes of the product's own interface: ``chicory-entry`` and ``chicory-view``."""
