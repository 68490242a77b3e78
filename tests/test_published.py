from datetime import date
from itertools import count

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec import structs

from chicoryproxy.configuration.assembly import PublicationReader, assemble
from chicoryproxy.configuration.configuration import load_configuration
from chicoryproxy.configuration.folder import FolderFault, read_version, write_publication
from chicoryproxy.configuration.published import (
    MAX_VALUE_BYTES,
    FaultReason,
    Group,
    PartEntry,
    PublishedFault,
    compute_digest,
    decode_index,
)
from chicoryproxy.configuration.splitter import split_configuration
from chicoryproxy.ids import Version
from chicoryproxy.model import Configuration, Domain, Endpoint, Service, ServiceAddress, Upstream
from chicoryproxy.states import DomainState, Protocol

FLEET = load_configuration("examples/fleet-albatinah.yaml", Version(3), date(2026, 12, 3))
CONFIGURATION = FLEET.configuration


def create_fleet(services, upstreams):
    """Create a configuration with ``upstreams`` upstreams per service, all in one domain."""
    numbers = count(1)

    def create_service(name):
        hosts = [
            f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}"
            for n, _ in zip(numbers, range(upstreams), strict=False)
        ]
        members = tuple(
            Upstream(f"{name}-{host}", "d", Endpoint(host, 6080), health_url="http://h/" + "x" * 60)
            for host in sorted(hosts)
        )
        number = int(name[1:])
        address = ServiceAddress(f"203.{number >> 8}.{number & 255}.1", 443, Protocol.TCP)
        return Service(name, (address,), members)

    built = tuple(create_service(f"s{number:05}") for number in range(services))
    return Configuration(Version(1), (Domain("d", "r"),), built)


def replace_part(publication, old, new):
    """Replace ``old`` in the first part that contains it.

    :returns: the index with the digest of the changed part, and the parts.
    """
    index = decode_index(publication.index)
    parts = dict(publication.parts)
    name = next(name for name, body in parts.items() if old in body)
    parts[name] = parts[name].replace(old, new)
    forged = PartEntry(name, compute_digest(parts[name]))
    groups = tuple(
        Group(tuple(forged if entry.name == name else entry for entry in group.parts))
        for group in index.groups
    )
    return structs.replace(index, groups=groups), parts


def test_a_published_configuration_can_be_assembled():
    publication = split_configuration(CONFIGURATION)
    assert assemble(decode_index(publication.index), publication.parts) == CONFIGURATION


@pytest.mark.parametrize(("services", "upstreams"), [(1, 9000), (3000, 2), (0, 0)])
def test_no_value_exceeds_the_maximum_size_of_the_platform(services, upstreams):
    fleet = create_fleet(services, upstreams)
    publication = split_configuration(fleet)
    values = [publication.index, *publication.parts.values()]
    assert max(map(len, values)) <= MAX_VALUE_BYTES
    assert assemble(decode_index(publication.index), publication.parts) == fleet


def test_a_service_that_exceeds_the_maximum_size_of_a_value_is_a_fault():
    service = CONFIGURATION.services[0]
    huge = structs.replace(service.upstreams[0], health_url="http://h/" + "x" * MAX_VALUE_BYTES)
    changed = structs.replace(service, upstreams=(huge,))
    fault = split_configuration(structs.replace(CONFIGURATION, services=(changed,)))
    assert fault.reason is FaultReason.TOO_LARGE


def test_taking_a_domain_out_changes_only_the_index():
    out = structs.replace(CONFIGURATION.domains[0], state=DomainState.OUT)
    changed = structs.replace(CONFIGURATION, domains=(out, *CONFIGURATION.domains[1:]))
    assert split_configuration(changed).parts == split_configuration(CONFIGURATION).parts
    assert split_configuration(changed).index != split_configuration(CONFIGURATION).index


def test_a_changed_upstream_changes_one_part():
    fleet = create_fleet(3000, 2)
    service = fleet.services[7]
    draining = structs.replace(service.upstreams[0], draining=True)
    changed = structs.replace(service, upstreams=(draining, service.upstreams[1]))
    services = (*fleet.services[:7], changed, *fleet.services[8:])
    after = split_configuration(structs.replace(fleet, services=services))
    assert len(after.parts.keys() - split_configuration(fleet).parts.keys()) == 1


def test_an_incomplete_version_is_never_assembled():
    publication = split_configuration(CONFIGURATION)
    index = decode_index(publication.index)
    for entry in index.list_parts():
        rest = {name: body for name, body in publication.parts.items() if name != entry.name}
        assert assemble(index, rest) == PublishedFault(FaultReason.MISSING, entry.name)
        other = {**publication.parts, entry.name: publication.parts[entry.name] + b" "}
        assert assemble(index, other) == PublishedFault(FaultReason.DIGEST, entry.name)


