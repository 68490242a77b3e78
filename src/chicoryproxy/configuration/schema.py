"""Schema of the fleet's configuration files; the descriptions of the keys document them.

``defaults`` applies to the whole fleet. An exception covers a part of the fleet, changes some keys
there and gives a reason. ``domains`` and ``services`` list the objects of the fleet. The layers of
a value are, in ascending order of precedence: the built-in value, ``defaults``, the entry of the
upstream or service itself, and an exception.
"""

from datetime import date
from enum import Enum, unique
from typing import Annotated

from msgspec import UNSET, Meta, Struct, UnsetType

from chicoryproxy.configuration.notation import (
    Count,
    DurationText,
    EndpointText,
    Name,
    PercentText,
    Rate,
    SizeText,
    UrlText,
)
from chicoryproxy.states import DomainState, ReturnPath


@unique
class WrittenProtocol(Enum):
    """Transport protocols by name."""

    TCP = "tcp"
    UDP = "udp"


class WrittenCapacity(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Capacity of a ready upstream."""

    slots: Annotated[
        Count | UnsetType,
        Meta(description="number of concurrent requests that an upstream can serve"),
    ] = UNSET
    connections: Annotated[
        Count | UnsetType,
        Meta(description="number of concurrent connections that an upstream can hold"),
    ] = UNSET


class WrittenWarmUp(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Limits of openings while an upstream warms up."""

    cold_openings: Annotated[
        Rate | UnsetType, Meta(description="openings per second that a cold upstream accepts")
    ] = UNSET
    full_openings: Annotated[
        Rate | UnsetType, Meta(description="openings per second that a ready upstream accepts")
    ] = UNSET
    duration: Annotated[
        DurationText | UnsetType, Meta(description="minimum time from cold to ready")
    ] = UNSET


class WrittenLimits(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Timeouts and retry budget of the flows of a service."""

    idle_timeout: Annotated[
        DurationText | UnsetType,
        Meta(description="time without a packet after which a flow expires"),
    ] = UNSET
    opening_timeout: Annotated[
        DurationText | UnsetType,
        Meta(description="maximum time for which an opening is held or retried"),
    ] = UNSET
    retry_ratio: Annotated[
        PercentText | UnsetType,
        Meta(description="share of openings that may be retried at a second upstream"),
    ] = UNSET


class WrittenInstanceLimits(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Limits of one entry instance."""

    control_rate: Annotated[
        SizeText | UnsetType,
        Meta(description="control traffic that one instance may send per second"),
    ] = UNSET
    flow_table_size: Annotated[
        Count | UnsetType, Meta(description="maximum number of flows that an entry records")
    ] = UNSET


class WrittenFleet(WrittenInstanceLimits, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Fleet-wide settings of the load balancer's own processes."""

    spread: Annotated[
        DurationText | UnsetType,
        Meta(
            description="time after which a version takes effect without confirmation by all peers"
        ),
    ] = UNSET
    lease: Annotated[
        DurationText | UnsetType, Meta(description="lifetime of a grant of openings")
    ] = UNSET
    probe_interval: Annotated[
        DurationText | UnsetType, Meta(description="interval between two membership probes")
    ] = UNSET
    suspicion: Annotated[
        DurationText | UnsetType,
        Meta(description="time after which a suspected instance counts as hidden"),
    ] = UNSET
    pause: Annotated[
        DurationText | UnsetType,
        Meta(
            description="gap between two ticks after which an instance is considered to have paused"
        ),
    ] = UNSET


class WrittenDefaults(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Default values for the whole fleet."""

    return_path: Annotated[
        ReturnPath | UnsetType,
        Meta(description="whether responses are sent directly to the caller or through an entry"),
    ] = UNSET
    limits: Annotated[
        WrittenLimits | UnsetType, Meta(description="timeouts and retry budget of flows")
    ] = UNSET
    weight: Annotated[
        Count | UnsetType, Meta(description="share of an upstream relative to the others")
    ] = UNSET
    capacity: Annotated[
        WrittenCapacity | UnsetType, Meta(description="capacity of a ready upstream")
    ] = UNSET
    warm_up: Annotated[
        WrittenWarmUp | UnsetType, Meta(description="limits of openings while an upstream warms up")
    ] = UNSET
    fleet: Annotated[
        WrittenFleet | UnsetType, Meta(description="settings of the load balancer's own processes")
    ] = UNSET


class Cover(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Objects that an exception applies to: those that match all of the given keys."""

    region: Annotated[Name | UnsetType, Meta(description="name of a region")] = UNSET
    domain: Annotated[Name | UnsetType, Meta(description="name of a failure domain")] = UNSET
    service: Annotated[Name | UnsetType, Meta(description="name of a service")] = UNSET
    upstream: Annotated[Name | UnsetType, Meta(description="name of an upstream")] = UNSET
    instance: Annotated[Name | UnsetType, Meta(description="name of an entry instance")] = UNSET


class Change(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Values that an exception changes."""

    state: Annotated[
        DomainState | UnsetType,
        Meta(description="`out` takes failure domains out of service; for a region or domain"),
    ] = UNSET
    draining: Annotated[
        bool | UnsetType, Meta(description="upstreams accept no openings but keep their flows")
    ] = UNSET
    return_path: Annotated[
        ReturnPath | UnsetType, Meta(description="as in `defaults`; for a service")
    ] = UNSET
    limits: Annotated[
        WrittenLimits | UnsetType, Meta(description="as in `defaults`; for a service")
    ] = UNSET
    weight: Annotated[Count | UnsetType, Meta(description="as in `defaults`")] = UNSET
    capacity: Annotated[WrittenCapacity | UnsetType, Meta(description="as in `defaults`")] = UNSET
    warm_up: Annotated[WrittenWarmUp | UnsetType, Meta(description="as in `defaults`")] = UNSET
    fleet: Annotated[
        WrittenInstanceLimits | UnsetType,
        Meta(description="as in `defaults`; for an instance"),
    ] = UNSET


class WrittenException(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """An exception to the defaults, with its reason."""

    cover: Annotated[Cover, Meta(description="objects that the exception applies to")]
    change: Annotated[Change, Meta(description="values that the exception changes")]
    reason: Annotated[
        str,
        Meta(
            title="a sentence",
            description="why the exception exists",
            min_length=1,
            examples=["server is being moved to another rack"],
        ),
    ]
    until: Annotated[
        date | UnsetType,
        Meta(
            title="a date",
            description="last day of the exception; after this day it is reported as a finding",
            examples=["2027-03-31"],
        ),
    ] = UNSET


class WrittenDomain(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A failure domain."""

    region: Annotated[Name, Meta(description="region that the failure domain belongs to")]


class WrittenUpstream(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """An upstream server of a service."""

    domain: Annotated[Name, Meta(description="failure domain that the upstream runs in")]
    address: Annotated[
        EndpointText, Meta(description="address at which its kernel receives IP-in-UDP packets")
    ]
    health: Annotated[
        UrlText | UnsetType, Meta(description="URL of its health and load endpoint")
    ] = UNSET
    weight: Annotated[Count | UnsetType, Meta(description="as in `defaults`")] = UNSET
    capacity: Annotated[WrittenCapacity | UnsetType, Meta(description="as in `defaults`")] = UNSET
    warm_up: Annotated[WrittenWarmUp | UnsetType, Meta(description="as in `defaults`")] = UNSET


class WrittenService(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A service."""

    addresses: Annotated[
        tuple[EndpointText, ...], Meta(description="IP addresses and ports that callers connect to")
    ]
    protocol: Annotated[WrittenProtocol, Meta(description="transport protocol")] = (
        WrittenProtocol.TCP
    )
    return_path: Annotated[ReturnPath | UnsetType, Meta(description="as in `defaults`")] = UNSET
    limits: Annotated[WrittenLimits | UnsetType, Meta(description="as in `defaults`")] = UNSET
    upstreams: Annotated[
        dict[Name, WrittenUpstream],
        Meta(description="its upstreams by name; names are unique in the fleet"),
    ]


class WrittenConfiguration(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The configuration of the fleet."""

    defaults: Annotated[WrittenDefaults, Meta(description="default values for the whole fleet")] = (
        WrittenDefaults()
    )
    exceptions: Annotated[
        tuple[WrittenException, ...],
        Meta(description="exceptions to the defaults, each with a reason"),
    ] = ()
    domains: Annotated[dict[Name, WrittenDomain], Meta(description="failure domains by name")]
    services: Annotated[dict[Name, WrittenService], Meta(description="services by name")]
