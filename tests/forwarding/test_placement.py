"""Openings go to the least loaded upstream that may take them."""

from collections import Counter

from chicoryproxy.forwarding.model import Refusal, WeightedService
from chicoryproxy.forwarding.peermessages import LoadReport
from tests.forwarding.harness import (
    ARCHIVE,
    OTHER,
    OWN,
    ROUTE,
    SERVICE,
    create_packet,
    create_route,
)


def count_openings(harness, number, **fields):
    """Open flows fully; return how many each upstream got."""
    counts = Counter()
    for index in range(number):
        upstream, _ = harness.open_flow(caller=index + 1, **fields)
        counts[upstream.entry.id] += 1
    return counts


def test_a_whole_audience_at_once_is_spread_by_slots(harness):
    """Burst: each upstream gets flows in proportion to its slots."""
    harness.publish_upstream("i-1", slots=2)
    harness.publish_upstream("i-2", slots=2)
    harness.publish_upstream("i-3", slots=4)
    counts = count_openings(harness, 400)
    assert abs(counts["i-1"] - 100) <= 2
    assert abs(counts["i-3"] - 200) <= 2


def test_the_own_domain_is_preferred_until_it_is_clearly_busier(harness):
    harness.publish_upstream("i-1")
    harness.publish_upstream("i-2", domain=OTHER)
    first, _ = harness.open_flow()
    assert first.entry.id == "i-1"
    counts = count_openings(harness, 100)
    assert 45 <= counts["i-2"] <= 55


def test_the_load_of_peers_counts(harness):
    """Shift: other entries have filled an upstream of which this one knows nothing."""
    busy = harness.publish_upstream("i-1")
    harness.publish_upstream("i-2")
    harness.report_peer_load(LoadReport(busy.mark, 40, 4))
    assert count_openings(harness, 20) == {"i-2": 20}


def test_a_replaced_server_gets_no_opening_while_it_drains(harness):
    """Release: servers drain one after the other while their successors start."""
    harness.publish_upstream("i-1")
    harness.publish_upstream("i-2")
    harness.publish_upstream("i-1", draining=True)
    assert count_openings(harness, 10) == {"i-2": 10}


def test_the_last_draining_upstream_serves_until_shortly_before_the_bound(harness):
    harness.publish_upstream("i-1", draining=True)
    assert harness.send_opening()[0] is harness.find_upstream("i-1")
    harness.advance(2.0)
    assert harness.send_opening()[0] is Refusal.NO_UPSTREAM


def test_vanished_entries_stay_in_use_while_the_store_was_away(harness):
    """Store outage: entries lapse although their servers live."""
    harness.publish_upstream("i-1")
    harness.publish_upstream("i-2")
    harness.directory.record_store_failure(harness.now)
    harness.remove_upstream("i-1")
    counts = count_openings(harness, 20)
    assert counts["i-1"] >= 9


def test_a_vanished_entry_is_left_out_when_the_store_was_there(harness):
    harness.publish_upstream("i-1")
    harness.publish_upstream("i-2")
    harness.remove_upstream("i-1")
    assert count_openings(harness, 10) == {"i-2": 10}


def test_an_upstream_that_holds_its_limit_of_flows_gets_no_more(harness):
    full = harness.publish_upstream("i-1", slots=100_000)
    harness.publish_upstream("i-2", slots=1)
    harness.report_peer_load(LoadReport(full.mark, 2000, 0))
    assert count_openings(harness, 10) == {"i-2": 10}


def test_the_weights_of_a_split_are_kept(harness):
    harness.publish_upstream("i-1")
    harness.publish_upstream("a-2", service=ARCHIVE)
    split = (WeightedService(SERVICE, 90.0), WeightedService(ARCHIVE, 10.0))
    harness.publish_routing(2, [create_route("split", ROUTE, split)])
    counts = count_openings(harness, 2000)
    assert 120 <= counts["a-2"] <= 280


def test_a_service_without_upstreams_leaves_its_share_to_the_others(harness):
    harness.publish_upstream("i-1")
    split = (WeightedService(SERVICE, 50.0), WeightedService(ARCHIVE, 50.0))
    harness.publish_routing(2, [create_route("split", ROUTE, split)])
    assert count_openings(harness, 20) == {"i-1": 20}


def test_a_service_with_weight_zero_gets_nothing(harness):
    harness.publish_upstream("a-2", service=ARCHIVE)
    split = (WeightedService(SERVICE, 100.0), WeightedService(ARCHIVE, 0.0))
    harness.publish_routing(2, [create_route("split", ROUTE, split)])
    assert harness.send_opening()[0] is Refusal.NO_UPSTREAM


def test_suspected_upstreams_serve_where_nothing_else_is_left(harness):
    upstream = harness.publish_upstream("i-1")
    for _ in range(3):
        harness.forwarder.detector.record_failure(upstream, harness.now)
    assert harness.send_opening()[0] is upstream


def test_a_refusal_is_explained_by_the_upstreams_that_were_left_out(harness):
    """A cut domain that operators have taken out: none of its own, none in reach elsewhere."""
    harness.publish_upstream("i-1")
    harness.publish_upstream("i-2", domain=OTHER).is_unreachable = True
    harness.publish_upstream("i-3", domain=OTHER, draining=True)
    harness.take_domain_out(OWN)
    packet = create_packet(is_opening=True)
    counts = harness.forwarder.count_exclusions(packet, harness.now)
    assert {reason.value: count for reason, count in counts.items()} == {
        "domain_out": 1,
        "unreachable": 1,
        "draining": 1,
    }
