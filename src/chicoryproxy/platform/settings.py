"""Decoder of the settings file that the platform writes for each process."""

import os

from msgspec import Struct, field

from chicoryproxy.endpoint import Endpoint
from chicoryproxy.errors import SettingsError
from chicoryproxy.finding import FindingList, Place
from chicoryproxy.forwarding.model import Bounds, EntrySettings
from chicoryproxy.ids import DomainId, InstanceId, RegionId
from chicoryproxy.platform.jsonvalue import decode_json
from chicoryproxy.platform.packetaddress import LISTEN_KEY, PACKETS_KEY, SETTINGS_VARIABLE
from chicoryproxy.platform.records import parse_endpoint

HEALTH_CONTRACT = "health"
"""If this contract is in force, health checks may report false positives and false negatives."""

METRICS_PORT = 9464
"""Must match ``metrics`` in ``deploy/system.toml``."""


class _Listen(Struct):
    packets: str = field(name=PACKETS_KEY)
    readiness: str = field(name="Ready")


class _Bounds(Struct):
    grace_s: float = field(name="GracePeriodS", default=6.0)
    drain_ms: float = field(name="DrainTimeoutMs", default=3000.0)
    config_apply_ms: float = field(name="ConfigApplyMs", default=3000.0)
    cold_overage: float = field(name="ColdOverage", default=1.5)
    cold_slack: float = field(name="ColdSlack", default=5.0)


class _Limits(Struct):
    link_mbps: float = field(name="LinkMbps", default=1000.0)


class _Store(Struct):
    address: str = field(name="Address")


class _Node(Struct):
    name: str = field(name="NodeName")
    host: str = field(name="IpAddress")
    zone: str = field(name="Zone")
    zones: dict[str, str] = field(name="Zones")
    listen: _Listen = field(name=LISTEN_KEY)
    # First and last port of the range that is reserved for this system's internal traffic.
    internal_ports: tuple[int, int] = field(name="InternalPorts")
    store: _Store = field(name="platform")
    seeds: tuple[str, ...] = field(name="SeedNodes", default=())
    contracts: tuple[str, ...] = field(name="Contracts", default=())
    limits: _Limits = field(name="Limits", default_factory=_Limits)
    bounds: _Bounds = field(name="Bounds", default_factory=_Bounds)


def get_settings_path() -> str:
    """Return the path of the settings file.

    :raises SettingsError: if the environment variable that holds it is not set.
    """
    value = os.environ.get(SETTINGS_VARIABLE, "")
    if not value:
        remedy = "set it to the path of the settings file"
        raise _create_error(SETTINGS_VARIABLE, "the variable is not set", remedy)
    return value


def read_settings(path: str) -> EntrySettings:
    """Read and validate the settings of this process.

    :raises SettingsError: naming the file and the invalid value.
    """
    try:
        with open(path, "rb") as file:
            node = decode_json(file.read(), _Node)
        return _convert(node)
    except OSError as error:
        raise _create_error(path, str(error), "make the file readable") from error
    except ValueError as error:
        raise _create_error(path, str(error), "correct the value at this place") from error


def _create_error(place: str, message: str, remedy: str) -> SettingsError:
    findings = FindingList()
    findings.add(Place(place), message, remedy)
    return SettingsError(findings)


def _convert(node: _Node) -> EntrySettings:
    peer_port = node.internal_ports[0]
    seeds = tuple(Endpoint(parse_endpoint(seed).host, peer_port) for seed in node.seeds)
    bounds = node.bounds
    return EntrySettings(
        InstanceId(node.name),
        DomainId(node.zone),
        {DomainId(zone): RegionId(region) for zone, region in node.zones.items()},
        parse_endpoint(node.listen.packets),
        parse_endpoint(node.listen.readiness),
        Endpoint(node.host, peer_port),
        Endpoint(node.host, METRICS_PORT),
        seeds,
        parse_endpoint(node.store.address),
        int(node.limits.link_mbps),
        HEALTH_CONTRACT in node.contracts,
        Bounds(
            bounds.grace_s,
            bounds.drain_ms / 1000,
            bounds.config_apply_ms / 1000,
            bounds.cold_overage,
            bounds.cold_slack,
        ),
    )
