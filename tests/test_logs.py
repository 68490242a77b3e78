"""Log formats, the routing log, statsd metrics and the documentation of the metrics."""

import io
import json
import os
import socket
from pathlib import Path

import pytest

from chicoryproxy.configuration.logformat import LogFormat
from chicoryproxy.ids import FlowKey, InstanceId, ServiceId, SlotIndex, UpstreamId, Version
from chicoryproxy.model import Endpoint
from chicoryproxy.protocol.actions import LogControl, LogRoute
from chicoryproxy.states import DropReason, RefusalReason, RouteReason
from chicoryproxy.telemetry.logs import PartLogger, RouteLog, configure_logs, log_control
from chicoryproxy.telemetry.metrics import Metric, create_metrics

METRICS_PAGE = Path(__file__).parents[1] / "docs" / "operations" / "metrics.md"


@pytest.fixture
def output():
    stream = io.StringIO()
    configure_logs(LogFormat.JSON, stream)
    return stream


def read_lines(stream):
    return [json.loads(line) for line in stream.getvalue().splitlines()]


def create_decision(reason=RouteReason.CLEAN_SLOT, flow=1, version=1):
    return LogRoute(
        reason,
        ServiceId("qa-desk"),
        FlowKey(flow),
        SlotIndex(3),
        Version(version),
        UpstreamId("qa-desk-1"),
    )


def test_route_line(output):
    log = RouteLog()
    log.add(create_decision(flow=255))
    log.flush()
    (line,) = read_lines(output)
    assert line["message"] == "route: route clean_slot."
    assert line["part"] == "route"
    assert line["flow"] == "00000000000000ff"
    assert (line["service"], line["slot"], line["version"]) == ("qa-desk", 3, 1)
    assert line["target"] == "qa-desk-1"


def test_route_line_has_the_same_format_as_other_lines(output):
    log = RouteLog()
    decision = create_decision(flow=255)
    log.add(decision)
    log.flush()
    PartLogger("route").info(
        "route clean_slot.",
        reason="clean_slot",
        service=decision.service,
        flow="00000000000000ff",
        slot=3,
        version=1,
        target=decision.target,
    )
    route, other = read_lines(output)
    assert len(route.pop("time")) == len(other.pop("time"))
    assert list(route.items()) == list(other.items())


def test_human_route_line():
    stream = io.StringIO()
    configure_logs(LogFormat.HUMAN, stream)
    log = RouteLog()
    log.add(create_decision())
    log.flush()
    assert "route: route clean_slot." in stream.getvalue()


def test_full_pipe_does_not_block_route_lines():
    read_end, write_end = os.pipe()
    with os.fdopen(read_end), os.fdopen(write_end, "w") as stream:
        handler = configure_logs(LogFormat.JSON, stream)
        log = RouteLog()
        for flow in range(3000):
            log.add(create_decision(flow=flow))
        while log.flush():
            pass
        assert 0 < handler.lost < 3000
        configure_logs(LogFormat.JSON, io.StringIO())


def test_sampling_skips_only_repeated_decisions(output):
    log = RouteLog(sample=10)
    for flow in range(20):
        log.add(create_decision(flow=flow))
        log.add(create_decision(RefusalReason.DOMAIN_OUT, flow))
    log.add(create_decision(version=2))
    log.add(create_decision(DropReason.NO_VIEW))
    log.flush()
    reasons = [line["reason"] for line in read_lines(output)]
    assert reasons.count("domain_out") == 20
    assert reasons.count("clean_slot") == 3
    assert reasons.count("no_view") == 1
    assert log.skipped == 18


def test_full_queue_counts_lost_lines(output):
    log = RouteLog(capacity=5)
    for flow in range(8):
        log.add(create_decision(flow=flow))
    assert log.lost == 3
    assert log.flush(limit=2) == 3
    assert log.flush() == 0
    lost = [line["lines"] for line in read_lines(output) if "lines" in line]
    assert lost == [3]


def test_control_line(output):
    log_control(LogControl("member", "Peer is suspected.", "shah-alam-2"))
    (line,) = read_lines(output)
    assert line["message"] == "member: Peer is suspected."
    assert line["subject"] == "shah-alam-2"


def test_human_line():
    stream = io.StringIO()
    configure_logs(LogFormat.HUMAN, stream)
    PartLogger("view").info("Started.", instance="a")
    assert stream.getvalue().endswith("INFO    view: Started. instance=a\n")


def test_field_named_like_a_logging_attribute_is_renamed(output):
    PartLogger("view").info("Started.", process="chicory-view", name="a")
    (line,) = read_lines(output)
    assert (line["process_"], line["name_"]) == ("chicory-view", "a")


def test_full_pipe_does_not_block_other_lines():
    read_end, write_end = os.pipe()
    with os.fdopen(read_end), os.fdopen(write_end, "w") as stream:
        handler = configure_logs(LogFormat.JSON, stream)
        log = PartLogger("view")
        for _ in range(3000):
            log.info("A line to fill the pipe.")
        assert handler.is_blocked
        assert handler.lost > 0
        os.set_blocking(read_end, False)
        received = b""
        while handler.is_blocked:
            received += os.read(read_end, 1 << 20)
            handler.drain()
        received += os.read(read_end, 1 << 20)
        assert received.count(b"\n") == 3000 - handler.lost
        configure_logs(LogFormat.JSON, io.StringIO())


def test_metrics_are_sent_as_changes():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as target:
        target.bind(("127.0.0.1", 0))
        target.settimeout(10)
        metrics = create_metrics(Endpoint(*target.getsockname()), InstanceId("a.b"))
        metrics.set_total(Metric.PACKETS_IN, 5)
        metrics.flush()
        assert target.recv(2000) == b"chicory.a_b.entry.packets.in:5|c"
        metrics.set_total(Metric.PACKETS_IN, 7)
        metrics.count(Metric.PACKETS_DROPPED, label=DropReason.NO_VIEW.value)
        metrics.flush()
        assert set(target.recv(2000).split(b"\n")) == {
            b"chicory.a_b.entry.packets.in:2|c",
            b"chicory.a_b.entry.packets.dropped.no_view:1|c",
        }


@pytest.mark.parametrize("metric", Metric)
def test_metrics_page(metric):
    names = [line.split("`")[1] for line in METRICS_PAGE.read_text().splitlines() if "| `" in line]
    assert metric.value in {name.removesuffix(".LABEL") for name in names}
