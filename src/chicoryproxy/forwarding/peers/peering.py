"""Gossip membership of the entries: which peers are alive, their load and their revision.

Entries exchange heartbeats with a fixed fan-out, so that the bandwidth of an entry does not grow
with the fleet. A heartbeat also lists some other live peers and the newest revision that its sender
knows; a receiver that is behind requests the changes from the sender. Changes thus reach the whole
fleet in a few rounds. The version of the configuration is compared as well: an entry that has
passed over one knows the revision of its peers all the same.
"""

import heapq
import itertools
from collections.abc import Iterable, Iterator

from msgspec import structs

from chicoryproxy.forwarding.balancing.coldstart import MAX_FULLY_KNOWN_MEMBERS, DomainShare
from chicoryproxy.forwarding.balancing.peerloads import PeerLoads
from chicoryproxy.forwarding.model import NO_REVISION, Mark, Revision
from chicoryproxy.forwarding.peers.peermessages import (
    Heartbeat,
    LoadReport,
    PeerAddress,
    PeerStatus,
    RampReport,
)
from chicoryproxy.forwarding.view.epoch import get_epoch
from chicoryproxy.ids import NO_VERSION, Version
from chicoryproxy.prng import Prng
from chicoryproxy.rendezvous import score

FANOUT = 4
"""Number of heartbeats sent in each round."""

OWN_DOMAIN_FANOUT = 2
"""Minimum number of them sent to the own failure domain."""

ALIVE_TIMEOUT_S = 4.0
"""A peer that was not seen for this long, directly or through others, is not alive."""

DISCOVERY_S = 1.2
"""Time after the start in which an entry discovers its peers."""

PARTITION_TIMEOUT_S = 0.6
"""Time without a heartbeat from other failure domains, here or at a peer, after which a partition
is assumed."""

ISOLATION_REPORT_VALID_S = 1.5
"""Time after which the report of a peer that the own failure domain is isolated is outdated."""

PEER_RETENTION_S = 20.0
PEERS_IN_HEARTBEAT = 14
SMALL_FLEET = 30
"""In fleets of up to this size every entry is to know all others."""

LOWEST_RANKS_IN_HEARTBEAT = 5
READERS_IN_HEARTBEAT = 2
"""In a large failure domain an entry knows only some of the others. The lowest ranks and the
readers are listed in each heartbeat, so that every entry knows which peers rank before it."""

PEERS_IN_DISCOVERY_REPLY = 100
"""Number of peers sent to a newly started entry that knows none."""

LOADS_IN_HEARTBEAT = 28
"""If there are more loads, the heaviest ones are reported."""

LOADS_REPLACED_BY_RAMP = 2
"""So many loads need no fewer bytes than the report of a ramp."""

UNREACHABLE_IN_HEARTBEAT = 28
"""If there are more unreachable upstreams, each heartbeat has others of them."""

UNANSWERED_VALID_S = 2.0
"""For this long a peer that has not answered a request for changes is asked after all others."""

UNKNOWN_AGE_S = -1.0


class _Peer:
    """State of one peer.

    :ivar requested_s: when it got the request for changes that it has not answered yet.
    """

    __slots__ = ("address", "last_seen_s", "synced", "version", "requested_s")

    def __init__(self, address: PeerAddress, last_seen_s: float) -> None:
        self.address = address
        self.last_seen_s = last_seen_s
        self.synced = NO_REVISION
        self.version = NO_VERSION
        self.requested_s = float("-inf")

    def is_unresponsive(self, now: float) -> bool:
        """Return whether it has not answered a recent request for changes."""
        return now - self.requested_s < UNANSWERED_VALID_S


