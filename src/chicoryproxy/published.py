"""The published form of a configuration: a small index and the parts that it names.

The platform's service holds values up to a megabyte. The index carries the version, the failure
domains, the fleet's limits, and the name and digest of each part; a part holds the services of a
group, or a group's upstreams of one failure domain. The name of a part contains its digest, so a
part never changes, and the parts of the version before stay readable while the index is replaced.
``docs/design/published-form.md`` compares the ways to lay it out.
"""

from collections import defaultdict
from collections.abc import (
    Callable,
    Collection,
    Hashable,
    Iterable,
    Iterator,
    Mapping,
    Sequence,
    Set,
)
from enum import Enum, unique
from ipaddress import ip_address
from typing import Annotated, TypeVar

import msgspec
import xxhash
from msgspec import Meta, Struct

from chicoryproxy.address import MAX_PORT
from chicoryproxy.ids import DomainId, ServiceId, UpstreamId, Version
from chicoryproxy.model import (
    Capacity,
    Configuration,
    Domain,
    Endpoint,
    FleetLimits,
    FlowLimits,
    InstanceLimits,
    Service,
    ServiceAddress,
    Upstream,
    WarmUp,
)
from chicoryproxy.states import ReturnPath

MAX_VALUE_BYTES = 1024 * 1024
"""Largest value that the platform's service holds."""

INDEX_NAME = "configuration"
FORMAT = 1
UPSTREAMS_PER_GROUP = 3000
SERVICES_PER_GROUP = 1000

Item = TypeVar("Item")

Positive = Annotated[int, Meta(ge=1)]


class Profile(Struct, frozen=True):
    """Capacity and warm-up that many upstreams of a part share."""

    capacity: Capacity
    warm_up: WarmUp


class PublishedUpstream(Struct, frozen=True, omit_defaults=True):
    """An upstream of a part.

    :param profile: index of the part's profiles.
    """

    id: UpstreamId
    service: ServiceId
    host: str
    port: int
    health: str = ""
    weight: Positive = 1
    draining: bool = False
    profile: Annotated[int, Meta(ge=0)] = 0


class PublishedService(Struct, frozen=True, omit_defaults=True):
    """A service without its upstreams."""

    id: ServiceId
    addresses: tuple[ServiceAddress, ...]
    return_path: ReturnPath = ReturnPath.DIRECT
    limits: FlowLimits = FlowLimits()


class ServicePart(Struct, frozen=True, tag="services", tag_field="kind"):
    """Services of one group."""

    services: tuple[PublishedService, ...]


class UpstreamPart(Struct, frozen=True, tag="upstreams", tag_field="kind"):
    """Upstreams of one group in one failure domain."""

    domain: DomainId
    profiles: tuple[Profile, ...]
    upstreams: tuple[PublishedUpstream, ...]


Part = ServicePart | UpstreamPart
"""A value that the index names."""


class PartEntry(Struct, frozen=True):
    """A part as the index names it.

    :param name: name of the value.
    :param digest: xxh3 digest of the value, 128 bits in hexadecimal.
    """

    name: str
    digest: str


class Group(Struct, frozen=True):
    """The parts of one group of services: the services and all their upstreams."""

    parts: tuple[PartEntry, ...]


class Index(Struct, frozen=True):
    """The value that readers watch.

    :param format: ``FORMAT`` of the writer.
    """

    format: int
    version: Annotated[Version, Meta(ge=1)]
    domains: tuple[Domain, ...]
    fleet: FleetLimits
    instances: tuple[InstanceLimits, ...]
    groups: tuple[Group, ...]

    def list_parts(self) -> tuple[PartEntry, ...]:
        """Return the parts of all groups."""
        return tuple(entry for group in self.groups for entry in group.parts)


class Publication(Struct, frozen=True):
    """All values of one version.

    :param index: value of the name ``INDEX_NAME``.
    :param parts: the other values by their names.
    """

    index: bytes
    parts: Mapping[str, bytes]


