"""Tests of the shared parts of a packet core."""

from chicoryproxy.ids import DomainId, InstanceId, RegionId, UpstreamId
from chicoryproxy.model import FleetLimits
from chicoryproxy.routing.context import EntryContext

NAME = UpstreamId("u")


def test_a_change_of_members_ends_the_ownership_of_what_is_not_owned_any_more():
    context = EntryContext(InstanceId("a"), DomainId("d"), RegionId("r"), FleetLimits())
    context.owner.become_owner(NAME, 0.0)
    wait_s = context.owner.next_grant_s(NAME, 0.0)
    assert context.owner.next_grant_s(NAME, 100.0) < wait_s
    context.handle_home_change()
    assert context.owner.next_grant_s(NAME, 100.0) == wait_s
