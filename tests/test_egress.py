"""Tests of the egress policy."""

import pytest

from chicoryproxy.ids import DomainId, RegionId, ServiceId, UpstreamId, Version
from chicoryproxy.model import Configuration, Domain, Endpoint, Service, Upstream
from chicoryproxy.protocol.actions import Forward
from chicoryproxy.routing.egress import create_egress_policy
from chicoryproxy.states import DomainState, DropReason, RefusalReason

ADDRESS = Endpoint("127.0.0.1", 1)


def make_service(name, *upstreams):
    listed = tuple(Upstream(UpstreamId(u), DomainId(d), ADDRESS) for u, d in upstreams)
    return Service(ServiceId(name), (), listed)


@pytest.fixture
def egress_policy():
    domains = (
        Domain(DomainId("in"), RegionId("r")),
        Domain(DomainId("out"), RegionId("r"), DomainState.OUT),
    )
    services = (
        make_service("a", ("a1", "in"), ("a2", "out"), ("a3", "unlisted")),
        make_service("b", ("b1", "in")),
    )
    return create_egress_policy(Configuration(Version(1), domains, services))


def test_a_listed_upstream_gets_one_prebuilt_action(egress_policy):
    check = egress_policy.check(ServiceId("a"), UpstreamId("a1"))
    assert check == (Forward(UpstreamId("a1"), ADDRESS),)
    assert egress_policy.check(ServiceId("a"), UpstreamId("a1")) is check


@pytest.mark.parametrize(
    ("service", "upstream", "reason"),
    [
        ("a", "b1", DropReason.NOT_LISTED),
        ("b", "a1", DropReason.NOT_LISTED),
        ("a", "a3", DropReason.NOT_LISTED),
        ("c", "a1", DropReason.UNKNOWN_SERVICE),
        ("a", "a2", RefusalReason.DOMAIN_OUT),
    ],
)
def test_other_upstreams_are_not_permitted(egress_policy, service, upstream, reason):
    assert egress_policy.check(ServiceId(service), UpstreamId(upstream)) is reason
