"""Tests of the shared state of a packet core."""

from chicoryproxy.ids import DomainId, InstanceId, RegionId, UpstreamId
from chicoryproxy.model import FleetLimits
from chicoryproxy.routing.context import EntryContext

UPSTREAM = UpstreamId("u")


def test_home_change_ends_ownership_of_upstreams_no_longer_owned():
    context = EntryContext(InstanceId("a"), DomainId("d"), RegionId("r"), FleetLimits())
    context.grant_owner.begin_ownership(UPSTREAM, 0.0)
    wait_s = context.grant_owner.retry_after_s(UPSTREAM, 0.0)
    assert context.grant_owner.retry_after_s(UPSTREAM, 100.0) < wait_s
    context.handle_home_change()
    assert context.grant_owner.retry_after_s(UPSTREAM, 100.0) == wait_s
