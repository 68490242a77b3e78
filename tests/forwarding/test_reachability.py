"""Upstreams become unreachable only if connections prove it."""

from chicoryproxy.forwarding.health.reachability import (
    RECHECK_MIN_S,
    ProbeResult,
    ReachabilityMonitor,
)
from tests.forwarding.harness import OTHER_DOMAIN


def probe(reachability, upstream, result, now):
    """Pop the due probe of an upstream and pass in its result."""
    assert upstream in reachability.pop_due(now)
    return reachability.handle_result(upstream, result, now)


def test_one_refused_connection_makes_an_upstream_unreachable(harness):
    upstream, reachability = harness.publish_upstream("i-1"), ReachabilityMonitor()
    reachability.suspect(upstream, 1.0)
    assert probe(reachability, upstream, ProbeResult.REFUSED, 1.0)
    assert upstream.is_unreachable


def test_an_upstream_is_unreachable_after_a_second_timeout(harness):
    upstream, other, reachability = (
        harness.publish_upstream("i-1"),
        harness.publish_upstream("i-2"),
        ReachabilityMonitor(),
    )
    reachability.suspect(upstream, 1.0)
    assert not probe(reachability, upstream, ProbeResult.TIMEOUT, 1.0)
    assert not upstream.is_unreachable
    reachability.check(other, 1.05)
    assert set(reachability.pop_due(1.05)) == {upstream, other}
    reachability.handle_result(other, ProbeResult.CONNECTED, 1.06)
    assert reachability.handle_result(upstream, ProbeResult.TIMEOUT, 1.17)
    assert upstream.is_unreachable


def test_a_slow_upstream_that_accepts_connections_stays_reachable(harness):
    """Slow server: requests are retransmitted, but a probe succeeds between two timeouts."""
    upstream, reachability = harness.publish_upstream("i-1"), ReachabilityMonitor()
    reachability.suspect(upstream, 1.0)
    probe(reachability, upstream, ProbeResult.TIMEOUT, 1.0)
    probe(reachability, upstream, ProbeResult.CONNECTED, 1.1)
    reachability.suspect(upstream, 2.0)
    probe(reachability, upstream, ProbeResult.TIMEOUT, 2.0)
    assert not upstream.is_unreachable


def test_probe_results_after_a_pause_of_this_process_are_discarded(harness):
    """Suspended process: timeouts that fire late prove nothing about the upstream."""
    upstream, reachability = harness.publish_upstream("i-1"), ReachabilityMonitor()
    reachability.suspect(upstream, 1.0)
    for now in (1.0, 1.1, 1.2):
        probe(reachability, upstream, ProbeResult.DISCARDED, now)
    assert not upstream.is_unreachable


def test_an_unreachable_upstream_is_probed_until_it_is_back(harness):
    upstream, reachability = harness.publish_upstream("i-1"), ReachabilityMonitor()
    reachability.suspect(upstream, 1.0)
    probe(reachability, upstream, ProbeResult.REFUSED, 1.0)
    assert reachability.pop_due(1.0 + RECHECK_MIN_S / 2) == []
    assert probe(reachability, upstream, ProbeResult.CONNECTED, 1.0 + RECHECK_MIN_S)
    assert not upstream.is_unreachable


def test_another_server_at_the_address_does_not_make_the_upstream_reachable(harness):
    """Address reused during a store outage: connections succeed, but the id differs."""
    upstream, reachability = harness.publish_upstream("i-1"), ReachabilityMonitor()
    reachability.suspect(upstream, 1.0)
    probe(reachability, upstream, ProbeResult.REFUSED, 1.0)
    probe(reachability, upstream, ProbeResult.OTHER_SERVER, 1.0 + RECHECK_MIN_S)
    assert upstream.is_unreachable


def test_an_upstream_is_not_probed_again_soon_after_a_success(harness):
    upstream, reachability = harness.publish_upstream("i-1"), ReachabilityMonitor()
    reachability.suspect(upstream, 1.0)
    probe(reachability, upstream, ProbeResult.CONNECTED, 1.0)
    reachability.suspect(upstream, 1.2)
    assert reachability.pop_due(1.2) == []
    reachability.suspect(upstream, 1.5)
    assert reachability.pop_due(1.5) == [upstream]


