"""A living upstream keeps its flows: what a probe of it proves, and for how long.

The network of these tests is given by the time that a connection to each upstream takes, so that
each test states the trouble and not the results of single probes.
"""

import pytest

from chicoryproxy.forwarding.health.reachability import (
    DRAIN_FINISHING_S,
    FINISHING_RECHECK_S,
    ProbeResult,
)
from chicoryproxy.forwarding.model import Refusal, UpstreamPhase
from chicoryproxy.forwarding.view.directory import RETURN_GRACE_S
from chicoryproxy.node.probe import CONNECT_TIMEOUT_S, IDENTITY_TIMEOUT_S
from tests.forwarding.harness import OTHER_DOMAIN, OWN_DOMAIN, create_packet
from tests.forwarding.probenetwork import NEVER_S, TICK_S

CONTACT_S = 4.0
"""The rule of flows holds once the last disturbance is this long ago."""

OLD_PROOF_S = 2.0


def suspect(harness, upstream):
    """Request a probe, as a repeated packet does."""
    harness.forwarder.reachability.suspect(upstream, harness.now)


def make_unreachable(harness, network, upstream):
    """Let the upstream refuse connections until this entry has proved it, and then heal it."""
    network.refusing.add(upstream.entry.id)
    suspect(harness, upstream)
    network.run(0.1)
    assert upstream.is_unreachable
    network.refusing.discard(upstream.entry.id)
    network.broken.clear()


def send_data(harness, upstream, port, acknowledged=1, sequence=0):
    """Send data in a flow that another entry has opened."""
    return harness.send(
        create_packet(
            port=port, mark=upstream.mark, acknowledged=acknowledged, size=10, sequence=sequence
        )
    )


# The own link is full and drops segments; once it is free, another upstream accepts at once.
def test_end_of_a_congestion_of_the_own_link_resets_no_flow(harness, network):
    upstream = harness.publish_upstream("i-1")
    harness.publish_upstream("i-2")
    other = harness.publish_upstream("i-3")
    send_data(harness, upstream, 1024)
    network.delays_s = dict.fromkeys(("i-1", "i-2", "i-3"), NEVER_S)
    suspect(harness, upstream)
    # The last probe is on its way when the congestion ends.
    network.run(21.5 * TICK_S)
    network.delays_s.clear()
    suspect(harness, other)
    network.run(1.0)
    assert network.broken == []
    assert not upstream.is_unreachable


# A machine that lost its power: the proof needs no more time than two connections.
def test_a_silent_upstream_is_unreachable_within_three_tenths_of_a_second(harness, network):
    upstream = harness.publish_upstream("i-1", domain=OTHER_DOMAIN)
    send_data(harness, upstream, 1024)
    harness.publish_upstream("i-2")
    network.delays_s = {"i-1": NEVER_S}
    suspect(harness, upstream)
    network.run(2 * CONNECT_TIMEOUT_S + 2 * TICK_S)
    assert upstream.is_unreachable
    assert len(network.broken) == 1


# The cut of this entry is over for long, and the upstream is busy with requests.
@pytest.mark.parametrize("phase", ["serving", "draining"])
def test_a_busy_health_check_after_a_cut_resets_no_flow(harness, network, phase):
    upstream = harness.publish_upstream("i-1")
    make_unreachable(harness, network, upstream)
    network.health["i-1"] = ProbeResult.SILENT
    harness.publish_upstream("i-1", draining=phase == "draining")
    network.run(2 * CONTACT_S)
    for _ in range(20):
        assert send_data(harness, upstream, 1024) is upstream
        network.run(0.2)
    assert network.broken == []


# The cut of this entry is over for long; one first segment to the upstream is lost.
def test_one_timeout_after_a_cut_resets_no_flow(harness, network):
    upstream = harness.publish_upstream("i-1")
    harness.publish_upstream("i-2")
    make_unreachable(harness, network, upstream)
    network.health["i-1"] = ProbeResult.SILENT
    network.run(2 * CONTACT_S)
    network.delays_s["i-1"] = NEVER_S
    assert send_data(harness, upstream, 1024) is upstream
    network.run(IDENTITY_TIMEOUT_S)
    network.delays_s.clear()
    network.run(0.1)
    assert send_data(harness, upstream, 1024) is upstream
    assert network.broken == []


# An upstream is dead and silent; a flow comes from another entry later.
def test_flow_of_a_silent_upstream_that_comes_later_is_reset_by_a_new_proof(harness, network):
    upstream = harness.publish_upstream("i-1")
    harness.publish_upstream("i-2")
    make_unreachable(harness, network, upstream)
    network.delays_s["i-1"] = NEVER_S
    network.run(2 * CONTACT_S)
    decisions = []
    for pause_s in (0.2, 0.4, 0.8, 1.6):
        decisions.append(send_data(harness, upstream, 1024))
        network.run(pause_s)
    assert network.broken or Refusal.UPSTREAM_UNREACHABLE in decisions


