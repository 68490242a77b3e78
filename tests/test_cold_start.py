"""Tests of the bound of a cold upstream over a fleet of real cores under load."""

import msgspec
import pytest

from chicoryproxy.ids import DomainId
from chicoryproxy.model import WarmUp
from chicoryproxy.states import DomainState
from chicoryproxy.testing import set_domain

DOMAIN = DomainId("port-klang")
BEARS = 5.0
OUT_S = 8.0
LOAD_S = 24.0
FAULT_S = 9.0
OPENINGS = 800


@pytest.fixture
def deployment(tenggara):
    """A deployment whose upstreams never bear more than a few openings once they were cold."""
    service, *others = tenggara.configuration.services
    upstreams = tuple(
        msgspec.structs.replace(upstream, warm_up=WarmUp(BEARS, BEARS, 600.0))
        for upstream in service.upstreams
    )
    services = (msgspec.structs.replace(service, upstreams=upstreams), *others)
    configuration = msgspec.structs.replace(tenggara.configuration, services=services)
    return msgspec.structs.replace(tenggara, configuration=configuration)


def bring_back(fleet, service):
    """Take a domain out and back in; return its upstreams."""
    fleet.run(4.0)
    fleet.publish(set_domain(fleet.platform.served, DOMAIN, DomainState.OUT))
    fleet.run(OUT_S)
    cold = [fleet.upstreams[item.id] for item in service.upstreams if item.domain == DOMAIN]
    for upstream in cold:
        upstream.bears = BEARS
    fleet.publish(set_domain(fleet.platform.served, DOMAIN, DomainState.IN))
    return cold


def keep(fleet, _name):
    """Let the instance be."""


def kill(fleet, name):
    fleet.kill(name)


def pause(fleet, name):
    fleet.pause(name, 5.0)


@pytest.mark.parametrize("disturb", [keep, kill, pause])
@pytest.mark.parametrize("seed", [1, 2])
def test_no_cold_upstream_gets_more_than_it_bears(deployment, seed, disturb):
    fleet = deployment.create_fleet(seed)
    service = deployment.configuration.services[0]
    cold = bring_back(fleet, service)
    fleet.open_flows(service, OPENINGS, LOAD_S, 2, 0.2)
    fleet.run(FAULT_S)
    owners = [node.instance.id for node in fleet.nodes.values() if node.instance.domain == DOMAIN]
    disturb(fleet, owners[0])
    fleet.run(LOAD_S - FAULT_S)
    assert [upstream.overloads for upstream in cold] == [0] * len(cold)
    assert all(upstream.accepted > 0 for upstream in cold)
