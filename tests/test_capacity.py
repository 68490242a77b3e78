"""Tests of the connection counts."""

import pytest

from chicoryproxy.capacity import READING_LIFETIME_S, create_connection_counter
from chicoryproxy.ids import DomainId, UpstreamId
from chicoryproxy.model import Capacity, Endpoint, Upstream

NAME = UpstreamId("u")
UPSTREAM = Upstream(NAME, DomainId("d"), Endpoint("::1", 1), capacity=Capacity(2, 14))


@pytest.fixture
def counter():
    return create_connection_counter()


def test_own_connections_are_multiplied_by_the_entries(counter):
    counter.note_opened(NAME)
    assert counter.has_room(UPSTREAM, entries=7, now=0.0)
    counter.note_opened(NAME)
    assert not counter.has_room(UPSTREAM, entries=7, now=0.0)
    counter.note_closed(NAME)
    assert counter.has_room(UPSTREAM, entries=7, now=0.0)


def test_more_ends_than_openings_leave_the_count_at_zero(counter):
    counter.note_closed(NAME)
    counter.note_opened(NAME)
    assert counter.estimate(NAME, 1, 0.0) == 1


def test_a_reading_replaces_the_count_and_own_changes_go_on_from_it(counter):
    counter.note_opened(NAME)
    counter.note_reading(NAME, 13, 0.0)
    assert counter.has_room(UPSTREAM, entries=1, now=1.0)
    counter.note_opened(NAME)
    assert not counter.has_room(UPSTREAM, entries=1, now=1.0)


def test_an_old_or_unknown_reading_is_not_used(counter):
    counter.note_reading(NAME, 14, 0.0)
    counter.note_reading(NAME, -1, 5.0)
    assert not counter.has_room(UPSTREAM, 1, READING_LIFETIME_S)
    assert counter.has_room(UPSTREAM, 1, READING_LIFETIME_S + 0.1)


def test_a_removed_upstream_is_forgotten(counter):
    counter.note_opened(NAME)
    counter.keep(frozenset())
    assert counter.estimate(NAME, 1, 0.0) == 0
