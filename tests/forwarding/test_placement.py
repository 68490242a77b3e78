"""Openings go to the least loaded upstream that can accept them."""

from collections import Counter

import pytest

from chicoryproxy.forwarding.model import Refusal, WeightedService
from chicoryproxy.forwarding.peers.peermessages import LoadReport
from tests.forwarding.harness import (
    ARCHIVE,
    OTHER_DOMAIN,
    OWN_DOMAIN,
    ROUTE,
    SERVICE,
    ForwarderHarness,
    create_packet,
    create_route,
)


def count_openings(harness, number, **fields):
    """Open flows; return how many each upstream got."""
    counts = Counter()
    for index in range(number):
        upstream, _ = harness.open_flow(caller=index + 1, **fields)
        counts[upstream.entry.id] += 1
    return counts


def test_a_burst_of_openings_is_distributed_by_slots(harness):
    """Burst: each upstream gets flows in proportion to its slots."""
    harness.publish_upstream("i-1", slots=2)
    harness.publish_upstream("i-2", slots=2)
    harness.publish_upstream("i-3", slots=4)
    counts = count_openings(harness, 400)
    assert abs(counts["i-1"] - 100) <= 2
    assert abs(counts["i-3"] - 200) <= 2


def test_the_own_domain_is_preferred_until_it_is_clearly_busier(harness):
    harness.publish_upstream("i-1")
    harness.publish_upstream("i-2", domain=OTHER_DOMAIN)
    first, _ = harness.open_flow()
    assert first.entry.id == "i-1"
    counts = count_openings(harness, 100)
    assert 45 <= counts["i-2"] <= 55


def test_the_load_of_peers_counts(harness):
    """Other entries have loaded an upstream at which this entry has no flow."""
    busy = harness.publish_upstream("i-1")
    harness.publish_upstream("i-2")
    harness.report_peer_load(LoadReport(busy.mark, 160, 16))
    assert count_openings(harness, 20) == {"i-2": 20}


def test_a_replaced_server_gets_no_opening_while_it_drains(harness):
    """Rolling release: servers drain one after the other while their replacements start."""
    harness.publish_upstream("i-1")
    harness.publish_upstream("i-2")
    harness.publish_upstream("i-1", draining=True)
    assert count_openings(harness, 10) == {"i-2": 10}


def test_the_last_draining_upstream_is_used_until_shortly_before_the_limit(harness):
    harness.publish_upstream("i-1", draining=True)
    assert harness.send_opening()[0] is harness.find_upstream("i-1")
    harness.advance(2.0)
    assert harness.send_opening()[0] is Refusal.NO_UPSTREAM


def test_removed_registrations_stay_in_use_after_a_store_outage(harness):
    """Store outage: registrations expire although their servers are alive."""
    harness.publish_upstream("i-1")
    harness.publish_upstream("i-2")
    harness.directory.record_store_failure(harness.now)
    harness.remove_upstream("i-1")
    counts = count_openings(harness, 20)
    assert counts["i-1"] >= 9


def test_a_removed_registration_is_excluded_without_a_store_outage(harness):
    harness.publish_upstream("i-1")
    harness.publish_upstream("i-2")
    harness.remove_upstream("i-1")
    assert count_openings(harness, 10) == {"i-2": 10}


def test_an_upstream_at_its_flow_limit_gets_no_openings(harness):
    full = harness.publish_upstream("i-1", slots=100_000)
    harness.publish_upstream("i-2", slots=1)
    harness.report_peer_load(LoadReport(full.mark, 2000, 0))
    assert count_openings(harness, 10) == {"i-2": 10}


def test_services_of_a_route_get_openings_by_weight(harness):
    harness.publish_upstream("i-1")
    harness.publish_upstream("a-2", service=ARCHIVE)
    split = (WeightedService(SERVICE, 90.0), WeightedService(ARCHIVE, 10.0))
    harness.publish_routing(2, [create_route("split", ROUTE, split)])
    counts = count_openings(harness, 2000)
    assert 120 <= counts["a-2"] <= 280


