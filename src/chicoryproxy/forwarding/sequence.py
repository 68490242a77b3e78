"""Arithmetic of the byte offsets in packets, which wrap around at 32 bits."""

_SEQUENCE_RANGE = 1 << 32
_HALF_SEQUENCE_RANGE = 1 << 31
_SAME_FLOW_BYTES = 1 << 24
"""Both ends number their bytes from a start chosen for each flow. Offsets further apart than this
belong to different flows; one in 128 pairs of unrelated offsets is nearer."""


def add_to_sequence(offset: int, size: int) -> int:
    """Return the offset after a number of bytes."""
    return (offset + size) % _SEQUENCE_RANGE


def compute_distance(start: int, end: int) -> int:
    """Return the number of bytes from one offset to a later one."""
    return (end - start) % _SEQUENCE_RANGE


def is_sequence_after(offset: int, other: int) -> bool:
    """Return whether an offset is after another one."""
    return 0 < compute_distance(other, offset) < _HALF_SEQUENCE_RANGE


def is_same_flow(offset: int, other: int) -> bool:
    """Return whether two offsets of one end may belong to the same flow."""
    distance = compute_distance(other, offset)
    return min(distance, _SEQUENCE_RANGE - distance) < _SAME_FLOW_BYTES
