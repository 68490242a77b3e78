"""Upstreams are out of reach when connections prove it, and only then."""

from chicoryproxy.forwarding.reachability import RECHECK_MIN_S, ProbeResult, ReachabilityMonitor
from tests.forwarding.harness import OTHER


def probe(reachability, upstream, result, now):
    """Take the due probe of an upstream and give its result."""
    assert upstream in reachability.pop_due(now)
    return reachability.handle_result(upstream, result, now)


def test_a_refused_connection_proves_the_end_at_once(harness):
    upstream, reachability = harness.publish_upstream("i-1"), ReachabilityMonitor()
    reachability.suspect(upstream, 1.0)
    assert probe(reachability, upstream, ProbeResult.REFUSED, 1.0)
    assert upstream.is_unreachable


def test_one_timeout_proves_nothing_and_a_second_one_does(harness):
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
    """Slow server: requests repeat, but a connection succeeds between two timeouts."""
    upstream, reachability = harness.publish_upstream("i-1"), ReachabilityMonitor()
    reachability.suspect(upstream, 1.0)
    probe(reachability, upstream, ProbeResult.TIMEOUT, 1.0)
    probe(reachability, upstream, ProbeResult.CONNECTED, 1.1)
    reachability.suspect(upstream, 2.0)
    probe(reachability, upstream, ProbeResult.TIMEOUT, 2.0)
    assert not upstream.is_unreachable


def test_results_from_a_pause_of_this_process_are_discarded(harness):
    """Freeze: timers that fire late say nothing about the upstream."""
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


def test_another_server_at_the_address_is_no_return(harness):
    """Address reuse while the store is away: a connection succeeds, the id is another one."""
    upstream, reachability = harness.publish_upstream("i-1"), ReachabilityMonitor()
    reachability.suspect(upstream, 1.0)
    probe(reachability, upstream, ProbeResult.REFUSED, 1.0)
    probe(reachability, upstream, ProbeResult.OTHER_SERVER, 1.0 + RECHECK_MIN_S)
    assert upstream.is_unreachable


def test_a_probe_that_succeeded_just_now_is_not_repeated(harness):
    upstream, reachability = harness.publish_upstream("i-1"), ReachabilityMonitor()
    reachability.suspect(upstream, 1.0)
    probe(reachability, upstream, ProbeResult.CONNECTED, 1.0)
    reachability.suspect(upstream, 1.2)
    assert reachability.pop_due(1.2) == []
    reachability.suspect(upstream, 1.5)
    assert reachability.pop_due(1.5) == [upstream]


def test_a_cut_domain_is_probed_as_a_whole(harness):
    """Zone cut: one upstream that times out leads to the others of its failure domain."""
    near = harness.publish_upstream("i-1")
    far = [harness.publish_upstream(f"i-{number}", domain=OTHER) for number in (2, 3, 4)]
    reachability = harness.forwarder.reachability
    reachability.suspect(far[0], harness.now)
    for _ in range(3):
        for item in reachability.pop_due(harness.now):
            result = ProbeResult.CONNECTED if item is near else ProbeResult.TIMEOUT
            harness.forwarder.handle_probe_result(item, result, harness.now)
        harness.now += 0.12
    assert far[0].is_unreachable
    due = reachability.pop_due(harness.now)
    assert {item.entry.id for item in due} == {"i-3", "i-4"}


def test_only_entries_with_flows_probe_an_upstream_that_a_peer_cannot_reach(harness):
    """Large fleet: a thousand entries must not all connect to one dead upstream."""
    used, unused = harness.publish_upstream("i-1"), harness.publish_upstream("i-2", domain=OTHER)
    harness.open_flow()
    harness.forwarder.suspect_marks((used.mark, unused.mark), harness.now)
    assert harness.forwarder.reachability.pop_due(harness.now) == [used]


def test_a_congested_link_proves_nothing_about_an_upstream(harness):
    """Large configuration on a thin link: every connection times out, and no flow may be reset."""
    upstream = harness.publish_upstream("i-1")
    harness.publish_upstream("i-2")
    harness.open_flow()
    reachability = harness.forwarder.reachability
    reachability.suspect(upstream, harness.now)
    for _ in range(6):
        for item in reachability.pop_due(harness.now):
            harness.forwarder.handle_probe_result(item, ProbeResult.TIMEOUT, harness.now)
        harness.now += 0.12
    assert not upstream.is_unreachable


def test_connections_that_succeed_slowly_prove_nothing_about_others(harness):
    upstream = harness.publish_upstream("i-1")
    harness.publish_upstream("i-2")
    reachability = harness.forwarder.reachability
    reachability.suspect(upstream, harness.now)
    for _ in range(6):
        for item in reachability.pop_due(harness.now):
            is_first = item is upstream
            result = ProbeResult.TIMEOUT if is_first else ProbeResult.CONNECTED_SLOWLY
            harness.forwarder.handle_probe_result(item, result, harness.now)
        harness.now += 0.12
    assert not upstream.is_unreachable


def test_a_silent_upstream_is_told_by_a_quick_connection_to_another_one(harness):
    upstream = harness.publish_upstream("i-1")
    harness.publish_upstream("i-2")
    reachability = harness.forwarder.reachability
    reachability.suspect(upstream, harness.now)
    for _ in range(3):
        for item in reachability.pop_due(harness.now):
            result = ProbeResult.TIMEOUT if item is upstream else ProbeResult.CONNECTED
            harness.forwarder.handle_probe_result(item, result, harness.now)
        harness.now += 0.12
    assert upstream.is_unreachable


def test_a_leaving_upstream_that_finishes_its_last_requests_keeps_its_flows(harness):
    """Release: a server closes its listener first, answers what it has, and then ends."""
    upstream = harness.publish_upstream("i-1")
    harness.open_flow()
    harness.publish_upstream("i-1", draining=True)
    reachability = harness.forwarder.reachability
    reachability.suspect(upstream, harness.now)
    reachability.pop_due(harness.now)
    assert not harness.forwarder.handle_probe_result(upstream, ProbeResult.REFUSED, harness.now)
    assert not upstream.is_unreachable
    harness.now += 0.3
    harness.remove_upstream("i-1")
    assert reachability.pop_due(harness.now) == [upstream]
    assert not harness.forwarder.handle_probe_result(upstream, ProbeResult.REFUSED, harness.now)
    harness.now += 0.3
    assert reachability.pop_due(harness.now) == [upstream]
    assert (
        len(harness.forwarder.handle_probe_result(upstream, ProbeResult.REFUSED, harness.now)) == 1
    )
    assert upstream.is_unreachable


def test_an_upstream_that_crashes_while_it_drains_is_found(harness):
    upstream = harness.publish_upstream("i-1")
    harness.publish_upstream("i-1", draining=True)
    reachability = harness.forwarder.reachability
    reachability.suspect(upstream, harness.now)
    for _ in range(9):
        if upstream in reachability.pop_due(harness.now):
            reachability.handle_result(upstream, ProbeResult.REFUSED, harness.now)
        harness.now += 0.3
    assert upstream.is_unreachable
