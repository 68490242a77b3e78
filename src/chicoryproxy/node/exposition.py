"""Renders counters, gauges and latency histograms in the Prometheus text format.

The Prometheus client library isn't used, since importing it takes more CPU time than the rest of
the entry (``docs/design/house-style.md``).
"""

from bisect import bisect_left
from collections.abc import Iterable, Mapping

BUCKET_BOUNDS_S = (0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0)
"""Inclusive upper bounds of the buckets, in seconds; a last bucket counts longer durations."""


class Histogram:
    """A histogram of durations."""

    __slots__ = ("_counts", "_sum_s")

    def __init__(self) -> None:
        self._counts = [0] * (len(BUCKET_BOUNDS_S) + 1)
        self._sum_s = 0.0

    def record(self, duration_s: float) -> None:
        """Count one duration."""
        self._counts[bisect_left(BUCKET_BOUNDS_S, duration_s)] += 1
        self._sum_s += duration_s

    def render(self, name: str, text: str) -> list[str]:
        """Return the lines of the histogram."""
        lines = [f"# HELP {name} {text}", f"# TYPE {name} histogram"]
        total = 0
        for bound, count in zip((*BUCKET_BOUNDS_S, None), self._counts, strict=True):
            total += count
            label = "+Inf" if bound is None else f"{bound:g}"
            lines.append(f'{name}_bucket{{le="{label}"}} {total}')
        return [*lines, f"{name}_sum {self._sum_s:.6f}", f"{name}_count {total}"]


def render_counter(name: str, text: str, values: Mapping[str, float], label: str = "") -> list[str]:
    """Return the lines of a counter.

    :param values: counts by value of the label; a single empty key if there is no label.
    """
    return _render(name, "counter", text, values, label)


def render_gauge(name: str, text: str, value: float) -> list[str]:
    """Return the lines of a gauge."""
    return _render(name, "gauge", text, {"": value}, "")


def join_lines(groups: Iterable[list[str]]) -> bytes:
    """Join the lines of all metrics into a response body."""
    return ("\n".join(line for group in groups for line in group) + "\n").encode()


def _render(name: str, kind: str, text: str, values: Mapping[str, float], label: str) -> list[str]:
    lines = [f"# HELP {name} {text}", f"# TYPE {name} {kind}"]
    for key, value in values.items():
        labels = f'{{{label}="{key}"}}' if label else ""
        lines.append(f"{name}{labels} {value:g}")
    return lines