# An entry is cut off from the upstream while its registration lapses in a store outage.
def test_lapse_of_a_registration_does_not_make_an_old_proof_last(harness, network):
    upstream = harness.publish_upstream("i-1")
    network.refusing.add("i-1")
    suspect(harness, upstream)
    network.run(0.1)
    assert upstream.is_unreachable
    harness.directory.record_store_failure(harness.now)
    harness.remove_upstream("i-1")
    network.run(RETURN_GRACE_S)
    harness.directory.expire(harness.now)
    assert upstream.phase is UpstreamPhase.GONE
    network.refusing.clear()
    network.run(2 * CONTACT_S)
    assert send_data(harness, upstream, 1024) is upstream
    network.run(0.2)
    assert send_data(harness, upstream, 1024) is upstream
    assert not upstream.is_unreachable


# The upstream is back, its flow goes on here, and then its registration changes or lapses.
@pytest.mark.parametrize("change", ["drain", "lapse"])
def test_a_change_of_phase_does_not_renew_an_old_proof(harness, network, change):
    upstream = harness.publish_upstream("i-1")
    make_unreachable(harness, network, upstream)
    harness.now += OLD_PROOF_S
    assert send_data(harness, upstream, 1024) is upstream
    if change == "drain":
        harness.publish_upstream("i-1", draining=True)
    else:
        harness.remove_upstream("i-1")
    network.broken += harness.forwarder.failures.handle_phase_change(upstream, harness.now)
    network.run(0.2)
    assert network.broken == []


# Reused id: a newer lifetime proves the end of the former one, whenever it was last probed.
def test_flows_of_a_replaced_lifetime_are_reset_even_if_it_was_unreachable_before(harness, network):
    upstream = harness.publish_upstream("i-1")
    make_unreachable(harness, network, upstream)
    network.health["i-1"] = ProbeResult.OTHER_SERVER
    harness.now += OLD_PROOF_S
    send_data(harness, upstream, 1024)
    harness.publish_upstream("i-1", started_ms=2)
    network.broken += harness.forwarder.failures.handle_phase_change(upstream, harness.now)
    network.run(0.2)
    assert len(network.broken) == 1
    assert send_data(harness, upstream, 1024) is Refusal.UPSTREAM_UNREACHABLE


# Reused id and address: the health check of the next lifetime answers with the same id.
def test_a_replaced_lifetime_that_was_unreachable_before_does_not_come_back(harness, network):
    upstream = harness.publish_upstream("i-1")
    make_unreachable(harness, network, upstream)
    harness.publish_upstream("i-1", started_ms=2)
    network.run(CONTACT_S)
    assert send_data(harness, upstream, 1024) is Refusal.UPSTREAM_UNREACHABLE


# Release: the server has closed its listener and still sends a long response.
def test_a_leaving_upstream_that_goes_on_answering_keeps_its_flows(harness, network):
    upstream = harness.publish_upstream("i-1")
    _, port = harness.open_flow()
    harness.publish_upstream("i-1", draining=True)
    network.refusing.add("i-1")
    suspect(harness, upstream)
    for number in range(1, 9):
        harness.send(create_packet(port=port, mark=upstream.mark, acknowledged=900 * number))
        network.run(0.55)
        suspect(harness, upstream)
    assert network.broken == []
    network.run(DRAIN_FINISHING_S + 0.5)
    assert len(network.broken) == 1


# Release: slow peers have announced a change, which this entry doesn't have yet, the drain.
def test_a_refusal_resets_no_flow_while_the_view_lacks_a_change(harness, network):
    upstream = harness.publish_upstream("i-1")
    harness.open_flow()
    reachability = harness.forwarder.reachability
    reachability.is_view_behind = True
    network.refusing.add("i-1")
    suspect(harness, upstream)
    network.run(0.5)
    assert network.broken == []
    harness.publish_upstream("i-1", draining=True)
    reachability.is_view_behind = False
    network.run(0.5)
    assert network.broken == []
    network.run(DRAIN_FINISHING_S)
    assert len(network.broken) == 1


# Crash: the change that this entry lacked was none of this upstream.
def test_a_refusal_resets_the_flows_once_the_view_has_caught_up(harness, network):
    upstream = harness.publish_upstream("i-1")
    harness.open_flow()
    reachability = harness.forwarder.reachability
    reachability.is_view_behind = True
    network.refusing.add("i-1")
    suspect(harness, upstream)
    network.run(0.2)
    reachability.is_view_behind = False
    network.run(FINISHING_RECHECK_S + TICK_S)
    assert len(network.broken) == 1


