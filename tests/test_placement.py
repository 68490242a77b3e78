"""Tests of the placement tables."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from chicoryproxy.ids import DomainId, FlowKey, ServiceId, UpstreamId, Version
from chicoryproxy.model import Endpoint, Generation, Upstream
from chicoryproxy.routing.placement import (
    choose_size,
    create_bounded_rendezvous,
    create_modulo,
    create_table,
    create_weighted_rendezvous,
)

POLICIES = [create_bounded_rendezvous, create_weighted_rendezvous, create_modulo]


def make_generation(weights, version=1):
    members = tuple(
        Upstream(UpstreamId(f"u{index}"), DomainId("d"), Endpoint("127.0.0.1", index + 1), weight)
        for index, weight in enumerate(weights)
    )
    return Generation(ServiceId("s"), Version(version), members)


def count_slots(table):
    counts = {upstream.id: 0 for upstream in table.upstreams}
    for slot in range(table.size):
        counts[table.upstream_at(slot).id] += 1
    return counts


def count_moved(old, new):
    return sum(old.upstream_at(slot).id != new.upstream_at(slot).id for slot in range(old.size))


@pytest.mark.parametrize("create", POLICIES)
def test_every_policy_depends_on_the_set_of_members_alone(create):
    generation = make_generation([1, 2, 3])
    reordered = Generation(ServiceId("other"), Version(9), generation.members[::-1])
    first = create().build(generation)
    second = create().build(reordered)
    assert first.upstreams == second.upstreams
    assert count_moved(first, second) == 0


@pytest.mark.parametrize("create", POLICIES)
def test_a_flow_is_found_at_its_slot(create):
    table = create().build(make_generation([1] * 7))
    for flow in (0, 1, 2**64 - 1, 0x123456789ABCDEF0):
        assert table.find(FlowKey(flow)) is table.upstream_at(flow & (table.size - 1))


@pytest.mark.parametrize("create", POLICIES)
def test_a_generation_without_members_places_nothing(create):
    table = create().build(make_generation([]))
    assert table.upstreams == ()
    assert table.find(FlowKey(77)) is None


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.lists(st.integers(1, 9), min_size=1, max_size=12))
def test_no_upstream_exceeds_its_share_rounded_up(weights):
    generation = make_generation(weights)
    table = create_table(generation)
    counts = count_slots(table)
    for member in generation.members:
        assert counts[member.id] <= -(-table.size * member.weight // sum(weights))


def test_an_upstream_without_weight_gets_no_slot():
    table = create_table(make_generation([1, 0]))
    assert count_slots(table) == {"u0": table.size}


def test_adding_an_upstream_moves_less_than_twice_its_share():
    old = create_table(make_generation([1] * 7))
    new = create_table(make_generation([1] * 8))
    assert old.size == new.size
    assert count_moved(old, new) < 2 * old.size / 8


def test_the_size_is_a_power_of_two_that_changes_in_coarse_steps():
    sizes = [choose_size(members) for members in range(201)]
    assert all(size & (size - 1) == 0 for size in sizes)
    assert sum(old != new for old, new in zip(sizes, sizes[1:], strict=False)) <= 2
