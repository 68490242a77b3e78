"""Callers of a partitioned failure domain without usable upstreams are sent to other domains.

Regression tests for docs/incidents/2026-12-mtc-vault.md: operators took the upstreams of a domain
out of service, and then the domain was partitioned while callers still reached its entries.
"""

import pytest

from chicoryproxy.forwarding.isolation import MIN_REFUSED, WINDOW_S, IsolationDetector
from chicoryproxy.forwarding.model import Mark, Refusal, Revision
from chicoryproxy.forwarding.peering import PARTITION_TIMEOUT_S, PeerGroup
from chicoryproxy.forwarding.peermessages import Heartbeat, PeerAddress
from tests.forwarding.harness import ARCHIVE, ARCHIVE_ROUTE, OTHER_DOMAIN, OWN_DOMAIN

OWN_INDEX, OTHER_INDEX = 1, 0


class Entry:
    """A forwarding core with its peers and the detector."""

    def __init__(self, harness):
        self.harness = harness
        self.peers = PeerGroup(PeerAddress(1, OWN_INDEX), [], 1, harness.now)
        forwarder = harness.forwarder
        self.detector = IsolationDetector(
            OWN_DOMAIN, harness.directory, self.peers, forwarder.policy, forwarder.recent_openings
        )

    def receive_heartbeat(self, host, domain):
        """Process a heartbeat of a peer."""
        heartbeat = Heartbeat(
            PeerAddress(host, domain), Revision(1), 0.0, False, (), (Mark(1),), ()
        )
        self.peers.handle_heartbeat(heartbeat, Revision(1), self.harness.now)

    def tick(self):
        """Run the detector; return whether the entry is isolated."""
        self.detector.tick(self.harness.now)
        return self.detector.is_isolated

    def refuse(self, count=MIN_REFUSED):
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
    for _ in range(MIN_REFUSED + 2):
        harness.send_opening(ARCHIVE_ROUTE)
    entry.refuse(MIN_REFUSED)
    assert not entry.tick()
    entry.refuse(MIN_REFUSED)
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
