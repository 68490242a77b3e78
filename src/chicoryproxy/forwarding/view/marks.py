"""Marks: 32-bit hashes that identify upstream lifetimes in the packets.

Every entry computes the same mark from the published id, service and start of a lifetime, without
coordination. On a hash collision the lifetime with the lesser identity owns the mark, and the other
one gets no openings from any entry that knows both.
"""

import xxhash

from chicoryproxy.forwarding.model import Mark, UpstreamEntry

MARK_MASK = 0xFFFF_FFFF
_ZERO_REPLACEMENT = 0x8000_0000


def get_identity(entry: UpstreamEntry) -> str:
    """Return the unique identity of a lifetime: service, id and start."""
    return f"{entry.service}/{entry.id}/{entry.started_ms}"


def compute_mark(identity: str) -> Mark:
    """Return the mark of a lifetime; never zero, because openings carry zero."""
    value = xxhash.xxh3_64_intdigest(identity.encode()) & MARK_MASK
    return Mark(value or _ZERO_REPLACEMENT)
