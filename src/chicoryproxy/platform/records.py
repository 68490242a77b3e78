"""Decoder of the keys and values in the platform's store."""

from collections.abc import Callable, Collection
from typing import Annotated, TypeVar

from msgspec import Meta, Struct, field

from chicoryproxy.endpoint import Endpoint
from chicoryproxy.forwarding.model import (
    Change,
    DomainBack,
    DomainOut,
    Fact,
    Revision,
    Route,
    RouteKey,
    RoutingPublished,
    RoutingUnreadable,
    RoutingVersion,
    ServiceLimits,
    UpstreamEntry,
    UpstreamListed,
    UpstreamUnlisted,
    UpstreamUnreadable,
    WeightedService,
)
from chicoryproxy.forwarding.peers.hosts import parse_host
from chicoryproxy.forwarding.view.replica import ROUTING_KEY, get_domain_key, get_upstream_key
from chicoryproxy.ids import DomainId, ServiceId, UpstreamId, Version
from chicoryproxy.platform.jsonvalue import decode_json

Value = TypeVar("Value")

SERVERS_PREFIX = "servers/"
CONFIG_KEY = "op/config"
EVACUATE_PREFIX = "op/evacuate/"

STATE_READY = "ready"
STATE_DRAINING = "draining"
MAX_NUMBER_DIGITS = 16

PORT_LIMIT = 65_536
"""Ports are below this."""

MIN_SERVER_HOST = parse_host("1.0.0.0")
MULTICAST_HOSTS = parse_host("224.0.0.0")
"""Addresses from here on are those of groups, or reserved; those below the other mean this host."""

MIN_INTEGER = -(2**63)
MAX_INTEGER = 2**63 - 1
"""Larger numbers can't be passed on to peers."""

MAX_TEXT_LENGTH = 256
"""Longer texts in the entry of a server are unreadable; what is read is kept, logged and passed on
to peers, and a value of the store may have a megabyte."""

MAX_REASON_LENGTH = 200
"""Longer reasons why a value is unreadable are cut, since they can quote it."""

MAX_PRIORITY = 2**31 - 1
"""Higher numbers are unreadable; messages between entries can't hold those above 64 bits."""

MAX_SLOTS = 2**31 - 1
MAX_SEQUENCE = 2**53 - 1
MAX_COLD_MS = 24 * 3600 * 1000
MAX_STARTED_MS = 253_402_300_799_999
"""The end of the year 9999. An entry with larger numbers is unreadable: the server could never undo
them, since a later start or sequence and a longer cold time prevail."""

_HEX_DIGITS = frozenset("0123456789abcdefABCDEF")

_Text = Annotated[str, Meta(max_length=MAX_TEXT_LENGTH)]
_Integer = Annotated[int, Meta(ge=MIN_INTEGER, le=MAX_INTEGER)]
_Slots = Annotated[int, Meta(ge=1, le=MAX_SLOTS)]
_Sequence = Annotated[int, Meta(ge=MIN_INTEGER, le=MAX_SEQUENCE)]
_Started = Annotated[int, Meta(ge=MIN_INTEGER, le=MAX_STARTED_MS)]
_Cold = Annotated[float, Meta(ge=0, le=MAX_COLD_MS)]
_Priority = Annotated[int, Meta(ge=0, le=MAX_PRIORITY)]
_NotNegative = Annotated[float, Meta(ge=0)]


class _Server(Struct):
    service: _Text = field(name="Service")
    address: _Text = field(name="Address")
    zone: _Text = field(name="Zone")
    # Version of the server's software. Nothing depends on it, but an entry without it isn't one
    # that a server has written of itself.
    software: _Text = field(name="Version")
    slots: _Slots = field(name="Concurrency")
    state: _Text = field(name="State")
    cold_remaining_ms: _Cold = field(name="ColdRemainingMs")
    sequence: _Sequence = field(name="Sequence")
    # Unix time of the server's start in milliseconds. The platform writes this name in lower case.
    born: _Started = 0


class _Split(Struct):
    service: str = field(name="Service")
    weight: _NotNegative = field(name="Weight")


class _Route(Struct):
    name: str = field(name="Name")
    # An IPv4 address, despite its name.
    hostname: str = field(name="Hostname")
    # A port number between slashes, despite its name.
    prefix: str = field(name="Prefix")
    service: str = field(name="Service", default="")
    split: tuple[_Split, ...] = field(name="TrafficSplit", default=())
    priority: _Priority = field(name="Priority", default=0)
    latency_target_ms: _NotNegative = field(name="TargetLatencyMs", default=0.0)


class _Service(Struct):
    name: str = field(name="Name")
    health_path: str = field(name="HealthCheckPath", default="/health")
    max_connections: _Integer = field(name="MaxConnections", default=0)
    cold_start_s: _NotNegative = field(name="ColdStartS", default=0.0)
    cold_per_s: _NotNegative = field(name="ColdPerS", default=0.0)


class _Limits(Struct):
    idle_timeout_ms: _NotNegative = field(name="IdleTimeoutMs", default=15_000.0)


class _Config(Struct):
    version: _Integer = field(name="Version")
    routes: tuple[_Route, ...] = field(name="Routes")
    services: tuple[_Service, ...] = field(name="Services")
    limits: _Limits = field(name="Limits")


