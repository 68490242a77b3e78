"""Types that the forwarding core and the platform adapter share.

The adapter decodes what the platform publishes into these types; the core knows no other form.
"""

from enum import Enum, unique
from typing import NewType

from msgspec import Struct

from chicoryproxy.ids import DomainId, InstanceId, RegionId, ServiceId, UpstreamId, Version
from chicoryproxy.model import Endpoint

Revision = NewType("Revision", int)
"""Revision of the platform's store; rises with each change of any key."""

Mark = NewType("Mark", int)
"""Unsigned 32-bit name of an upstream's lifetime, carried in the packets; never zero."""

FlowId = NewType("FlowId", bytes)
"""The addresses and ports of a flow, as the packet header holds them."""

NO_REVISION = Revision(0)


class RouteKey(Struct, frozen=True, array_like=True):
    """Destination of a caller's packets.

    :param host: IPv4 address as an unsigned 32-bit number.
    :param port: port that the caller connects to.
    """

    host: int
    port: int


class WeightedService(Struct, frozen=True, array_like=True):
    """A service that takes a share of the openings of a route.

    :param weight: relative to the other services of the route.
    """

    service: ServiceId
    weight: float


class Route(Struct, frozen=True, array_like=True):
    """Where the openings of one destination go.

    :param targets: at least one service.
    """

    name: str
    key: RouteKey
    targets: tuple[WeightedService, ...]


class ServiceLimits(Struct, frozen=True, array_like=True):
    """What the servers of a service bear.

    :param health_path: path at which an upstream tells its id and health.
    :param max_connections: flows that one upstream holds.
    :param cold_start_s: how long an upstream stays cold after its start, in seconds.
    :param cold_openings_per_s: openings a second that a cold upstream bears.
    """

    service: ServiceId
    health_path: str
    max_connections: int
    cold_start_s: float
    cold_openings_per_s: float


class RoutingVersion(Struct, frozen=True, array_like=True):
    """One version of the published configuration.

    :param idle_timeout_s: seconds without a packet after which a flow may be forgotten.
    """

    version: Version
    routes: tuple[Route, ...]
    services: tuple[ServiceLimits, ...]
    idle_timeout_s: float


class UpstreamEntry(Struct, frozen=True, array_like=True):
    """What an upstream has published about itself.

    :param number: the id as the upstream checks it in each datagram.
    :param slots: requests that it serves at the same time.
    :param cold_remaining_s: how long it stays cold, counted from the publication, in seconds.
    :param started_ms: start of this lifetime, in milliseconds since 1970; zero if unknown.
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


class UpstreamListed(Struct, frozen=True, array_like=True, tag="upstream_listed"):
    """An upstream's entry was written."""

    entry: UpstreamEntry


class UpstreamUnlisted(Struct, frozen=True, array_like=True, tag="upstream_unlisted"):
    """An upstream's entry is no longer there."""

    id: UpstreamId


class UpstreamUnreadable(Struct, frozen=True, array_like=True, tag="upstream_unreadable"):
    """An upstream's entry can't be read, and names no upstream to use.

    :param reason: the fault with its place.
    """

    id: UpstreamId
    reason: str


class RoutingPublished(Struct, frozen=True, array_like=True, tag="routing_published"):
    """A version of the configuration was published."""

    routing: RoutingVersion


class RoutingUnreadable(Struct, frozen=True, array_like=True, tag="routing_unreadable"):
    """The published configuration can't be read; the version in force stays.

    :param reason: the fault with its place.
    """

    reason: str


class DomainOut(Struct, frozen=True, array_like=True, tag="domain_out"):
    """Operators took a failure domain out."""

    domain: DomainId


class DomainBack(Struct, frozen=True, array_like=True, tag="domain_back"):
    """Operators brought a failure domain back."""

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
    """A fact of the store as of the revision that made it.

    :param key: names what the fact is about; a later fact of the same key replaces it.
    """

    key: str
    revision: Revision
    fact: Fact


class Bounds(Struct, frozen=True):
    """Bounds that the deployment promises, in seconds unless said otherwise.

    :param grace_s: time from the request to stop until the process is killed.
    :param drain_s: time after which a draining upstream may get no opening.
    :param config_apply_s: time after which a new version may not be missed any more.
    :param cold_overage: factor on the openings that a cold upstream bears.
    :param cold_slack: openings beyond that in any second.
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
    :param readiness: where the routers ask whether this entry serves (HTTP).
    :param peers: where other entries reach this one (UDP and TCP, same port).
    :param metrics: where metrics are served (HTTP).
    :param seeds: addresses of a few peers, perhaps stale.
    :param store: address of the platform's store (HTTP).
    :param link_mbps: bandwidth of this instance's link, in megabits a second.
    :param has_false_health: health checks and connections may fail although an upstream serves.
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
    """Where a lifetime of an upstream stands.

    ``MISSING`` is a lifetime whose entry vanished without a drain: it may have crashed, or the
    store may have lost touch with it.
    """

    SERVING = "serving"
    DRAINING = "draining"
    MISSING = "missing"
    GONE = "gone"


@unique
class Drop(Enum):
    """Why a packet was dropped without an answer."""

    MALFORMED = "malformed"
    NOT_SYNCED = "not_synced"
    UNKNOWN_MARK = "unknown_mark"
    NO_FLOW = "no_flow"


@unique
class Refusal(Enum):
    """Why a caller got a reset."""

    NO_ROUTE = "no_route"
    ROUTE_REMOVED = "route_removed"
    NO_UPSTREAM = "no_upstream"
    UPSTREAM_UNREACHABLE = "upstream_unreachable"
