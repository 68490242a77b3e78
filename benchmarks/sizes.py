"""Size of the published configuration of a generated fleet.

``python -m benchmarks.sizes`` prints the number and bytes of the values, the time and memory to
read them, and the platform calls of all readers together.
"""

import argparse
import gc
import json
import time
import tracemalloc
from datetime import date

import psutil
from msgspec import Struct, structs

from chicoryproxy.configuration.assembly import PublicationReader
from chicoryproxy.configuration.configuration import create_configuration
from chicoryproxy.configuration.document import DocumentFault
from chicoryproxy.configuration.jsonreader import read_json
from chicoryproxy.configuration.published import (
    INDEX_NAME,
    Publication,
    PublishedFault,
)
from chicoryproxy.configuration.splitter import split_configuration
from chicoryproxy.configuration.yamlreader import read_yaml
from chicoryproxy.finding import FindingList
from chicoryproxy.ids import DomainId, RegionId, ServiceId, UpstreamId, Version
from chicoryproxy.model import (
    Capacity,
    Configuration,
    Domain,
    Endpoint,
    Service,
    ServiceAddress,
    Upstream,
    WarmUp,
)
from chicoryproxy.states import DomainState, Protocol

MAX_READS_PER_S = 2000
READERS_PER_DOMAIN = 3
WATCHES_PER_READER = 2
WATCH_S = 30
CHANGES_PER_DAY = 3100
DAY_S = 86400
REGION_COUNT = 4
MIB = 1024 * 1024
TODAY = date(2026, 12, 3)


class FleetSize(Struct, frozen=True):
    """Size of a generated fleet."""

    servers: int
    addresses: int
    domains: int


def create_fleet(size: FleetSize) -> Configuration:
    """Generate a fleet with one address per service and servers spread over the domains."""
    domains = tuple(
        Domain(DomainId(f"domain-{number}"), RegionId(f"region-{number % REGION_COUNT}"))
        for number in range(size.domains)
    )
    members: list[list[Upstream]] = [[] for _ in range(size.addresses)]
    for number in range(size.servers):
        service = number % size.addresses
        members[service].append(_create_upstream(service, number, domains))
    services = (
        Service(ServiceId(f"service-{number:05}"), (_create_address(number),), tuple(upstreams))
        for number, upstreams in enumerate(members)
    )
    return Configuration(Version(1), domains, tuple(services))


def _create_upstream(service: int, number: int, domains: tuple[Domain, ...]) -> Upstream:
    host = f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}"
    return Upstream(
        id=UpstreamId(f"service-{service:05}-{number:05}"),
        domain=domains[number % len(domains)].id,
        address=Endpoint(host, 6080),
        capacity=Capacity(2 + number % 2, 2000),
        warm_up=WarmUp(2.0, 200.0, 30.0 + number % 2 * 90.0),
        health_url=f"http://{host}:9000/health",
    )


def _create_address(number: int) -> ServiceAddress:
    return ServiceAddress(f"100.64.{number >> 8}.{number & 255}", 443, Protocol.TCP)


def format_fleet_yaml(fleet: Configuration) -> str:
    """Return the YAML that an operator would write for a fleet."""
    lines = ["domains:"]
    lines += [f"  {domain.id}: {{region: {domain.region}}}" for domain in fleet.domains]
    lines.append("services:")
    for service in fleet.services:
        lines += [f"  {service.id}:", f'    addresses: ["{service.addresses[0].host}:443"]']
        lines.append("    upstreams:")
        for item in service.upstreams:
            lines.append(f"      {item.id}:")
            lines.append(f"        domain: {item.domain}")
            lines.append(f"        address: {item.address.host}:{item.address.port}")
            lines.append(f"        health: {item.health_url}")
    return "\n".join(lines) + "\n"


def report_values(publication: Publication) -> None:
    """Print the number and bytes of the published values."""
    sizes = [len(body) for body in publication.parts.values()]
    print(f"values: {len(sizes) + 1}, of which 1 index of {len(publication.index):,} bytes")
    print(f"parts: {sum(sizes):,} bytes in all, largest {max(sizes):,}")


def report_reading(publication: Publication) -> Configuration:
    """Print the time and memory of a reader's first read, and return the configuration."""
    gc.collect()
    rss = psutil.Process().memory_info().rss
    reader, configuration, seconds = _read_publication(publication)
    gc.collect()
    rss_growth = psutil.Process().memory_info().rss - rss
    print(f"read and assembled in {seconds * 1000:.0f} ms, RSS grew by {rss_growth / MIB:.1f} MiB")
    del reader
    tracemalloc.start()
    reader, configuration, _ = _read_publication(publication)
    traced_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    value_bytes = sum(map(len, publication.parts.values()))
    print(
        f"a reader holds {traced_bytes / MIB:.1f} MiB besides {value_bytes / MIB:.1f} MiB of values"
    )
    return configuration


