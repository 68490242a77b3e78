"""The effective configuration and the published instance list, as immutable values.

The configuration module produces these from defaults and exceptions; the decision core reads
nothing else of what operators write.
"""

from msgspec import Struct

from chicoryproxy.ids import DomainId, InstanceId, RegionId, ServiceId, UpstreamId, Version
from chicoryproxy.states import DomainState, Protocol, ReturnPath, UpstreamState


class Endpoint(Struct, frozen=True, order=True):
    """An IP number and a port.

    :param host: IPv4 or IPv6 address in text form.
    :param port: UDP or TCP port.
    """

    host: str
    port: int


class Capacity(Struct, frozen=True):
    """What a warm upstream bears.

    :param slots: requests that it serves at the same time.
    :param connections: connections that it holds at the same time.
    """

    slots: int = 2
    connections: int = 2000


class WarmUp(Struct, frozen=True):
    """What an upstream bears while it is cold and how it grows.

    :param cold_openings: openings per second that a cold upstream bears.
    :param full_openings: openings per second that a ready upstream bears.
    :param duration_s: shortest time from cold to ready, in seconds.
    """

    cold_openings: float = 2.0
    full_openings: float = 200.0
    duration_s: float = 30.0


class Upstream(Struct, frozen=True):
    """One server of a service.

    :param address: where its kernel takes IP-in-UDP packets.
    :param weight: share of the slots relative to the other upstreams of the service.
    :param draining: takes no opening but keeps its flows.
    :param health_url: HTTP endpoint of its health and load; empty if it has none.
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
    """An address that callers use: IP number, transport port and protocol."""

    host: str
    port: int
    protocol: Protocol


class FlowLimits(Struct, frozen=True):
    """Times and budgets of a service's flows.

    :param idle_timeout_s: seconds without a packet after which a flow is over.
    :param opening_timeout_s: longest time that an opening is held or retried, in seconds.
    :param retry_ratio: share of openings that may be tried at a second upstream.
    """

    idle_timeout_s: float = 300.0
    opening_timeout_s: float = 3.0
    retry_ratio: float = 0.1


class Service(Struct, frozen=True):
    """A service: its addresses and its upstreams, in the order of their ids."""

    id: ServiceId
    addresses: tuple[ServiceAddress, ...]
    upstreams: tuple[Upstream, ...]
    return_path: ReturnPath = ReturnPath.DIRECT
    limits: FlowLimits = FlowLimits()


class Domain(Struct, frozen=True):
    """A failure domain and whether operators have it in service."""

    id: DomainId
    region: RegionId
    state: DomainState = DomainState.IN


class FleetLimits(Struct, frozen=True):
    """Fleet-wide settings of the system's own processes.

    :param control_bytes_per_s: control traffic that one instance may send.
    :param spread_s: bounded time after which a new version places flows although some live
        peer has not confirmed it, in seconds.
    :param lease_s: lifetime of a grant of openings, in seconds.
    :param probe_interval_s: time between two membership probes, in seconds.
    :param suspicion_s: time from suspicion to ``HIDDEN``, in seconds.
    :param pause_s: gap between two ticks that counts as a pause, in seconds.
    :param flow_table_size: largest number of flows that an entry records.
    """

    control_bytes_per_s: int = 4096
    spread_s: float = 3.0
    lease_s: float = 1.0
    probe_interval_s: float = 0.5
    suspicion_s: float = 2.0
    pause_s: float = 1.0
    flow_table_size: int = 600_000


class InstanceLimits(Struct, frozen=True):
    """Limits of one instance that replace those of ``FleetLimits``."""

    instance: InstanceId
    control_bytes_per_s: int
    flow_table_size: int


class Configuration(Struct, frozen=True):
    """One version of the effective configuration of the fleet.

    :param instances: limits of the instances that differ from the fleet's.
    """

    version: Version
    domains: tuple[Domain, ...]
    services: tuple[Service, ...]
    fleet: FleetLimits = FleetLimits()
    instances: tuple[InstanceLimits, ...] = ()


class Instance(Struct, frozen=True):
    """An entry instance as the platform's list gives it.

    :param data: where the entry takes IP-in-UDP packets.
    :param peer: where the entry takes messages of other entries (UDP).
    :param view: where the view takes messages of other views (UDP and TCP).
    :param leaving: the platform is about to remove it.
    """

    id: InstanceId
    domain: DomainId
    region: RegionId
    data: Endpoint
    peer: Endpoint
    view: Endpoint
    leaving: bool = False


class Generation(Struct, frozen=True):
    """The upstreams over which one version placed the new flows of a service.

    :param members: upstreams that took openings: listed, not draining, domain in.
    """

    service: ServiceId
    version: Version
    members: tuple[Upstream, ...]


class UpstreamCondition(Struct, frozen=True):
    """What an upstream's owner says of it.

    :param epoch: rises with each change; a lower epoch never replaces a higher one.
    :param since_s: time of the change on the clock of the receiving instance, in seconds.
    """

    upstream: UpstreamId
    state: UpstreamState
    epoch: int
    since_s: float = 0.0
