"""Shares of the priorities in the work of a service, from the responses seen by this entry."""

import math

from chicoryproxy.ids import ServiceId

AVERAGING_S = 5.0
"""Time constant of the shares; an entry of a large fleet sees only a few responses per second."""

PRIORITY_RETENTION_S = 10.0
"""A priority counts as in use for this long after a response to a request of it."""


class _Work:
    """Decayed sum of the time that requests of one priority were outstanding."""

    __slots__ = ("seconds", "recorded_s")

    def __init__(self, now: float) -> None:
        self.seconds = 0.0
        self.recorded_s = now

    def compute_sum(self, now: float) -> float:
        """Return the sum as of now."""
        return self.seconds * math.exp((self.recorded_s - now) / AVERAGING_S)

    def add(self, seconds: float, now: float) -> None:
        """Add the time that one request was outstanding."""
        self.seconds = self.compute_sum(now) + seconds
        self.recorded_s = now


class PriorityShares:
    """Outstanding requests of each service by priority.

    The requests of a priority that are outstanding on average are proportional to the sum of their
    response times.
    """

    def __init__(self) -> None:
        self._work: dict[ServiceId, dict[int, _Work]] = {}

    def record_response(
        self, service: ServiceId, priority: int, duration_s: float, now: float
    ) -> None:
        """Record the time from a request to its response."""
        by_priority = self._work.setdefault(service, {})
        if priority not in by_priority:
            by_priority[priority] = _Work(now)
        by_priority[priority].add(duration_s, now)

    def compute_share(self, service: ServiceId, priority: int, now: float) -> float | None:
        """Return the share of the outstanding requests with this priority or a higher one.

        :returns: ``None`` if no higher priority is in use.
        """
        by_priority = self._work.get(service, {})
        recent = {
            key: work.compute_sum(now)
            for key, work in by_priority.items()
            if now - work.recorded_s < PRIORITY_RETENTION_S
        }
        total = sum(recent.values())
        if not total or all(key >= priority for key in recent):
            return None
        return sum(work for key, work in recent.items() if key <= priority) / total

    def expire(self, now: float) -> None:
        """Discard priorities that are no longer in use."""
        for service, by_priority in list(self._work.items()):
            for priority, work in list(by_priority.items()):
                if now - work.recorded_s >= PRIORITY_RETENTION_S:
                    del by_priority[priority]
            if not by_priority:
                del self._work[service]
