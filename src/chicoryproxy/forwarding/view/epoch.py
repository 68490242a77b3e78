"""Epochs of the store, as the upper digits of its revisions.

The store may come back from an older copy. It has then lost its last changes, and gives out the
same revisions again. Its epoch rises each time, so that epoch and revision together still order all
changes: whatever was read in a later epoch is newer. A revision of this system is
``epoch * EPOCH_SIZE + number``, where the number is the store's own revision.
"""

from chicoryproxy.forwarding.model import Revision

EPOCH_SIZE = 10**15
"""A power of ten, so that both parts can be read in a log."""

MAX_EPOCH = 9_000
"""Revisions of higher epochs don't fit into the 63 bits of a message between entries."""


def create_revision(epoch: int, number: int) -> Revision:
    """Combine an epoch and a revision of the store.

    :raises ValueError: if one of them is out of range.
    """
    if not 0 <= epoch <= MAX_EPOCH:
        raise ValueError(f"epoch {epoch} of the store is not between 0 and {MAX_EPOCH}")
    if not 0 <= number < EPOCH_SIZE:
        raise ValueError(f"revision {number} of the store is not between 0 and {EPOCH_SIZE - 1}")
    return Revision(epoch * EPOCH_SIZE + number)


def get_epoch(revision: Revision) -> int:
    """Return the epoch of a revision."""
    return revision // EPOCH_SIZE


def get_number(revision: Revision) -> int:
    """Return the store's own revision, without its epoch."""
    return revision % EPOCH_SIZE
