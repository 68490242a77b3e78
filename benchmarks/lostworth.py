"""What each window of a day lost, by cause: ``python -m benchmarks.lostworth REPORT LOG``.

The report has the requests of each window that were late, refused or failed. The log lines of the
entries tell why: one cause for each flow whose opening didn't go straight through. An opening that
no entry ever saw is in no log; it is counted by the time in which no entry forwarded anything. What
is then left of a window is unexplained.
"""

import argparse
import json
import re
import sys
from collections import Counter, defaultdict
from collections.abc import Iterable
from enum import Enum, unique
from pathlib import Path
from typing import Any

from msgspec import Struct

WINDOW_S = 2.0
COPY_AGES_S = (0.0, 0.2, 0.6)
"""Age of an opening at its first copy and at its retransmissions."""

MIN_GAP_S = 0.1
"""Without any opening for this long, no entry was up; some arrive each few milliseconds."""

_FIELD = re.compile(r'"(\w+)":("[^"]*"|[^,}]*)')

FIRST_LATE_COPY = 2
"""Retransmission from which a response is late, unless the caller of the command says otherwise."""


@unique
class Cause(Enum):
    """Why a request was late, refused or failed."""

    NO_ENTRY = "met no entry"
    NO_ANSWER = "upstream silent"
    REFUSED = "refused"
    RESET = "reset"


class LogError(Exception):
    """A line of a log that can't be read.

    :param place: file and line number.
    """

    def __init__(self, place: str, reason: str) -> None:
        super().__init__(f"{place}: {reason}")


class FlowHistory:
    """What the log lines of all entries say of one flow.

    :ivar began_s: when its caller sent the first copy of the opening.
    :ivar first_copy: the first copy that an entry forwarded.
    :ivar last_copy: the last one.
    """

    def __init__(self, time_s: float, copy: int) -> None:
        self.began_s = time_s - COPY_AGES_S[min(copy, len(COPY_AGES_S) - 1)]
        self.first_copy = copy
        self.last_copy = copy
        self.has_opened = False
        self.is_refused = False
        self.is_reset = False

    def find_cause(self, first_late_copy: int) -> Cause | None:
        """Return why its request was not served in time, ``None`` if nothing speaks for that."""
        if self.is_reset:
            return Cause.RESET
        if self.is_refused:
            return Cause.REFUSED
        if self.last_copy < first_late_copy:
            return None
        return Cause.NO_ENTRY if self.first_copy >= first_late_copy else Cause.NO_ANSWER


class DayLog:
    """The log lines of a day.

    :ivar flows: by their addresses and ports.
    :ivar opened_s: times of all openings.
    """

    def __init__(self) -> None:
        self.flows: dict[str, FlowHistory] = {}
        self.opened_s: list[float] = []

    def read(self, lines: Iterable[str], name: str) -> None:
        """Read the output of a play.

        :param name: for error messages.
        :raises LogError: if a line of an entry can't be read.
        """
        for number, line in enumerate(lines, 1):
            words = line.split(None, 2)
            if len(words) < 3 or not words[2].startswith('{"time"'):
                continue
            # The output may be cut at some length, so that it is no whole object.
            fields = {key: value.strip('"') for key, value in _FIELD.findall(words[2])}
            try:
                self._add(float(words[0]), fields)
            except (ValueError, KeyError) as error:
                place = f"{name}:{number}"
                raise LogError(place, f"not a log line of an entry: {error!r}") from error

    def _add(self, time_s: float, fields: dict[str, str]) -> None:
        event = fields["event"]
        if event == "open":
            copy = int(fields["copy"])
            flow = self._get_flow(fields["flow"], time_s, copy)
            flow.last_copy = max(flow.last_copy, copy)
            self.opened_s.append(time_s)
        elif event == "refuse" and fields["reason"] not in ("no_route", "route_removed"):
            self._get_flow(fields["flow"], time_s, 0).is_refused = True
        elif event == "reset":
            self._get_flow(fields["flow"], time_s, 0).is_reset = True

    def _get_flow(self, name: str, time_s: float, copy: int) -> FlowHistory:
        flow = self.flows.get(name)
        if flow is None:
            flow = self.flows[name] = FlowHistory(time_s, copy)
        return flow

    def list_gaps(self) -> list[tuple[float, float]]:
        """Return the times in which no entry forwarded an opening, as begins and ends."""
        ordered = sorted(self.opened_s)
        pairs = zip(ordered, ordered[1:], strict=False)
        return [(first, second) for first, second in pairs if second - first >= MIN_GAP_S]


