"""Overload of a service, and which openings it refuses."""
