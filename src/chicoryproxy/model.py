"""Immutable types of the effective configuration and of the published instance list.

The ``configuration`` package builds these values from defaults and exceptions; the decision cores
read the configuration only in this form.
"""

from msgspec import Struct

from chicoryproxy.endpoint import Endpoint as Endpoint
from chicoryproxy.ids import DomainId, InstanceId, RegionId, ServiceId, UpstreamId, Version
from chicoryproxy.states import DomainState, Protocol, ReturnPath, UpstreamState

MAX_GENERATIONS = 16
"""Maximum number of generations retained per service."""


class Capacity(Struct, frozen=True):
    """Load limits of a warm upstream.

    :param slots: maximum number of concurrent requests.
    :param connections: maximum number of concurrent connections.
    """

    slots: int = 2
    connections: int = 2000


class WarmUp(Struct, frozen=True):
    """Slow start of an upstream: its limits on new flows from cold to ready.

    :param cold_openings: openings per second that a cold upstream can take.
    :param full_openings: openings per second that a ready upstream can take.
    :param duration_s: minimum time from cold to ready, in seconds.
    """

    cold_openings: float = 2.0
    full_openings: float = 200.0
    duration_s: float = 30.0


class Upstream(Struct, frozen=True):
    """One server of a service.

    :param address: endpoint at which its kernel receives IP-in-UDP packets.
    :param weight: share of the slots relative to the other upstreams of the service.
    :param draining: receives no new flows but keeps its existing ones.
    :param health_url: HTTP endpoint that reports its health and load; empty if there is none.
    """

    id: UpstreamId
    domain: DomainId
    address: Endpoint
    weight: int = 1
    draining: bool = False
    capacity: Capacity = Capacity()
    warm_up: WarmUp = WarmUp()
    health_url: str = ""


class ServiceAddress(Struct, frozen=True, order=True):
    """A virtual address of a service: IP address, port and transport protocol."""

    host: str
    port: int
    protocol: Protocol


class FlowLimits(Struct, frozen=True):
    """Timeouts and retry budget of a service's flows.

    :param idle_timeout_s: time without packets after which a flow expires, in seconds.
    :param opening_timeout_s: maximum time that an opening is held or retried, in seconds.
    :param retry_ratio: fraction of openings that may be retried at a second upstream.
    """

    idle_timeout_s: float = 300.0
    opening_timeout_s: float = 3.0
    retry_ratio: float = 0.1


class Service(Struct, frozen=True):
    """A service with its addresses and its upstreams, sorted by id."""

    id: ServiceId
    addresses: tuple[ServiceAddress, ...]
    upstreams: tuple[Upstream, ...]
    return_path: ReturnPath = ReturnPath.DIRECT
    limits: FlowLimits = FlowLimits()


class Domain(Struct, frozen=True):
    """A failure domain with the administrative state that operators gave it."""

    id: DomainId
    region: RegionId
    state: DomainState = DomainState.IN


class FleetLimits(Struct, frozen=True):
    """Fleet-wide limits and intervals of the load balancer's own processes.

    :param control_bytes_per_s: maximum rate of control traffic that one instance sends.
    :param spread_s: time after which a new version is used for placement even if some live peer
        has not confirmed it, in seconds.
    :param lease_s: lifetime of a grant of openings, in seconds.
    :param probe_interval_s: interval between membership probes, in seconds.
    :param suspicion_s: time after which a suspected peer becomes ``HIDDEN``, in seconds.
    :param pause_s: minimum gap between two ticks that counts as a pause of the process, in seconds.
    :param flow_table_size: maximum number of flows in an entry's flow table.
    """

    control_bytes_per_s: int = 4096
    spread_s: float = 3.0
    lease_s: float = 1.0
    probe_interval_s: float = 0.5
    suspicion_s: float = 2.0
    pause_s: float = 1.0
    flow_table_size: int = 600_000


class InstanceLimits(Struct, frozen=True):
    """Limits of one instance that override those of ``FleetLimits``."""

    instance: InstanceId
    control_bytes_per_s: int
    flow_table_size: int


class Configuration(Struct, frozen=True):
    """One version of the effective configuration of the fleet.

    :param instances: limits of the instances that override the fleet's.
    """

    version: Version
    domains: tuple[Domain, ...]
    services: tuple[Service, ...]
    fleet: FleetLimits = FleetLimits()
    instances: tuple[InstanceLimits, ...] = ()


class Instance(Struct, frozen=True):
    """An entry instance as the platform publishes it.

    :param data: endpoint at which the entry receives IP-in-UDP packets.
    :param peer: endpoint at which the entry receives messages of other entries (UDP).
    :param view: endpoint at which the view receives messages of other views (UDP and TCP).
    :param leaving: the platform is about to remove the instance.
    """

    id: InstanceId
    domain: DomainId
    region: RegionId
    data: Endpoint
    peer: Endpoint
    view: Endpoint
    leaving: bool = False


class Generation(Struct, frozen=True):
    """The upstreams among which one configuration version distributed new flows of a service.

    :param members: upstreams that received openings: listed, not draining, and in a failure
        domain that is in service.
    """

    service: ServiceId
    version: Version
    members: tuple[Upstream, ...]


class UpstreamCondition(Struct, frozen=True):
    """State of an upstream as its owner announces it.

    :param epoch: increases with each change; a lower epoch never replaces a higher one.
    :param since_s: time of the change on the clock of the receiving instance, in seconds.
    """

    upstream: UpstreamId
    state: UpstreamState
    epoch: int
    since_s: float = 0.0
