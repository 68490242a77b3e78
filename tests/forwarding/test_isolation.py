"""Callers of a partitioned failure domain without usable upstreams are sent to other domains.

Regression tests for docs/incidents/2026-12-mtc-vault.md: operators took the upstreams of a domain
out of service, and then the domain was partitioned while callers still reached its entries.
"""

import pytest

from chicoryproxy.forwarding.health.isolation import (
    ANSWER_VALID_S,
    REROUTING_S,
    WINDOW_S,
    IsolationDetector,
)
from chicoryproxy.forwarding.model import Drop, Mark, Refusal, Revision
from chicoryproxy.forwarding.peers.peering import (
    ISOLATION_REPORT_VALID_S,
    PARTITION_TIMEOUT_S,
    PeerGroup,
)
from chicoryproxy.forwarding.peers.peermessages import Heartbeat, PeerAddress
from tests.forwarding.harness import ARCHIVE, ARCHIVE_ROUTE, OTHER_DOMAIN, OWN_DOMAIN
from tests.forwarding.probenetwork import NEVER_S

OWN_INDEX, OTHER_INDEX = 1, 0
REFUSED = 3
LARGE_DOMAIN = 400


class Entry:
    """A forwarding core with its peers and the detector."""

    def __init__(self, harness):
        self.harness = harness
        self.peers = PeerGroup(PeerAddress(1, OWN_INDEX), [], 1, harness.now)
        forwarder = harness.forwarder
        self.detector = IsolationDetector(
            OWN_DOMAIN, harness.directory, self.peers, forwarder.policy, forwarder.recent_openings
        )

    def receive_heartbeat(self, host, domain, is_isolated=False):
        """Process a heartbeat of a peer."""
        heartbeat = Heartbeat(
            PeerAddress(host, domain), Revision(1), 0.0, False, (), (Mark(1),), (), is_isolated
        )
        self.peers.handle_heartbeat(heartbeat, Revision(1), self.harness.now, self.harness.now)

    def tick(self):
        """Run the detector as the process does; return whether the entry is isolated."""
        now = self.harness.now
        self.detector.tick(now)
        self.harness.forwarder.is_rerouting = self.detector.is_rerouting(now)
        return self.detector.is_isolated

    def refuse(self, count=REFUSED):
        """Send openings that find no upstream."""
        for _ in range(count):
            assert self.harness.send_opening()[0] is Refusal.NO_UPSTREAM


@pytest.fixture
def entry(harness):
    """An entry that has got a heartbeat of another domain, with upstreams in both."""
    entry = Entry(harness)
    harness.publish_upstream("i-own", domain=OWN_DOMAIN)
    harness.publish_upstream("i-other", domain=OTHER_DOMAIN)
    entry.receive_heartbeat(2, OTHER_INDEX)
    return entry


def partition(entry):
    """Partition the domain: heartbeats stop, and upstreams of other domains are unreachable."""
    entry.harness.find_upstream("i-other").is_unreachable = True
    entry.harness.advance(PARTITION_TIMEOUT_S + 0.1)


def test_a_partitioned_domain_without_upstreams_is_isolated(entry):
    entry.harness.take_domain_out(OWN_DOMAIN)
    partition(entry)
    entry.refuse()
    assert entry.tick()
    # Without further openings the entry stays isolated.
    entry.harness.advance(WINDOW_S * 3)
    assert entry.tick()


def test_a_partitioned_domain_that_serves_its_callers_is_not_isolated(entry):
    partition(entry)
    assert entry.harness.send_opening()[0].entry.id == "i-own"
    assert not entry.tick()


def test_a_domain_that_is_not_partitioned_is_not_isolated(entry):
    """All upstreams have failed: entries of other domains could not serve either."""
    entry.harness.take_domain_out(OWN_DOMAIN)
    partition(entry)
    entry.receive_heartbeat(2, OTHER_INDEX)
    entry.refuse()
    assert not entry.tick()


def test_missing_heartbeats_alone_do_not_isolate(entry):
    entry.harness.take_domain_out(OWN_DOMAIN)
    entry.harness.advance(PARTITION_TIMEOUT_S + 0.1)
    assert entry.harness.send_opening()[0].entry.id == "i-other"
    assert not entry.tick()


