"""Tests that a fleet of real cores under load keeps cold upstreams within their opening limit."""

import msgspec
import pytest

from chicoryproxy.ids import DomainId
from chicoryproxy.model import WarmUp
from chicoryproxy.states import DomainState
from chicoryproxy.testing import set_domain

DOMAIN = DomainId("port-klang")
MAX_OPENINGS_PER_S = 5.0
DOMAIN_OUT_S = 8.0
LOAD_S = 24.0
FAULT_AFTER_S = 9.0
OPENING_COUNT = 800


@pytest.fixture
def deployment(tenggara):
    """A deployment whose upstreams do not ramp up: warm-up starts and ends at the same rate."""
    service, *others = tenggara.configuration.services
    upstreams = tuple(
        msgspec.structs.replace(
            upstream, warm_up=WarmUp(MAX_OPENINGS_PER_S, MAX_OPENINGS_PER_S, 600.0)
        )
        for upstream in service.upstreams
    )
    services = (msgspec.structs.replace(service, upstreams=upstreams), *others)
    configuration = msgspec.structs.replace(tenggara.configuration, services=services)
    return msgspec.structs.replace(tenggara, configuration=configuration)


def readmit_domain(fleet, service):
    """Take a domain out and back in; return its upstreams, which are cold then."""
    fleet.run(4.0)
    fleet.publish(set_domain(fleet.platform.served, DOMAIN, DomainState.OUT))
    fleet.run(DOMAIN_OUT_S)
    cold = [fleet.upstreams[item.id] for item in service.upstreams if item.domain == DOMAIN]
    for upstream in cold:
        upstream.max_openings_per_s = MAX_OPENINGS_PER_S
    fleet.publish(set_domain(fleet.platform.served, DOMAIN, DomainState.IN))
    return cold


def do_nothing(fleet, _name):
    """Inject no fault."""


def kill(fleet, name):
    fleet.kill(name)


def pause(fleet, name):
    fleet.pause(name, 5.0)


@pytest.mark.parametrize("inject_fault", [do_nothing, kill, pause])
@pytest.mark.parametrize("seed", [1, 2])
def test_no_cold_upstream_is_overloaded(deployment, seed, inject_fault):
    fleet = deployment.create_fleet(seed)
    service = deployment.configuration.services[0]
    cold = readmit_domain(fleet, service)
    fleet.open_flows(service, OPENING_COUNT, LOAD_S, 2, 0.2)
    fleet.run(FAULT_AFTER_S)
    owners = [node.instance.id for node in fleet.nodes.values() if node.instance.domain == DOMAIN]
    inject_fault(fleet, owners[0])
    fleet.run(LOAD_S - FAULT_AFTER_S)
    assert [upstream.overloads for upstream in cold] == [0] * len(cold)
    assert all(upstream.accepted > 0 for upstream in cold)
