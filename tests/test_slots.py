"""Tests of the slots of one service."""

import msgspec
import pytest

from chicoryproxy.ids import Epoch, SlotIndex, UpstreamId, Version
from chicoryproxy.model import MAX_GENERATIONS, Generation, UpstreamCondition
from chicoryproxy.protocol.messages import SlotName, SlotRelease
from chicoryproxy.routing.egress import create_egress_policy
from chicoryproxy.routing.slots import create_service_slots
from chicoryproxy.states import UpstreamState
from chicoryproxy.testing import create_tenggara

CONFIGURATION = create_tenggara().configuration
SERVICE = CONFIGURATION.services[0]
FIRST = Generation(SERVICE.id, Version(1), SERVICE.upstreams)
SECOND = Generation(SERVICE.id, Version(2), SERVICE.upstreams[1:])
THIRD = Generation(SERVICE.id, Version(3), SERVICE.upstreams)


def prepare_forwards(slots):
    egress_policy = create_egress_policy(CONFIGURATION)
    slots.set_forwards(lambda upstream: egress_policy.check(SERVICE.id, upstream))


@pytest.fixture
def slots():
    """Clean slots of a service with one generation."""
    slots = create_service_slots(SERVICE.id, has_datagrams=False)
    slots.set_generations([FIRST], Version(1), 0.0)
    prepare_forwards(slots)
    return slots


def replace_generations(slots, *generations):
    """Replace the generations; return the names of the slots that became contested."""
    contested = slots.set_generations(generations, generations[-1].version, 1.0)
    prepare_forwards(slots)
    return contested


def test_one_generation_is_clean(slots):
    assert all(slots.is_clean(slot) for slot in range(slots.size))


def test_changed_slots_are_contested_at_once(slots):
    contested = replace_generations(slots, FIRST, SECOND)
    assert contested
    assert slots.changed_count == len(contested)
    assert not any(slots.is_clean(name.slot) for name in contested)


def test_base_is_the_upstream_from_before_the_first_change(slots):
    removed = SERVICE.upstreams[0].id
    moved = [slot for slot in range(slots.size) if slots.newest(slot) == removed]
    replace_generations(slots, FIRST, SECOND, THIRD)
    assert all(slots.base(slot) == removed for slot in moved)
    assert all(slots.newest(slot) == removed for slot in moved)
    assert all(len(slots.candidates(slot)) == 2 for slot in moved)


def test_release_makes_a_slot_clean(slots):
    name = replace_generations(slots, FIRST, SECOND)[0]
    assert slots.apply_release(SlotRelease(name, Version(2), Epoch(0)))
    assert slots.is_clean(name.slot)
    assert slots.candidates(name.slot) == [slots.newest(name.slot)]


def test_older_release_raises_the_floor_but_cleans_no_slot(slots):
    replace_generations(slots, FIRST, SECOND)
    name = slots.name(slots.changed()[0])
    replace_generations(slots, FIRST, SECOND, THIRD)
    assert not slots.apply_release(SlotRelease(name, Version(2), Epoch(0)))
    assert not slots.is_clean(name.slot)
    assert slots.base(name.slot) != SERVICE.upstreams[0].id


def test_release_of_an_older_epoch_is_ignored(slots):
    upstream = SERVICE.upstreams[0].id
    cold = UpstreamCondition(upstream, UpstreamState.COLD, epoch=5)
    held = slots.apply_conditions({upstream: cold})
    assert held
    assert not slots.apply_release(SlotRelease(held[0], Version(1), Epoch(4)))
    assert slots.apply_release(SlotRelease(held[0], Version(1), Epoch(5)))


def test_release_of_another_table_size_is_ignored(slots):
    name = replace_generations(slots, FIRST, SECOND)[0]
    other = SlotName(name.service, SlotIndex(0), slots.size * 8)
    assert not slots.apply_release(SlotRelease(other, Version(2), Epoch(0)))


def test_floor_is_known_after_generations_are_pruned(slots):
    name = replace_generations(slots, FIRST, SECOND)[0]
    replace_generations(slots, SECOND)
    assert slots.floor(name).version == SECOND.version


def test_larger_table_keeps_contested_slots_contested(slots):
    names = replace_generations(slots, FIRST, SECOND)
    more = tuple(
        msgspec.structs.replace(SERVICE.upstreams[1], id=UpstreamId(f"more-{number:03}"))
        for number in range(200)
    )
    before = slots.size
    replace_generations(
        slots, FIRST, SECOND, Generation(SERVICE.id, Version(3), (*SECOND.members, *more))
    )
    assert slots.size > before
    children = [name.slot + offset for name in names for offset in range(0, slots.size, before)]
    assert all(slots.is_held(child) for child in children)


def test_release_does_not_count_while_the_upstream_is_limited_here(slots):
    upstream = SERVICE.upstreams[0].id
    name = slots.hold_upstreams([upstream])[0]
    slots.set_forwards(lambda _: None)
    assert not slots.apply_release(SlotRelease(name, Version(1), Epoch(0)))
    assert slots.is_held(name.slot)


def test_instance_that_skipped_dropped_generations_trusts_no_clean_slot(slots):
    versions = [Version(number) for number in range(3, 2 + MAX_GENERATIONS)]
    later = [
        Generation(SERVICE.id, version, SERVICE.upstreams[version % 2 :]) for version in versions
    ]
    contested = replace_generations(slots, FIRST, *later)
    assert slots.held_count == slots.size
    assert contested == []
