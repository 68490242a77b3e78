"""The entry's view of the platform, kept up to date from the store and from peers."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable
from enum import Enum, unique

from chicoryproxy.endpoint import Endpoint
from chicoryproxy.eventloop.loop import Loop
from chicoryproxy.forwarding.model import Change, EntrySettings, Mark, Revision
from chicoryproxy.forwarding.peers.hosts import format_host, parse_host
from chicoryproxy.forwarding.peers.peering import PeerGroup
from chicoryproxy.forwarding.peers.peermessages import (
    ChangesReply,
    ChangesRequest,
    Heartbeat,
    LoadReport,
    PeerAddress,
    RampReport,
)
from chicoryproxy.forwarding.view.catchup import CatchUp
from chicoryproxy.forwarding.view.directory import Directory
from chicoryproxy.forwarding.view.directoryevent import DirectoryEvent
from chicoryproxy.forwarding.view.epoch import get_epoch
from chicoryproxy.forwarding.view.readerpolicy import ReaderPolicy
from chicoryproxy.forwarding.view.replica import Replica
from chicoryproxy.node.entrymetrics import EntryMetrics
from chicoryproxy.node.journal import Journal
from chicoryproxy.node.peers import ChangesClient, ChangesServer, HeartbeatSocket
from chicoryproxy.node.storewatch import StoreListener, StoreWatch
from chicoryproxy.platform.store import Listing, ReadFailure, StoreClient

HEARTBEAT_INTERVAL_S = 0.4
ANNOUNCE_INTERVAL_S = 0.1
"""Minimum time since the last heartbeat before news triggers another one."""

CATCH_UP_INTERVAL_S = 0.3
"""Minimum interval between requests for changes to peers."""


@unique
class NewsSource(Enum):
    """How an entry learned of a change.

    ``TIME``: nobody reported it; a time limit has passed.
    """

    WATCH = "watch"
    LISTING = "listing"
    PEER = "peer"
    TIME = "time"


class TrafficReports(ABC):
    """Source and receiver of the traffic data in heartbeats."""

    @abstractmethod
    def list_upstream_loads(self) -> tuple[LoadReport, ...]:
        """Return the load of this entry at each upstream."""

    @abstractmethod
    def list_ramps(self) -> tuple[RampReport, ...]:
        """Return what this entry has counted of the upstreams that are ramping up."""

    @abstractmethod
    def handle_ramps(self, heartbeat: Heartbeat) -> None:
        """Take over what a peer has counted of the upstreams that are ramping up."""

    @abstractmethod
    def list_unreachable(self) -> tuple[Mark, ...]:
        """Return the marks of the upstreams that this entry or its peers can't reach."""

    @abstractmethod
    def has_isolation_evidence(self) -> bool:
        """Return whether this entry has found that its failure domain is isolated."""

    @abstractmethod
    def handle_unreachable(self, marks: tuple[Mark, ...]) -> bool:
        """Handle a peer's report on upstreams that it can't reach; return whether it has news."""


