"""Adapter to the users' platform: its names, data formats and HTTP endpoints.

This package contains no forwarding decisions, and no other package uses the platform's names.
Input is decoded once, into the types of ``chicoryproxy.forwarding.model``.
"""
