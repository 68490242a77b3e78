"""The view of an entry that learns changes from peers."""

import json
import socket
import time

import pytest

from chicoryproxy.forwarding.model import (
    Bounds,
    Change,
    DomainOut,
    EntrySettings,
    Revision,
    RoutingPublished,
    UpstreamListed,
    UpstreamPhase,
    UpstreamUnlisted,
)
from chicoryproxy.forwarding.peers.hosts import parse_host
from chicoryproxy.forwarding.peers.peermessages import (
    ChangesReply,
    ChangesRequest,
    Heartbeat,
    PeerAddress,
    encode_message,
)
from chicoryproxy.forwarding.view.directory import RETURN_GRACE_S
from chicoryproxy.forwarding.view.readerpolicy import MAX_BEHIND_S
from chicoryproxy.forwarding.view.replica import (
    ROUTING_KEY,
    get_domain_key,
    get_upstream_key,
)
from chicoryproxy.ids import DomainId, InstanceId, RegionId, UpstreamId, Version
from chicoryproxy.model import Endpoint
from chicoryproxy.node.journal import Journal
from chicoryproxy.node.peers import ChangesServer
from chicoryproxy.node.view import HEARTBEAT_INTERVAL_S, NewsSource, TrafficReports, View
from chicoryproxy.platform.store import Listing
from tests.forwarding.harness import OWN_DOMAIN, ForwarderHarness
from tests.forwarding.replicanode import ReplicaNode
from tests.forwarding.test_routingpatch import create_routing
from tests.node.fakestore import (
    HOST,
    create_config,
    create_server_entry,
    pick_port,
    run_until,
)


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
    view._merge([change], Revision(revision), view.replica.synced, NewsSource.PEER)
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


def run_for(loop, seconds):
    """Run an event loop for some time."""
    loop.call_later(seconds, loop.stop)
    loop.run()


# CONFIG: an entry that stood still read heartbeats from before as if they had just been sent, took
# its view for current, and told its peers so.
def test_a_heartbeat_that_waited_confirms_the_view_as_of_its_arrival(loop, view):
    run_for(loop, 0.15)
    heartbeat = Heartbeat(PeerAddress(parse_host(HOST) + 1, 0), Revision(0), 0.0, False, (), (), ())
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        sender.sendto(encode_message(heartbeat), (HOST, view._settings.peers.port))
    arrived_s = loop.read_clock()
    time.sleep(0.5)
    run_for(loop, 0.05)
    assert 0.0 < view.peers.confirmed_s <= arrived_s


# CONFIG: an answer of the store that waited while the entry stood still confirmed its view as of
# the moment at which it was read.
def test_an_answer_of_the_store_that_waited_confirms_the_view_as_of_its_arrival(loop, store, view):
    store.put("op/config", create_config(3))
    view.start()
    run_until(loop, lambda: view.is_confirmed)
    store.put("op/config", create_config(4))
    arrivals_s = []

    def stand_still():
        arrivals_s.append(loop.read_clock())
        time.sleep(0.5)

    store.on_reply = stand_still
    run_until(loop, lambda: view.directory.version == 4)
    assert view.peers.confirmed_s <= arrivals_s[0]


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


# CONFIG: entries that had passed over a version didn't ask peers for it, which had their revision.
def test_a_version_comes_from_a_peer_with_the_same_revision(loop, view):
    routings = {version: create_routing(version, {1: version, 2: 1, 3: 1}) for version in (1, 3)}
    peer = ReplicaNode()
    for version in (1, 3):
        peer.publish(routings[version], version)
    published = Change(ROUTING_KEY, Revision(1), RoutingPublished(routings[1]))
    view._merge([published], Revision(3), Revision(1), NewsSource.WATCH)
    near, port = HOST.removesuffix("1") + "2", view._settings.peers.port
    server = ChangesServer(
        loop, Endpoint(near, port), lambda request: peer.exchange.create_reply(request, 0.0)
    )
    heartbeat = Heartbeat(
        PeerAddress(parse_host(near), 0),
        Revision(3),
        0.0,
        False,
        (),
        (),
        (),
        version=peer.exchange.get_version(),
    )
    view._handle_heartbeat(heartbeat)
    assert not view.peers.confirmed_s > 0
    run_until(loop, lambda: view.directory.version == 3)
    server.close()


