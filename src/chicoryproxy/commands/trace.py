"""Traces a request, or the flows of a caller, through the log lines of entries.

Entries read the id of a request from its first packet; the log line with the id also names the
flow and the upstream. A trace contains every line of the flow, and the lines about the assumed
state of its upstreams around that time. A refused opening has no request id, so it has to be
found by its caller.
"""

import json
from collections.abc import Iterable, Iterator

from msgspec import Struct

CONTEXT_S = 5.0
"""Time before and after the flow's lines from which context lines are included."""

_COMMON_FIELDS = ("time", "instance", "event")
_UPSTREAM_EVENTS = frozenset({"belief", "reachability", "suspect", "probe"})
_PROCESS_EVENTS = frozenset(
    {"start", "leaving", "stop", "pause", "store_lost", "store_back", "reload"}
)


class LogLine(Struct, frozen=True):
    """One line of an entry's log.

    :param time_s: Unix time (seconds since 1970) by the entry's clock.
    :param fields: event-specific fields.
    """

    time_s: float
    instance: str
    event: str
    fields: dict[str, object]

    def get_text(self, name: str) -> str:
        """Return a field as text; empty if it is absent."""
        value = self.fields.get(name)
        return "" if value is None else str(value)

    def format(self) -> str:
        """Format the line for display."""
        details = " ".join(f"{name}={value}" for name, value in self.fields.items())
        return f"{self.time_s:.3f} {self.instance} {self.event} {details}".rstrip()


class Trace(Struct, frozen=True):
    """Log lines of the traced flows and their context, in order of time.

    :param flows: the traced flows.
    :param unreadable: number of input lines that aren't log lines.
    """

    lines: tuple[LogLine, ...]
    flows: tuple[str, ...]
    unreadable: int


def trace_request(raw_lines: Iterable[str], request: str) -> Trace:
    """Trace the flows that carried a request."""
    lines, unreadable = _parse_lines(raw_lines)
    flows = {line.get_text("flow") for line in lines if line.get_text("request") == request}
    return _build_trace(lines, flows, unreadable)


def trace_caller(raw_lines: Iterable[str], caller: str) -> Trace:
    """Trace the flows of a caller.

    :param caller: ``HOST`` or ``HOST:PORT``.
    """
    lines, unreadable = _parse_lines(raw_lines)
    prefix = f"{caller}>" if ":" in caller else f"{caller}:"
    flows = {flow for line in lines if (flow := line.get_text("flow")).startswith(prefix)}
    return _build_trace(lines, flows, unreadable)


def _parse_lines(raw_lines: Iterable[str]) -> tuple[list[LogLine], int]:
    lines: list[LogLine] = []
    unreadable = 0
    for text in raw_lines:
        line = _parse_line(text)
        if line is None:
            unreadable += 1
        else:
            lines.append(line)
    return lines, unreadable


def _parse_line(text: str) -> LogLine | None:
    """Parse a line; log collectors may put text before its JSON object."""
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = json.loads(text[start:])
        time_s, instance, event = (fields.pop(name) for name in _COMMON_FIELDS)
        return LogLine(float(time_s), str(instance), str(event), fields)
    except (ValueError, KeyError, AttributeError, TypeError):
        return None


def _build_trace(lines: list[LogLine], flows: set[str], unreadable: int) -> Trace:
    flows.discard("")
    flow_lines = [line for line in lines if line.get_text("flow") in flows]
    if not flow_lines:
        return Trace((), (), unreadable)
    start = min(line.time_s for line in flow_lines) - CONTEXT_S
    end = max(line.time_s for line in flow_lines) + CONTEXT_S
    upstreams = {line.get_text("upstream") for line in flow_lines} - {""}
    instances = {line.instance for line in flow_lines}
    context_lines = _list_context_lines(lines, upstreams, instances, start, end)
    ordered = sorted((*flow_lines, *context_lines), key=lambda line: line.time_s)
    return Trace(tuple(ordered), tuple(sorted(flows)), unreadable)


def _list_context_lines(
    lines: list[LogLine], upstreams: set[str], instances: set[str], start: float, end: float
) -> Iterator[LogLine]:
    for line in lines:
        if line.instance not in instances or line.get_text("flow"):
            continue
        if not start <= line.time_s <= end:
            continue
        subject = line.get_text("upstream") or line.get_text("subject")
        is_process_event = line.event in _PROCESS_EVENTS
        if is_process_event or (line.event in _UPSTREAM_EVENTS and subject in upstreams):
            yield line