# Release beside a store outage: the registration lapses while the server finishes its requests.
def test_a_leaving_upstream_whose_registration_lapsed_keeps_its_flows(harness, network):
    upstream = harness.publish_upstream("i-1")
    harness.open_flow()
    harness.publish_upstream("i-1", draining=True)
    harness.directory.record_store_failure(harness.now)
    harness.remove_upstream("i-1")
    network.refusing.add("i-1")
    suspect(harness, upstream)
    network.run(0.5)
    assert network.broken == []
    network.run(DRAIN_FINISHING_S)
    assert len(network.broken) == 1


# The state of a finished probe is discarded between two refusals.
def test_refusals_of_a_leaving_upstream_add_up_over_pauses_between_probes(harness, network):
    upstream = harness.publish_upstream("i-1")
    harness.open_flow()
    harness.publish_upstream("i-1", draining=True)
    network.refusing.add("i-1")
    suspect(harness, upstream)
    network.run(DRAIN_FINISHING_S - 0.1)
    assert network.broken == []
    network.run(0.5)
    assert len(network.broken) == 1


# A burst fills the link of a server: its packets wait up to half a second, but its answers arrive.
def test_an_upstream_whose_answers_wait_in_a_queue_keeps_its_flows(harness, network):
    harness.publish_upstream("i-1")
    harness.publish_upstream("i-2")
    upstream, port = harness.open_flow()
    network.delays_s = {upstream.entry.id: 0.45}
    for number in range(1, 10):
        harness.send(create_packet(port=port, mark=upstream.mark, acknowledged=900 * number))
        suspect(harness, upstream)
        network.run(0.45)
    assert network.broken == []


# The machine of a busy server loses its power: the proof waits little for its last answers.
def test_an_upstream_that_has_just_answered_and_is_silent_is_found_out(harness, network):
    harness.publish_upstream("i-1")
    harness.publish_upstream("i-2")
    upstream, port = harness.open_flow()
    harness.send(create_packet(port=port, mark=upstream.mark, acknowledged=900))
    network.delays_s = {upstream.entry.id: NEVER_S}
    send_data(harness, upstream, port, acknowledged=900)
    network.run(0.7)
    assert upstream.is_unreachable
    assert len(network.broken) == 1


# A domain with many upstreams is suspected at once.
def test_many_probes_at_once_make_no_living_upstream_unreachable(harness, network):
    upstreams = [harness.publish_upstream(f"i-{number}") for number in range(60)]
    for upstream in upstreams:
        suspect(harness, upstream)
    network.delays_s = {upstream.entry.id: 0.1 for upstream in upstreams}
    network.run(3.0)
    assert not any(upstream.is_unreachable for upstream in upstreams)


# A living upstream that answered its health check is used again.
def test_an_upstream_that_is_back_gets_openings_again(harness, network):
    upstream = harness.publish_upstream("i-1")
    make_unreachable(harness, network, upstream)
    network.run(CONTACT_S)
    assert harness.send_opening()[0] is upstream


# A domain is cut off: the probe of the control must not wait behind those of the domain.
@pytest.mark.parametrize("is_control_first", [True, False])
def test_a_cut_domain_with_many_upstreams_is_found_out(harness, network, is_control_first):
    if is_control_first:
        harness.publish_upstream("near")
    far = [harness.publish_upstream(f"i-{number}", domain=OTHER_DOMAIN) for number in range(40)]
    harness.publish_upstream("near")
    for upstream in far:
        network.delays_s[upstream.entry.id] = NEVER_S
        suspect(harness, upstream)
    network.run(1.5)
    assert all(upstream.is_unreachable for upstream in far)


# Machines lose their power together, and the living upstreams serve callers of other entries.
@pytest.mark.parametrize(
    ("dead", "living_domain"),
    [(2, OWN_DOMAIN), (2, OTHER_DOMAIN), (20, OWN_DOMAIN), (40, OTHER_DOMAIN)],
)
def test_upstreams_that_died_together_are_not_each_others_control(
    harness, network, dead, living_domain
):
    upstreams = [harness.publish_upstream(f"i-{number}") for number in range(dead)]
    for number in range(5):
        harness.publish_upstream(f"idle-{number}", domain=living_domain)
    for port, upstream in enumerate(upstreams, 1024):
        send_data(harness, upstream, port)
        send_data(harness, upstream, port, acknowledged=900, sequence=900)
        network.delays_s[upstream.entry.id] = NEVER_S
    for _ in range(10):
        for port, upstream in enumerate(upstreams, 1024):
            send_data(harness, upstream, port, acknowledged=900, sequence=900)
        network.run(0.2)
    assert all(upstream.is_unreachable for upstream in upstreams)
    assert len(network.broken) == dead
