"""Openings at a cold upstream stay within its limit per second, summed over all entries."""

import pytest

from chicoryproxy.forwarding.balancing.coldstart import DomainShare
from chicoryproxy.forwarding.model import Bounds, Refusal
from chicoryproxy.forwarding.view.lifetime import Lifetime
from tests.forwarding.harness import OTHER_DOMAIN, OWN_DOMAIN, ForwarderHarness


def create_fleet(entries, cold_per_s, share_size=None):
    """Create the entries of one failure domain, which all know the same cold upstream."""
    fleet = []
    for rank in range(entries):
        harness = ForwarderHarness()
        harness.publish_routing(1, cold_per_s=cold_per_s)
        harness.publish_upstream("i-1", cold_s=30.0)
        harness.forwarder.cold_budget.share = DomainShare(rank, share_size or entries)
        fleet.append(harness)
    return fleet


@pytest.mark.parametrize("entries", [1, 3, 4, 10, 30])
@pytest.mark.parametrize("cold_per_s", [0.0, 4.0, 20.0])
def test_openings_of_all_entries_at_a_cold_upstream_stay_within_the_limit(entries, cold_per_s):
    """Cold restart: every entry of the domain has callers waiting for the only upstream."""
    fleet = create_fleet(entries, cold_per_s)
    bounds = Bounds()
    opened = []
    for step in range(400):
        for harness in fleet:
            harness.now = 100.0 + step * 0.01
            harness.forwarder.pause.tick(True, harness.now)
            decision, _ = harness.send_opening()
            if isinstance(decision, Lifetime):
                opened.append(harness.now)
    limit = cold_per_s * bounds.cold_overage + bounds.cold_slack
    busiest = max(sum(1 for item in opened if start <= item < start + 1.0) for start in opened)
    assert busiest <= limit
    assert busiest >= 1


def test_an_entry_of_another_domain_opens_no_flow_at_a_cold_upstream(harness):
    harness.publish_upstream("i-1", domain=OTHER_DOMAIN, cold_s=10.0)
    assert harness.send_opening()[0] is Refusal.NO_UPSTREAM


def test_a_warm_upstream_is_preferred_to_a_cold_one(harness):
    harness.publish_upstream("i-1", domain=OWN_DOMAIN, cold_s=10.0)
    harness.publish_upstream("i-2", domain=OTHER_DOMAIN)
    for _ in range(5):
        assert harness.send_opening()[0].entry.id == "i-2"


def test_an_upstream_is_warm_after_its_cold_time(harness):
    harness.publish_upstream("i-1", domain=OTHER_DOMAIN, cold_s=2.0)
    harness.advance(2.1)
    assert harness.send_opening()[0].entry.id == "i-1"
