"""Reports of peers on upstreams that can't be reached, passed on to the whole fleet.

Only entries with traffic to an upstream find out that it is dead. The others may still have idle
flows to it, whose callers would send their next request into the void, and would choose it for
openings. A report is passed on for a short time after it was first heard and then ignored for a
while, so that it reaches nearly all entries and dies out.
"""

from chicoryproxy.forwarding.model import Mark
from chicoryproxy.forwarding.view.lifetime import Lifetime

FORWARDING_S = 1.2
"""Time for which a report is passed on: three rounds of heartbeats."""

AVOIDANCE_S = 2.0
"""Time for which openings avoid an upstream after it was last reported."""

MEMORY_S = 10.0
"""Time after which a report counts as new again, if peers still repeat it."""


class _Report:
    """When an upstream was first and last reported."""

    __slots__ = ("first_s", "last_s")

    def __init__(self, now: float) -> None:
        self.first_s = now
        self.last_s = now


class UnreachableReports:
    """Reports by the mark of the upstream."""

    def __init__(self) -> None:
        # Ordered by the time of the first report, oldest first.
        self._reports: dict[Mark, _Report] = {}

    def record(self, mark: Mark, now: float) -> bool:
        """Record that a peer can't reach an upstream.

        :returns: True if the report is new.
        """
        report = self._reports.get(mark)
        if report is None:
            self._reports[mark] = _Report(now)
            return True
        report.last_s = now
        return False

    def list_forwarded(self, now: float) -> list[Mark]:
        """Return the upstreams whose reports are to be passed on."""
        forwarded: list[Mark] = []
        for mark, report in reversed(self._reports.items()):
            if now - report.first_s >= FORWARDING_S:
                break
            forwarded.append(mark)
        return forwarded

    def is_avoided(self, upstream: Lifetime, now: float) -> bool:
        """Return whether an upstream was reported, and has not answered here since."""
        report = self._reports.get(upstream.mark)
        if report is None or now - report.last_s >= AVOIDANCE_S:
            return False
        return upstream.answered_s < report.first_s

    def expire(self, now: float) -> None:
        """Forget old reports."""
        for mark, report in list(self._reports.items()):
            if now - report.first_s < MEMORY_S:
                return
            del self._reports[mark]