@unique
class FaultReason(Enum):
    """Why values are no configuration."""

    MALFORMED = "malformed"
    FORMAT = "written in a format that this reader doesn't know"
    MISSING = "not there"
    DIGEST = "not the one that the index names"
    UNKNOWN_DOMAIN = "names a failure domain that the index doesn't list"
    UNKNOWN_SERVICE = "names a service that no part holds"
    UNKNOWN_PROFILE = "names a profile that it doesn't hold"
    REPEATED = "repeats a service, an upstream or an endpoint"
    TOO_LARGE = "larger than a value may be"


class PublishedFault(Struct, frozen=True):
    """Why values are no configuration.

    :param name: name of the value with the fault.
    """

    reason: FaultReason
    name: str

    def __str__(self) -> str:
        return f"{self.name} is {self.reason.value}"


def publish(configuration: Configuration) -> Publication | PublishedFault:
    """Split a configuration into values.

    A change of one upstream changes one part and the index. A failure domain that is taken out
    changes the index alone.
    """
    groups: list[Group] = []
    parts: dict[str, bytes] = {}
    for labelled in _encode_groups(configuration):
        entries = []
        for label, body in labelled:
            digest = compute_digest(body)
            name = f"{INDEX_NAME}.{label}.{digest}"
            if len(body) > MAX_VALUE_BYTES:
                return PublishedFault(FaultReason.TOO_LARGE, name)
            entries.append(PartEntry(name, digest))
            parts[name] = body
        groups.append(Group(tuple(entries)))
    index = Index(
        format=FORMAT,
        version=configuration.version,
        domains=configuration.domains,
        fleet=configuration.fleet,
        instances=configuration.instances,
        groups=tuple(groups),
    )
    encoded = msgspec.json.encode(index)
    if len(encoded) > MAX_VALUE_BYTES:
        return PublishedFault(FaultReason.TOO_LARGE, INDEX_NAME)
    return Publication(encoded, parts)


def decode_index(body: bytes) -> Index | PublishedFault:
    """Decode the value of ``INDEX_NAME``."""
    try:
        index = msgspec.json.decode(body, type=Index)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return PublishedFault(FaultReason.MALFORMED, INDEX_NAME)
    if index.format != FORMAT:
        return PublishedFault(FaultReason.FORMAT, INDEX_NAME)
    return index


def assemble(index: Index, parts: Mapping[str, bytes]) -> Configuration | PublishedFault:
    """Put the parts of a version together, all or nothing.

    :param index: the index of the version.
    :param parts: values by name; those that the index doesn't name are ignored.
    """
    assembled = []
    for group in index.groups:
        result = _assemble_group(group, parts)
        if isinstance(result, PublishedFault):
            return result
        assembled.append(result)
    return _join_groups(index, assembled)


class PublicationReader:
    """Follows the index and says which parts are to be read.

    Groups of services that did not change are kept as they are, so that a change costs what it
    touches and not what the fleet has.
    """

    def __init__(self) -> None:
        self._index: Index | None = None
        self._groups: dict[Group, _AssembledGroup] = {}
        self._parts: dict[str, bytes] = {}

    def take_index(self, body: bytes) -> tuple[str, ...] | PublishedFault:
        """Take a reading of the index.

        :returns: the names of the parts that are still to be read.
        """
        index = decode_index(body)
        if isinstance(index, PublishedFault):
            return index
        self._index = index
        return tuple(entry.name for entry in index.list_parts() if entry.name not in self._parts)

    def take_part(self, name: str, body: bytes) -> PublishedFault | None:
        """Take a reading of a part; a value with another digest is refused."""
        entries = self._index.list_parts() if self._index else ()
        for entry in entries:
            if entry.name == name:
                if compute_digest(body) != entry.digest:
                    return PublishedFault(FaultReason.DIGEST, name)
                self._parts[name] = body
                return None
        return PublishedFault(FaultReason.MISSING, name)

    def finish(self) -> Configuration | PublishedFault:
        """Assemble the version of the index; forget older ones if that succeeds."""
        if self._index is None:
            return PublishedFault(FaultReason.MISSING, INDEX_NAME)
        groups = {}
        for group in self._index.groups:
            assembled = self._groups.get(group) or _assemble_group(group, self._parts)
            if isinstance(assembled, PublishedFault):
                return assembled
            groups[group] = assembled
        configuration = _join_groups(self._index, [groups[item] for item in self._index.groups])
        if isinstance(configuration, Configuration):
            self._groups = groups
            named = {entry.name for entry in self._index.list_parts()}
            self._parts = {name: body for name, body in self._parts.items() if name in named}
        return configuration


