"""Published form of a configuration: a small index and the parts that it refers to.

The platform's service stores values of up to 1 MiB. The index contains the version, the failure
domains, the limits of the fleet, and the name and digest of each part. A part contains the services
of a group, or the upstreams of a group in one failure domain. The name of a part includes its
digest, so parts are immutable, and the parts of the previous version stay readable while the index
is replaced. ``docs/design/published-form.md`` compares alternative layouts.
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
"""Maximum size of a value in the platform's service."""

INDEX_NAME = "configuration"
INDEX_FORMAT = 1

Positive = Annotated[int, Meta(ge=1)]


class Profile(Struct, frozen=True):
    """Capacity and warm-up shared by several upstreams of a part."""

    capacity: Capacity
    warm_up: WarmUp


class PublishedUpstream(Struct, frozen=True, omit_defaults=True):
    """An upstream in a part.

    :param profile: index into the profiles of the part.
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
    """Services of a group."""

    services: tuple[PublishedService, ...]


class UpstreamPart(Struct, frozen=True, tag="upstreams", tag_field="kind"):
    """Upstreams of a group in one failure domain."""

    domain: DomainId
    profiles: tuple[Profile, ...]
    upstreams: tuple[PublishedUpstream, ...]


Part = ServicePart | UpstreamPart
"""A value that the index refers to."""


class PartEntry(Struct, frozen=True):
    """Reference to a part in the index.

    :param name: name of the value.
    :param digest: 128-bit xxh3 digest of the value, in hexadecimal.
    """

    name: str
    digest: str


class Group(Struct, frozen=True):
    """References to the parts of a group: its services and all their upstreams."""

    parts: tuple[PartEntry, ...]


class Index(Struct, frozen=True):
    """The value that readers watch.

    :param format: format version of the writer, see ``INDEX_FORMAT``.
    """

    format: int
    version: Annotated[Version, Meta(ge=1)]
    domains: tuple[Domain, ...]
    fleet: FleetLimits
    instances: tuple[InstanceLimits, ...]
    groups: tuple[Group, ...]

    def list_parts(self) -> tuple[PartEntry, ...]:
        """Return the references to the parts of all groups."""
        return tuple(entry for group in self.groups for entry in group.parts)


class Publication(Struct, frozen=True):
    """All values of one version.

    :param index: value with the name ``INDEX_NAME``.
    :param parts: other values by name.
    """

    index: bytes
    parts: Mapping[str, bytes]


@unique
class FaultReason(Enum):
    """Why published values are invalid."""

    MALFORMED = "malformed"
    INDEX_FORMAT = "format is not supported by this version"
    MISSING = "missing"
    DIGEST = "digest differs from the one that the index names"
    UNKNOWN_DOMAIN = "refers to a failure domain that is not in the index"
    UNKNOWN_SERVICE = "refers to a service that is not in any part"
    UNKNOWN_PROFILE = "refers to a profile that is not in the part"
    REPEATED = "contains a duplicate service, upstream or endpoint"
    TOO_LARGE = "exceeds the maximum size of a value"


class PublishedFault(Struct, frozen=True):
    """An error in published values.

    :param name: name of the invalid value.
    """

    reason: FaultReason
    name: str

    def __str__(self) -> str:
        return f"{self.name}: {self.reason.value}"


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
    """Return the 128-bit xxh3 digest of a value, in hexadecimal."""
    return xxhash.xxh3_128_hexdigest(body)
