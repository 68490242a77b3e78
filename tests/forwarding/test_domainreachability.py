"""Partition of a failure domain with many upstreams, detected with a few probes.

A thousand entries watch thousands of upstreams, so that the probes of an entry must not grow with
the domain, and neither must the time until callers are sent elsewhere.
"""

import pytest

from chicoryproxy.forwarding.health.domainreachability import MIN_SAMPLE_INTERVAL_S, SAMPLE_SIZE
from chicoryproxy.forwarding.health.reachability import RECHECK_MAX_S, TIMEOUTS_TO_CONFIRM
from chicoryproxy.forwarding.model import Refusal
from chicoryproxy.node.probe import CONNECT_TIMEOUT_S
from tests.forwarding.harness import OTHER_DOMAIN, OWN_DOMAIN, create_packet
from tests.forwarding.probenetwork import NEVER_S, TICK_S

THIRD_DOMAIN = "port-klang"
DOMAIN_SIZE = 400
DETECTION_S = (TIMEOUTS_TO_CONFIRM + 1) * (CONNECT_TIMEOUT_S + TICK_S)
"""Time until a partition is detected: the timeouts of the first upstream, then of the sample."""


@pytest.fixture
def far(harness):
    """Many upstreams in a domain of their own, after one in a third domain."""
    harness.publish_upstream("near", domain=THIRD_DOMAIN)
    return [
        harness.publish_upstream(f"i-{number}", domain=OTHER_DOMAIN)
        for number in range(DOMAIN_SIZE)
    ]


def cut_off(network, upstreams):
    """Let all connections to upstreams time out."""
    network.delays_s.update({upstream.entry.id: NEVER_S for upstream in upstreams})


def suspect(harness, upstream):
    """Request a probe, as a repeated packet does."""
    harness.forwarder.reachability.suspect(upstream, harness.now)


def test_a_dead_upstream_costs_few_probes_of_its_domain(harness, network, far):
    cut_off(network, far[:1])
    suspect(harness, far[0])
    network.run(MIN_SAMPLE_INTERVAL_S)
    assert far[0].is_unreachable
    # Besides its own probes there is one control for each, and one sample.
    assert network.probes <= 2 * (TIMEOUTS_TO_CONFIRM + 1) + SAMPLE_SIZE
    assert not harness.forwarder.policy.is_domain_avoided(OTHER_DOMAIN)


def test_openings_leave_a_partitioned_domain_after_the_first_timeouts(harness, network, far):
    for _ in range(20):
        harness.open_flow()
    cut_off(network, far)
    suspect(harness, far[0])
    network.run(DETECTION_S)
    chosen = {harness.send_opening()[0].entry.domain for _ in range(DOMAIN_SIZE)}
    assert chosen == {THIRD_DOMAIN}


def test_flows_to_a_partitioned_domain_are_reset_and_no_other_upstream_is_probed(
    harness, network, far
):
    used = []
    for port, upstream in enumerate(far[:30], 1024):
        packet = create_packet(port=port, mark=upstream.mark, acknowledged=1)
        used.append(harness.send(packet))
    cut_off(network, far)
    suspect(harness, far[0])
    network.run(1.5 * MIN_SAMPLE_INTERVAL_S)
    assert all(upstream.is_unreachable for upstream in used)
    assert len(network.broken) == len(used)
    assert sum(upstream.is_unreachable for upstream in far) <= len(used) + 2 * SAMPLE_SIZE


def test_a_domain_is_used_again_soon_after_its_partition(harness, network, far):
    cut_off(network, far)
    suspect(harness, far[0])
    network.run(3.0)
    assert harness.forwarder.policy.is_domain_avoided(OTHER_DOMAIN)
    network.delays_s.clear()
    network.run(MIN_SAMPLE_INTERVAL_S + 2 * TICK_S)
    assert not harness.forwarder.policy.is_domain_avoided(OTHER_DOMAIN)


def test_all_upstreams_of_a_domain_are_used_again_soon_after_its_partition(harness, network, far):
    """Healed partition: what stays excluded would leave its load to the few that were unknown."""
    cut_off(network, far)
    for upstream in far[:20]:
        suspect(harness, upstream)
    network.run(2.0 * RECHECK_MAX_S)
    assert sum(upstream.is_unreachable for upstream in far) >= 20
    network.delays_s.clear()
    network.run(MIN_SAMPLE_INTERVAL_S + 4 * TICK_S)
    assert not any(upstream.is_unreachable for upstream in far)


# Several upstreams of a domain lose their power together, the others serve their callers.
def test_answers_of_a_domain_show_that_it_is_not_partitioned(harness, network, far):
    cut_off(network, far[: SAMPLE_SIZE + 2])
    for step in range(10):
        for upstream in far[: SAMPLE_SIZE + 2]:
            suspect(harness, upstream)
        packet = create_packet(port=9, mark=far[-1].mark, acknowledged=1 + 100 * step)
        harness.send(packet)
        network.run(2 * TICK_S)
    assert all(upstream.is_unreachable for upstream in far[: SAMPLE_SIZE + 2])
    assert not harness.forwarder.policy.is_domain_avoided(OTHER_DOMAIN)


def test_an_avoided_domain_is_used_if_there_is_no_other(harness, network, far):
    """The detection may be wrong, and an opening that is forwarded costs nothing."""
    harness.remove_upstream("near")
    harness.publish_upstream("control", domain=OWN_DOMAIN, draining=True)
    cut_off(network, far)
    suspect(harness, far[0])
    network.run(DETECTION_S)
    assert harness.send_opening()[0] is not Refusal.NO_UPSTREAM


# Heartbeats of other domains are rare in a large fleet, and a gap looks like a partition.
def test_other_domains_are_sampled_only_if_one_is_unreachable(harness, network, far):
    harness.forwarder.failures.sample_other_domains((OTHER_DOMAIN, THIRD_DOMAIN), harness.now)
    network.run(MIN_SAMPLE_INTERVAL_S)
    assert network.probes == 0


# Hundreds of entries know of a dead upstream; its registration changes several times as it goes.
def test_the_end_of_an_unused_upstream_leads_to_no_probe(harness, network, far):
    cut_off(network, far[:1])
    suspect(harness, far[0])
    network.run(4 * RECHECK_MAX_S)
    before = network.probes
    while network.probes == before:
        network.run(TICK_S)
    network.run(RECHECK_MAX_S / 2)
    before = network.probes
    harness.remove_upstream(far[0].entry.id)
    assert harness.forwarder.failures.handle_phase_change(far[0], harness.now) == []
    network.run(RECHECK_MAX_S / 4)
    assert network.probes == before