def compute_digest(body: bytes) -> str:
    """Return the xxh3 digest of a value, 128 bits in hexadecimal."""
    return xxhash.xxh3_128_hexdigest(body)


def choose_groups(upstreams: int, services: int) -> int:
    """Return the number of service groups, a power of two so that it rarely changes."""
    groups = 1
    while upstreams > groups * UPSTREAMS_PER_GROUP or services > groups * SERVICES_PER_GROUP:
        groups *= 2
    return groups


def _encode_groups(configuration: Configuration) -> Iterator[Iterator[tuple[str, bytes]]]:
    """Yield the labels and values of each group's parts."""
    services = configuration.services
    groups = choose_groups(sum(len(service.upstreams) for service in services), len(services))
    grouped: dict[int, list[Service]] = defaultdict(list)
    for service in services:
        grouped[xxhash.xxh3_64_intdigest(service.id.encode()) % groups].append(service)
    for group in sorted(grouped):
        yield _encode_group(f"{group:03x}", grouped[group])


def _encode_group(group: str, services: Sequence[Service]) -> Iterator[tuple[str, bytes]]:
    bodies = _encode_pieces(services, _create_service_part)
    for piece, body in enumerate(bodies):
        yield f"services-{group}-{piece}", body
    by_domain: dict[DomainId, list[tuple[Service, Upstream]]] = defaultdict(list)
    for service in services:
        for upstream in service.upstreams:
            by_domain[upstream.domain].append((service, upstream))
    for domain in sorted(by_domain):
        for piece, body in enumerate(_encode_pieces(by_domain[domain], _create_upstream_part)):
            yield f"upstreams-{group}-{domain}-{piece}", body


def _encode_pieces(
    items: Sequence[Item], create: Callable[[Sequence[Item]], Part]
) -> Iterator[bytes]:
    """Yield one value, or several when one would be too large."""
    body = msgspec.json.encode(create(items))
    if len(body) <= MAX_VALUE_BYTES or len(items) == 1:
        yield body
        return
    half = len(items) // 2
    yield from _encode_pieces(items[:half], create)
    yield from _encode_pieces(items[half:], create)


def _create_service_part(services: Sequence[Service]) -> ServicePart:
    return ServicePart(
        tuple(
            PublishedService(service.id, service.addresses, service.return_path, service.limits)
            for service in services
        )
    )


def _create_upstream_part(members: Sequence[tuple[Service, Upstream]]) -> UpstreamPart:
    profiles: dict[Profile, int] = {}
    upstreams = []
    for service, upstream in members:
        profile = Profile(upstream.capacity, upstream.warm_up)
        upstreams.append(
            PublishedUpstream(
                id=upstream.id,
                service=service.id,
                host=upstream.address.host,
                port=upstream.address.port,
                health=upstream.health_url,
                weight=upstream.weight,
                draining=upstream.draining,
                profile=profiles.setdefault(profile, len(profiles)),
            )
        )
    return UpstreamPart(members[0][1].domain, tuple(profiles), tuple(upstreams))


class _AssembledGroup(Struct, frozen=True):
    """The services of a group, and what must not be repeated in the fleet."""

    services: tuple[Service, ...]
    domains: frozenset[DomainId]
    addresses: frozenset[ServiceAddress]
    upstreams: frozenset[UpstreamId]
    endpoints: frozenset[Endpoint]


def _assemble_group(group: Group, parts: Mapping[str, bytes]) -> _AssembledGroup | PublishedFault:
    assembler = _GroupAssembler()
    for entry in group.parts:
        reason = assembler.add(entry, parts.get(entry.name))
        if reason is not None:
            return PublishedFault(reason, entry.name)
    return assembler.finish()


