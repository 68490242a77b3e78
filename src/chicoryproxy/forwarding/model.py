"""Types shared by the forwarding core and the platform adapter.

The adapter decodes the platform's published data into these types; the core uses no other format.
"""

from enum import Enum, unique
from typing import NewType

from msgspec import Struct

from chicoryproxy.endpoint import Endpoint
from chicoryproxy.ids import DomainId, InstanceId, RegionId, ServiceId, UpstreamId, Version

Revision = NewType("Revision", int)
"""Revision of the platform's store with its epoch (``view/epoch``); increases with each change of
any key."""

Mark = NewType("Mark", int)
"""Unsigned 32-bit identifier of an upstream's lifetime, carried in the packets; never zero."""

FlowId = NewType("FlowId", bytes)
"""Addresses and ports of a flow in the encoding of the packet header."""

NO_REVISION = Revision(0)


class RouteKey(Struct, frozen=True, array_like=True):
    """Destination address by which routes are looked up.

    :param host: IPv4 address as an unsigned 32-bit number.
    :param port: destination port.
    """

    host: int
    port: int


class WeightedService(Struct, frozen=True, array_like=True):
    """Service that gets a share of the openings of a route.

    :param weight: share relative to the other services of the route.
    """

    service: ServiceId
    weight: float


class Route(Struct, frozen=True, array_like=True):
    """Services that openings to one destination are distributed to.

    :param targets: at least one service.
    :param priority: zero is the highest; lower priorities are refused first under overload.
        ``None`` if unknown, since older entries leave it out; then it takes no part in admission.
    :param latency_target_s: time within which callers want their responses, in seconds; zero if
        none is published.
    """

    name: str
    key: RouteKey
    targets: tuple[WeightedService, ...]
    priority: int | None = None
    latency_target_s: float = 0.0


class ServiceLimits(Struct, frozen=True, array_like=True):
    """Load limits of the upstreams of a service.

    :param health_path: path at which an upstream reports its id and health.
    :param max_connections: maximum number of flows at one upstream.
    :param cold_start_s: how long an upstream stays cold after its start, in seconds.
    :param cold_openings_per_s: openings per second that a cold upstream can handle.
    """

    service: ServiceId
    health_path: str
    max_connections: int
    cold_start_s: float
    cold_openings_per_s: float


class RoutingVersion(Struct, frozen=True, array_like=True):
    """One version of the published configuration.

    :param idle_timeout_s: seconds without a packet after which a flow may be dropped from the flow
        table.
    """

    version: Version
    routes: tuple[Route, ...]
    services: tuple[ServiceLimits, ...]
    idle_timeout_s: float


class UpstreamEntry(Struct, frozen=True, array_like=True):
    """Registration that an upstream has published in the store.

    :param number: numeric form of the id, which the upstream checks in each datagram.
    :param slots: requests that it serves concurrently.
    :param cold_remaining_s: how long it stays cold after the publication, in seconds.
    :param started_ms: start of this lifetime, in milliseconds since 1970; zero if unknown.
    :param sequence: number of this registration, which rises within a lifetime; zero if unknown.
    """

    id: UpstreamId
    number: int
    service: ServiceId
    address: Endpoint
    domain: DomainId
    slots: int
    is_draining: bool
    cold_remaining_s: float
    started_ms: int
    sequence: int = 0


class UpstreamListed(Struct, frozen=True, array_like=True, tag="upstream_listed"):
    """The registration of an upstream was written."""

    entry: UpstreamEntry


class UpstreamUnlisted(Struct, frozen=True, array_like=True, tag="upstream_unlisted"):
    """The registration of an upstream was removed."""

    id: UpstreamId


class UpstreamUnreadable(Struct, frozen=True, array_like=True, tag="upstream_unreadable"):
    """The registration of an upstream can't be decoded, so that the upstream can't be used.

    :param reason: the error and where it is in the value.
    """

    id: UpstreamId
    reason: str


class RoutingPublished(Struct, frozen=True, array_like=True, tag="routing_published"):
    """A version of the configuration was published."""

    routing: RoutingVersion


