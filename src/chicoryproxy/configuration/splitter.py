"""Splits a configuration into the values of its published form."""

from collections import defaultdict
from collections.abc import Callable, Iterator, Sequence
from typing import TypeVar

import msgspec
import xxhash

from chicoryproxy.configuration.published import (
    INDEX_FORMAT,
    INDEX_NAME,
    MAX_VALUE_BYTES,
    FaultReason,
    Group,
    Index,
    Part,
    PartEntry,
    Profile,
    Publication,
    PublishedFault,
    PublishedService,
    PublishedUpstream,
    ServicePart,
    UpstreamPart,
    compute_digest,
)
from chicoryproxy.ids import DomainId
from chicoryproxy.model import Configuration, Service, Upstream

MAX_UPSTREAMS_PER_GROUP = 3000
MAX_SERVICES_PER_GROUP = 1000

Item = TypeVar("Item")


def split_configuration(configuration: Configuration) -> Publication | PublishedFault:
    """Split a configuration into an index and parts.

    A change to one upstream changes one part and the index. Taking a failure domain out of service
    changes only the index.
    """
    groups: list[Group] = []
    parts: dict[str, bytes] = {}
    for group_values in _encode_groups(configuration):
        entries = []
        for label, body in group_values:
            digest = compute_digest(body)
            name = f"{INDEX_NAME}.{label}.{digest}"
            if len(body) > MAX_VALUE_BYTES:
                return PublishedFault(FaultReason.TOO_LARGE, name)
            entries.append(PartEntry(name, digest))
            parts[name] = body
        groups.append(Group(tuple(entries)))
    index = Index(
        format=INDEX_FORMAT,
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


def compute_group_count(upstreams: int, services: int) -> int:
    """Return the number of groups of services, a power of two so that it rarely changes."""
    groups = 1
    while (
        upstreams > groups * MAX_UPSTREAMS_PER_GROUP or services > groups * MAX_SERVICES_PER_GROUP
    ):
        groups *= 2
    return groups


def _encode_groups(configuration: Configuration) -> Iterator[Iterator[tuple[str, bytes]]]:
    """Yield the labels and values of the parts of each group."""
    services = configuration.services
    groups = compute_group_count(sum(len(service.upstreams) for service in services), len(services))
    grouped: dict[int, list[Service]] = defaultdict(list)
    for service in services:
        grouped[xxhash.xxh3_64_intdigest(service.id.encode()) % groups].append(service)
    for group in sorted(grouped):
        yield _encode_group(f"{group:03x}", grouped[group])


def _encode_group(group: str, services: Sequence[Service]) -> Iterator[tuple[str, bytes]]:
    bodies = _encode_chunks(services, _create_service_part)
    for chunk, body in enumerate(bodies):
        yield f"services-{group}-{chunk}", body
    by_domain: dict[DomainId, list[tuple[Service, Upstream]]] = defaultdict(list)
    for service in services:
        for upstream in service.upstreams:
            by_domain[upstream.domain].append((service, upstream))
    for domain in sorted(by_domain):
        for chunk, body in enumerate(_encode_chunks(by_domain[domain], _create_upstream_part)):
            yield f"upstreams-{group}-{domain}-{chunk}", body


def _encode_chunks(
    items: Sequence[Item], create: Callable[[Sequence[Item]], Part]
) -> Iterator[bytes]:
    """Encode items as one value, or as several if one would be too large."""
    body = msgspec.json.encode(create(items))
    if len(body) <= MAX_VALUE_BYTES or len(items) == 1:
        yield body
        return
    half = len(items) // 2
    yield from _encode_chunks(items[:half], create)
    yield from _encode_chunks(items[half:], create)


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
