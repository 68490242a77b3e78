"""The data plane goes on probing when a probe can't be started."""

import json

from chicoryproxy.forwarding.health.reachability import MAX_CONCURRENT_PROBES, ProbeResult
from chicoryproxy.forwarding.model import Bounds, EntrySettings
from chicoryproxy.forwarding.unusedhandshakes import RepeatedOpening
from chicoryproxy.forwarding.view.directory import Directory
from chicoryproxy.ids import DomainId, InstanceId, RegionId
from chicoryproxy.model import Endpoint
from chicoryproxy.node.dataplane import DataPlane
from chicoryproxy.node.entrymetrics import EntryMetrics
from chicoryproxy.node.journal import Journal
from chicoryproxy.platform.header import (
    HEADER_BYTES,
    MARK_END,
    MARK_OFFSET,
    REQUEST_ID_HEADER,
)
from tests.forwarding.harness import OWN_DOMAIN, ForwarderHarness, create_packet
from tests.forwarding.test_routingpatch import create_routing
from tests.node.fakestore import HOST, pick_port


def create_data_plane(loop, log):
    """Create the data plane of an entry without peers."""
    endpoint = Endpoint(HOST, pick_port())
    settings = EntrySettings(
        InstanceId("entry-1"),
        DomainId(OWN_DOMAIN),
        {DomainId(OWN_DOMAIN): RegionId("klang-valley")},
        endpoint,
        endpoint,
        endpoint,
        endpoint,
        (),
        endpoint,
        1000,
        False,
        Bounds(),
    )
    journal = Journal("entry-1", lambda: 0.0, loop.read_clock, log.fileno())
    directory = Directory(Bounds())
    return DataPlane(loop, settings, directory, journal, EntryMetrics(), 1, lambda: None)


def test_probes_go_on_after_some_could_not_be_started(loop, tmp_path, monkeypatch):
    """All descriptors are in use while a failure domain with many upstreams is suspected."""
    errors = []
    loop.on_error = errors.append
    harness = ForwarderHarness()
    upstreams = [harness.publish_upstream(f"i-{number}") for number in range(40)]
    with (tmp_path / "log").open("wb") as log:
        plane = create_data_plane(loop, log)
        started = []

        def fail(upstream):
            raise OSError(24, "too many open files")

        now = loop.read_clock()
        for upstream in upstreams:
            plane.forwarder.reachability.suspect(upstream, now)
        monkeypatch.setattr(plane, "_probe", fail)
        plane.tick(now)
        monkeypatch.setattr(plane, "_probe", started.append)
        for step in range(1, 6):
            plane.tick(now + step * 0.05)
            while started:
                upstream = started.pop()
                upstreams.remove(upstream)
                plane._handle_probe_result(upstream, ProbeResult.CONNECTED)
        plane.stop()
    assert len(errors) == MAX_CONCURRENT_PROBES
    assert upstreams == []


def test_openings_at_upstreams_that_leave_are_counted(loop, tmp_path):
    """The log names the phase, but its lines have a budget; the metric misses none."""
    with (tmp_path / "log").open("wb") as log:
        plane = create_data_plane(loop, log)
        harness = ForwarderHarness()
        serving = harness.publish_upstream("i-1")
        leaving = harness.publish_upstream("i-2", draining=True)
        opening = create_packet(is_opening=True)
        for upstream in (serving, leaving, leaving):
            plane._log_forwarded(opening, b"", upstream)
        plane.stop()
    assert plane._metrics.leaving_openings == 2


# CONFIG: an entry ran openings that only an older version allows, and the log of the requests did
# not tell whether it had the newer one.
def test_the_log_of_a_request_names_the_version_in_force(loop, tmp_path):
    with (tmp_path / "log").open("wb") as log:
        plane = create_data_plane(loop, log)
        plane._directory.routing = create_routing(7, {1: 1})
        upstream = ForwarderHarness().publish_upstream("i-1")
        data = bytes(HEADER_BYTES) + REQUEST_ID_HEADER + b"0a1b\r\n\r\n"
        plane._log_forwarded(create_packet(size=9), data, upstream)
        plane._journal.flush()
        plane.stop()
    (line,) = [json.loads(text) for text in (tmp_path / "log").read_text().splitlines()]
    assert (line["event"], line["request"], line["version"]) == ("request", "0a1b", 7)


# FLOW: an upstream that answered an opening in vain must repeat the mark of the flow's upstream.
def test_an_opening_that_is_sent_again_differs_only_in_its_mark(loop, tmp_path):
    with (tmp_path / "log").open("wb") as log:
        plane = create_data_plane(loop, log)
        harness = ForwarderHarness()
        used, unused = harness.publish_upstream("i-1"), harness.publish_upstream("i-2")
        opening = bytes(range(HEADER_BYTES))
        repeated = RepeatedOpening(opening, unused, used.mark_bytes)
        plane.forwarder.pop_repeated_openings = lambda: [repeated]
        sent = []
        plane._socket.send = lambda data, target: sent.append((data, target))
        plane._repeat_openings(create_packet().flow)
        del plane._socket.send
        plane.stop()
    ((data, target),) = sent
    assert target == unused.target
    assert data[: len(unused.prefix)] == unused.prefix
    packet = data[len(unused.prefix) :]
    assert packet[MARK_OFFSET:MARK_END] == used.mark_bytes
    assert packet[:MARK_OFFSET] + packet[MARK_END:] == opening[:MARK_OFFSET] + opening[MARK_END:]
    assert plane._metrics.corrected_handshakes == 1
