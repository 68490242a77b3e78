"""Test harness: a forwarding core with its directory and a simulated clock."""

import itertools

from chicoryproxy.forwarding.balancing.coldstart import DomainShare
from chicoryproxy.forwarding.forwarder import Forwarder, create_forwarder
from chicoryproxy.forwarding.model import (
    NO_REVISION,
    Bounds,
    Change,
    DomainBack,
    DomainOut,
    FlowId,
    Mark,
    Revision,
    Route,
    RouteKey,
    RoutingPublished,
    RoutingVersion,
    ServiceLimits,
    UpstreamEntry,
    UpstreamListed,
    UpstreamUnlisted,
    WeightedService,
)
from chicoryproxy.forwarding.packet import CallerPacket
from chicoryproxy.forwarding.peers.peermessages import Heartbeat, PeerAddress
from chicoryproxy.forwarding.trafficobserver import TrafficObserver
from chicoryproxy.forwarding.view.directory import Directory
from chicoryproxy.forwarding.view.directoryevent import DirectoryEvent
from chicoryproxy.forwarding.view.lifetime import Lifetime
from chicoryproxy.forwarding.view.replica import ROUTING_KEY, get_domain_key, get_upstream_key
from chicoryproxy.ids import DomainId, ServiceId, UpstreamId, Version
from chicoryproxy.model import Endpoint

OWN_DOMAIN = DomainId("shah-alam")
OTHER_DOMAIN = DomainId("cyberjaya")
SERVICE = ServiceId("qa-desk")
ARCHIVE = ServiceId("cert-store")
ROUTE = RouteKey(0xC612_0001, 443)
ARCHIVE_ROUTE = RouteKey(0xC612_0002, 443)


class NullObserver(TrafficObserver):
    """Observer that ignores all events."""

    def record_handshake(self, duration_s):
        """Do nothing."""

    def record_response(self, duration_s):
        """Do nothing."""

    def record_suspicion(self, upstream, failures):
        """Do nothing."""

    def record_upstream_change(self, flow, former, upstream):
        """Do nothing."""


class ForwarderHarness:
    """A directory and a forwarding core with a simulated clock.

    :param has_false_health: as in the settings.

    :ivar events: events of the last change of the directory.
    :ivar confirmed_s: time of the last confirmation of the view; ``None`` if it is always current.
    """

    def __init__(self, has_false_health=False, now=100.0, domain=OWN_DOMAIN) -> None:
        self.now = now
        self.events: list[DirectoryEvent] = []
        self.confirmed_s: float | None = None
        self.directory = Directory(Bounds())
        self.forwarder: Forwarder = create_forwarder(
            domain, self.directory, self.now, NullObserver(), has_false_health
        )
        self.forwarder.is_synced = True
        self.forwarder.cold_budget.share = DomainShare(0, 1)
        self._revisions = itertools.count(NO_REVISION + 1)
        self._ports = itertools.count(1024)
        self._addresses = itertools.count(1)

    def advance(self, seconds):
        """Advance the clock while the process is running."""
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.now = min(end, self.now + 0.5)
            self.forwarder.pause.tick(True, self.now)

    def apply(self, key, fact, revision=None):
        """Apply a fact with the given or the next revision; return the directory events."""
        revision = Revision(revision or next(self._revisions))
        self.directory.confirmed_s = self.now if self.confirmed_s is None else self.confirmed_s
        self.events = self.directory.apply(Change(key, revision, fact), self.now)
        self.directory.known_revision = max(self.directory.known_revision, revision)
        return self.events

    def publish_routing(self, version, routes=None, cold_per_s=0.0, services=(SERVICE, ARCHIVE)):
        """Publish a configuration with the two standard routes or the given ones."""
        routes = routes or (
            create_route("desk", ROUTE, (WeightedService(SERVICE, 1.0),)),
            create_route("archive", ARCHIVE_ROUTE, (WeightedService(ARCHIVE, 1.0),)),
        )
        limits = tuple(
            ServiceLimits(service, "/health", 2000, 2.0, cold_per_s) for service in services
        )
        routing = RoutingVersion(Version(version), tuple(routes), limits, 15.0)
        return self.apply(ROUTING_KEY, RoutingPublished(routing))

    def publish_upstream(
        self,
        name,
        service=SERVICE,
        domain=OWN_DOMAIN,
        slots=2,
        draining=False,
        cold_s=0.0,
        started_ms=1,
        address=None,
        revision=None,
        sequence=0,
    ):
        """Publish the registration of an upstream; return its lifetime if it is present."""
        upstream = UpstreamId(name)
        known = self.find_upstream(name)
        if address is None:
            address = (
                known.entry.address if known else Endpoint("10.1.0.9", 8000 + next(self._addresses))
            )
        entry = UpstreamEntry(
            upstream,
            7,
            service,
            address,
            domain,
            slots,
            draining,
            cold_s,
            started_ms,
            sequence,
        )
        self.apply(get_upstream_key(upstream), UpstreamListed(entry), revision)
        return self.find_upstream(name)

    def remove_upstream(self, name):
        """Remove the registration of an upstream."""
        upstream = UpstreamId(name)
        return self.apply(get_upstream_key(upstream), UpstreamUnlisted(upstream))

    def take_domain_out(self, domain):
        """Take a failure domain out of service."""
        return self.apply(get_domain_key(domain), DomainOut(domain))

    def bring_domain_back(self, domain):
        """Bring a failure domain back into service."""
        return self.apply(get_domain_key(domain), DomainBack(domain))

    def find_upstream(self, name) -> Lifetime | None:
        """Return the present lifetime of an upstream."""
        for lifetime in self.directory.iterate_present():
            if lifetime.entry.id == name:
                return lifetime
        return None

    def report_peer_load(self, *loads):
        """Process a heartbeat of a peer that reports loads."""
        heartbeat = Heartbeat(PeerAddress(1, 0), Revision(1), 0.0, False, loads, (), ())
        self.forwarder.flows.peer_loads.handle_heartbeat(heartbeat, self.now)

    def send(self, packet):
        """Pass a packet to the core; return its decision."""
        return self.forwarder.handle(packet, self.now)

    def send_opening(self, route=ROUTE, caller=1, port=None, copy=0):
        """Send an opening; return the decision and the flow's port."""
        port = port or next(self._ports)
        return self.send(create_packet(route, caller, port, copy=copy, is_opening=True)), port

    def open_flow(self, route=ROUTE, caller=1):
        """Complete the handshake of a flow; return its upstream and port."""
        upstream, port = self.send_opening(route, caller)
        self.send(create_packet(route, caller, port, mark=upstream.mark, acknowledged=1))
        return upstream, port


def create_route(name, key, targets, priority=0):
    """Create a route."""
    return Route(name, key, tuple(targets), priority)


def create_packet(
    route=ROUTE,
    caller=1,
    port=1024,
    mark=0,
    sequence=0,
    acknowledged=0,
    size=0,
    copy=0,
    is_opening=False,
    is_end=False,
    is_reset=False,
):
    """Create a caller's packet."""
    flow = FlowId(
        caller.to_bytes(4, "little")
        + route.host.to_bytes(4, "little")
        + route.port.to_bytes(2, "little")
        + port.to_bytes(2, "little")
    )
    return CallerPacket(
        b"opening" if is_opening else b"",
        flow,
        route.host,
        route.port,
        Mark(mark),
        sequence,
        copy if is_opening else acknowledged,
        size,
        is_opening,
        is_end,
        is_reset,
    )
