"""A trace holds what explains a request, and nothing of other ones."""

import io
import json

import pytest

from chicoryproxy.commands import ctl
from chicoryproxy.commands.trace import trace_caller, trace_request

FLOW = "100.64.0.7:1040>198.18.0.1:443"
OTHER = "100.64.0.8:1040>198.18.0.1:443"


def write(time, event, instance="entry-1", **fields):
    """Write a log line as a collector passes it on."""
    line = {"time": time, "instance": instance, "event": event, **fields}
    return f"  12.1 {instance} {json.dumps(line)}"


LINES = [
    write(1.0, "start", domain="shah-alam"),
    write(100.0, "open", flow=FLOW, upstream="i-1", copy=0, version=4),
    write(100.1, "request", flow=FLOW, upstream="i-1", request="0a1b"),
    write(100.2, "request", flow=OTHER, upstream="i-2", request="0c0d"),
    write(100.4, "reachability", upstream="i-1", result="refused", unreachable=True),
    write(100.4, "reachability", upstream="i-9", result="refused", unreachable=True),
    write(100.5, "reset", flow=FLOW, upstream="i-1", reason="upstream_unreachable"),
    write(100.6, "store_lost", instance="entry-2", reason="timeout"),
    write(100.7, "refuse", flow=OTHER, reason="no_upstream", excluded={"domain_out": 3}),
    "a line of something else",
    "{broken",
]


def test_a_request_is_followed_through_its_flow_and_upstream():
    trace = trace_request(LINES, "0a1b")
    assert [line.event for line in trace.lines] == ["open", "request", "reachability", "reset"]
    assert trace.flows == (FLOW,)
    assert trace.unreadable == 2


def test_a_refused_opening_is_found_by_its_caller():
    for caller in ("100.64.0.8", "100.64.0.8:1040"):
        trace = trace_caller(LINES, caller)
        assert [line.event for line in trace.lines] == ["request", "refuse"]
    assert trace_caller(LINES, "100.64.0.80").lines == ()


def test_an_unknown_request_gives_nothing():
    assert trace_request(LINES, "ffff").lines == ()


@pytest.mark.parametrize("by_file", [True, False])
def test_the_command_prints_the_trace(tmp_path, monkeypatch, capsys, by_file):
    arguments = ["trace", "0a1b"]
    if by_file:
        log = tmp_path / "entry.log"
        log.write_text("\n".join(LINES))
        arguments += ["--log", str(log)]
    else:
        monkeypatch.setattr("sys.stdin", io.StringIO("\n".join(LINES)))
    assert ctl.main(arguments) == ctl.ExitCode.ANSWERED
    printed = capsys.readouterr().out.splitlines()
    assert len(printed) == 4
    assert "upstream_unreachable" in printed[-1]


def test_wrong_use_is_told(tmp_path):
    assert ctl.main(["trace"]) == ctl.ExitCode.USAGE_ERROR
    assert ctl.main(["trace", "x", "--caller", "y"]) == ctl.ExitCode.USAGE_ERROR
    assert ctl.main(["trace", "x", "--log", str(tmp_path / "none")]) == ctl.ExitCode.USAGE_ERROR
