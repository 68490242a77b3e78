"""Measurements of a load run."""

from collections import Counter
from collections.abc import Sequence
from pathlib import Path

from hdrh.histogram import HdrHistogram
from msgspec import Struct

from chicoryproxy.ids import UpstreamId
from chicoryproxy.testing.caller_standin import FlowEnd

MIN_LATENCY_US = 1
MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 3
US_PER_S = 1_000_000
US_PER_MS = 1000.0
PERCENTILES = (50.0, 99.0, 100.0)
SUCCESSFUL_ENDS = frozenset({FlowEnd.OPEN, FlowEnd.CLOSED})


class Latency(Struct, frozen=True):
    """Percentiles of request latencies, in milliseconds."""

    median_ms: float
    p99_ms: float
    highest_ms: float


class Interval(Struct, frozen=True):
    """Measurements of one second of a run.

    :param second: seconds since the start of the run.
    :param openings: number of openings by the upstream that accepted them.
    :param broken: number of flows whose end isn't one of ``SUCCESSFUL_ENDS``.
    :param latency: latency of all responses; ``None`` if there were none.
    """

    second: int
    openings: dict[UpstreamId, int]
    broken: int
    latency: Latency | None


class LoadSummary(Struct, frozen=True):
    """Result of a run.

    :param answered: number of requests that were echoed in full.
    :param ends: number of flows by end.
    :param imbalance: openings of the busiest upstream divided by the mean of all; zero without
        openings.
    """

    answered: int
    ends: dict[FlowEnd, int]
    openings: dict[UpstreamId, int]
    imbalance: float
    latency: Latency | None

    @property
    def broken(self) -> int:
        """Number of flows whose end isn't one of ``SUCCESSFUL_ENDS``."""
        return sum(count for end, count in self.ends.items() if end not in SUCCESSFUL_ENDS)


class _SecondStatistics:
    def __init__(self) -> None:
        self.openings: Counter[UpstreamId] = Counter()
        self.broken = 0
        self.latencies = _create_histogram()


class LoadRecord:
    """Records latencies, flow ends and openings.

    :param started_at: start of the run, in seconds.
    """

    def __init__(self, started_at: float) -> None:
        self._started_at = started_at
        self._seconds: dict[int, _SecondStatistics] = {}
        self._latencies = _create_histogram()
        self._answered = 0
        self._ends: Counter[FlowEnd] = Counter()
        self._openings: Counter[UpstreamId] = Counter()

    def add_latency(self, latency_s: float, now: float) -> None:
        """Record the time between a packet and its response."""
        value = max(MIN_LATENCY_US, min(MAX_LATENCY_US, round(latency_s * US_PER_S)))
        self._latencies.record_value(value)
        self._get_second(now).latencies.record_value(value)

    def add_answer(self) -> None:
        """Count a request that was echoed in full."""
        self._answered += 1

    def add_opening(self, upstream: UpstreamId, now: float) -> None:
        """Count an opening for the upstream that served it."""
        self._openings[upstream] += 1
        self._get_second(now).openings[upstream] += 1

    def add_end(self, end: FlowEnd, now: float) -> None:
        """Count a flow that has ended."""
        self._ends[end] += 1
        if end not in SUCCESSFUL_ENDS:
            self._get_second(now).broken += 1

    def list_intervals(self) -> list[Interval]:
        """Return the measurements of each second in order, including seconds without events."""
        last = max(self._seconds, default=-1)
        return [self._build_interval(second) for second in range(last + 1)]

    def summarize(self) -> LoadSummary:
        """Return the summary of the run."""
        return LoadSummary(
            self._answered,
            dict(self._ends),
            dict(sorted(self._openings.items())),
            measure_imbalance(list(self._openings.values())),
            _summarize_latencies(self._latencies),
        )

    def write_histogram(self, path: Path) -> None:
        """Write the latencies in milliseconds as an HDR percentile distribution."""
        with path.open("wb") as file:
            self._latencies.output_percentile_distribution(file, US_PER_MS)

    def _get_second(self, now: float) -> _SecondStatistics:
        return self._seconds.setdefault(int(now - self._started_at), _SecondStatistics())

    def _build_interval(self, second: int) -> Interval:
        statistics = self._seconds.get(second) or _SecondStatistics()
        latency = _summarize_latencies(statistics.latencies)
        return Interval(second, dict(statistics.openings), statistics.broken, latency)


def measure_imbalance(openings: Sequence[int]) -> float:
    """Return the maximum divided by the mean; zero without openings."""
    total = sum(openings)
    return max(openings) * len(openings) / total if total else 0.0


def _create_histogram() -> HdrHistogram:
    return HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


def _summarize_latencies(histogram: HdrHistogram) -> Latency | None:
    if not histogram.get_total_count():
        return None
    return Latency(
        *(histogram.get_value_at_percentile(percentile) / US_PER_MS for percentile in PERCENTILES)
    )