# DRAIN: while versions come in quick succession, replies came with patches of former versions; all
# that these replies held was discarded, with the drains.
@pytest.mark.parametrize("known_version", [3, 7])
def test_a_reply_with_an_unfit_patch_brings_all_other_changes(view, known_version):
    routings = {version: create_routing(version, {1: version, 2: 1, 3: 1}) for version in (1, 3, 7)}
    peer = ReplicaNode()
    peer.publish(routings[1], 1)
    request = ChangesRequest(Revision(1), Version(1))
    peer.publish(routings[7], 7)
    entry = ForwarderHarness().publish_upstream("i-1", draining=True).entry
    drain = Change(get_upstream_key(entry.id), Revision(8), UpstreamListed(entry))
    peer.watch([drain], 8)
    reply = peer.exchange.create_reply(request, 0.0)
    published = Change(
        ROUTING_KEY, Revision(known_version), RoutingPublished(routings[known_version])
    )
    view._merge([published], Revision(known_version), Revision(1), NewsSource.PEER)
    view._handle_reply(request, reply, Endpoint(HOST, 1))
    assert view.directory.find_present(entry.id).is_leaving
    assert view.replica.synced == known_version
    assert view.directory.version == known_version


class RestoredStore:
    """A store with an upstream, a version and a domain that is out; it comes back without some.

    :ivar view: a view that has read all of it.
    """

    def __init__(self, loop, store, view):
        self.view = view
        self._store = store
        self._copies = {}
        store.put("op/config", create_config(3))
        self._copies["without the upstream"] = store.copy()
        store.put("servers/i-0001", create_server_entry(zone=OWN_DOMAIN))
        self._copies["without the domain"] = store.copy()
        store.put(f"op/evacuate/{OWN_DOMAIN}", {})
        self._copies["without the drain"] = store.copy()
        store.put(
            "servers/i-0001",
            create_server_entry(zone=OWN_DOMAIN, State="draining", Sequence=9),
        )
        store.put("op/config", create_config(5))
        view.start()
        run_until(loop, lambda: view.is_complete and view.directory.version == 5)

    def restore(self, name):
        """Come back from one of the copies."""
        self._store.restore(self._copies[name])


@pytest.fixture
def restored(loop, store, view):
    """A store that a view has read, before it is restored."""
    return RestoredStore(loop, store, view)


# CONFIG: versions and evacuations that were acknowledged after the store came back were not seen.
def test_a_version_that_is_published_after_a_restore_is_applied(loop, store, restored):
    restored.restore("without the upstream")
    store.put("op/config", create_config(8))
    run_until(loop, lambda: restored.view.directory.version == 8)
    assert restored.view.is_complete


def test_the_newest_version_stays_in_force_while_a_restored_store_has_an_older_one(
    loop, store, restored
):
    restored.restore("without the upstream")
    former = restored.view.replica.synced
    run_until(loop, lambda: restored.view.replica.synced > former)
    assert restored.view.directory.version == 5


def test_a_domain_stays_out_while_a_restored_store_may_have_lost_it(loop, store, restored):
    """EVAC: openings would go there until operators have written it again."""
    restored.restore("without the domain")
    former = restored.view.replica.synced
    run_until(loop, lambda: restored.view.replica.synced > former)
    assert restored.view.directory.is_domain_out(DomainId(OWN_DOMAIN))
    restored.view.expire(loop.read_clock() + RETURN_GRACE_S)
    assert not restored.view.directory.is_domain_out(DomainId(OWN_DOMAIN))


def test_an_upstream_that_leaves_does_so_also_if_a_restored_store_has_lost_it(
    loop, store, restored
):
    """DRAIN: its registration from before the drain is older by its sequence number."""
    restored.restore("without the drain")
    former = restored.view.replica.synced
    run_until(loop, lambda: restored.view.replica.synced > former)
    (lifetime,) = restored.view.directory.iterate_present()
    assert lifetime.is_leaving


def test_an_upstream_that_has_left_is_not_restored_with_the_store(loop, store, restored):
    store.delete("servers/i-0001")
    run_until(loop, lambda: not list(restored.view.directory.iterate_present()))
    restored.restore("without the drain")
    former = restored.view.replica.synced
    run_until(loop, lambda: restored.view.replica.synced > former)
    assert not list(restored.view.directory.iterate_present())


def test_an_upstream_that_a_restored_store_has_lost_may_be_alive(loop, store, restored):
    store.put(
        "servers/i-0002",
        create_server_entry(zone=OWN_DOMAIN, Address="10.128.0.10:8080"),
    )
    run_until(loop, lambda: restored.view.directory.find_present(UpstreamId("i-0002")))
    restored.restore("without the drain")
    former = restored.view.replica.synced
    run_until(loop, lambda: restored.view.replica.synced > former)
    lifetime = restored.view.directory.find_present(UpstreamId("i-0002"))
    assert restored.view.directory.may_have_expired(lifetime, loop.read_clock())


