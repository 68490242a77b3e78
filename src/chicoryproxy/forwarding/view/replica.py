"""Replica of the published data in the platform's store.

The newest change of each key is kept, by revision. Merging is commutative and idempotent, so that
changes may arrive from the store or from peers, in any order and more than once.

A listing of the store holds no removals. A replica therefore knows the removals only after some
revision (``complete_since``), and can't tell a peer that is further behind what has changed; such a
peer needs all keys, and infers the removals from those that are absent.
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

    :ivar synced: all keys that exist at this revision are included.
    :ivar complete_since: all removals between this revision and ``synced`` are included too.
    """

    def __init__(self) -> None:
        self.synced = NO_REVISION
        self.complete_since = NO_REVISION
        self._changes: dict[str, Change] = {}
        self._tombstones = 0
        self._evicted = NO_REVISION

    def __len__(self) -> int:
        return len(self._changes)

    def merge(self, change: Change, is_newer_whole: bool = False) -> bool:
        """Add a change unless the same or a newer one of its key is known.

        :param is_newer_whole: it is from a whole listing of a later revision than ``synced``, so
            that its key exists whatever is known here.
        :returns: True if the change was added.
        """
        known = self._changes.get(change.key)
        if known is not None and known.revision >= change.revision:
            return False
        is_absent = known is None or _is_removal(known)
        if is_absent and not is_newer_whole and self._was_removed(change):
            return False
        # Reinserting the key keeps the dict ordered by last change.
        self._changes.pop(change.key, None)
        self._changes[change.key] = change
        if known is not None and isinstance(known.fact, UpstreamUnlisted):
            self._tombstones -= 1
        if isinstance(change.fact, UpstreamUnlisted):
            self._tombstones += 1
            self._evict_oldest_tombstone()
        return True

    def find(self, key: str) -> Change | None:
        """Return the newest change of a key."""
        return self._changes.get(key)

    def advance_synced(self, revision: Revision, since: Revision) -> None:
        """Record that all changes after one revision and up to another one have been merged.

        :param since: for a listing its own revision, since it holds no earlier removals.
        """
        if since > self.synced:
            self.complete_since = since
        elif revision >= self.complete_since:
            self.complete_since = min(self.complete_since, since)
        self.complete_since = max(self.complete_since, self._evicted)
        self.synced = max(self.synced, revision)

    def infer_removals(self, listed: Iterable[Change], revision: Revision) -> list[Change]:
        """Return the removals implied by a complete listing of the store.

        :param listed: changes of all keys in the store; those of a peer include removals.
        :param revision: revision of the store before the listing began.
        """
        shown = {change.key: change for change in listed}
        removals: list[Change] = []
        for key, change in self._changes.items():
            if change.revision > revision or _shows_newest(shown.get(key), change):
                continue
            if isinstance(change.fact, UpstreamListed):
                removals.append(Change(key, revision, UpstreamUnlisted(change.fact.entry.id)))
            elif isinstance(change.fact, DomainOut):
                removals.append(Change(key, revision, DomainBack(change.fact.domain)))
        return removals

    def get_since(self, revision: Revision) -> list[Change]:
        """Return the changes after a revision, oldest first.

        Removals are missing if the revision is older than ``complete_since``.
        """
        changes = [item for item in self._changes.values() if item.revision > revision]
        changes.sort(key=lambda item: item.revision)
        return changes

    def _was_removed(self, change: Change) -> bool:
        """Return whether a key that is absent here existed only before ``synced``.

        The configuration is never removed; an entry without it has passed over it.
        """
        is_removable = change.key != ROUTING_KEY and not _is_removal(change)
        return is_removable and change.revision <= self.synced

    def _evict_oldest_tombstone(self) -> None:
        if self._tombstones <= MAX_TOMBSTONES:
            return
        for key, change in self._changes.items():
            if isinstance(change.fact, UpstreamUnlisted):
                del self._changes[key]
                self._evicted = max(self._evicted, change.revision)
                self.complete_since = max(self.complete_since, self._evicted)
                self._tombstones -= 1
                return


def _shows_newest(listed: Change | None, known: Change) -> bool:
    """Return whether the key of a known change exists in a listing, or was removed after it."""
    if listed is None:
        return False
    return not _is_removal(listed) or listed.revision > known.revision


def _is_removal(change: Change) -> bool:
    return isinstance(change.fact, UpstreamUnlisted | DomainBack)