class PeerGroup:
    """Peers known to this entry.

    :param own: address of this entry.
    :param seeds: hosts that may run entries.
    :param seed: seed of the pseudo-random choices.
    :param started_s: time of the start.

    :ivar own: address of this entry.
    :ivar version: configuration in force here.
    :ivar loads: load of the peers at the upstreams.
    """

    def __init__(self, own: PeerAddress, seeds: Iterable[int], seed: int, started_s: float) -> None:
        self._started_s = started_s
        self.loads = PeerLoads()
        self.own = own
        self.version = NO_VERSION
        self._seeds: list[int] = []
        self.set_seeds(seeds)
        self._prng = Prng(seed, "peering")
        self._peers: dict[int, _Peer] = {}
        self._confirmed_s = float("-inf")
        self._other_domain_seen_s: float | None = None
        self._isolation_reported_s = float("-inf")
        self._round = 0

    def set_seeds(self, seeds: Iterable[int]) -> None:
        """Set the hosts that may run entries."""
        self._seeds = [host for host in seeds if host != self.own.host]

    def record_confirmation(self, confirmed_s: float) -> None:
        """Record when this entry was last known to be up to date with the store."""
        self._confirmed_s = max(self._confirmed_s, confirmed_s)

    @property
    def confirmed_s(self) -> float:
        """When this entry was last known to be up to date, minus infinity before the first time."""
        return self._confirmed_s

    def get_age(self, now: float) -> float:
        """Return the maximum age of this entry's view, in seconds."""
        return now - self._confirmed_s

    def report_age(self, now: float) -> float:
        """Return the age reported to peers, ``UNKNOWN_AGE_S`` if it is too high to be useful."""
        age = self.get_age(now)
        return round(age, 2) if age < PEER_RETENTION_S else UNKNOWN_AGE_S

    def handle_heartbeat(
        self, heartbeat: Heartbeat, synced: Revision, arrived_s: float, now: float
    ) -> None:
        """Process a heartbeat.

        :param synced: revision up to which this entry knows all changes.
        :param arrived_s: when it arrived; it may have waited to be read.
        """
        if heartbeat.sender.host == self.own.host:
            return
        peer = self._update_peer(heartbeat.sender, now)
        if heartbeat.sender.domain == self.own.domain and heartbeat.is_isolated:
            self._isolation_reported_s = now
        peer.address = heartbeat.sender
        peer.synced = heartbeat.synced
        peer.version = heartbeat.version
        self.loads.handle_heartbeat(heartbeat, now)
        if heartbeat.is_leaving:
            peer.last_seen_s = now - ALIVE_TIMEOUT_S
        if heartbeat.age_s >= 0 and not self.is_ahead(heartbeat, synced):
            # At that time the sender was up to date, and this entry knows at least as much.
            self.record_confirmation(arrived_s - heartbeat.age_s)
        for status in heartbeat.peers:
            if status.address.host != self.own.host:
                self._update_peer(status.address, now - status.age_ds / 10)

    def is_ahead(self, heartbeat: Heartbeat, synced: Revision) -> bool:
        """Return whether the sender of a heartbeat knows a change that this entry lacks."""
        return self._is_newer(heartbeat.synced, heartbeat.version, synced)

    def choose_targets(self, now: float) -> list[int]:
        """Choose the hosts to send the next heartbeats to."""
        self._round += 1
        self._expire(now)
        self.loads.expire(now)
        alive = {peer.address.host: peer.address.domain for peer in self._iterate_alive(now)}
        self.loads.live_peers = len(alive)
        near = [host for host, domain in alive.items() if domain == self.own.domain]
        targets = self._prng.draw_sample(near, OWN_DOMAIN_FANOUT)
        others = [host for host in alive if host not in targets]
        targets.extend(self._prng.draw_sample(others, FANOUT - len(targets)))
        missing = dict.fromkeys(host for host in self._seeds if host not in alive)
        missing.update(dict.fromkeys(host for host in self._peers if host not in alive))
        if missing:
            targets.append(list(missing)[self._round % len(missing)])
        return targets

    def create_heartbeat(
        self,
        synced: Revision,
        is_leaving: bool,
        loads: Iterable[LoadReport],
        unreachable: tuple[Mark, ...],
        now: float,
        is_isolated: bool = False,
        ramps: tuple[RampReport, ...] = (),
        version: Version = NO_VERSION,
    ) -> Heartbeat:
        """Create the heartbeat of this entry.

        :param version: newest configuration that it can pass on.
        """
        heaviest = sorted(loads, key=lambda load: load.flows + load.waiting, reverse=True)
        load_count = LOADS_IN_HEARTBEAT - len(ramps) * LOADS_REPLACED_BY_RAMP
        return Heartbeat(
            self.own,
            synced,
            self.report_age(now),
            is_leaving,
            tuple(heaviest[:load_count]),
            self._select_unreachable(unreachable),
            self._list_peers(PEERS_IN_HEARTBEAT, now),
            is_isolated,
            ramps,
            version,
        )

    def create_discovery_reply(
        self,
        synced: Revision,
        loads: Iterable[LoadReport],
        now: float,
        is_isolated: bool = False,
        version: Version = NO_VERSION,
    ) -> Heartbeat:
        """Create the reply to a heartbeat of an entry that knows no peer yet.

        It replaces the last load report of this entry there, and therefore has the loads.
        """
        heartbeat = self.create_heartbeat(
            synced, False, loads, (), now, is_isolated, version=version
        )
        return structs.replace(heartbeat, peers=self._list_peers(PEERS_IN_DISCOVERY_REPLY, now))

    def find_newer(self, synced: Revision, now: float) -> PeerAddress | None:
        """Return the live peer to request changes from, if any has a newer revision or version.

        It is the one with the newest version and revision among those that answer, or else among
        the others.
        """
        newer = [
            peer
            for peer in self._iterate_alive(now)
            if self._is_newer(peer.synced, peer.version, synced)
        ]
        if not newer:
            return None
        best = max(
            newer, key=lambda peer: (not peer.is_unresponsive(now), peer.version, peer.synced)
        )
        return best.address

    def record_request(self, host: int, now: float) -> None:
        """Record that a peer was asked for changes."""
        peer = self._peers.get(host)
        if peer is not None:
            peer.requested_s = now

    def record_reply(self, host: int) -> None:
        """Record that a peer has answered a request for changes."""
        peer = self._peers.get(host)
        if peer is not None:
            peer.requested_s = float("-inf")

    def is_discovering(self, now: float) -> bool:
        """Return whether this entry has just started and may know few of its peers."""
        return now - self._started_s < DISCOVERY_S

    def is_partitioned(self, now: float) -> bool:
        """Return whether heartbeats from other failure domains arrived once but no longer do.

        In a large fleet an entry gets few of them itself; those that its peers got count too.
        """
        heard_s = self._other_domain_seen_s
        return heard_s is not None and now - heard_s > PARTITION_TIMEOUT_S

    def has_heard_other_domain(self) -> bool:
        """Return whether an entry of another failure domain is or was known."""
        return self._other_domain_seen_s is not None

    def is_isolation_reported(self, now: float) -> bool:
        """Return whether a peer has reported that the own failure domain is isolated."""
        return now - self._isolation_reported_s < ISOLATION_REPORT_VALID_S

    def compute_share(self, now: float) -> DomainShare | None:
        """Compute the rank of this entry among the live ones of its failure domain.

        :returns: ``None`` during peer discovery.
        """
        if self.is_discovering(now):
            return None
        hosts = [peer.address.host for peer in self._iterate_own_domain(now)]
        rank = sum(1 for host in hosts if host < self.own.host)
        return DomainShare(rank, 1 + len(hosts))

    def count_alive(self, now: float) -> int:
        """Return the number of live entries, including this one."""
        return 1 + sum(1 for _ in self._iterate_alive(now))

    def count_own_domain(self, now: float) -> int:
        """Return the number of live peers in the own failure domain, without this entry."""
        return sum(1 for _ in self._iterate_own_domain(now))

    def get_reader_rank(self, now: float) -> int:
        """Return the rank of this entry among the readers of its failure domain.

        Entries with more bandwidth rank first, because a configuration may be large.
        """
        own = _get_reader_priority(self.own)
        return sum(
            1 for peer in self._iterate_own_domain(now) if _get_reader_priority(peer.address) > own
        )

    def _is_newer(self, peer_synced: Revision, peer_version: Version, synced: Revision) -> bool:
        """Return whether a peer knows a change that this entry lacks.

        The version of a peer in a former epoch may be one that a restored store has lost.
        """
        if peer_synced > synced:
            return True
        return get_epoch(peer_synced) == get_epoch(synced) and peer_version > self.version

    def _update_peer(self, address: PeerAddress, last_seen_s: float) -> _Peer:
        peer = self._peers.get(address.host)
        if peer is None:
            peer = self._peers[address.host] = _Peer(address, last_seen_s)
        peer.last_seen_s = max(peer.last_seen_s, last_seen_s)
        if address.domain != self.own.domain:
            self._other_domain_seen_s = max(self._other_domain_seen_s or 0.0, last_seen_s)
        return peer

    def _select_unreachable(self, marks: tuple[Mark, ...]) -> tuple[Mark, ...]:
        """Return as many marks as fit into a heartbeat, others in each round."""
        if len(marks) <= UNREACHABLE_IN_HEARTBEAT:
            return marks
        start = self._round * UNREACHABLE_IN_HEARTBEAT % len(marks)
        return (marks[start:] + marks[:start])[:UNREACHABLE_IN_HEARTBEAT]

    def _list_peers(self, count: int, now: float) -> tuple[PeerStatus, ...]:
        alive = sorted(self._iterate_alive(now), key=lambda peer: peer.last_seen_s, reverse=True)
        # Peers seen long ago may be gone, and are of little use to others in a large fleet.
        fresh = alive if len(alive) < SMALL_FLEET else alive[: max(count, len(alive) // 2)]
        chosen = self._list_ranking_peers(now)
        # Shows the receivers that the own domain is not partitioned.
        remote = (peer for peer in fresh if peer.address.domain != self.own.domain)
        chosen.extend(itertools.islice(remote, 1))
        others = [peer for peer in fresh if peer not in chosen]
        chosen.extend(self._prng.draw_sample(others, count - len(chosen)))
        return tuple(
            PeerStatus(peer.address, max(0, int((now - peer.last_seen_s) * 10) + 1))
            for peer in chosen
        )

    def _list_ranking_peers(self, now: float) -> list[_Peer]:
        """Return the peers that entries of a large failure domain need to compute their ranks."""
        near = list(self._iterate_own_domain(now))
        if len(near) < MAX_FULLY_KNOWN_MEMBERS:
            return []
        ranking_peers = heapq.nsmallest(
            LOWEST_RANKS_IN_HEARTBEAT, near, key=lambda peer: peer.address.host
        )
        readers = heapq.nlargest(READERS_IN_HEARTBEAT, near, key=_get_peer_priority)
        ranking_peers.extend(peer for peer in readers if peer not in ranking_peers)
        return ranking_peers

    def _iterate_own_domain(self, now: float) -> Iterator[_Peer]:
        """Iterate over the live peers of the own failure domain."""
        return (peer for peer in self._iterate_alive(now) if peer.address.domain == self.own.domain)

    def _iterate_alive(self, now: float) -> Iterator[_Peer]:
        return (peer for peer in self._peers.values() if now - peer.last_seen_s < ALIVE_TIMEOUT_S)

    def _expire(self, now: float) -> None:
        for host, peer in list(self._peers.items()):
            if now - peer.last_seen_s > PEER_RETENTION_S:
                del self._peers[host]


def _get_peer_priority(peer: _Peer) -> tuple[int, int]:
    return _get_reader_priority(peer.address)


def _get_reader_priority(address: PeerAddress) -> tuple[int, int]:
    return address.link_mbps, score("reader", str(address.host))
