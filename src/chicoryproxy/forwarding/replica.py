"""This entry's copy of what the platform's store publishes.

Each key keeps its newest change, by revision. Merging is commutative and idempotent, so changes may
come from the store or from peers, in any order and more than once.
"""

from collections.abc import Iterable

from chicoryproxy.forwarding.model import (
    NO_REVISION,
    Change,
    DomainBack,
    DomainOut,
    Revision,
    UpstreamListed,
    UpstreamUnlisted,
)
from chicoryproxy.ids import DomainId, UpstreamId

UPSTREAM_PREFIX = "upstream/"
DOMAIN_PREFIX = "domain/"
ROUTING_KEY = "routing"
MAX_TOMBSTONES = 20_000


def get_upstream_key(upstream: UpstreamId) -> str:
    """Return the key of the changes of an upstream."""
    return UPSTREAM_PREFIX + upstream


def get_domain_key(domain: DomainId) -> str:
    """Return the key of the changes of a failure domain."""
    return DOMAIN_PREFIX + domain


class Replica:
    """Newest change of each key.

    :ivar synced: every change up to this revision is here.
    """

    def __init__(self) -> None:
        self.synced = NO_REVISION
        self._changes: dict[str, Change] = {}
        self._tombstones = 0

    def __len__(self) -> int:
        return len(self._changes)

    def merge(self, change: Change) -> bool:
        """Take a change unless a newer one of its key is known.

        :returns: True if the change was new.
        """
        known = self._changes.get(change.key)
        if known is not None and known.revision >= change.revision:
            return False
        # Re-inserting keeps the keys in the order of their last change.
        self._changes.pop(change.key, None)
        self._changes[change.key] = change
        if isinstance(change.fact, UpstreamUnlisted):
            self._tombstones += 1
            self._evict_oldest_tombstone()
        return True

    def advance_synced(self, revision: Revision) -> None:
        """Note that all changes up to a revision have been merged."""
        self.synced = max(self.synced, revision)

    def infer_removals(self, listed: Iterable[Change], revision: Revision) -> list[Change]:
        """Return the removals that a whole listing implies.

        :param listed: every key that the store holds.
        :param revision: of the store before the listing began.
        """
        present = {change.key for change in listed}
        removals: list[Change] = []
        for key, change in self._changes.items():
            if key in present or change.revision > revision:
                continue
            if isinstance(change.fact, UpstreamListed):
                removals.append(Change(key, revision, UpstreamUnlisted(change.fact.entry.id)))
            elif isinstance(change.fact, DomainOut):
                removals.append(Change(key, revision, DomainBack(change.fact.domain)))
        return removals

    def get_since(self, revision: Revision) -> list[Change]:
        """Return the changes after a revision, oldest first."""
        changes = [item for item in self._changes.values() if item.revision > revision]
        changes.sort(key=lambda item: item.revision)
        return changes

    def _evict_oldest_tombstone(self) -> None:
        if self._tombstones <= MAX_TOMBSTONES:
            return
        for key, change in self._changes.items():
            if isinstance(change.fact, UpstreamUnlisted):
                del self._changes[key]
                self._tombstones -= 1
                return