class WindowLoss(Struct):
    """Requests of one window that were not served in time.

    :ivar lost: late, refused or failed, by the report.
    :ivar causes: by the log.
    """

    began_s: float
    asked: int
    lost: int
    causes: Counter[Cause]

    @property
    def unexplained(self) -> int:
        """Requests without a cause in the log."""
        return max(0, self.lost - sum(self.causes.values()))


def compute_losses(
    report: dict[str, Any], log: DayLog, first_late_copy: int = FIRST_LATE_COPY
) -> list[WindowLoss]:
    """Return what each window lost.

    :param report: the bench's report of the day.
    """
    found: defaultdict[float, Counter[Cause]] = defaultdict(Counter)
    for flow in log.flows.values():
        cause = flow.find_cause(first_late_copy)
        if cause is not None:
            found[flow.began_s // WINDOW_S * WINDOW_S][cause] += 1
    gaps = log.list_gaps()
    losses = []
    for window in report["windows"]:
        began_s = float(window["name"])
        causes = found[began_s]
        silent_s = sum(_overlap_s(gap, began_s) for gap in gaps)
        in_gaps = round(window["n"] * silent_s / WINDOW_S)
        causes[Cause.NO_ENTRY] = max(causes[Cause.NO_ENTRY], in_gaps)
        lost = window["late"] + window["refused"] + window["failed"]
        losses.append(WindowLoss(began_s, window["n"], lost, causes))
    return losses


def _overlap_s(gap: tuple[float, float], began_s: float) -> float:
    return max(0.0, min(gap[1], began_s + WINDOW_S) - max(gap[0], began_s))


def print_losses(losses: Iterable[WindowLoss], min_lost: int) -> None:
    """Print the windows that lost as much as a limit."""
    names = [cause.value for cause in Cause]
    print(f"| from second | asked | lost | {' | '.join(names)} | unexplained |")
    print("|---:|" + "---:|" * (len(names) + 3))
    for loss in losses:
        if loss.lost < min_lost:
            continue
        counts = " | ".join(str(loss.causes[cause]) for cause in Cause)
        print(f"| {loss.began_s:g} | {loss.asked} | {loss.lost} | {counts} | {loss.unexplained} |")


def main() -> int:
    """Run the command; return its exit code."""
    parser = argparse.ArgumentParser(description="List what each window of a day lost, by cause.")
    parser.add_argument("report", type=Path, help="report of the play, written with --report")
    parser.add_argument("log", type=Path, help="its output with --log all")
    parser.add_argument(
        "--first-late-copy",
        type=int,
        default=FIRST_LATE_COPY,
        help="retransmission whose response is late: 1 if latency targets are below 0.2 s",
    )
    parser.add_argument("--min-lost", type=int, default=20, help="windows with less are left out")
    arguments = parser.parse_args()
    log = DayLog()
    try:
        report = json.loads(arguments.report.read_text())
        with arguments.log.open() as lines:
            log.read(lines, str(arguments.log))
        losses = compute_losses(report, log, arguments.first_late_copy)
    except (OSError, ValueError, KeyError, LogError) as error:
        print(f"{arguments.report}: {error!r}" if isinstance(error, KeyError) else error)
        return 2
    print_losses(losses, arguments.min_lost)
    return 0


if __name__ == "__main__":
    sys.exit(main())
