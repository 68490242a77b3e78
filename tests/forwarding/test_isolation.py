"""A cut failure domain whose own upstreams may not serve sends its callers elsewhere.

The pattern is that of docs/incidents/2026-12-mtc-vault.md: operators have taken the upstreams of a
domain out, and then it is cut off, while callers still reach its entries.
"""

import pytest

from chicoryproxy.forwarding.isolation import MIN_REFUSED, WINDOW_S, IsolationDetector
from chicoryproxy.forwarding.model import Mark, Refusal, Revision
from chicoryproxy.forwarding.peering import CUT_OFF_S, PeerGroup
from chicoryproxy.forwarding.peermessages import Heartbeat, PeerAddress
from tests.forwarding.world import ARCHIVE, ARCHIVE_ROUTE, OTHER, OWN

OWN_INDEX, OTHER_INDEX = 1, 0


class Entry:
    """A core with its peers and the detector."""

    def __init__(self, world):
        self.world = world
        self.peers = PeerGroup(PeerAddress(1, OWN_INDEX), [], 1, world.now)
        forwarder = world.forwarder
        self.detector = IsolationDetector(
            OWN, world.directory, self.peers, forwarder.policy, forwarder.demand
        )

    def hear(self, host, domain):
        """Take a heartbeat."""
        beat = Heartbeat(PeerAddress(host, domain), Revision(1), 0.0, False, (), (Mark(1),), ())
        self.peers.take_heartbeat(beat, Revision(1), self.world.now)

    def tick(self):
        """Let the detector look."""
        self.detector.tick(self.world.now)
        return self.detector.is_isolated

    def refuse(self, count=MIN_REFUSED):
        """Open flows that find no upstream."""
        for _ in range(count):
            assert self.world.open()[0] is Refusal.NO_UPSTREAM


@pytest.fixture
def entry(world):
    """An entry that has heard another domain, with upstreams here and there."""
    entry = Entry(world)
    world.list("i-own", domain=OWN)
    world.list("i-other", domain=OTHER)
    entry.hear(2, OTHER_INDEX)
    return entry


def cut_off(entry):
    """Cut the domain off: peers fall silent, upstreams elsewhere are out of reach."""
    entry.world.find("i-other").is_unreachable = True
    entry.world.advance(CUT_OFF_S + 0.1)


def test_callers_of_a_cut_domain_without_upstreams_are_sent_elsewhere(entry):
    entry.world.take_out(OWN)
    cut_off(entry)
    entry.refuse()
    assert entry.tick()
    # No caller comes any more, and the answer stays the same.
    entry.world.advance(WINDOW_S * 3)
    assert entry.tick()


def test_a_cut_domain_that_serves_its_callers_keeps_them(entry):
    cut_off(entry)
    assert entry.world.open()[0].entry.id == "i-own"
    assert not entry.tick()


def test_a_domain_that_is_not_cut_off_keeps_its_callers(entry):
    """All upstreams have failed: entries elsewhere would not serve either."""
    entry.world.take_out(OWN)
    cut_off(entry)
    entry.hear(2, OTHER_INDEX)
    entry.refuse()
    assert not entry.tick()


def test_silent_peers_alone_prove_no_cut(entry):
    entry.world.take_out(OWN)
    entry.world.advance(CUT_OFF_S + 0.1)
    assert entry.world.open()[0].entry.id == "i-other"
    assert not entry.tick()


def test_entries_that_never_heard_another_domain_keep_their_callers(world):
    entry = Entry(world)
    entry.hear(2, OWN_INDEX)
    world.advance(CUT_OFF_S + 0.1)
    entry.refuse()
    assert not entry.tick()


def test_few_refusals_among_served_openings_change_nothing(entry):
    """One of two services has no upstream here; the flows of the other one would move too."""
    world = entry.world
    world.list("i-archive", service=ARCHIVE, domain=OWN)
    world.find("i-own").is_unreachable = True
    cut_off(entry)
    for _ in range(MIN_REFUSED + 2):
        world.open(ARCHIVE_ROUTE)
    entry.refuse(MIN_REFUSED)
    assert not entry.tick()
    entry.refuse(MIN_REFUSED)
    assert entry.tick()


def test_callers_come_back_when_the_cut_heals(entry):
    entry.world.take_out(OWN)
    cut_off(entry)
    entry.refuse()
    assert entry.tick()
    entry.hear(2, OTHER_INDEX)
    assert not entry.tick()


def test_callers_come_back_when_the_own_domain_is_brought_back(entry):
    entry.world.take_out(OWN)
    cut_off(entry)
    entry.refuse()
    assert entry.tick()
    entry.world.bring_back(OWN)
    entry.world.advance(5.0)
    assert not entry.tick()
