"""Tests of the load program against upstreams that stand right behind it."""

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
FLOWS = 30
REQUESTS = 3
PNG_HEAD = b"\x89PNG"


@pytest.fixture
def run_load(run, serve, pick_endpoint, tmp_path):
    """Run the program against one upstream that answers it directly."""

    def run_command(*argv, change=lambda upstream: None):
        async def wrap():
            listen, endpoint = pick_endpoint(), pick_endpoint()
            answers = (listen.host, listen.port)
            upstream = UpstreamStandIn(
                UpstreamId("qa-desk-1"), endpoint, lambda: answers, time.monotonic
            )
            change(upstream)
            await serve(upstream.socket)
            ends = ("--to", f"{endpoint.host}:{endpoint.port}")
            ends += ("--listen", f"{listen.host}:{listen.port}", "--out", str(tmp_path))
            fixed = ("--rate", "1000", "--count", str(FLOWS), "--interval", "0")
            return await asyncio.to_thread(load.main, (SERVICE, *ends, *fixed, *argv)), upstream

        return run(wrap())

    return run_command


def test_every_request_is_answered_and_written_down(run_load, tmp_path):
    code, upstream = run_load("--requests", str(REQUESTS))
    assert code == load.ExitCode.SUCCESS
    assert list(upstream.requests.values()) == [REQUESTS] * FLOWS
    summary = msgspec.json.decode((tmp_path / load.SUMMARY_NAME).read_bytes())
    assert summary["answered"] == FLOWS * REQUESTS
    assert summary["openings"] == {"qa-desk-1": FLOWS}
    assert (tmp_path / "load.png").read_bytes().startswith(PNG_HEAD)
    histogram = (tmp_path / load.HISTOGRAM_NAME).read_text()
    assert re.search(rf"TotalCount += +{FLOWS * (REQUESTS + 1)}\.000", histogram)


def test_wrong_byte_is_a_broken_flow(run_load, tmp_path, capsys):
    def garble(upstream):
        upstream.name = UpstreamId("qa-desk-1|x")

    code, _ = run_load("--svg", change=garble)
    assert code == load.ExitCode.BROKEN
    assert f"{FLOWS} {FlowEnd.WRONG_ANSWER.value}" in capsys.readouterr().out
    assert "<svg" in (tmp_path / "load.svg").read_text()


def test_run_ends_at_its_time_without_an_answer(run_load, capsys):
    def silence(upstream):
        upstream._receive = upstream.socket._receive = lambda *_: None

    code, _ = run_load("--seconds", "0.2", change=silence)
    assert code == load.ExitCode.BROKEN
    assert FlowEnd.SILENT.value in capsys.readouterr().out


def test_all_wrong_options_are_told_together(capsys):
    argv = (SERVICE, "--to", "192.0.2.1:1", "--rate", "0", "--payload", "5000", "--listen", "x")
    assert load.main(argv) == load.ExitCode.USAGE_ERROR
    told = capsys.readouterr().err
    for part in ("192.0.2.1:1 isn't on loopback", "--rate", "--payload", "x: "):
        assert part in told


def test_intervals_keep_what_happened_in_each_second():
    record = LoadRecord(10.0)
    record.add_opening(UpstreamId("a"), 10.5)
    record.add_latency(0.002, 12.1)
    record.add_end(FlowEnd.RESET, 12.2)
    first, second, third = record.list_intervals()
    assert first.openings == {"a": 1} and first.latency is None
    assert second.openings == {} and second.broken == 0
    assert third.broken == 1
    assert third.latency.median_ms == pytest.approx(2.0, rel=0.001)


def test_imbalance_is_the_highest_by_the_mean():
    assert measure_imbalance([3, 1, 2]) == 1.5
    assert measure_imbalance([]) == 0.0