def _join_groups(
    index: Index, groups: Collection[_AssembledGroup]
) -> Configuration | PublishedFault:
    """Return the configuration if the groups don't contradict the index or each other."""
    named = frozenset[DomainId]().union(*(group.domains for group in groups))
    if not named <= {domain.id for domain in index.domains}:
        return PublishedFault(FaultReason.UNKNOWN_DOMAIN, INDEX_NAME)
    services = [service for group in groups for service in group.services]
    distinct = (
        _are_distinct([{service.id for service in group.services} for group in groups])
        and _are_distinct([group.addresses for group in groups])
        and _are_distinct([group.upstreams for group in groups])
        and _are_distinct([group.endpoints for group in groups])
    )
    if not distinct:
        return PublishedFault(FaultReason.REPEATED, INDEX_NAME)
    return Configuration(
        version=index.version,
        domains=index.domains,
        services=tuple(sorted(services, key=lambda service: service.id)),
        fleet=index.fleet,
        instances=index.instances,
    )


def _are_distinct(sets: Sequence[Set[Hashable]]) -> bool:
    return len(frozenset().union(*sets)) == sum(map(len, sets))


class _GroupAssembler:
    """Collects the parts of one group and checks them against each other."""

    def __init__(self) -> None:
        self._domains: set[DomainId] = set()
        self._services: dict[ServiceId, PublishedService] = {}
        self._addresses: set[ServiceAddress] = set()
        self._upstreams: dict[ServiceId, list[Upstream]] = defaultdict(list)
        self._names: set[UpstreamId] = set()
        self._endpoints: set[Endpoint] = set()

    def add(self, entry: PartEntry, body: bytes | None) -> FaultReason | None:
        """Take a part; returns what is wrong with it."""
        if body is None:
            return FaultReason.MISSING
        if compute_digest(body) != entry.digest:
            return FaultReason.DIGEST
        try:
            part: Part = msgspec.json.decode(body, type=Part)
            if isinstance(part, ServicePart):
                return self._add_services(part.services)
            return self._add_upstreams(part)
        except (msgspec.MsgspecError, ValueError, RecursionError):
            return FaultReason.MALFORMED

    def finish(self) -> _AssembledGroup | PublishedFault:
        """Return the group if every upstream belongs to one of its services."""
        if self._upstreams.keys() - self._services.keys():
            return PublishedFault(FaultReason.UNKNOWN_SERVICE, INDEX_NAME)
        return _AssembledGroup(
            services=tuple(self._create_service(name) for name in self._services),
            domains=frozenset(self._domains),
            addresses=frozenset(self._addresses),
            upstreams=frozenset(self._names),
            endpoints=frozenset(self._endpoints),
        )

    def _add_services(self, services: Iterable[PublishedService]) -> FaultReason | None:
        for service in services:
            if service.id in self._services:
                return FaultReason.REPEATED
            for address in service.addresses:
                _check_address(address.host, address.port)
                if address in self._addresses:
                    return FaultReason.REPEATED
                self._addresses.add(address)
            self._services[service.id] = service
        return None

    def _add_upstreams(self, part: UpstreamPart) -> FaultReason | None:
        self._domains.add(part.domain)
        for item in part.upstreams:
            endpoint = Endpoint(item.host, item.port)
            _check_address(item.host, item.port)
            if item.profile >= len(part.profiles):
                return FaultReason.UNKNOWN_PROFILE
            if item.id in self._names or endpoint in self._endpoints:
                return FaultReason.REPEATED
            self._names.add(item.id)
            self._endpoints.add(endpoint)
            profile = part.profiles[item.profile]
            self._upstreams[item.service].append(
                Upstream(
                    id=item.id,
                    domain=part.domain,
                    address=endpoint,
                    weight=item.weight,
                    draining=item.draining,
                    capacity=profile.capacity,
                    warm_up=profile.warm_up,
                    health_url=item.health,
                )
            )
        return None

    def _create_service(self, name: ServiceId) -> Service:
        service = self._services[name]
        upstreams = sorted(self._upstreams.get(name, ()), key=lambda upstream: upstream.id)
        return Service(
            id=name,
            addresses=service.addresses,
            upstreams=tuple(upstreams),
            return_path=service.return_path,
            limits=service.limits,
        )


def _check_address(host: str, port: int) -> None:
    """Check an address.

    :raises ValueError: if the host is no IP number or the port is out of range.
    """
    ip_address(host)
    if not 1 <= port <= MAX_PORT:
        raise ValueError(port)
