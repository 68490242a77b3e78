"""Loads of peers are added up from their heartbeats, and expire."""

from hypothesis import given
from hypothesis import strategies as st

from chicoryproxy.forwarding.balancing.peerloads import LOAD_AGE_S, PeerLoads
from chicoryproxy.forwarding.model import Mark, Revision
from chicoryproxy.forwarding.peers.peering import PeerGroup
from chicoryproxy.forwarding.peers.peermessages import Heartbeat, LoadReport, PeerAddress

MARKS = [Mark(1), Mark(2), Mark(3)]

reports = st.lists(
    st.builds(LoadReport, st.sampled_from(MARKS), st.integers(0, 9), st.integers(0, 3)),
    max_size=3,
    unique_by=lambda load: load.mark,
)


def create_heartbeat(host, loads):
    """Create the heartbeat of a peer that reports loads."""
    return Heartbeat(PeerAddress(host, 0), Revision(1), 0.0, False, tuple(loads), (), ())


def test_loads_of_two_peers_add_up():
    peers = PeerLoads()
    for host in (1, 2):
        peers.handle_heartbeat(create_heartbeat(host, [LoadReport(MARKS[0], 10, 2)]), 1.0)
    assert peers.get(MARKS[0]) == LoadReport(MARKS[0], 20, 4)
    assert peers.get(MARKS[1]) is None


def test_loads_of_a_peer_without_heartbeats_expire():
    peers = PeerLoads()
    peers.handle_heartbeat(create_heartbeat(1, [LoadReport(MARKS[0], 10, 2)]), 1.0)
    peers.handle_heartbeat(create_heartbeat(2, [LoadReport(MARKS[0], 5, 0)]), 2.0)
    peers.expire(1.1 + LOAD_AGE_S)
    assert peers.get(MARKS[0]) == LoadReport(MARKS[0], 5, 0)
    peers.expire(2.1 + LOAD_AGE_S)
    assert peers.get(MARKS[0]) is None


@given(st.lists(st.tuples(st.integers(1, 4), reports), max_size=20))
def test_totals_are_the_sum_of_the_last_reports(beats):
    peers = PeerLoads()
    last = {}
    for host, loads in beats:
        last[host] = loads
        peers.handle_heartbeat(create_heartbeat(host, loads), 1.0)
    for mark in MARKS:
        known = [load for loads in last.values() for load in loads if load.mark == mark]
        flows = sum(load.flows for load in known)
        waiting = sum(load.waiting for load in known)
        expected = LoadReport(mark, flows, waiting) if flows or waiting else None
        assert peers.get(mark) == expected


def test_a_discovery_reply_reports_the_loads_of_its_sender():
    """Entry restarted under load: the reply is no report of zero load."""
    load = LoadReport(MARKS[0], 10, 2)
    sender, receiver = (PeerGroup(PeerAddress(host, 0), (), 1, 0.0) for host in (1, 2))
    reply = sender.create_discovery_reply(Revision(1), (load,), 1.0)
    receiver.handle_heartbeat(reply, Revision(1), 1.0, 1.0)
    assert receiver.loads.get(MARKS[0]) == load
