"""Failures of upstreams and failure domains."""
