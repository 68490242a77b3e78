"""Logs and metrics of the product's processes."""