class View(StoreListener):
    """Merges changes from the store and from peers into the directory.

    :param on_view_change: called with each change of the directory.
    :param traffic: source and receiver of the traffic data in heartbeats.
    :param seed: seed of the pseudo-random choices.

    :ivar is_confirmed: true if the store or a peer has confirmed that the view is current.
    """

    def __init__(
        self,
        loop: Loop,
        settings: EntrySettings,
        journal: Journal,
        on_view_change: Callable[[DirectoryEvent], None],
        traffic: TrafficReports,
        seed: int,
    ) -> None:
        domain = sorted(settings.domains).index(settings.domain)
        own = PeerAddress(parse_host(settings.peers.host), domain, settings.link_mbps)
        self._loop = loop
        self.directory = Directory(settings.bounds)
        self.peers = PeerGroup(own, _list_seed_hosts(settings), seed, loop.read_clock())
        self.replica = Replica()
        self._change_exchange = CatchUp(self.replica, self.directory)
        self.is_leaving = False
        self._settings = settings
        self._journal = journal
        self._on_view_change = on_view_change
        self._traffic = traffic
        self.is_confirmed = False
        self._oldest_proof_s = float("-inf")
        self._reader_policy = ReaderPolicy(
            self.peers, settings.bounds.config_apply_s, loop.read_clock()
        )
        self.client = StoreClient(loop, settings.store, settings.domains.keys())
        self._watch = StoreWatch(loop, self.client, self, self._reader_policy)
        self._socket = HeartbeatSocket(loop, settings.peers, self._handle_heartbeat)
        self._server = ChangesServer(loop, settings.peers, self._answer_changes)
        self._store_failure: ReadFailure | None = None
        self._store_failures = 0
        self._missed_changes = 0
        self._is_overdue = False
        self._last_request_s = float("-inf")
        self._last_heartbeat_s = float("-inf")

    @property
    def is_complete(self) -> bool:
        """True if the view is current and includes a configuration."""
        return self.directory.routing is not None and self.is_confirmed

    @property
    def is_behind(self) -> bool:
        """True if peers have changes that this entry lacks."""
        return self._reader_policy.is_behind

    def start(self) -> None:
        """Start reading the store and sending heartbeats."""
        self._watch.start()
        self._loop.call_repeatedly(lambda: HEARTBEAT_INTERVAL_S, self._send_heartbeat)

    def stop(self) -> None:
        """Close the connection to the store and the sockets for peers."""
        self.client.close()
        self._socket.close()
        self._server.close()

    def apply_settings(self, settings: EntrySettings) -> None:
        """Apply the changed settings that don't need a restart."""
        self._settings = settings
        self.directory.bounds = settings.bounds
        self.peers.set_seeds(_list_seed_hosts(settings))
        self._reader_policy.set_config_apply_s(settings.bounds.config_apply_s)
        self.client.set_store(settings.store)

    def revalidate(self) -> None:
        """Treat the view as unconfirmed and check immediately whether it is still current."""
        self.is_confirmed = False
        self._oldest_proof_s = self._loop.read_clock() - self._reader_policy.max_age_s
        self._watch.revalidate()

    def update_metrics(self, metrics: EntryMetrics) -> None:
        """Update the metrics of the view."""
        now = self._loop.read_clock()
        present = list(self.directory.iterate_present())
        metrics.store_calls = self.client.calls
        metrics.store_failures = self._store_failures
        metrics.missed_changes = self._missed_changes
        metrics.heartbeat_bytes = self._socket.bytes_sent
        metrics.version = self.directory.version
        metrics.revision = self.replica.synced
        metrics.view_age_s = self.peers.get_age(now)
        metrics.upstreams = len(present)
        metrics.unreachable = sum(1 for upstream in present if upstream.is_unreachable)
        metrics.peers = self.peers.count_alive(now)

    def expire(self, now: float) -> None:
        """End the lifetimes of upstreams that are missing for too long, and log an old view."""
        self._report_view_changes(self.directory.expire(now), NewsSource.TIME)
        is_overdue = self.is_confirmed and self._reader_policy.is_overdue(now)
        if is_overdue is not self._is_overdue:
            self._is_overdue = is_overdue
            self._log_age(now)

    def handle_listing(self, listing: Listing) -> None:
        """Merge a listing and the removals that follow from it; it may be seconds old."""
        removals = self.replica.infer_removals(listing.changes, listing.revision)
        changes = [*listing.changes, *removals]
        self._merge(changes, listing.revision, listing.revision, NewsSource.LISTING)

    def handle_changes(self, changes: Iterable[Change], revision: Revision) -> None:
        """Merge changes from the store, which confirm that the view is current."""
        self._merge(changes, revision, self.replica.synced, NewsSource.WATCH)
        self._note_confirmation(self.client.answered_s)
        if self._store_failure is not None:
            self._journal.write("store_back", revision=revision, after=self._store_failure.value)
            self._store_failure = None

    def handle_missed_changes(self, changes: Iterable[Change], newest: Revision) -> None:
        """Log that the watches of the store have not brought all changes, and merge those there."""
        self._missed_changes += 1
        synced = self.replica.synced
        self._journal.write("changes_missed", known=synced, revision=newest)
        self._merge(changes, synced, synced, NewsSource.WATCH)

    def handle_failure(self, failure: ReadFailure) -> None:
        """Record a failed read, and log it if its kind is new."""
        self._store_failures += 1
        self.directory.record_store_failure(self._loop.read_clock())
        if failure is not self._store_failure:
            self._store_failure = failure
            self._journal.write("store_lost", reason=failure.value, revision=self.replica.synced)

    def _log_age(self, now: float) -> None:
        """Log that nobody has confirmed the view for too long, or that it is current again."""
        self._journal.write(
            "view_overdue" if self._is_overdue else "view_current",
            version=self.directory.version,
            revision=self.replica.synced,
            age_s=round(self.peers.get_age(now), 3),
            store_calls=self.client.calls,
            store_failures=self._store_failures,
        )

    def get_synced_revision(self) -> Revision:
        """Return the revision up to which all changes are known."""
        return self.replica.synced

    def _note_confirmation(self, confirmed_s: float) -> None:
        self.is_confirmed |= confirmed_s >= self._oldest_proof_s
        self.peers.record_confirmation(confirmed_s)

    def _merge(
        self,
        changes: Iterable[Change],
        revision: Revision,
        since: Revision,
        source: NewsSource,
    ) -> None:
        """Merge all changes after one revision and up to another one."""
        now = self._loop.read_clock()
        if self.is_confirmed and self._reader_policy.is_overdue(now):
            # Readers have not confirmed the view for too long, so that the store was probably
            # unavailable, although this entry didn't read it. Upstreams that vanish now may still
            # run: their records may have lapsed.
            self.directory.record_store_failure(now)
        self._handle_restore(revision, now)
        self.directory.confirmed_s = self.peers.confirmed_s
        is_newer_whole = since > self.replica.synced or (
            source is NewsSource.LISTING and since == self.replica.synced
        )
        for change in changes:
            if self.replica.merge(change, is_newer_whole):
                self._apply(change, source, now)
        has_more = revision > self.replica.synced
        version = self.directory.version
        self.replica.advance_synced(revision, since)
        self.directory.known_revision = self.replica.synced
        self._reader_policy.record_progress(self.replica.synced, self.replica.synced, now)
        self.peers.version = self.directory.version
        if has_more or self.directory.version > version:
            self.announce()

    def _handle_restore(self, revision: Revision, now: float) -> None:
        """Follow that the store has come back from an older copy, if a new revision shows it."""
        synced = self.replica.synced
        if not synced or get_epoch(revision) <= get_epoch(synced):
            return
        self.directory.record_store_restored(now)
        self._journal.write("store_restored", former=synced, revision=revision)

    def _apply(self, change: Change, source: NewsSource, now: float) -> None:
        """Apply a change; an unexpected error in one must not hold up the changes of other keys."""
        self._loop.call(
            lambda: self._report_view_changes(self.directory.apply(change, now), source)
        )

    def _report_view_changes(self, beliefs: Iterable[DirectoryEvent], source: NewsSource) -> None:
        for belief in beliefs:
            self._journal.write(
                "belief",
                kind=belief.kind.value,
                subject=belief.subject,
                detail=belief.detail,
                revision=belief.revision,
                source=source.value,
                age_s=round(self.peers.get_age(self._loop.read_clock()), 3),
            )
            self._on_view_change(belief)

    def _send_heartbeat(self) -> None:
        now = self._loop.read_clock()
        self._last_heartbeat_s = now
        heartbeat = self.peers.create_heartbeat(
            self.replica.synced,
            self.is_leaving,
            self._traffic.list_upstream_loads(),
            self._traffic.list_unreachable(),
            now,
            self._traffic.has_isolation_evidence(),
            self._traffic.list_ramps(),
            self._change_exchange.get_version(),
        )
        port = self._settings.peers.port
        targets = [Endpoint(format_host(host), port) for host in self.peers.choose_targets(now)]
        self._socket.send(heartbeat, targets)
        self._catch_up(now)

    def announce(self) -> None:
        """Send a heartbeat with news immediately, but not too often."""
        if self._loop.read_clock() - self._last_heartbeat_s > ANNOUNCE_INTERVAL_S:
            self._send_heartbeat()

    def _handle_heartbeat(self, heartbeat: Heartbeat) -> None:
        now = self._loop.read_clock()
        self.peers.handle_heartbeat(heartbeat, self.replica.synced, self._loop.get_arrival_s(), now)
        self._reader_policy.record_heartbeat(now)
        self._reader_policy.record_progress(self.replica.synced, heartbeat.synced, now)
        self._traffic.handle_ramps(heartbeat)
        if self._traffic.handle_unreachable(heartbeat.unreachable):
            self.announce()
        if self.peers.is_ahead(heartbeat, self.replica.synced):
            self._catch_up(now)
        if not heartbeat.peers and not self.is_leaving:
            reply = self.peers.create_discovery_reply(
                self.replica.synced,
                self._traffic.list_upstream_loads(),
                now,
                self._traffic.has_isolation_evidence(),
                self._change_exchange.get_version(),
            )
            sender = format_host(heartbeat.sender.host)
            self._socket.send(reply, [Endpoint(sender, self._settings.peers.port)])

    def _catch_up(self, now: float) -> None:
        """Request the missing changes from the peer that knows most, if any knows more."""
        if now - self._last_request_s < CATCH_UP_INTERVAL_S:
            return
        peer = self.peers.find_newer(self.replica.synced, now)
        if peer is not None:
            self._last_request_s = now
            self.peers.record_request(peer.host, now)
            self._request_changes(peer.host)

    def _request_changes(self, host: int) -> None:
        peer = Endpoint(format_host(host), self._settings.peers.port)
        request = self._change_exchange.create_request()

        def handle_reply(reply: ChangesReply | None) -> None:
            if reply is None:
                self._journal.write("peer_silent", host=peer.host, since=request.since)
            else:
                self.peers.record_reply(host)
                self._handle_reply(request, reply, peer)
                if not request.since:
                    self._journal.write("view_from_peer", host=peer.host, revision=reply.synced)

        ChangesClient(self._loop, peer, request, handle_reply)

    def _handle_reply(self, request: ChangesRequest, reply: ChangesReply, peer: Endpoint) -> None:
        try:
            changes = self._change_exchange.restore_changes(request, reply)
        except ValueError as error:
            # The configuration version changed while the reply was in transit, so that its patch
            # no longer applies. Its other changes hold, but the revision is not reached with them.
            self._journal.write("reply_unfit", host=peer.host, reason=str(error))
            synced = self.replica.synced
            self._merge(reply.changes, synced, synced, NewsSource.PEER)
            return
        self._journal.write_rate_limited(
            "catch_up",
            host=peer.host,
            since=request.since,
            revision=reply.synced,
            changes=len(changes),
        )
        self._merge(changes, reply.synced, reply.since, NewsSource.PEER)
        if reply.age_s >= 0:
            self._note_confirmation(self._loop.get_arrival_s() - reply.age_s)

    def _answer_changes(self, request: ChangesRequest) -> ChangesReply:
        age_s = self.peers.report_age(self._loop.read_clock())
        return self._change_exchange.create_reply(request, age_s)


def _list_seed_hosts(settings: EntrySettings) -> list[int]:
    return [parse_host(seed.host) for seed in settings.seeds]