def decode_item(
    key: str,
    value: bytes | None,
    revision: Revision,
    domains: Collection[DomainId],
    report_error: Callable[[Exception], None] | None = None,
) -> Change | None:
    """Decode a key of the store and its value.

    :param value: ``None`` if the key was deleted.
    :param domains: the known failure domains.
    :param report_error: called with an unexpected error of the decoder, which makes this key
        unreadable and leaves the others; ``None`` to raise it.
    :returns: ``None`` for a key that the entry doesn't use.
    """
    if key.startswith(SERVERS_PREFIX):
        upstream = UpstreamId(key.removeprefix(SERVERS_PREFIX))
        fact: Fact = UpstreamUnlisted(upstream)
        if value is not None:
            server = _decode(lambda: _decode_server(upstream, value, domains), report_error)
            fact = UpstreamUnreadable(upstream, server) if isinstance(server, str) else server
        return Change(get_upstream_key(upstream), revision, fact)
    if key.startswith(EVACUATE_PREFIX):
        domain = DomainId(key.removeprefix(EVACUATE_PREFIX))
        fact = DomainBack(domain) if value is None else DomainOut(domain)
        return Change(get_domain_key(domain), revision, fact)
    if key == CONFIG_KEY and value is not None:
        config = _decode(lambda: _decode_config(value), report_error)
        fact = RoutingUnreadable(config) if isinstance(config, str) else config
        return Change(ROUTING_KEY, revision, fact)
    return None


def _decode(
    decode: Callable[[], Value], report_error: Callable[[Exception], None] | None
) -> Value | str:
    """Decode a value; return the reason if it is unreadable."""
    try:
        return decode()
    except ValueError as error:
        # A reason may quote the value.
        return str(error)[:MAX_REASON_LENGTH]
    except Exception as error:
        if report_error is None:
            raise
        report_error(error)
        return f"unexpected {type(error).__name__}"


def _decode_server(
    upstream: UpstreamId, value: bytes, domains: Collection[DomainId]
) -> UpstreamListed:
    """Decode the registration of a server.

    :raises ValueError: if it can't be decoded.
    """
    return UpstreamListed(_convert_server(upstream, decode_json(value, _Server), domains))


def _convert_server(
    upstream: UpstreamId, server: _Server, domains: Collection[DomainId]
) -> UpstreamEntry:
    if server.state not in (STATE_READY, STATE_DRAINING):
        raise ValueError(f"unknown state {server.state!r} - at `$.State`")
    if server.zone not in domains:
        raise ValueError(f"unknown zone {server.zone!r} - at `$.Zone`")
    return UpstreamEntry(
        upstream,
        _parse_upstream_number(upstream),
        ServiceId(server.service),
        _parse_server_address(server.address),
        DomainId(server.zone),
        server.slots,
        server.state == STATE_DRAINING,
        server.cold_remaining_ms / 1000,
        server.born,
        server.sequence,
    )


def _parse_upstream_number(upstream: UpstreamId) -> int:
    """Return the number that is encoded by the hex digits after the last ``-`` of an id.

    :raises ValueError: if there are no hex digits or more than 16, which 8 bytes can't hold.
    """
    digits = "".join(char for char in upstream.rpartition("-")[2] if char in _HEX_DIGITS)
    if not digits or len(digits) > MAX_NUMBER_DIGITS:
        raise ValueError(f"id {upstream!r} must contain 1 to 16 hex digits after its last dash")
    return int(digits, 16)


def _parse_server_address(text: str) -> Endpoint:
    """Parse the address of a server.

    :raises ValueError: if it has another form, or no single host can have it.
    """
    address = parse_endpoint(text)
    if not MIN_SERVER_HOST <= parse_host(address.host) < MULTICAST_HOSTS:
        raise ValueError(f"address {text!r} is not that of a host")
    return address


def parse_endpoint(text: str) -> Endpoint:
    """Parse ``HOST:PORT``, where the host is an IPv4 address.

    :raises ValueError: if the text has another form or the port is out of range.
    """
    host, _, port = text.rpartition(":")
    parse_host(host)
    if not _is_number(port) or not 0 < int(port) < PORT_LIMIT:
        raise ValueError(f"address {text!r} has no valid port")
    return Endpoint(host, int(port))


def _is_number(text: str) -> bool:
    """Return whether a text consists of the digits 0 to 9."""
    return text.isascii() and text.isdecimal()


def _decode_config(value: bytes) -> RoutingPublished:
    """Decode a version of the configuration.

    :raises ValueError: if it can't be decoded.
    """
    config = decode_json(value, _Config)
    routes = tuple(_convert_route(route) for route in config.routes)
    services = tuple(
        ServiceLimits(
            ServiceId(item.name),
            item.health_path,
            item.max_connections,
            item.cold_start_s,
            item.cold_per_s,
        )
        for item in config.services
    )
    idle_s = config.limits.idle_timeout_ms / 1000
    return RoutingPublished(RoutingVersion(Version(config.version), routes, services, idle_s))


def _convert_route(route: _Route) -> Route:
    targets = tuple(WeightedService(ServiceId(item.service), item.weight) for item in route.split)
    if not targets:
        targets = (WeightedService(ServiceId(route.service), 1.0),)
    port = route.prefix.strip("/")
    if not _is_number(port) or int(port) >= PORT_LIMIT:
        raise ValueError(f"prefix {route.prefix!r} of route {route.name!r} is not a port number")
    key = RouteKey(parse_host(route.hostname), int(port))
    return Route(route.name, key, targets, route.priority, route.latency_target_ms / 1000)
