"""The view of an entry that learns changes from peers."""

import socket

import pytest

from chicoryproxy.forwarding.hosts import parse_host
from chicoryproxy.forwarding.model import (
    Bounds,
    Change,
    EntrySettings,
    Revision,
    UpstreamListed,
    UpstreamPhase,
    UpstreamUnlisted,
)
from chicoryproxy.forwarding.peermessages import ChangesReply, Heartbeat, PeerAddress
from chicoryproxy.forwarding.readerpolicy import MAX_BEHIND_S
from chicoryproxy.forwarding.replica import get_upstream_key
from chicoryproxy.ids import DomainId, InstanceId, RegionId, UpstreamId
from chicoryproxy.model import Endpoint
from chicoryproxy.node.journal import Journal
from chicoryproxy.node.peers import ChangesServer
from chicoryproxy.node.view import HEARTBEAT_INTERVAL_S, TrafficReports, View
from tests.forwarding.harness import OWN_DOMAIN, ForwarderHarness
from tests.node.fakestore import HOST, pick_port, run_until


class NoTraffic(TrafficReports):
    """Traffic data of an entry without traffic."""

    def list_upstream_loads(self):
        """Return no loads."""
        return ()

    def list_ramps(self):
        return ()

    def handle_ramps(self, heartbeat):
        pass

    def list_unreachable(self):
        """Return no upstreams."""
        return ()

    def has_isolation_evidence(self):
        """Return False."""
        return False

    def handle_unreachable(self, marks):
        """Return that there is no news."""
        return False


@pytest.fixture
def view(loop, store, tmp_path):
    """A view that has not been started."""
    with (tmp_path / "log").open("wb") as log:
        port = pick_port()
        settings = EntrySettings(
            InstanceId("entry-1"),
            DomainId(OWN_DOMAIN),
            {DomainId(OWN_DOMAIN): RegionId("loop")},
            Endpoint(HOST, 1),
            Endpoint(HOST, 2),
            Endpoint(HOST, port),
            Endpoint(HOST, 3),
            (),
            store.address,
            1000,
            False,
            Bounds(),
        )
        journal = Journal("entry-1", lambda: 0.0, loop.read_clock, log.fileno())
        view = View(loop, settings, journal, lambda belief: None, NoTraffic(), 1)
        yield view
        view.stop()


def merge(view, fact, name, revision, confirmed_s):
    """Merge a change into the view as if a peer had sent it."""
    change = Change(get_upstream_key(UpstreamId(name)), Revision(revision), fact)
    view._merge([change], Revision(revision), view.replica.synced)
    view._note_confirmation(confirmed_s)


@pytest.mark.parametrize(("silence_s", "may_have_expired"), [(0.5, False), (4.0, True)])
def test_entries_that_vanished_in_an_outage_may_have_lapsed(
    loop, view, silence_s, may_have_expired
):
    """Records may lapse in a store outage, which an entry that doesn't read it has to infer."""
    now = loop.read_clock()
    entry = ForwarderHarness().publish_upstream("i-1").entry
    merge(view, UpstreamListed(entry), "i-1", 1, now - silence_s)
    merge(view, UpstreamUnlisted(UpstreamId("i-1")), "i-1", 2, now)
    (lifetime,) = view.directory.iterate_present()
    assert lifetime.phase is UpstreamPhase.MISSING
    assert view.directory.may_have_expired(lifetime, loop.read_clock()) is may_have_expired


# DRAIN: an entry that learns late of a drain opened at the upstream for as long as one that learns
# at once.
def test_a_drain_may_have_begun_when_the_view_was_last_confirmed(loop, view):
    confirmed_s = loop.read_clock() - 2.0
    harness = ForwarderHarness()
    merge(view, UpstreamListed(harness.publish_upstream("i-1").entry), "i-1", 1, confirmed_s)
    draining = harness.publish_upstream("i-1", draining=True).entry
    merge(view, UpstreamListed(draining), "i-1", 2, loop.read_clock())
    assert view.directory.find_present(draining.id).leaving_since_s == confirmed_s


# CONFIG: an entry that can't reach the store asked the peer with the highest revision again and
# again for four seconds, although it didn't answer and others had the change.
def test_changes_come_from_another_peer_while_the_newest_one_is_silent(loop, view):
    port = view._settings.peers.port
    near, silent = (HOST.removesuffix("1") + last for last in "23")
    entry = ForwarderHarness().publish_upstream("i-1").entry
    change = Change(get_upstream_key(entry.id), Revision(30), UpstreamListed(entry))
    reply = ChangesReply((change,), Revision(30), 0.0, None, Revision(0))
    server = ChangesServer(loop, Endpoint(near, port), lambda request: reply)

    def send_heartbeats():
        for host, revision in ((silent, 31), (near, 30)):
            sender = PeerAddress(parse_host(host), 0)
            view._handle_heartbeat(Heartbeat(sender, Revision(revision), 0.0, False, (), (), ()))

    with socket.create_server((silent, port)):
        loop.call_repeatedly(lambda: HEARTBEAT_INTERVAL_S, send_heartbeats)
        run_until(loop, lambda: view.replica.synced == 30, deadline_s=MAX_BEHIND_S)
    server.close()
