"""Each request that was not served in time gets one cause from the log, or is unexplained."""

import json

import pytest

from benchmarks.lostworth import Cause, DayLog, LogError, compute_losses


def create_line(time_s, event, flow, **fields):
    """Create a log line as the bench prints it."""
    record = {"time": 0.0, "instance": "entry-1", "event": event, "flow": flow, **fields}
    return f" {time_s:.4f} entry-1 {json.dumps(record, separators=(',', ':'))}"


def create_report(lost, asked=100):
    """Create a report with one window from second 4 on."""
    window = {"name": "4", "n": asked, "late": lost, "refused": 0, "failed": 0}
    return {"windows": [window]}


def read(lines):
    """Read lines between openings that leave no gap."""
    steady = [
        create_line(3.9 + step * 0.05, "open", f"steady-{step}", copy=0) for step in range(50)
    ]
    log = DayLog()
    log.read([*steady, "some other line", *lines], "day.txt")
    return log


def test_each_flow_has_one_cause():
    lines = [
        create_line(4.7, "open", "late-entry", copy=2),
        create_line(4.2, "open", "silent", copy=0),
        create_line(4.8, "open", "silent", copy=2),
        create_line(4.3, "refuse", "refused", reason="overloaded"),
        create_line(4.3, "refuse", "unknown", reason="no_route"),
        create_line(4.4, "open", "broken", copy=0),
        create_line(5.4, "reset", "broken", reason="upstream_unreachable"),
    ]
    (loss,) = compute_losses(create_report(5), read(lines))
    assert {cause: loss.causes[cause] for cause in Cause} == dict.fromkeys(Cause, 1)
    assert loss.unexplained == 1


def test_the_first_retransmission_is_late_if_the_target_is_short():
    lines = [create_line(4.4, "open", "flow", copy=1)]
    assert compute_losses(create_report(1), read(lines))[0].unexplained == 1
    assert compute_losses(create_report(1), read(lines), 1)[0].unexplained == 0


def test_requests_that_no_entry_saw_are_counted_by_the_time_without_openings():
    log = DayLog()
    log.read(
        [create_line(4.0, "open", "first", copy=0), create_line(5.0, "open", "next", copy=0)],
        "day.txt",
    )
    (loss,) = compute_losses(create_report(50), log)
    assert loss.causes[Cause.NO_ENTRY] == 50


def test_a_line_that_cannot_be_read_is_named():
    with pytest.raises(LogError, match="day.txt:1: not a log line"):
        DayLog().read([' 4.0 entry-1 {"time":0.0,"inst'], "day.txt")


def test_a_line_that_is_cut_behind_its_event_is_read():
    log = DayLog()
    log.read([create_line(4.0, "reset", "flow", reason="upstream_unreachable")[:-8]], "day.txt")
    assert log.flows["flow"].is_reset
