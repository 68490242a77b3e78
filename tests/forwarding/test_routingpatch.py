"""Entries send each other patches of a large configuration instead of whole versions."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from chicoryproxy.forwarding.model import (
    Revision,
    Route,
    RouteKey,
    RoutingVersion,
    ServiceLimits,
    WeightedService,
)
from chicoryproxy.forwarding.view.routingpatch import (
    MAX_PATCHES,
    RoutingHistory,
    apply_patch,
    compare_routings,
)
from chicoryproxy.ids import ServiceId, Version
from tests.forwarding.replicanode import ReplicaNode

TARGET_ROUTES = 13_000
CHANGES_PER_DAY = 3_100
SECONDS_PER_DAY = 86_400
CONTROL_BYTES_PER_S = 4_096


def create_routing(version, weights, idle_timeout_s=15.0):
    """Create a version with a route and a service for each weight, by number."""
    routes = tuple(
        Route(
            f"r-{number:07d}",
            RouteKey(0xC612_0000 + number, 443),
            (WeightedService(ServiceId(f"service-{number}"), float(weight)),),
        )
        for number, weight in weights.items()
    )
    services = tuple(
        ServiceLimits(ServiceId(f"service-{number}"), "/health", weight, 2.0, 5.0)
        for number, weight in weights.items()
    )
    return RoutingVersion(Version(version), routes, services, idle_timeout_s)


def normalize(routing):
    """Return a version with routes and services in a fixed order."""
    return RoutingVersion(
        routing.version,
        tuple(sorted(routing.routes, key=lambda route: route.name)),
        tuple(sorted(routing.services, key=lambda limits: limits.service)),
        routing.idle_timeout_s,
    )


weights = st.dictionaries(st.integers(0, 8), st.integers(1, 3), max_size=8)


@given(st.lists(weights, min_size=2, max_size=6), st.data())
def test_a_patch_of_any_version_results_in_the_newest(states, data):
    history, versions = RoutingHistory(), []
    for number, state in enumerate(states, 1):
        routing = create_routing(number, state, 10.0 + number)
        history.record_version(versions[-1] if versions else None, routing, Revision(number))
        versions.append(routing)
    base = data.draw(st.sampled_from(versions[:-1]))
    patch = history.create_patch(base.version)
    if patch is not None:
        assert normalize(apply_patch(base, patch)) == normalize(versions[-1])
        assert patch.revision == len(states)


@given(weights, weights)
def test_a_patch_contains_only_differences(old, new):
    patch = compare_routings(create_routing(1, old), create_routing(2, new), Revision(5))
    changed = {number for number, weight in new.items() if old.get(number) != weight}
    assert {route.name for route in patch.routes} == {f"r-{number:07d}" for number in changed}
    assert len(patch.removed_routes) == len(old.keys() - new.keys())


def test_a_patch_of_another_base_version_is_rejected():
    first, second = create_routing(1, {1: 1}), create_routing(2, {1: 2})
    with pytest.raises(ValueError, match="version 1 does not fit version 2"):
        apply_patch(second, compare_routings(first, second, Revision(2)))


def test_there_is_no_patch_of_a_version_that_is_too_old():
    history, last = RoutingHistory(), None
    for number in range(1, MAX_PATCHES + 5):
        routing = create_routing(number, {index: 1 for index in range(40)} | {0: number})
        history.record_version(last, routing, Revision(number))
        last = routing
    assert history.create_patch(Version(1)) is None
    assert history.create_patch(Version(MAX_PATCHES + 3)) is not None


def test_there_is_no_patch_if_most_routes_have_changed():
    history = RoutingHistory()
    first = create_routing(1, dict.fromkeys(range(10), 1))
    history.record_version(None, first, Revision(1))
    history.record_version(first, create_routing(2, dict.fromkeys(range(10), 2)), Revision(2))
    assert history.create_patch(Version(1)) is None


def test_entries_agree_after_patches_and_whole_versions():
    reader, behind, new = ReplicaNode(), ReplicaNode(), ReplicaNode()
    state = dict.fromkeys(range(20), 1)
    for version in range(1, 8):
        state = state | {version: version + 1}
        reader.publish(create_routing(version, state), version)
        if version % 2:
            behind.fetch_changes(reader)
    new.fetch_changes(reader)
    for node in (behind, new):
        assert normalize(node.directory.routing) == normalize(reader.directory.routing)
        assert node.replica.synced == reader.replica.synced
    # An entry that got its version by patches can send patches itself.
    reader.publish(create_routing(8, state | {30: 1}), 8)
    behind.fetch_changes(reader)
    new.fetch_changes(behind)
    assert normalize(new.directory.routing) == normalize(reader.directory.routing)


def test_an_older_version_with_a_newer_revision_is_sent_unchanged():
    reader, behind = ReplicaNode(), ReplicaNode()
    reader.publish(create_routing(5, {1: 1}), 1)
    behind.fetch_changes(reader)
    reader.publish(create_routing(4, {1: 2}), 2)
    behind.fetch_changes(reader)
    assert behind.directory.version == reader.directory.version == 5
    assert behind.replica.synced == 2


def test_a_patch_reply_to_an_outdated_request_is_rejected_as_a_whole():
    """The version changed between request and reply: the revision must not count as synced."""
    reader, behind = ReplicaNode(), ReplicaNode()
    state = dict.fromkeys(range(10), 1)
    reader.publish(create_routing(1, state), 1)
    behind.fetch_changes(reader)
    reader.publish(create_routing(2, state | {1: 2}), 2)
    request = behind.exchange.create_request()
    late = reader.exchange.create_reply(request, 0.0)
    behind.publish(create_routing(3, state | {1: 3}), 3)
    with pytest.raises(ValueError, match="does not fit"):
        behind.exchange.restore_changes(request, late)


def test_patches_at_the_target_size_stay_within_the_control_bandwidth():
    """Target size: 13,000 routes, 3,100 changes a day, 4 KB per second of control traffic."""
    reader, behind = ReplicaNode(), ReplicaNode()
    state = dict.fromkeys(range(TARGET_ROUTES), 1)
    reader.publish(create_routing(1, state), 1)
    whole = behind.fetch_changes(reader)
    reader.publish(create_routing(2, state | {7: 2}), 2)
    patched = behind.fetch_changes(reader)
    assert patched * CHANGES_PER_DAY / SECONDS_PER_DAY < CONTROL_BYTES_PER_S * 0.01
    assert patched * 100 < whole


def test_a_route_of_an_older_entry_has_no_known_priority():
    """Two versions side by side: the older one leaves out the fields at the end."""
    older = msgspec.msgpack.encode(["r-1", [0xC612_0001, 443], [["desk", 1.0]]])
    route = msgspec.msgpack.decode(older, type=Route)
    assert (route.priority, route.latency_target_s) == (None, 0.0)
