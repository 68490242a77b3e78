"""Packets go to the upstream of their flow; flows of live upstreams are never reset."""

from chicoryproxy.forwarding.health.reachability import ProbeResult
from chicoryproxy.forwarding.model import Drop, Refusal, RouteKey, WeightedService
from tests.forwarding.harness import (
    ARCHIVE,
    ARCHIVE_ROUTE,
    OTHER_DOMAIN,
    ROUTE,
    SERVICE,
    ForwarderHarness,
    create_packet,
    create_route,
)


def send_in_flow(harness, upstream, port, **fields):
    """Send a packet of an open flow."""
    return harness.send(create_packet(port=port, mark=upstream.mark, acknowledged=1, **fields))


def test_any_entry_finds_the_upstream_by_the_mark(harness):
    for number in range(5):
        harness.publish_upstream(f"i-{number}")
    upstream, port = harness.open_flow()
    other = ForwarderHarness()
    other.publish_routing(1)
    for number in reversed(range(5)):
        other.publish_upstream(f"i-{number}")
    decision = send_in_flow(other, upstream, port, size=10)
    assert decision.entry.id == upstream.entry.id


def test_a_packet_with_an_unknown_mark_is_dropped_and_never_reset(harness):
    harness.publish_upstream("i-1")
    assert send_in_flow(harness, harness.find_upstream("i-1"), 99) is harness.find_upstream("i-1")
    assert harness.send(create_packet(mark=12345, size=10)) is Drop.UNKNOWN_MARK


def test_a_packet_without_mark_and_flow_is_dropped(harness):
    assert harness.send(create_packet(size=10)) is Drop.NO_FLOW


def test_an_opening_before_the_first_sync_is_dropped(harness):
    harness.publish_upstream("i-1")
    harness.forwarder.is_synced = False
    decision, _ = harness.send_opening()
    assert decision is Drop.NOT_SYNCED


def test_an_opening_without_route_or_upstream_is_refused_at_once(harness):
    assert harness.send_opening(RouteKey(1, 1))[0] is Refusal.NO_ROUTE
    assert harness.send_opening()[0] is Refusal.NO_UPSTREAM


def test_a_retransmitted_opening_goes_to_another_upstream(harness):
    harness.publish_upstream("i-1")
    harness.publish_upstream("i-2")
    first, port = harness.send_opening()
    harness.now += 0.2
    second, _ = harness.send_opening(port=port, copy=1)
    assert {first.entry.id, second.entry.id} == {"i-1", "i-2"}


def test_of_two_answered_openings_the_acknowledged_one_keeps_the_flow(harness):
    """Both SYN+ACKs arrive: the caller acknowledges one and then echoes the mark of the other."""
    harness.publish_upstream("i-1")
    harness.publish_upstream("i-2")
    first, port = harness.send_opening()
    harness.now += 0.2
    second, _ = harness.send_opening(port=port, copy=1)
    assert send_in_flow(harness, second, port) is second
    # The late SYN+ACK of the first upstream has replaced the mark that the caller echoes.
    assert send_in_flow(harness, first, port, size=10) is second
    # The response of the second upstream replaces it again.
    assert send_in_flow(harness, second, port, size=10, sequence=10) is second


def test_a_late_copy_of_the_opening_goes_to_the_upstream_of_the_open_flow(harness):
    harness.publish_upstream("i-1")
    harness.publish_upstream("i-2")
    upstream, port = harness.open_flow()
    assert harness.send_opening(port=port, copy=2)[0] is upstream


def test_a_new_flow_may_use_the_port_of_an_old_one(harness):
    harness.publish_upstream("i-1")
    _, port = harness.open_flow()
    assert harness.send_opening(port=port)[0] is harness.find_upstream("i-1")
    flow = harness.forwarder.flows.get(create_packet(port=port).flow)
    assert not flow.is_open