def test_an_entry_that_never_heard_another_domain_is_not_isolated(harness):
    entry = Entry(harness)
    entry.receive_heartbeat(2, OWN_INDEX)
    harness.advance(PARTITION_TIMEOUT_S + 0.1)
    entry.refuse()
    assert not entry.tick()


def test_few_refusals_among_served_openings_do_not_isolate(entry):
    """One of two services has no upstream here; isolation would also move the other's flows."""
    harness = entry.harness
    harness.publish_upstream("i-archive", service=ARCHIVE, domain=OWN_DOMAIN)
    harness.find_upstream("i-own").is_unreachable = True
    partition(entry)
    for _ in range(REFUSED + 2):
        harness.send_opening(ARCHIVE_ROUTE)
    entry.refuse(REFUSED)
    assert not entry.tick()
    entry.refuse(REFUSED)
    assert entry.tick()


def test_isolation_ends_when_the_partition_heals(entry):
    entry.harness.take_domain_out(OWN_DOMAIN)
    partition(entry)
    entry.refuse()
    assert entry.tick()
    entry.receive_heartbeat(2, OTHER_INDEX)
    assert not entry.tick()


def test_isolation_ends_when_the_own_domain_is_brought_back(entry):
    entry.harness.take_domain_out(OWN_DOMAIN)
    partition(entry)
    entry.refuse()
    assert entry.tick()
    entry.harness.bring_domain_back(OWN_DOMAIN)
    entry.harness.advance(5.0)
    assert not entry.tick()


def test_no_opening_has_to_fail_before_the_domain_is_isolated(entry):
    """Large fleet: an entry gets one opening in several seconds."""
    entry.harness.send_opening()
    entry.harness.take_domain_out(OWN_DOMAIN)
    partition(entry)
    assert entry.tick()


# An entry that restarted during the partition reported ready, and so all callers stayed there.
def test_an_entry_that_starts_in_an_isolated_domain_believes_its_peers(harness):
    harness.publish_upstream("i-other", domain=OTHER_DOMAIN)
    entry = Entry(harness)
    entry.receive_heartbeat(2, OWN_INDEX, is_isolated=True)
    assert entry.tick()
    assert not entry.detector.has_evidence
    harness.advance(ISOLATION_REPORT_VALID_S)
    assert not entry.tick()


def test_an_entry_that_hears_another_domain_does_not_believe_its_peers(entry):
    entry.receive_heartbeat(3, OWN_INDEX, is_isolated=True)
    assert not entry.tick()


def test_an_entry_whose_openings_are_answered_does_not_believe_its_peers(entry):
    partition(entry)
    entry.receive_heartbeat(3, OWN_INDEX, is_isolated=True)
    entry.harness.open_flow()
    assert not entry.tick()
    entry.harness.advance(ANSWER_VALID_S)
    assert entry.tick()


def test_isolation_that_is_only_believed_is_not_passed_on(harness):
    """Otherwise two entries could keep each other's report alive for ever."""
    entry = Entry(harness)
    entry.receive_heartbeat(2, OWN_INDEX, is_isolated=True)
    assert entry.tick()
    heartbeat = entry.peers.create_heartbeat(
        Revision(1), False, (), (), harness.now, entry.detector.has_evidence
    )
    assert not heartbeat.is_isolated


def test_openings_are_dropped_until_the_routers_have_moved_the_callers(entry):
    """Their retransmissions reach another domain; a reset would use up their retries here."""
    entry.harness.take_domain_out(OWN_DOMAIN)
    partition(entry)
    entry.refuse()
    assert entry.tick()
    assert entry.harness.send_opening()[0] is Drop.REROUTING
    entry.harness.advance(REROUTING_S)
    assert entry.tick()
    entry.refuse()


def test_a_large_fleet_is_found_unreachable_in_a_second(entry, network):
    """Hundreds of upstreams in other domains: a sample of each is enough."""
    harness = entry.harness
    for number in range(LARGE_DOMAIN):
        name = f"far-{number}"
        harness.publish_upstream(name, domain=OTHER_DOMAIN)
        network.delays_s[name] = NEVER_S
    network.delays_s["i-other"] = NEVER_S
    harness.take_domain_out(OWN_DOMAIN)
    harness.send_opening()
    network.run(PARTITION_TIMEOUT_S)
    for _ in range(10):
        network.run(0.05)
        harness.forwarder.failures.sample_other_domains((OWN_DOMAIN, OTHER_DOMAIN), harness.now)
    assert entry.tick()
