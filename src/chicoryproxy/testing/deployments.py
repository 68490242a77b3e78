"""Deployments of the two users for tests: ``create_tenggara`` and ``create_al_batinah``."""

from collections.abc import Sequence

import msgspec

from chicoryproxy.ids import DomainId, InstanceId, RegionId, ServiceId, UpstreamId, Version
from chicoryproxy.model import (
    Capacity,
    Configuration,
    Domain,
    Endpoint,
    FleetLimits,
    FlowLimits,
    Instance,
    Service,
    ServiceAddress,
    Upstream,
    WarmUp,
)
from chicoryproxy.states import DomainState, Protocol, ReturnPath
from chicoryproxy.testing._fakefleet import FakeFleet

DATA_PORT = 5555
PEER_PORT = 5556
VIEW_PORT = 5557


class Deployment(msgspec.Struct, frozen=True):
    """An initial configuration, its instances and the one-way network latencies in seconds."""

    configuration: Configuration
    instances: tuple[Instance, ...]
    latency_s: float
    caller_latency_s: float

    def create_fleet(self, seed: int = 1, loss: float = 0.0) -> FakeFleet:
        """Create a fleet of this deployment."""
        return FakeFleet(
            self.configuration,
            self.instances,
            seed,
            self.latency_s,
            self.caller_latency_s,
            loss,
        )


def create_instances(
    domains: Sequence[DomainId], region: RegionId, count: int, first: int = 1
) -> tuple[Instance, ...]:
    """Create instances, distributed round-robin over the failure domains."""
    return tuple(
        _create_instance(number, domains[number % len(domains)], region)
        for number in range(first, first + count)
    )


def _create_instance(number: int, domain: DomainId, region: RegionId) -> Instance:
    host = f"127.0.{number // 250}.{number % 250 + 1}"
    return Instance(
        InstanceId(f"entry-{number}"),
        domain,
        region,
        Endpoint(host, DATA_PORT),
        Endpoint(host, PEER_PORT),
        Endpoint(host, VIEW_PORT),
    )


def create_tenggara(instances: int = 7, idle_timeout_s: float = 300.0) -> Deployment:
    """Create Tenggara Kilang's deployment: three failure domains; qa-desk and cert-store."""
    domains = tuple(DomainId(name) for name in ("shah-alam", "cyberjaya", "port-klang"))
    region = RegionId("klang-valley")
    services = (
        _create_service("qa-desk", 1, domains, 7, 2, idle_timeout_s),
        _create_service("cert-store", 2, domains, 3, 2, idle_timeout_s),
    )
    return Deployment(
        _create_configuration(domains, region, services),
        create_instances(domains, region, instances),
        latency_s=0.0015,
        caller_latency_s=0.001,
    )


def create_al_batinah(instances: int = 7, idle_timeout_s: float = 300.0) -> Deployment:
    """Create Al Batinah's deployment: four failure domains; recovery-log, report-archive."""
    domains = tuple(DomainId(name) for name in ("sohar-a", "sohar-b", "barka-a", "barka-b"))
    region = RegionId("om-north")
    services = (
        _create_service("recovery-log", 1, domains, 7, 3, idle_timeout_s),
        _create_service("report-archive", 2, domains, 4, 3, idle_timeout_s),
    )
    return Deployment(
        _create_configuration(domains, region, services),
        create_instances(domains, region, instances),
        latency_s=0.001,
        caller_latency_s=0.003,
    )


def _create_configuration(
    domains: Sequence[DomainId], region: RegionId, services: tuple[Service, ...]
) -> Configuration:
    return Configuration(
        Version(1), tuple(Domain(name, region) for name in domains), services, FleetLimits()
    )


def _create_service(
    name: str,
    number: int,
    domains: Sequence[DomainId],
    upstreams: int,
    slots: int,
    idle_timeout_s: float,
) -> Service:
    return Service(
        ServiceId(name),
        (ServiceAddress(f"198.51.100.{number}", 443, Protocol.TCP),),
        tuple(
            create_upstream(name, number, index, domains[index % len(domains)], slots)
            for index in range(upstreams)
        ),
        ReturnPath.ENTRY,
        FlowLimits(idle_timeout_s=idle_timeout_s),
    )


def create_upstream(
    service: str, number: int, index: int, domain: DomainId, slots: int = 2
) -> Upstream:
    """Create an upstream of a service."""
    address = f"127.9.{number}.{index + 1}"
    return Upstream(
        UpstreamId(f"{service}-{index}"),
        domain,
        Endpoint(address, DATA_PORT),
        capacity=Capacity(slots, 2000),
        warm_up=WarmUp(cold_openings=5.0, full_openings=500.0, duration_s=10.0),
        health_url=f"http://{address}/health",
    )


def change_upstreams(
    configuration: Configuration, service: ServiceId, upstreams: Sequence[Upstream]
) -> Configuration:
    """Return the next version of a configuration, with the upstreams of one service replaced."""
    services = tuple(
        (
            msgspec.structs.replace(item, upstreams=tuple(sorted(upstreams, key=_get_id)))
            if item.id == service
            else item
        )
        for item in configuration.services
    )
    return msgspec.structs.replace(
        configuration, version=Version(configuration.version + 1), services=services
    )


def set_domain(configuration: Configuration, name: DomainId, state: DomainState) -> Configuration:
    """Return the next version of a configuration, with the state of a failure domain changed."""
    domains = tuple(
        msgspec.structs.replace(item, state=state) if item.id == name else item
        for item in configuration.domains
    )
    return msgspec.structs.replace(
        configuration, version=Version(configuration.version + 1), domains=domains
    )


def _get_id(upstream: Upstream) -> str:
    return upstream.id
