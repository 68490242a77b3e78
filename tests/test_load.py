"""Tests of ``chicory-load`` against upstreams that it reaches without an entry."""

import asyncio
import re
import time

import msgspec
import pytest

from chicoryproxy.commands import load
from chicoryproxy.commands.loadrecord import LoadRecord, measure_imbalance
from chicoryproxy.ids import UpstreamId
from chicoryproxy.testing.caller_standin import FlowEnd
from chicoryproxy.testing.upstream_standin import UpstreamStandIn

SERVICE = "198.51.100.1:443"
FLOW_COUNT = 30
REQUESTS_PER_FLOW = 3
PNG_SIGNATURE = b"\x89PNG"


@pytest.fixture
def run_load(run, serve, pick_endpoint, tmp_path):
    """Run the program against one upstream that responds to it directly."""

    def run_with_upstream(*argv, prepare=lambda upstream: None):
        async def serve_and_run():
            listen, endpoint = pick_endpoint(), pick_endpoint()
            answers = (listen.host, listen.port)
            upstream = UpstreamStandIn(
                UpstreamId("qa-desk-1"), endpoint, lambda: answers, time.monotonic
            )
            prepare(upstream)
            await serve(upstream.socket)
            endpoint_options = ("--to", f"{endpoint.host}:{endpoint.port}")
            endpoint_options += ("--listen", f"{listen.host}:{listen.port}", "--out", str(tmp_path))
            load_options = ("--rate", "1000", "--count", str(FLOW_COUNT), "--interval", "0")
            return (
                await asyncio.to_thread(
                    load.main, (SERVICE, *endpoint_options, *load_options, *argv)
                ),
                upstream,
            )

        return run(serve_and_run())

    return run_with_upstream


def test_every_request_is_answered_and_recorded(run_load, tmp_path):
    code, upstream = run_load("--requests", str(REQUESTS_PER_FLOW))
    assert code == load.ExitCode.SUCCESS
    assert list(upstream.requests.values()) == [REQUESTS_PER_FLOW] * FLOW_COUNT
    summary = msgspec.json.decode((tmp_path / load.SUMMARY_NAME).read_bytes())
    assert summary["answered"] == FLOW_COUNT * REQUESTS_PER_FLOW
    assert summary["openings"] == {"qa-desk-1": FLOW_COUNT}
    assert (tmp_path / "load.png").read_bytes().startswith(PNG_SIGNATURE)
    histogram = (tmp_path / load.HISTOGRAM_NAME).read_text()
    assert re.search(rf"TotalCount += +{FLOW_COUNT * (REQUESTS_PER_FLOW + 1)}\.000", histogram)


def test_a_corrupted_response_counts_as_a_broken_flow(run_load, tmp_path, capsys):
    def corrupt_name(upstream):
        upstream.name = UpstreamId("qa-desk-1|x")

    code, _ = run_load("--svg", prepare=corrupt_name)
    assert code == load.ExitCode.BROKEN
    assert f"{FLOW_COUNT} {FlowEnd.WRONG_ANSWER.value}" in capsys.readouterr().out
    assert "<svg" in (tmp_path / "load.svg").read_text()


def test_a_run_without_responses_ends_at_its_maximum_duration(run_load, capsys):
    def drop_packets(upstream):
        upstream._receive = upstream.socket._receive = lambda *_: None

    code, _ = run_load("--seconds", "0.2", prepare=drop_packets)
    assert code == load.ExitCode.BROKEN
    assert FlowEnd.SILENT.value in capsys.readouterr().out


def test_all_invalid_options_are_reported_together(capsys):
    argv = (SERVICE, "--to", "192.0.2.1:1", "--rate", "0", "--payload", "5000", "--listen", "x")
    assert load.main(argv) == load.ExitCode.USAGE_ERROR
    errors = capsys.readouterr().err
    for part in ("192.0.2.1:1 isn't on loopback", "--rate", "--payload", "x: "):
        assert part in errors


def test_intervals_hold_the_measurements_of_each_second():
    record = LoadRecord(10.0)
    record.add_opening(UpstreamId("a"), 10.5)
    record.add_latency(0.002, 12.1)
    record.add_end(FlowEnd.RESET, 12.2)
    first, second, third = record.list_intervals()
    assert first.openings == {"a": 1} and first.latency is None
    assert second.openings == {} and second.broken == 0
    assert third.broken == 1
    assert third.latency.median_ms == pytest.approx(2.0, rel=0.001)


def test_imbalance_is_the_maximum_divided_by_the_mean():
    assert measure_imbalance([3, 1, 2]) == 1.5
    assert measure_imbalance([]) == 0.0
