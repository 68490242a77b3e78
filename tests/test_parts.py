"""Tests of the shared parts of a packet core."""

from chicoryproxy.ids import DomainId, InstanceId, RegionId, UpstreamId
from chicoryproxy.model import FleetLimits
from chicoryproxy.routing.parts import EntryParts

NAME = UpstreamId("u")


def test_a_change_of_members_ends_the_ownership_of_what_is_not_owned_any_more():
    parts = EntryParts(InstanceId("a"), DomainId("d"), RegionId("r"), FleetLimits())
    parts.owner.begin_ownership(NAME, 0.0)
    wait_s = parts.owner.retry_after_s(NAME, 0.0)
    assert parts.owner.retry_after_s(NAME, 100.0) < wait_s
    parts.change_homes()
    assert parts.owner.retry_after_s(NAME, 100.0) == wait_s
