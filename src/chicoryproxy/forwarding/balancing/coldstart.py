"""Rate limit for openings at cold upstreams that holds across entries without coordination.

Only entries in the upstream's own failure domain open flows at a cold upstream. The limit per
second is divided among as many of these entries as it allows for; entries of a higher rank open
none. Each entry counts its own openings in a sliding window slightly longer than one second.
"""

import math
from collections import deque

from chicoryproxy.forwarding.view.directory import Directory
from chicoryproxy.forwarding.view.lifetime import Lifetime

WINDOW_S = 1.25
"""Longer than the one second of the limit, because openings have different network delays."""

MAX_FULLY_KNOWN_MEMBERS = 20
"""In larger failure domains each entry may know only some of the members and so compute too low a
rank for itself; then only half of the limit is used."""

RESERVED_OPENINGS = 1
"""Openings of the limit that are left unused."""


class DomainShare:
    """Rank of this entry among the entries of its failure domain.

    :ivar rank: zero-based rank of this entry.
    :ivar size: number of entries that may open flows.
    """

    __slots__ = ("rank", "size")

    def __init__(self, rank: int, size: int) -> None:
        self.rank = rank
        self.size = size


class ColdBudget:
    """Limits the openings of this entry at cold upstreams.

    :ivar share: ``None`` while the other entries are unknown; then no flow is opened.
    """

    def __init__(self, directory: Directory) -> None:
        self._directory = directory
        self._opened: dict[Lifetime, deque[float]] = {}
        self.share: DomainShare | None = None

    def can_open(self, upstream: Lifetime, now: float) -> bool:
        """Return whether this entry may open a flow at a cold upstream now."""
        allowed = self._get_allowed(upstream)
        opened = self._opened.get(upstream)
        if opened is None:
            return allowed > 0
        while opened and now - opened[0] > WINDOW_S:
            opened.popleft()
        return len(opened) < allowed

    def record_opening(self, upstream: Lifetime, now: float) -> None:
        """Record an opening at a cold upstream."""
        self._opened.setdefault(upstream, deque()).append(now)

    def expire(self, now: float) -> None:
        """Remove upstreams without openings in the window."""
        for upstream, opened in list(self._opened.items()):
            if not opened or now - opened[-1] > WINDOW_S:
                del self._opened[upstream]

    def _get_allowed(self, upstream: Lifetime) -> int:
        share = self.share
        if share is None:
            return 0
        limits = self._directory.get_limits(upstream.entry.service)
        rate = limits.cold_openings_per_s if limits else 0.0
        bounds = self._directory.bounds
        total = math.floor(rate * bounds.cold_overage + bounds.cold_slack) - RESERVED_OPENINGS
        if total >= share.size:
            return total // share.size
        if share.size > MAX_FULLY_KNOWN_MEMBERS:
            total //= 2
        return 1 if share.rank < total else 0
