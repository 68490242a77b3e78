"""A trace contains the lines that explain a request, and none of other requests."""

import io
import json

import pytest

from chicoryproxy.commands import ctl
from chicoryproxy.commands.trace import trace_caller, trace_request

TRACED_FLOW = "100.64.0.7:1040>198.18.0.1:443"
OTHER_FLOW = "100.64.0.8:1040>198.18.0.1:443"


def format_log_line(time, event, instance="entry-1", **fields):
    """Format a log line with the prefix that a log collector adds."""
    line = {"time": time, "instance": instance, "event": event, **fields}
    return f"  12.1 {instance} {json.dumps(line)}"


LINES = [
    format_log_line(1.0, "start", domain="shah-alam"),
    format_log_line(100.0, "open", flow=TRACED_FLOW, upstream="i-1", copy=0, version=4),
    format_log_line(100.1, "request", flow=TRACED_FLOW, upstream="i-1", request="0a1b"),
    format_log_line(100.2, "request", flow=OTHER_FLOW, upstream="i-2", request="0c0d"),
    format_log_line(100.4, "reachability", upstream="i-1", result="refused", unreachable=True),
    format_log_line(100.4, "reachability", upstream="i-9", result="refused", unreachable=True),
    format_log_line(
        100.5, "reset", flow=TRACED_FLOW, upstream="i-1", reason="upstream_unreachable"
    ),
    format_log_line(100.6, "store_lost", instance="entry-2", reason="timeout"),
    format_log_line(
        100.7, "refuse", flow=OTHER_FLOW, reason="no_upstream", excluded={"domain_out": 3}
    ),
    "a line of another program",
    "{broken",
]


def test_trace_of_a_request_covers_its_flow_and_upstream():
    trace = trace_request(LINES, "0a1b")
    assert [line.event for line in trace.lines] == ["open", "request", "reachability", "reset"]
    assert trace.flows == (TRACED_FLOW,)
    assert trace.unreadable == 2


def test_trace_of_a_caller_finds_refused_openings():
    for caller in ("100.64.0.8", "100.64.0.8:1040"):
        trace = trace_caller(LINES, caller)
        assert [line.event for line in trace.lines] == ["request", "refuse"]
    assert trace_caller(LINES, "100.64.0.80").lines == ()


def test_trace_of_an_unknown_request_is_empty():
    assert trace_request(LINES, "ffff").lines == ()


@pytest.mark.parametrize("from_file", [True, False])
def test_the_command_prints_the_trace(tmp_path, monkeypatch, capsys, from_file):
    arguments = ["trace", "0a1b"]
    if from_file:
        log = tmp_path / "entry.log"
        log.write_text("\n".join(LINES))
        arguments += ["--log", str(log)]
    else:
        monkeypatch.setattr("sys.stdin", io.StringIO("\n".join(LINES)))
    assert ctl.main(arguments) == ctl.ExitCode.ANSWERED
    output_lines = capsys.readouterr().out.splitlines()
    assert len(output_lines) == 4
    assert "upstream_unreachable" in output_lines[-1]


def test_usage_errors_are_reported(tmp_path):
    assert ctl.main(["trace"]) == ctl.ExitCode.USAGE_ERROR
    assert ctl.main(["trace", "x", "--caller", "y"]) == ctl.ExitCode.USAGE_ERROR
    assert ctl.main(["trace", "x", "--log", str(tmp_path / "none")]) == ctl.ExitCode.USAGE_ERROR
