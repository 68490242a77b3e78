"""Assembles a configuration from its published values, atomically."""

from collections import defaultdict
from collections.abc import Collection, Hashable, Iterable, Mapping, Sequence, Set
from ipaddress import ip_address

import msgspec
from msgspec import Struct

from chicoryproxy.address import MAX_PORT
from chicoryproxy.configuration.published import (
    INDEX_NAME,
    FaultReason,
    Group,
    Index,
    Part,
    PartEntry,
    PublishedFault,
    PublishedService,
    ServicePart,
    UpstreamPart,
    compute_digest,
    decode_index,
)
from chicoryproxy.ids import NO_VERSION, DomainId, ServiceId, UpstreamId, Version
from chicoryproxy.model import Configuration, Endpoint, Service, ServiceAddress, Upstream


def assemble(index: Index, parts: Mapping[str, bytes]) -> Configuration | PublishedFault:
    """Assemble a configuration; one invalid part invalidates the whole version.

    :param index: index of the version.
    :param parts: values by name; those that the index doesn't refer to are ignored.
    """
    assembled = []
    for group in index.groups:
        result = _assemble_group(group, parts)
        if isinstance(result, PublishedFault):
            return result
        assembled.append(result)
    return _merge_groups(index, assembled)


class PublicationReader:
    """Tracks the index and determines which parts have to be read.

    Unchanged groups of services are reused, so that the cost of an update depends on the size of
    the change and not on the size of the fleet.
    """

    def __init__(self) -> None:
        self._index: Index | None = None
        self._digests: dict[str, str] = {}
        self._groups: dict[Group, _AssembledGroup] = {}
        self._parts: dict[str, bytes] = {}

    @property
    def version(self) -> Version:
        """Version of the current index; ``NO_VERSION`` before the first one."""
        return self._index.version if self._index else NO_VERSION

    def update_index(self, body: bytes) -> tuple[str, ...] | PublishedFault:
        """Replace the index.

        :returns: names of the parts that still have to be read.
        """
        index = decode_index(body)
        if isinstance(index, PublishedFault):
            return index
        self._index = index
        self._digests = {entry.name: entry.digest for entry in index.list_parts()}
        return tuple(name for name in self._digests if name not in self._parts)

    def add_part(self, name: str, body: bytes) -> PublishedFault | None:
        """Store a part; a value with the wrong digest is rejected."""
        if name not in self._digests:
            return PublishedFault(FaultReason.MISSING, name)
        if compute_digest(body) != self._digests[name]:
            return PublishedFault(FaultReason.DIGEST, name)
        self._parts[name] = body
        return None

    def assemble(self) -> Configuration | PublishedFault:
        """Assemble the version of the current index.

        On success, parts and groups of other versions are discarded.
        """
        if self._index is None:
            return PublishedFault(FaultReason.MISSING, INDEX_NAME)
        groups = {}
        for group in self._index.groups:
            assembled = self._groups.get(group) or _assemble_group(group, self._parts)
            if isinstance(assembled, PublishedFault):
                return assembled
            groups[group] = assembled
        configuration = _merge_groups(self._index, [groups[item] for item in self._index.groups])
        if isinstance(configuration, Configuration):
            self._groups = groups
            self._parts = {name: self._parts[name] for name in self._digests}
        return configuration


class _AssembledGroup(Struct, frozen=True):
    """The services of a group, and the values that must be unique in the fleet."""

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
    return assembler.assemble()


def _merge_groups(
    index: Index, groups: Collection[_AssembledGroup]
) -> Configuration | PublishedFault:
    """Return the configuration if the groups are consistent with the index and each other."""
    named = frozenset[DomainId]().union(*(group.domains for group in groups))
    if not named <= {domain.id for domain in index.domains}:
        return PublishedFault(FaultReason.UNKNOWN_DOMAIN, INDEX_NAME)
    services = [service for group in groups for service in group.services]
    distinct = (
        _are_disjoint([{service.id for service in group.services} for group in groups])
        and _are_disjoint([group.addresses for group in groups])
        and _are_disjoint([group.upstreams for group in groups])
        and _are_disjoint([group.endpoints for group in groups])
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


def _are_disjoint(sets: Sequence[Set[Hashable]]) -> bool:
    return len(frozenset().union(*sets)) == sum(map(len, sets))


class _GroupAssembler:
    """Collects the parts of one group and checks that they are consistent."""

    def __init__(self) -> None:
        self._domains: set[DomainId] = set()
        self._services: dict[ServiceId, PublishedService] = {}
        self._addresses: set[ServiceAddress] = set()
        self._upstreams: dict[ServiceId, list[Upstream]] = defaultdict(list)
        self._names: set[UpstreamId] = set()
        self._endpoints: set[Endpoint] = set()

    def add(self, entry: PartEntry, body: bytes | None) -> FaultReason | None:
        """Add a part.

        :returns: why the part is invalid; ``None`` if it is valid.
        """
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

    def assemble(self) -> _AssembledGroup | PublishedFault:
        """Return the group if each upstream belongs to one of its services."""
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

    :raises ValueError: if the host is not an IP address or the port is out of range.
    """
    ip_address(host)
    if not 1 <= port <= MAX_PORT:
        raise ValueError(port)