def test_all_upstreams_of_a_partitioned_domain_are_probed(harness):
    """Partitioned zone: the timeouts of one upstream are enough to find out the others."""
    near = harness.publish_upstream("i-1")
    far = [harness.publish_upstream(f"i-{number}", domain=OTHER_DOMAIN) for number in (2, 3, 4)]
    reachability = harness.forwarder.reachability
    reachability.suspect(far[0], harness.now)
    for _ in range(3):
        for item in reachability.pop_due(harness.now):
            result = ProbeResult.CONNECTED if item is near else ProbeResult.TIMEOUT
            harness.forwarder.failures.handle_probe_result(item, result, harness.now)
        harness.now += 0.12
    assert all(upstream.is_unreachable for upstream in far)


def test_only_entries_with_flows_probe_an_upstream_that_a_peer_cannot_reach(harness):
    """Large fleet: a thousand entries must not all connect to one dead upstream."""
    used, unused = harness.publish_upstream("i-1"), harness.publish_upstream(
        "i-2", domain=OTHER_DOMAIN
    )
    harness.open_flow()
    harness.forwarder.failures.handle_reports((used.mark, unused.mark), harness.now)
    assert harness.forwarder.reachability.pop_due(harness.now) == [used]


def test_a_congested_link_proves_nothing_about_an_upstream(harness):
    """Large configuration on a slow link: all connections time out, but no flow may be reset."""
    upstream = harness.publish_upstream("i-1")
    harness.publish_upstream("i-2")
    harness.open_flow()
    reachability = harness.forwarder.reachability
    reachability.suspect(upstream, harness.now)
    for _ in range(6):
        for item in reachability.pop_due(harness.now):
            harness.forwarder.failures.handle_probe_result(item, ProbeResult.TIMEOUT, harness.now)
        harness.now += 0.12
    assert not upstream.is_unreachable


def test_slow_connections_to_a_control_do_not_confirm_timeouts(harness):
    upstream = harness.publish_upstream("i-1")
    harness.publish_upstream("i-2")
    reachability = harness.forwarder.reachability
    reachability.suspect(upstream, harness.now)
    for _ in range(6):
        for item in reachability.pop_due(harness.now):
            is_first = item is upstream
            result = ProbeResult.TIMEOUT if is_first else ProbeResult.CONNECTED_SLOWLY
            harness.forwarder.failures.handle_probe_result(item, result, harness.now)
        harness.now += 0.12
    assert not upstream.is_unreachable


def test_a_fast_connection_to_a_control_confirms_timeouts(harness):
    upstream = harness.publish_upstream("i-1")
    harness.publish_upstream("i-2")
    reachability = harness.forwarder.reachability
    reachability.suspect(upstream, harness.now)
    for _ in range(3):
        for item in reachability.pop_due(harness.now):
            result = ProbeResult.TIMEOUT if item is upstream else ProbeResult.CONNECTED
            harness.forwarder.failures.handle_probe_result(item, result, harness.now)
        harness.now += 0.12
    assert upstream.is_unreachable


def test_a_leaving_upstream_that_finishes_its_last_requests_keeps_its_flows(harness):
    """Release: a server closes its listener, finishes its open requests, and then exits."""
    upstream = harness.publish_upstream("i-1")
    harness.open_flow()
    harness.publish_upstream("i-1", draining=True)
    reachability = harness.forwarder.reachability
    reachability.suspect(upstream, harness.now)
    reachability.pop_due(harness.now)
    assert not harness.forwarder.failures.handle_probe_result(
        upstream, ProbeResult.REFUSED, harness.now
    )
    assert not upstream.is_unreachable
    harness.now += 0.3
    harness.remove_upstream("i-1")
    assert reachability.pop_due(harness.now) == [upstream]
    assert not harness.forwarder.failures.handle_probe_result(
        upstream, ProbeResult.REFUSED, harness.now
    )
    harness.now += 0.3
    assert reachability.pop_due(harness.now) == [upstream]
    assert (
        len(
            harness.forwarder.failures.handle_probe_result(
                upstream, ProbeResult.REFUSED, harness.now
            )
        )
        == 1
    )
    assert upstream.is_unreachable


def test_an_upstream_that_crashes_during_its_drain_becomes_unreachable(harness):
    upstream = harness.publish_upstream("i-1")
    harness.publish_upstream("i-1", draining=True)
    reachability = harness.forwarder.reachability
    reachability.suspect(upstream, harness.now)
    for _ in range(9):
        if upstream in reachability.pop_due(harness.now):
            reachability.handle_result(upstream, ProbeResult.REFUSED, harness.now)
        harness.now += 0.3
    assert upstream.is_unreachable
