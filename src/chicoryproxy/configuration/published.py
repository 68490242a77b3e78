"""The published form of a configuration: a small index and the parts that it names.

The platform's service holds values up to a megabyte. The index carries the version, the failure
domains, the fleet's limits, and the name and digest of each part; a part holds the services of a
group, or a group's upstreams of one failure domain. The name of a part contains its digest, so a
part never changes, and the parts of the version before stay readable while the index is replaced.
``docs/design/published-form.md`` compares the ways to lay it out.
"""

from collections.abc import Mapping
from enum import Enum, unique
from typing import Annotated

import msgspec
import xxhash
from msgspec import Meta, Struct

from chicoryproxy.ids import DomainId, ServiceId, UpstreamId, Version
from chicoryproxy.model import (
    Capacity,
    Domain,
    FleetLimits,
    FlowLimits,
    InstanceLimits,
    ServiceAddress,
    WarmUp,
)
from chicoryproxy.states import ReturnPath

MAX_VALUE_BYTES = 1024 * 1024
"""Largest value that the platform's service holds."""

INDEX_NAME = "configuration"
INDEX_FORMAT = 1

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

    :param format: ``INDEX_FORMAT`` of the writer.
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
    INDEX_FORMAT = "written in a format that this reader doesn't know"
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


def decode_index(body: bytes) -> Index | PublishedFault:
    """Decode the value of ``INDEX_NAME``."""
    try:
        index = msgspec.json.decode(body, type=Index)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return PublishedFault(FaultReason.MALFORMED, INDEX_NAME)
    if index.format != INDEX_FORMAT:
        return PublishedFault(FaultReason.INDEX_FORMAT, INDEX_NAME)
    return index


def compute_digest(body: bytes) -> str:
    """Return the xxh3 digest of a value, 128 bits in hexadecimal."""
    return xxhash.xxh3_128_hexdigest(body)
