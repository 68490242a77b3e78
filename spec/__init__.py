"""A small specification of the protocol between entry instances, checked with z3.

Each module models one part of the protocol; R1 to R15 are the rules that
``docs/design/overview.md`` states. ``spec.modelchecker`` checks them.
"""