class RoutingUnreadable(Struct, frozen=True, array_like=True, tag="routing_unreadable"):
    """The published configuration can't be decoded; the current version stays in force.

    :param reason: the error and where it is in the value.
    """

    reason: str


class DomainOut(Struct, frozen=True, array_like=True, tag="domain_out"):
    """Operators took a failure domain out of service."""

    domain: DomainId


class DomainBack(Struct, frozen=True, array_like=True, tag="domain_back"):
    """Operators brought a failure domain back into service."""

    domain: DomainId


Fact = (
    UpstreamListed
    | UpstreamUnlisted
    | UpstreamUnreadable
    | RoutingPublished
    | RoutingUnreadable
    | DomainOut
    | DomainBack
)


class Change(Struct, frozen=True, array_like=True):
    """A fact read from the store, with the revision that wrote it.

    :param key: subject of the fact; a later fact of the same key replaces it.
    """

    key: str
    revision: Revision
    fact: Fact


class Bounds(Struct, frozen=True):
    """Time and rate limits of the deployment.

    :param grace_s: seconds from the request to stop until the process is killed.
    :param drain_s: seconds after which a draining upstream may get no opening.
    :param config_apply_s: seconds within which a new version must be applied.
    :param cold_overage: factor on the openings that a cold upstream can handle.
    :param cold_slack: additional openings allowed in any second.
    """

    grace_s: float = 6.0
    drain_s: float = 3.0
    config_apply_s: float = 3.0
    cold_overage: float = 1.5
    cold_slack: float = 5.0


class EntrySettings(Struct, frozen=True):
    """Settings of one entry process.

    :param domains: all failure domains with their regions.
    :param packets: where callers' packets arrive (UDP).
    :param readiness: where the routers check whether this entry is ready (HTTP).
    :param peers: address for messages of other entries (UDP and TCP, same port).
    :param metrics: where metrics are served (HTTP).
    :param seeds: addresses of a few peers, possibly stale.
    :param store: address of the platform's store (HTTP).
    :param link_mbps: bandwidth of this instance's link, in megabits per second.
    :param has_false_health: health checks and connections may fail although an upstream works.
    """

    instance: InstanceId
    domain: DomainId
    domains: dict[DomainId, RegionId]
    packets: Endpoint
    readiness: Endpoint
    peers: Endpoint
    metrics: Endpoint
    seeds: tuple[Endpoint, ...]
    store: Endpoint
    link_mbps: int
    has_false_health: bool
    bounds: Bounds


@unique
class UpstreamPhase(Enum):
    """State of an upstream's lifetime.

    ``MISSING`` means that its registration was removed without a drain: the upstream may have
    crashed, or the store may have lost its connection to it.
    """

    SERVING = "serving"
    DRAINING = "draining"
    MISSING = "missing"
    GONE = "gone"


@unique
class UnreachableCause(Enum):
    """Evidence that made an upstream unreachable."""

    REFUSED = "refused"
    TIMEOUT = "timeout"
    OTHER_SERVER = "other_server"
    NEWER_LIFETIME = "newer_lifetime"
    ADDRESS_REASSIGNED = "address_reassigned"


@unique
class Drop(Enum):
    """Why a packet was dropped without an answer.

    ``REROUTING`` means that the caller's retransmission will reach another failure domain,
    ``LATE_COPY`` that a flow is open already whose upstream may get no openings any more.
    """

    MALFORMED = "malformed"
    NOT_SYNCED = "not_synced"
    UNKNOWN_MARK = "unknown_mark"
    NO_FLOW = "no_flow"
    REROUTING = "rerouting"
    LATE_COPY = "late_copy"


@unique
class Refusal(Enum):
    """Why a flow was reset."""

    NO_ROUTE = "no_route"
    ROUTE_REMOVED = "route_removed"
    NO_UPSTREAM = "no_upstream"
    UPSTREAM_UNREACHABLE = "upstream_unreachable"
    OVERLOADED = "overloaded"
