"""The written form of the fleet's configuration; each key's notes are its documentation.

``defaults`` holds for the whole fleet. An exception covers a part of it, changes some keys there
and states its reason. ``domains`` and ``services`` say what exists. A value comes from, in rising
order: the system's built-in value, ``defaults``, the entry of the upstream or service itself, an
exception.
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
    """What a warm upstream bears."""

    slots: Annotated[
        Count | UnsetType, Meta(description="requests that an upstream serves at the same time")
    ] = UNSET
    connections: Annotated[
        Count | UnsetType,
        Meta(description="connections that an upstream holds at the same time"),
    ] = UNSET


class WrittenWarmUp(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """What an upstream bears while it is cold and how that grows."""

    cold_openings: Annotated[
        Rate | UnsetType, Meta(description="openings per second that a cold upstream bears")
    ] = UNSET
    full_openings: Annotated[
        Rate | UnsetType, Meta(description="openings per second that a ready upstream bears")
    ] = UNSET
    duration: Annotated[
        DurationText | UnsetType, Meta(description="shortest time from cold to ready")
    ] = UNSET


class WrittenLimits(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Times and budgets of a service's flows."""

    idle_timeout: Annotated[
        DurationText | UnsetType,
        Meta(description="time without a packet after which a flow is over"),
    ] = UNSET
    opening_timeout: Annotated[
        DurationText | UnsetType,
        Meta(description="longest time that an opening is held or retried"),
    ] = UNSET
    retry_ratio: Annotated[
        PercentText | UnsetType,
        Meta(description="share of openings that may be tried at a second upstream"),
    ] = UNSET


class WrittenInstanceLimits(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Limits of one entry instance."""

    control_rate: Annotated[
        SizeText | UnsetType,
        Meta(description="control traffic that one instance may send per second"),
    ] = UNSET
    flow_table_size: Annotated[
        Count | UnsetType, Meta(description="largest number of flows that an entry records")
    ] = UNSET


class WrittenFleet(WrittenInstanceLimits, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Settings of the system's own processes, fleet-wide."""

    spread: Annotated[
        DurationText | UnsetType,
        Meta(description="time after which a version is in force although a peer is silent"),
    ] = UNSET
    lease: Annotated[DurationText | UnsetType, Meta(description="lifetime of a grant")] = UNSET
    probe_interval: Annotated[
        DurationText | UnsetType, Meta(description="time between two membership probes")
    ] = UNSET
    suspicion: Annotated[
        DurationText | UnsetType,
        Meta(description="time from the suspicion of an instance until it counts as hidden"),
    ] = UNSET
    pause: Annotated[
        DurationText | UnsetType,
        Meta(description="gap between two ticks of an instance that counts as a pause"),
    ] = UNSET


class WrittenDefaults(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Values for the whole fleet."""

    return_path: Annotated[
        ReturnPath | UnsetType,
        Meta(description="whether answers travel direct to the caller or over an entry"),
    ] = UNSET
    limits: Annotated[WrittenLimits | UnsetType, Meta(description="times and budgets of flows")] = (
        UNSET
    )
    weight: Annotated[
        Count | UnsetType, Meta(description="an upstream's share relative to the others")
    ] = UNSET
    capacity: Annotated[
        WrittenCapacity | UnsetType, Meta(description="what a warm upstream bears")
    ] = UNSET
    warm_up: Annotated[
        WrittenWarmUp | UnsetType, Meta(description="how an upstream gets from cold to ready")
    ] = UNSET
    fleet: Annotated[
        WrittenFleet | UnsetType, Meta(description="settings of the system's own processes")
    ] = UNSET


class Cover(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """What an exception covers; with several keys, what all of them name."""

    region: Annotated[Name | UnsetType, Meta(description="a region")] = UNSET
    domain: Annotated[Name | UnsetType, Meta(description="a failure domain")] = UNSET
    service: Annotated[Name | UnsetType, Meta(description="a service")] = UNSET
    upstream: Annotated[Name | UnsetType, Meta(description="an upstream")] = UNSET
    instance: Annotated[Name | UnsetType, Meta(description="an entry instance")] = UNSET


class Change(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """What an exception changes."""

    state: Annotated[
        DomainState | UnsetType,
        Meta(description="takes a failure domain out (`out`); covers a region or domain"),
    ] = UNSET
    draining: Annotated[
        bool | UnsetType, Meta(description="upstreams take no opening but keep their flows")
    ] = UNSET
    return_path: Annotated[
        ReturnPath | UnsetType, Meta(description="as in `defaults`; covers a service")
    ] = UNSET
    limits: Annotated[
        WrittenLimits | UnsetType, Meta(description="as in `defaults`; covers a service")
    ] = UNSET
    weight: Annotated[Count | UnsetType, Meta(description="as in `defaults`")] = UNSET
    capacity: Annotated[WrittenCapacity | UnsetType, Meta(description="as in `defaults`")] = UNSET
    warm_up: Annotated[WrittenWarmUp | UnsetType, Meta(description="as in `defaults`")] = UNSET
    fleet: Annotated[
        WrittenInstanceLimits | UnsetType,
        Meta(description="as in `defaults`; covers an instance"),
    ] = UNSET


class WrittenException(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A deviation from the defaults, with its reason."""

    cover: Annotated[Cover, Meta(description="what the exception covers")]
    change: Annotated[Change, Meta(description="what it changes there")]
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
            description="last day of the exception; later it is a finding",
            examples=["2027-03-31"],
        ),
    ] = UNSET


class WrittenDomain(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A failure domain."""

    region: Annotated[Name, Meta(description="region that the failure domain belongs to")]


class WrittenUpstream(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A server of a service."""

    domain: Annotated[Name, Meta(description="failure domain that the upstream runs in")]
    address: Annotated[EndpointText, Meta(description="where its kernel takes IP-in-UDP packets")]
    health: Annotated[
        UrlText | UnsetType, Meta(description="URL of its health and load endpoint")
    ] = UNSET
    weight: Annotated[Count | UnsetType, Meta(description="as in `defaults`")] = UNSET
    capacity: Annotated[WrittenCapacity | UnsetType, Meta(description="as in `defaults`")] = UNSET
    warm_up: Annotated[WrittenWarmUp | UnsetType, Meta(description="as in `defaults`")] = UNSET


class WrittenService(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A service."""

    addresses: Annotated[
        tuple[EndpointText, ...], Meta(description="IP numbers and ports that callers use")
    ]
    protocol: Annotated[WrittenProtocol, Meta(description="transport protocol")] = (
        WrittenProtocol.TCP
    )
    return_path: Annotated[ReturnPath | UnsetType, Meta(description="as in `defaults`")] = UNSET
    limits: Annotated[WrittenLimits | UnsetType, Meta(description="as in `defaults`")] = UNSET
    upstreams: Annotated[
        dict[Name, WrittenUpstream], Meta(description="its servers by name, unique in the fleet")
    ]


class WrittenConfiguration(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The configuration of the fleet."""

    defaults: Annotated[WrittenDefaults, Meta(description="values for the whole fleet")] = (
        WrittenDefaults()
    )
    exceptions: Annotated[
        tuple[WrittenException, ...],
        Meta(description="deviations from the defaults, each with its reason"),
    ] = ()
    domains: Annotated[dict[Name, WrittenDomain], Meta(description="failure domains by name")]
    services: Annotated[dict[Name, WrittenService], Meta(description="services by name")]