def test_the_share_of_a_service_without_upstreams_goes_to_the_others(harness):
    harness.publish_upstream("i-1")
    split = (WeightedService(SERVICE, 50.0), WeightedService(ARCHIVE, 50.0))
    harness.publish_routing(2, [create_route("split", ROUTE, split)])
    assert count_openings(harness, 20) == {"i-1": 20}


def test_a_service_with_weight_zero_gets_nothing(harness):
    harness.publish_upstream("a-2", service=ARCHIVE)
    split = (WeightedService(SERVICE, 100.0), WeightedService(ARCHIVE, 0.0))
    harness.publish_routing(2, [create_route("split", ROUTE, split)])
    assert harness.send_opening()[0] is Refusal.NO_UPSTREAM


def test_suspected_upstreams_are_used_if_there_are_no_others(harness):
    upstream = harness.publish_upstream("i-1")
    for _ in range(3):
        harness.forwarder.failure_detector.record_failure(upstream, harness.now)
    assert harness.send_opening()[0] is upstream


def test_exclusions_are_counted_by_reason(harness):
    """The own domain is out of service, and the upstreams elsewhere can't be used either."""
    harness.publish_upstream("i-1")
    harness.publish_upstream("i-2", domain=OTHER_DOMAIN).is_unreachable = True
    harness.publish_upstream("i-3", domain=OTHER_DOMAIN, draining=True)
    harness.take_domain_out(OWN_DOMAIN)
    packet = create_packet(is_opening=True)
    counts = harness.forwarder.count_exclusions(packet, harness.now)
    assert {reason.value: count for reason, count in counts.items()} == {
        "domain_out": 1,
        "unreachable": 1,
        "draining": 1,
    }


@pytest.fixture
def measuring_harness():
    """A harness whose settings say that health checks may be false."""
    harness = ForwarderHarness(has_false_health=True)
    harness.publish_routing(1)
    return harness


def exchange_request(harness, upstream, port, duration_s, copies=1):
    """Send a request on a new flow, and acknowledge its response after a time."""
    for _ in range(copies):
        harness.send(create_packet(port=port, mark=upstream.mark, acknowledged=1, size=10))
    harness.advance(duration_s)
    fields = {"port": port, "mark": upstream.mark, "sequence": 10, "acknowledged": 50}
    harness.send(create_packet(**fields))
    harness.send(create_packet(**fields, is_end=True))


def test_slow_upstreams_get_fewer_openings(measuring_harness):
    """Both are idle at each opening, as one request follows the other."""
    harness = measuring_harness
    slow = harness.publish_upstream("i-1")
    harness.publish_upstream("i-2")
    counts = Counter()
    for _ in range(100):
        upstream, port = harness.open_flow()
        exchange_request(harness, upstream, port, 0.05 if upstream is not slow else 0.2)
        counts[upstream.entry.id] += 1
    assert counts["i-1"] <= 20


def test_retransmitted_requests_are_no_samples(measuring_harness):
    """The network lost the request: the upstream is not to blame for the time."""
    harness = measuring_harness
    harness.publish_upstream("i-1")
    harness.publish_upstream("i-2")
    for _ in range(20):
        exchange_request(harness, *harness.open_flow(), 0.05)
    upstream, port = harness.open_flow()
    exchange_request(harness, upstream, port, 0.4, copies=2)
    assert harness.forwarder.performance.get_factor(upstream) == pytest.approx(1.0)


def test_reported_load_counts_less_where_response_times_are_measured(measuring_harness):
    """Short requests: what peers report has mostly ended when it is read."""
    harness = measuring_harness
    busy = harness.publish_upstream("i-1")
    harness.publish_upstream("i-2")
    harness.report_peer_load(LoadReport(busy.mark, 40, 0))
    counts = count_openings(harness, 30)
    assert abs(counts["i-2"] - 20) <= 1
