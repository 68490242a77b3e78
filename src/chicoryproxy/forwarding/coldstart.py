"""Openings at cold upstreams, bounded over all entries without a message between them.

Only entries in the upstream's own failure domain open flows at a cold upstream. The bound of any
second is divided among as many of them as it allows; entries of a higher rank send nothing. Each
entry counts its own openings over a sliding window that is a little longer than the bound's.
"""

import math
from collections import deque

from chicoryproxy.forwarding.directory import Directory, Lifetime

WINDOW_S = 1.25
"""Longer than the second of the bound, for openings that spend different times on the way."""

MAX_FULLY_KNOWN_MEMBERS = 20
"""In larger failure domains entries may know different parts of the members, and rank themselves
too high; then half of the bound is kept back."""

RESERVED_OPENINGS = 1
"""Openings of the bound that are never used."""


class DomainShare:
    """Place of this entry among the entries of its failure domain.

    :ivar rank: zero-based rank of this entry.
    :ivar size: number of entries that may open flows.
    """

    __slots__ = ("rank", "size")

    def __init__(self, rank: int, size: int) -> None:
        self.rank = rank
        self.size = size


class ColdBudget:
    """Limits the openings of this entry at cold upstreams.

    :ivar share: ``None`` while the other entries are not known; then nothing is opened.
    """

    def __init__(self, directory: Directory) -> None:
        self._directory = directory
        self._opened: dict[Lifetime, deque[float]] = {}
        self.share: DomainShare | None = None

    def can_open(self, upstream: Lifetime, now: float) -> bool:
        """Tell whether this entry may open a flow at a cold upstream now."""
        allowed = self._get_allowed(upstream)
        opened = self._opened.get(upstream)
        if opened is None:
            return allowed > 0
        while opened and now - opened[0] > WINDOW_S:
            opened.popleft()
        return len(opened) < allowed

    def record_opening(self, upstream: Lifetime, now: float) -> None:
        """Note an opening at a cold upstream."""
        self._opened.setdefault(upstream, deque()).append(now)

    def expire(self, now: float) -> None:
        """Forget upstreams that are no longer cold."""
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