def test_a_drain_and_a_new_version_do_not_move_open_flows(harness):
    harness.publish_upstream("i-1")
    upstream, port = harness.open_flow()
    harness.publish_upstream("i-1", draining=True)
    harness.publish_upstream("i-2")
    harness.publish_routing(2)
    assert send_in_flow(harness, upstream, port, size=10) is upstream


def test_a_domain_out_of_service_keeps_open_flows_and_gets_no_new_ones(harness):
    harness.publish_upstream("i-1", domain=OTHER_DOMAIN)
    upstream, port = harness.open_flow()
    harness.take_domain_out(OTHER_DOMAIN)
    assert send_in_flow(harness, upstream, port, size=10) is upstream
    assert harness.send_opening()[0] is Refusal.NO_UPSTREAM


def test_flows_of_a_removed_route_are_reset_and_those_of_an_unknown_route_are_not(harness):
    harness.publish_upstream("i-1", service=ARCHIVE)
    upstream, port = harness.open_flow(ARCHIVE_ROUTE)
    harness.publish_routing(2, [create_route("desk", ROUTE, (WeightedService(SERVICE, 1.0),))])
    packet = create_packet(ARCHIVE_ROUTE, port=port, mark=upstream.mark, size=5)
    assert harness.send(packet) is Refusal.ROUTE_REMOVED
    # Another entry may know a newer version with a route that this one does not have yet.
    newer = create_packet(RouteKey(77, 443), port=port, mark=upstream.mark, size=5)
    assert harness.send(newer) is upstream


def test_a_removed_registration_alone_resets_no_flow(harness):
    harness.publish_upstream("i-1")
    upstream, port = harness.open_flow()
    harness.remove_upstream("i-1")
    harness.now += 10
    harness.directory.expire(harness.now)
    assert send_in_flow(harness, upstream, port, size=10) is upstream


def test_all_flows_of_an_upstream_that_refuses_connections_are_reset(harness):
    harness.publish_upstream("i-1")
    upstream, port = harness.open_flow()
    broken = harness.forwarder.failures.handle_probe_result(
        upstream, ProbeResult.REFUSED, harness.now
    )
    assert not broken
    harness.forwarder.reachability.suspect(upstream, harness.now)
    harness.forwarder.reachability.pop_due(harness.now)
    broken = harness.forwarder.failures.handle_probe_result(
        upstream, ProbeResult.REFUSED, harness.now
    )
    assert [item.flow for item in broken] == [create_packet(port=port).flow]
    assert send_in_flow(harness, upstream, port, size=10) is Refusal.UPSTREAM_UNREACHABLE


def test_an_old_failed_probe_resets_no_flow(harness):
    """Flap or healed partition: the flow continued at another entry and then arrives here."""
    upstream = harness.publish_upstream("i-1")
    _, port = harness.open_flow()
    harness.forwarder.reachability.suspect(upstream, harness.now)
    harness.forwarder.reachability.pop_due(harness.now)
    harness.forwarder.failures.handle_probe_result(upstream, ProbeResult.REFUSED, harness.now)
    assert send_in_flow(harness, upstream, port, size=10) is Refusal.UPSTREAM_UNREACHABLE
    harness.advance(2.0)
    assert send_in_flow(harness, upstream, port, size=10) is upstream
    assert harness.forwarder.reachability.pop_due(harness.now) == [upstream]


def test_a_failed_probe_of_an_upstream_that_answers_callers_is_ignored(harness):
    """Health checks may fail falsely; acknowledged answers prove that the upstream works."""
    harness.publish_upstream("i-1")
    upstream, port = harness.open_flow()
    harness.forwarder.reachability.suspect(upstream, harness.now)
    harness.forwarder.reachability.pop_due(harness.now)
    harness.now += 0.01
    send_in_flow(harness, upstream, port, size=10)
    harness.send(create_packet(port=port, mark=upstream.mark, acknowledged=900))
    assert (
        harness.forwarder.failures.handle_probe_result(upstream, ProbeResult.REFUSED, harness.now)
        == []
    )
    assert not upstream.is_unreachable


