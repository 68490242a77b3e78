from datetime import date

import pytest

from chicoryproxy.configuration.configuration import ServiceFault, load_configuration
from chicoryproxy.configuration.layers import LayerKind
from chicoryproxy.errors import ConfigurationError
from chicoryproxy.ids import ServiceId, Version
from chicoryproxy.model import Capacity, InstanceLimits
from chicoryproxy.states import DomainState, ReturnPath

TODAY = date(2026, 12, 3)


@pytest.fixture
def load(tmp_path):
    def load_changed(example, *changes):
        with open(f"examples/{example}.yaml") as file:
            text = file.read()
        for old, new in changes:
            assert old in text
            text = text.replace(old, new, 1)
        path = tmp_path / "fleet.yaml"
        path.write_text(text)
        return load_configuration(str(path), Version(7), TODAY)

    return load_changed


def find_upstream(configuration, name):
    return next(
        upstream
        for service in configuration.services
        for upstream in service.upstreams
        if upstream.id == name
    )


@pytest.mark.parametrize(
    ("example", "domains", "sizes", "slots"),
    [
        ("fleet-tenggara", 3, {"qa-desk": 7, "cert-store": 3}, 2),
        ("fleet-albatinah", 4, {"recovery-log": 7, "report-archive": 4}, 3),
    ],
)
def test_the_examples_have_the_expected_sizes(load, example, domains, sizes, slots):
    configuration = load(example).configuration
    assert configuration.version == 7
    assert len(configuration.domains) == domains
    assert {item.id: len(item.upstreams) for item in configuration.services} == sizes
    upstreams = [item for service in configuration.services for item in service.upstreams]
    assert {item.capacity for item in upstreams} == {Capacity(slots, 2000)}


def test_upstreams_and_services_are_sorted_by_id(load):
    configuration = load("fleet-tenggara", ("qa-desk-1:", "zz-1:")).configuration
    assert [item.id for item in configuration.services] == ["cert-store", "qa-desk"]
    ids = [item.id for item in configuration.services[1].upstreams]
    assert ids == sorted(ids) and ids[-1] == "zz-1"


def test_exceptions_override_own_entries_which_override_defaults(load):
    configuration = load(
        "fleet-tenggara",
        ("10.1.1.11:6080\n", "10.1.1.11:6080\n        weight: 5\n"),
        ("10.1.2.12:6080\n", "10.1.2.12:6080\n        weight: 5\n"),
        (
            "exceptions:\n",
            "exceptions:\n  - cover: {upstream: qa-desk-2}\n"
            "    change: {weight: 9}\n    reason: trial\n",
        ),
        ("  weight: 1", "  weight: 2"),
    ).configuration
    weights = [find_upstream(configuration, f"qa-desk-{index}").weight for index in (1, 2, 3)]
    assert weights == [5, 9, 2]


def test_an_exception_covers_what_matches_all_its_keys(load):
    configuration = load("fleet-tenggara").configuration
    durations = {
        upstream.id: upstream.warm_up.duration_s
        for service in configuration.services
        for upstream in service.upstreams
    }
    assert {name for name, value in durations.items() if value == 120.0} == {"cert-store-3"}


def test_domains_are_taken_out_by_domain_and_by_region(load):
    old = "exceptions:\n"
    for cover, out in (("domain: sohar-b", {"sohar-b"}), ("region: om-north", None)):
        new = f"{old}  - cover: {{{cover}}}\n    change: {{state: out}}\n    reason: flood\n"
        domains = load("fleet-albatinah", (old, new)).configuration.domains
        expected = out or {domain.id for domain in domains}
        assert {item.id for item in domains if item.state is DomainState.OUT} == expected


def test_an_exception_sets_the_limits_of_an_instance(load):
    new = (
        "exceptions:\n  - cover: {instance: entry-1}\n"
        "    change: {fleet: {flow_table_size: 1000}}\n    reason: small machine\n"
    )
    configuration = load("fleet-tenggara", ("exceptions:\n", new)).configuration
    assert configuration.instances == (InstanceLimits("entry-1", 4096, 1000),)


def test_each_effective_value_has_an_origin(load):
    effective = load("fleet-albatinah")
    values = effective.explain_service(ServiceId("report-archive"))
    by_key = {(value.target.name, value.key): value.value for value in values}
    draining = by_key["report-archive-4", "draining"]
    assert draining.value is True
    assert draining.layer.kind is LayerKind.EXCEPTION
    assert draining.layer.reason == "the server is being moved to another rack"
    assert by_key["report-archive-1", "capacity.slots"].layer.kind is LayerKind.DEFAULT
    assert by_key["report-archive-1", "weight"].layer.kind is LayerKind.BUILT_IN
    assert by_key["report-archive", "return_path"].value is ReturnPath.DIRECT
    assert effective.explain_service(ServiceId("none")) is ServiceFault.UNKNOWN


def test_an_exception_that_does_not_change_the_value_is_a_finding(load):
    old = "  - cover: {service: cert-store}\n    change:\n      limits: {idle_timeout: 15m}"
    new = "  - cover: {service: cert-store}\n    change:\n      limits: {idle_timeout: 5m}"
    with pytest.raises(ConfigurationError) as caught:
        load("fleet-tenggara", (old, new))
    (finding,) = caught.value.findings
    assert "`idle_timeout` changes nothing" in finding.message
