"""Counters of how upstreams answered openings, reported to the owners of the upstreams."""

from collections import Counter
from collections.abc import Iterable

from chicoryproxy.ids import UpstreamId
from chicoryproxy.protocol.messages import OpeningOutcomes


class OutcomeCounts:
    """Counts the outcomes of openings by upstream since the last report."""

    def __init__(self) -> None:
        self._answered: Counter[UpstreamId] = Counter()
        self._refused: Counter[UpstreamId] = Counter()
        self._lost: Counter[UpstreamId] = Counter()

    def add_answered(self, upstream: UpstreamId) -> None:
        """Count an opening that the upstream accepted."""
        self._answered[upstream] += 1

    def add_refused(self, upstream: UpstreamId) -> None:
        """Count an opening that the upstream reset."""
        self._refused[upstream] += 1

    def add(self, outcomes: OpeningOutcomes) -> None:
        """Add the counts reported by another entry."""
        self._answered[outcomes.upstream] += outcomes.answered
        self._refused[outcomes.upstream] += outcomes.refused
        self._lost[outcomes.upstream] += outcomes.lost

    def collect(self) -> tuple[OpeningOutcomes, ...]:
        """Return the counts and reset them."""
        outcomes = tuple(
            OpeningOutcomes(
                upstream, self._answered[upstream], self._refused[upstream], self._lost[upstream]
            )
            for upstream in sorted(_list_upstreams(self._answered, self._refused, self._lost))
        )
        self._answered.clear()
        self._refused.clear()
        self._lost.clear()
        return outcomes


def _list_upstreams(*counters: Iterable[UpstreamId]) -> set[UpstreamId]:
    return {upstream for counter in counters for upstream in counter}