def test_after_a_pause_openings_wait_for_a_confirmed_view(harness):
    """Suspended process: openings after it must not use the stale view."""
    harness.publish_upstream("i-1")
    upstream, port = harness.open_flow()
    harness.now += 5.0
    assert harness.send_opening()[0] is Drop.NOT_SYNCED
    assert send_in_flow(harness, upstream, port, size=10) is upstream
    harness.forwarder.pause.tick(True, harness.now)
    assert harness.send_opening()[0] is Drop.NOT_SYNCED
    harness.forwarder.pause.tick(True, harness.now)
    assert harness.send_opening()[0] is upstream


def test_an_entry_without_confirmation_resumes_openings_with_its_old_view(harness):
    harness.publish_upstream("i-1")
    harness.now += 5.0
    for _ in range(30):
        harness.forwarder.pause.tick(False, harness.now)
        harness.now += 0.05
    assert harness.send_opening()[0] is harness.find_upstream("i-1")


def test_a_reset_of_the_caller_is_never_answered_by_a_reset(harness):
    harness.publish_upstream("i-1")
    upstream, port = harness.open_flow()
    harness.publish_upstream("i-1", started_ms=2)
    assert upstream.is_unreachable
    assert send_in_flow(harness, upstream, port, is_reset=True) is Drop.NO_FLOW


def test_a_new_lifetime_of_an_id_ends_the_flows_of_the_previous_one(harness):
    former = harness.publish_upstream("i-1", started_ms=1)
    _, port = harness.open_flow()
    present = harness.publish_upstream("i-1", started_ms=2)
    assert present.mark != former.mark
    assert send_in_flow(harness, former, port, size=10) is Refusal.UPSTREAM_UNREACHABLE
    assert harness.send_opening()[0] is present


def test_retries_of_a_caller_avoid_upstreams_that_have_not_answered_it(harness):
    """Fast failures: a crashed server resets openings itself and so looks idle to this entry."""
    for number in range(3):
        harness.publish_upstream(f"i-{number}")
    first, _ = harness.send_opening(caller=5)
    harness.now += 0.003
    second, _ = harness.send_opening(caller=5)
    harness.now += 0.003
    third, _ = harness.send_opening(caller=5)
    assert len({first.entry.id, second.entry.id, third.entry.id}) == 3


def test_an_unacknowledged_opening_triggers_a_probe(harness):
    upstream = harness.publish_upstream("i-1")
    harness.send_opening()
    harness.forwarder.expire(harness.now)
    assert harness.forwarder.reachability.pop_due(harness.now) == []
    harness.now += 0.05
    harness.forwarder.expire(harness.now)
    assert harness.forwarder.reachability.pop_due(harness.now) == [upstream]


def test_a_second_retransmission_of_a_request_is_a_failure(harness):
    upstream = harness.publish_upstream("i-1")
    _, port = harness.open_flow()
    for _ in range(2):
        send_in_flow(harness, upstream, port, size=10)
        harness.now += 0.2
    assert harness.forwarder.failure_detector.get_failures(upstream) == 0
    send_in_flow(harness, upstream, port, size=10)
    assert harness.forwarder.failure_detector.get_failures(upstream) == 1


# The caller may have opened another flow from the same port through another entry.
def test_a_finished_flow_is_not_reset_when_its_upstream_fails(harness):
    harness.publish_upstream("i-1")
    upstream, port = harness.open_flow()
    harness.send(create_packet(port=port, mark=upstream.mark, acknowledged=1, is_end=True))
    harness.forwarder.reachability.suspect(upstream, harness.now)
    assert harness.forwarder.reachability.pop_due(harness.now) == [upstream]
    broken = harness.forwarder.failures.handle_probe_result(
        upstream, ProbeResult.REFUSED, harness.now
    )
    assert upstream.is_unreachable
    assert broken == []
