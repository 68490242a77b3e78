"""Heartbeats, their messages, and which peers live."""
