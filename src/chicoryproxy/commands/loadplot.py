"""Plots the measurements of a load run."""

from collections.abc import Sequence
from pathlib import Path

from matplotlib.axes import Axes
from matplotlib.backends.backend_agg import FigureCanvasAgg
from matplotlib.figure import Figure

from chicoryproxy.commands.loadrecord import Interval, measure_imbalance
from chicoryproxy.ids import UpstreamId

WIDTH_INCHES = 10.0
HEIGHT_INCHES = 11.0
DOTS_PER_INCH = 110


def draw_load(intervals: Sequence[Interval], title: str, path: Path) -> None:
    """Plot latency, broken flows, imbalance and openings over time.

    :param path: file to write; its suffix selects the format, such as ``.png`` or ``.svg``.
    """
    figure = Figure(figsize=(WIDTH_INCHES, HEIGHT_INCHES), dpi=DOTS_PER_INCH, layout="constrained")
    FigureCanvasAgg(figure)
    latency, broken, imbalance, openings = figure.subplots(4, 1, sharex=True)
    figure.suptitle(title)
    _draw_latency(latency, intervals)
    _draw_broken(broken, intervals)
    _draw_imbalance(imbalance, intervals)
    _draw_openings(openings, intervals)
    openings.set_xlabel("time from the start, s")
    figure.savefig(path)


def _draw_latency(axes: Axes, intervals: Sequence[Interval]) -> None:
    measured = [(item.second, item.latency) for item in intervals if item.latency is not None]
    seconds = [second for second, _ in measured]
    axes.plot(seconds, [item.median_ms for _, item in measured], marker=".", label="median")
    axes.plot(seconds, [item.p99_ms for _, item in measured], marker=".", label="99th percentile")
    axes.plot(seconds, [item.highest_ms for _, item in measured], marker=".", label="highest")
    axes.set_yscale("log")
    axes.set_ylabel("latency, ms")
    axes.grid(visible=True, alpha=0.3)
    axes.legend(loc="upper right")


def _draw_broken(axes: Axes, intervals: Sequence[Interval]) -> None:
    axes.bar([item.second for item in intervals], [item.broken for item in intervals], color="C3")
    axes.set_ylabel("broken flows per s")
    axes.set_ylim(0, max(1, *(item.broken for item in intervals)) if intervals else 1)


def _draw_imbalance(axes: Axes, intervals: Sequence[Interval]) -> None:
    names = _list_upstreams(intervals)
    intervals_with_openings = [item for item in intervals if any(item.openings.values())]
    values = [
        measure_imbalance([item.openings.get(name, 0) for name in names])
        for item in intervals_with_openings
    ]
    axes.plot([item.second for item in intervals_with_openings], values, marker=".", color="C4")
    axes.set_ylabel("imbalance of openings\n(maximum / mean)")
    axes.grid(visible=True, alpha=0.3)
    axes.set_ylim(bottom=0)


def _draw_openings(axes: Axes, intervals: Sequence[Interval]) -> None:
    seconds = [item.second for item in intervals]
    names = _list_upstreams(intervals)
    for name in names:
        axes.plot(seconds, [item.openings.get(name, 0) for item in intervals], label=name)
    axes.set_ylabel("openings per s")
    axes.grid(visible=True, alpha=0.3)
    if names:
        axes.legend(loc="upper right", fontsize="small")


def _list_upstreams(intervals: Sequence[Interval]) -> list[UpstreamId]:
    return sorted({name for item in intervals for name in item.openings})