def read_log(path, *events):
    """Return the log lines of some events."""
    lines = [json.loads(line) for line in path.read_text().splitlines()]
    return [line for line in lines if line["event"] in events]


# CONFIG: entries that read nothing any more ran openings by an old version for a long time, and
# their logs did not tell.
def test_a_view_that_nobody_confirms_is_logged_once_and_again_when_it_is_current(
    loop, store, view, tmp_path
):
    store.put("op/config", create_config(3))
    view.start()
    run_until(loop, lambda: view.is_complete)
    now = loop.read_clock()
    for age_s in (0.5, 2.5, 2.6):
        view.expire(now + age_s)
    view._note_confirmation(now + 2.7)
    view.expire(now + 2.8)
    view._journal.flush()
    overdue, current = read_log(tmp_path / "log", "view_overdue", "view_current")
    assert (overdue["event"], current["event"]) == ("view_overdue", "view_current")
    assert overdue["version"] == 3
    assert overdue["store_calls"] == view.client.calls


# CONFIG: an entry ran openings by an old version, and the logs of the others did not tell whether
# they had the newer one from the store's watch, a listing or a peer.
def test_the_log_tells_how_each_change_was_learned(loop, store, view, tmp_path):
    store.put("op/config", create_config(3))
    view.start()
    run_until(loop, lambda: view.is_complete)
    store.put("op/config", create_config(4))
    run_until(loop, lambda: view.directory.version == 4)
    published = Change(
        ROUTING_KEY, Revision(9), RoutingPublished(create_routing(5, {1: 1, 2: 1, 3: 1}))
    )
    reply = ChangesReply((published,), Revision(9), 0.0, None, Revision(0))
    view._handle_reply(ChangesRequest(Revision(0), Version(4)), reply, Endpoint(HOST, 1))
    view._journal.flush()
    beliefs = read_log(tmp_path / "log", "belief")
    learned = [(item["subject"], item["source"]) for item in beliefs if item["kind"] == "version"]
    assert learned == [("3", "listing"), ("4", "watch"), ("5", "peer")]


# CONFIG: after a pause, a reply of a peer whose view nobody had confirmed for 15 s ended the wait
# of the openings; the entry forwarded by a view from before the pause.
def test_an_old_view_of_a_peer_does_not_end_the_wait_after_a_pause(loop, store, view):
    store.put("op/config", create_config(3))
    view.start()
    run_until(loop, lambda: view.is_complete)
    store.is_silent = True
    view.revalidate()
    reply = ChangesReply((), view.replica.synced, 15.0, None, view.replica.synced)
    view._handle_reply(
        ChangesRequest(view.replica.synced, view.directory.version), reply, Endpoint(HOST, 1)
    )
    assert not view.is_confirmed


# CONFIG: a peer's reply reached a revision without an evacuation before it; listings of this
# revision showed the evacuation, and it counted as removed long ago.
def test_a_listing_of_the_known_revision_brings_what_is_missing(view):
    view._merge([], Revision(10), Revision(0), NewsSource.PEER)
    domain = DomainId(OWN_DOMAIN)
    change = Change(get_domain_key(domain), Revision(8), DomainOut(domain))
    view.handle_listing(Listing((change,), Revision(10)))
    assert view.directory.is_domain_out(domain)


# CONFIG: while watches hung, a reader learned of a change so late that nothing of the time limit
# was left for its peers.
@pytest.mark.parametrize("is_hanging", [False, True])
def test_a_reader_whose_watch_is_silent_leaves_its_peers_time(loop, store, view, is_hanging):
    limit_s = 3.0
    view._reader_policy.set_config_apply_s(limit_s)
    store.put("op/config", create_config(3))
    view.start()
    run_until(loop, lambda: any("kv-watch" in call for call in store.calls))
    store.silence_watches()
    store.are_watches_hanging = is_hanging
    store.put("op/config", create_config(4))
    began_s = loop.read_clock()
    run_until(loop, lambda: view.directory.version == 4)
    # The peers need a heartbeat, a request and a reply, and one more of each if one is lost.
    assert loop.read_clock() - began_s < limit_s - 2 * HEARTBEAT_INTERVAL_S
