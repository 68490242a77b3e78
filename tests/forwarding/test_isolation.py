"""A cut failure domain whose own upstreams may not serve sends its callers elsewhere.

The pattern is that of docs/incidents/2026-12-mtc-vault.md: operators have taken the upstreams of a
domain out, and then it is cut off, while callers still reach its entries.
"""

import pytest

from chicoryproxy.forwarding.isolation import MIN_REFUSED, WINDOW_S, IsolationDetector
from chicoryproxy.forwarding.model import Mark, Refusal, Revision
from chicoryproxy.forwarding.peering import PARTITION_TIMEOUT_S, PeerGroup
from chicoryproxy.forwarding.peermessages import Heartbeat, PeerAddress
from tests.forwarding.harness import ARCHIVE, ARCHIVE_ROUTE, OTHER, OWN

OWN_INDEX, OTHER_INDEX = 1, 0


class Entry:
    """A core with its peers and the detector."""

    def __init__(self, harness):
        self.harness = harness
        self.peers = PeerGroup(PeerAddress(1, OWN_INDEX), [], 1, harness.now)
        forwarder = harness.forwarder
        self.detector = IsolationDetector(
            OWN, harness.directory, self.peers, forwarder.policy, forwarder.recent_openings
        )

    def hear(self, host, domain):
        """Take a heartbeat."""
        beat = Heartbeat(PeerAddress(host, domain), Revision(1), 0.0, False, (), (Mark(1),), ())
        self.peers.handle_heartbeat(beat, Revision(1), self.harness.now)

    def tick(self):
        """Let the detector look."""
        self.detector.tick(self.harness.now)
        return self.detector.is_isolated

    def refuse(self, count=MIN_REFUSED):
        """Open flows that find no upstream."""
        for _ in range(count):
            assert self.harness.send_opening()[0] is Refusal.NO_UPSTREAM


@pytest.fixture
def entry(harness):
    """An entry that has heard another domain, with upstreams here and there."""
    entry = Entry(harness)
    harness.publish_upstream("i-own", domain=OWN)
    harness.publish_upstream("i-other", domain=OTHER)
    entry.hear(2, OTHER_INDEX)
    return entry


def cut_off(entry):
    """Cut the domain off: peers fall silent, upstreams elsewhere are out of reach."""
    entry.harness.find_upstream("i-other").is_unreachable = True
    entry.harness.advance(PARTITION_TIMEOUT_S + 0.1)


def test_callers_of_a_cut_domain_without_upstreams_are_sent_elsewhere(entry):
    entry.harness.take_domain_out(OWN)
    cut_off(entry)
    entry.refuse()
    assert entry.tick()
    # No caller comes any more, and the answer stays the same.
    entry.harness.advance(WINDOW_S * 3)
    assert entry.tick()


def test_a_cut_domain_that_serves_its_callers_keeps_them(entry):
    cut_off(entry)
    assert entry.harness.send_opening()[0].entry.id == "i-own"
    assert not entry.tick()


def test_a_domain_that_is_not_cut_off_keeps_its_callers(entry):
    """All upstreams have failed: entries elsewhere would not serve either."""
    entry.harness.take_domain_out(OWN)
    cut_off(entry)
    entry.hear(2, OTHER_INDEX)
    entry.refuse()
    assert not entry.tick()


def test_silent_peers_alone_prove_no_cut(entry):
    entry.harness.take_domain_out(OWN)
    entry.harness.advance(PARTITION_TIMEOUT_S + 0.1)
    assert entry.harness.send_opening()[0].entry.id == "i-other"
    assert not entry.tick()


def test_entries_that_never_heard_another_domain_keep_their_callers(harness):
    entry = Entry(harness)
    entry.hear(2, OWN_INDEX)
    harness.advance(PARTITION_TIMEOUT_S + 0.1)
    entry.refuse()
    assert not entry.tick()


def test_few_refusals_among_served_openings_change_nothing(entry):
    """One of two services has no upstream here; the flows of the other one would move too."""
    harness = entry.harness
    harness.publish_upstream("i-archive", service=ARCHIVE, domain=OWN)
    harness.find_upstream("i-own").is_unreachable = True
    cut_off(entry)
    for _ in range(MIN_REFUSED + 2):
        harness.send_opening(ARCHIVE_ROUTE)
    entry.refuse(MIN_REFUSED)
    assert not entry.tick()
    entry.refuse(MIN_REFUSED)
    assert entry.tick()


def test_callers_come_back_when_the_cut_heals(entry):
    entry.harness.take_domain_out(OWN)
    cut_off(entry)
    entry.refuse()
    assert entry.tick()
    entry.hear(2, OTHER_INDEX)
    assert not entry.tick()


def test_callers_come_back_when_the_own_domain_is_brought_back(entry):
    entry.harness.take_domain_out(OWN)
    cut_off(entry)
    entry.refuse()
    assert entry.tick()
    entry.harness.bring_domain_back(OWN)
    entry.harness.advance(5.0)
    assert not entry.tick()