@pytest.mark.parametrize(
    ("old", "new", "reason"),
    [
        (b'"domain":"sohar-a"', b'"domain":"sohar-x"', FaultReason.UNKNOWN_DOMAIN),
        (b'"service":"recovery-log"', b'"service":"none"', FaultReason.UNKNOWN_SERVICE),
        (b'"host":"10.2.1.11"', b'"host":"10.2.2.12"', FaultReason.REPEATED),
        (b'"id":"recovery-log-1"', b'"id":"recovery-log-2"', FaultReason.REPEATED),
        (b'"198.51.100.20","port":8443', b'"198.51.100.21","port":8443', FaultReason.REPEATED),
        (b'"profiles":[{', b'"profiles":[],"_":[{', FaultReason.UNKNOWN_PROFILE),
        (b'"port":6080', b'"port":0', FaultReason.MALFORMED),
        (b'"host":"10.2.1.11"', b'"host":"10.2.1.256"', FaultReason.MALFORMED),
        (b'"port":6080', b'"port":6080,"weight":0', FaultReason.MALFORMED),
        (b'"kind":"upstreams"', b'"kind":"other"', FaultReason.MALFORMED),
    ],
)
def test_inconsistent_parts_are_rejected(old, new, reason):
    index, parts = replace_part(split_configuration(CONFIGURATION), old, new)
    assert assemble(index, parts).reason is reason


def test_inconsistent_groups_are_rejected():
    index = decode_index(split_configuration(CONFIGURATION).index)
    doubled = structs.replace(index, groups=index.groups * 2)
    assert (
        assemble(doubled, split_configuration(CONFIGURATION).parts).reason is FaultReason.REPEATED
    )


def test_a_reader_reads_only_changed_parts_and_assembles_complete_versions():
    reader = PublicationReader()
    before = split_configuration(CONFIGURATION)
    for name in reader.update_index(before.index):
        assert reader.add_part(name, before.parts[name]) is None
    assert reader.assemble() == CONFIGURATION

    service = CONFIGURATION.services[0]
    moved = structs.replace(service, upstreams=service.upstreams[1:])
    changed = structs.replace(
        CONFIGURATION, version=Version(4), services=(moved, *CONFIGURATION.services[1:])
    )
    after = split_configuration(changed)
    (name,) = reader.update_index(after.index)
    assert reader.assemble() == PublishedFault(FaultReason.MISSING, name)
    assert reader.add_part(name, b"{}").reason is FaultReason.DIGEST
    assert reader.add_part("other", b"{}").reason is FaultReason.MISSING
    assert reader.add_part(name, after.parts[name]) is None
    assert reader.assemble() == changed


def test_an_index_with_an_unsupported_format_is_rejected():
    index = decode_index(split_configuration(CONFIGURATION).index)
    body = msgspec.json.encode(structs.replace(index, format=2))
    assert decode_index(body).reason is FaultReason.INDEX_FORMAT
    assert PublicationReader().update_index(body).reason is FaultReason.INDEX_FORMAT


@settings(derandomize=True, max_examples=200, deadline=None, database=None)
@given(st.binary(max_size=60), st.integers(0, 2000))
def test_any_bytes_give_an_index_or_a_fault(noise, position):
    body = split_configuration(CONFIGURATION).index
    position %= len(body)
    for wrong in (noise, body[:position], body[:position] + noise + body[position:]):
        index = decode_index(wrong)
        if not isinstance(index, PublishedFault):
            assert isinstance(assemble(index, {}), PublishedFault | Configuration)


def test_a_folder_keeps_the_parts_of_the_previous_version_and_requires_higher_versions(tmp_path):
    folder = tmp_path / "values"
    names = {}
    for version in (1, 2, 3):
        first = structs.replace(CONFIGURATION.services[0].upstreams[0], weight=version)
        service = structs.replace(
            CONFIGURATION.services[0],
            upstreams=(first, *CONFIGURATION.services[0].upstreams[1:]),
        )
        publication = split_configuration(
            structs.replace(
                CONFIGURATION,
                version=Version(version),
                services=(service, *CONFIGURATION.services[1:]),
            )
        )
        assert write_publication(publication, Version(version), folder).added
        names[version] = publication.parts.keys()
    assert read_version(folder) == 3
    present = {path.name for path in folder.iterdir()}
    assert present == names[2] | names[3] | {"configuration"}
    assert write_publication(publication, Version(3), folder) is FolderFault.NOT_HIGHER
    (folder / "configuration").write_bytes(b"{")
    assert read_version(folder) is FolderFault.UNREADABLE
