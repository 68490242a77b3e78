"""Owners of the marks: which lifetime the packets with a mark belong to.

Two lifetimes may have the same mark by chance. The one with the lesser identity owns it, so that
all entries that know both decide the same.
"""

from collections.abc import Iterable

from chicoryproxy.forwarding.model import Mark, UpstreamPhase
from chicoryproxy.forwarding.view.lifetime import Lifetime


class MarkOwners:
    """The lifetime that owns each mark, also for a while after its end."""

    def __init__(self) -> None:
        self._owners: dict[Mark, Lifetime] = {}

    def find(self, mark: Mark) -> Lifetime | None:
        """Return the owner of a mark."""
        return self._owners.get(mark)

    def claim(self, lifetime: Lifetime) -> tuple[Lifetime, Lifetime] | None:
        """Decide whether a new lifetime or another one with the same mark owns it.

        :returns: the owner and the other one if there are two.
        """
        owner = self._owners.get(lifetime.mark)
        if owner is None or owner is lifetime or owner.phase is UpstreamPhase.GONE:
            self._owners[lifetime.mark] = lifetime
            return None
        lesser, greater = sorted((owner, lifetime), key=lambda item: item.identity)
        self._owners[lifetime.mark] = lesser
        lesser.is_mark_taken = False
        greater.is_mark_taken = True
        return lesser, greater

    def pass_on(self, ended: Lifetime, present: Iterable[Lifetime]) -> None:
        """Assign the mark of an ended lifetime to a present one that shares it."""
        for lifetime in present:
            if lifetime.mark == ended.mark and lifetime.is_mark_taken:
                lifetime.is_mark_taken = False
                self._owners[lifetime.mark] = lifetime
                return

    def discard(self, lifetime: Lifetime) -> None:
        """Forget the owner of a mark; other lifetimes are ignored."""
        if self._owners.get(lifetime.mark) is lifetime:
            del self._owners[lifetime.mark]
