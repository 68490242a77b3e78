"""A small specification of the protocol between entry instances, checked with z3."""