def _read_publication(publication: Publication) -> tuple[PublicationReader, Configuration, float]:
    started = time.perf_counter()
    reader = PublicationReader()
    names = reader.update_index(publication.index)
    assert not isinstance(names, PublishedFault)
    for name in names:
        reader.add_part(name, publication.parts[name])
    configuration = reader.assemble()
    assert isinstance(configuration, Configuration)
    return reader, configuration, time.perf_counter() - started


def report_changes(fleet: Configuration, publication: Publication) -> None:
    """Print the parts, bytes and time that a reader needs after a change."""
    service = fleet.services[0]
    drained = structs.replace(service.upstreams[0], draining=True)
    upstreams = (drained, *service.upstreams[1:])
    services = (structs.replace(service, upstreams=upstreams), *fleet.services[1:])
    _report_change("one upstream", publication, structs.replace(fleet, services=services))
    out = structs.replace(fleet.domains[0], state=DomainState.OUT)
    domains = (out, *fleet.domains[1:])
    _report_change("domain out", publication, structs.replace(fleet, domains=domains))


def _report_change(label: str, before: Publication, changed: Configuration) -> None:
    after = split_configuration(structs.replace(changed, version=Version(2)))
    assert isinstance(after, Publication)
    reader, _, _ = _read_publication(before)
    started = time.perf_counter()
    names = reader.update_index(after.index)
    assert not isinstance(names, PublishedFault)
    for name in names:
        reader.add_part(name, after.parts[name])
    reader.assemble()
    seconds = time.perf_counter() - started
    read = len(after.index) + sum(len(after.parts[name]) for name in names)
    print(
        f"change of {label}: {len(names)} parts and the index, {read:,} bytes, "
        f"{seconds * 1000:.0f} ms to assemble"
    )


def report_calls(size: FleetSize, parts: int) -> None:
    """Print the rate of platform calls by all readers, and the burst when all start at once."""
    readers = READERS_PER_DOMAIN * size.domains
    watches = readers * WATCHES_PER_READER / WATCH_S
    changes = readers * CHANGES_PER_DAY * 2 / DAY_S
    calls = watches + changes
    print(
        f"calls: {readers} readers, {watches:.1f}/s for waiting watches, {changes:.1f}/s for "
        f"{CHANGES_PER_DAY} changes a day: {calls:.1f}/s of {MAX_READS_PER_S}/s "
        f"({calls / MAX_READS_PER_S:.2%})"
    )
    startup_calls = readers * (parts + 1)
    print(
        f"all readers start at once: {startup_calls:,} calls for {INDEX_NAME} and its parts, "
        f"{startup_calls / MAX_READS_PER_S:.1f} s at the platform's rate"
    )


def report_check(fleet: Configuration) -> None:
    """Print the time to parse and check the fleet as YAML, and to parse it as JSON."""
    findings = FindingList()
    text = format_fleet_yaml(fleet)
    started = time.perf_counter()
    document = read_yaml(text, "fleet.yaml", findings)
    parsed = time.perf_counter()
    assert not isinstance(document, DocumentFault)
    create_configuration(document, Version(1), TODAY, findings)
    ended = time.perf_counter()
    print(
        f"check: {len(text):,} bytes of YAML, {parsed - started:.1f} s to parse, "
        f"{ended - parsed:.1f} s to check and merge"
    )
    text = json.dumps(document.data)
    started = time.perf_counter()
    read_json(text, "fleet.json", findings)
    print(f"check: {len(text):,} bytes of JSON, {time.perf_counter() - started:.1f} s to parse")


def main() -> None:
    """Generate the fleet, measure it and print the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--servers", type=int, default=24_000)
    parser.add_argument("--addresses", type=int, default=13_000)
    parser.add_argument("--domains", type=int, default=9)
    parser.add_argument("--yaml", action="store_true", help="also check the fleet as YAML and JSON")
    arguments = parser.parse_args()
    size = FleetSize(arguments.servers, arguments.addresses, arguments.domains)
    fleet = create_fleet(size)
    started = time.perf_counter()
    publication = split_configuration(fleet)
    assert isinstance(publication, Publication)
    print(f"fleet: {size.servers:,} servers, {size.addresses:,} addresses, {size.domains} domains")
    print(f"published in {(time.perf_counter() - started) * 1000:.0f} ms")
    report_values(publication)
    assert report_reading(publication) == fleet
    report_changes(fleet, publication)
    report_calls(size, len(publication.parts))
    if arguments.yaml:
        report_check(fleet)


if __name__ == "__main__":
    main()
