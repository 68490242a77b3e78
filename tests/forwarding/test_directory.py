"""State of upstreams, versions and failure domains after changes of the store."""

import itertools

import pytest

from chicoryproxy.forwarding.model import Mark, UpstreamPhase, UpstreamUnreadable
from chicoryproxy.forwarding.view import lifetime as lifetime_module
from chicoryproxy.forwarding.view.directory import RETURN_GRACE_S
from chicoryproxy.forwarding.view.directoryevent import DirectoryEventKind
from chicoryproxy.forwarding.view.marks import compute_mark
from chicoryproxy.forwarding.view.replica import get_upstream_key
from chicoryproxy.ids import UpstreamId
from chicoryproxy.model import Endpoint
from tests.forwarding.harness import ARCHIVE, OTHER_DOMAIN, ROUTE, SERVICE, create_packet


def kinds(beliefs):
    """Return the kinds of directory events."""
    return [belief.kind for belief in beliefs]


def test_an_older_version_never_replaces_a_newer_one(harness):
    harness.publish_routing(7)
    assert kinds(harness.publish_routing(6)) == [DirectoryEventKind.VERSION_OLDER]
    assert harness.directory.version == 7


def test_a_registration_removed_without_a_drain_is_missing_and_then_gone(harness):
    upstream = harness.publish_upstream("i-1")
    harness.remove_upstream("i-1")
    assert upstream.phase is UpstreamPhase.MISSING
    harness.now += RETURN_GRACE_S
    harness.directory.expire(harness.now)
    assert upstream.phase is UpstreamPhase.GONE
    assert not upstream.is_unreachable


def test_a_missing_upstream_that_is_listed_again_keeps_its_mark(harness):
    upstream = harness.publish_upstream("i-1")
    harness.remove_upstream("i-1")
    harness.now += 1.0
    assert harness.publish_upstream("i-1") is upstream
    assert upstream.phase is UpstreamPhase.SERVING


def test_a_gone_upstream_that_is_listed_again_is_the_same_lifetime(harness):
    """Partition: the registration expired for longer than the grace time; flows are open."""
    upstream = harness.publish_upstream("i-1")
    harness.remove_upstream("i-1")
    harness.now += RETURN_GRACE_S
    harness.directory.expire(harness.now)
    assert harness.publish_upstream("i-1") is upstream
    assert harness.directory.find_by_mark(upstream.mark) is upstream


def test_a_reassigned_address_ends_its_previous_owner(harness):
    former = harness.publish_upstream("i-1")
    harness.publish_upstream("i-2", service=ARCHIVE, address=former.entry.address)
    assert former.phase is UpstreamPhase.GONE
    assert former.is_unreachable


@pytest.mark.parametrize("order", list(itertools.permutations((1, 2, 3))))
def test_flows_survive_an_older_registration_of_the_same_address(harness, order):
    """An entry that started while a dead server was still listed reset flows of its successor."""
    address = Endpoint("10.1.0.9", 8000)
    for number in order:
        harness.publish_upstream(
            f"i-{number}", address=address, started_ms=number, revision=10 * number
        )
    present = harness.find_upstream("i-3")
    assert list(harness.directory.iterate_present()) == [present]
    assert present.can_open
    packet = create_packet(mark=present.mark, acknowledged=1, size=10)
    assert harness.send(packet) is present


def test_a_registration_written_late_does_not_end_the_owner_of_its_address(harness):
    """A write of a dead server that the store completed late has the newer revision."""
    address = Endpoint("10.1.0.9", 8000)
    present = harness.publish_upstream("i-2", address=address, started_ms=9, revision=5)
    harness.publish_upstream("i-1", address=address, started_ms=4, revision=6)
    assert DirectoryEventKind.ADDRESS_CONFLICT in kinds(harness.events)
    assert present.can_open
    packet = create_packet(mark=present.mark, acknowledged=1, size=10)
    assert harness.send(packet) is present


def test_an_unreadable_registration_affects_only_its_upstream(harness):
    harness.publish_upstream("i-1")
    harness.publish_upstream("i-2")
    key = get_upstream_key(UpstreamId("i-1"))
    beliefs = harness.apply(key, UpstreamUnreadable(UpstreamId("i-1"), "no field"))
    assert kinds(beliefs)[0] is DirectoryEventKind.UPSTREAM_UNREADABLE
    assert not harness.find_upstream("i-1").can_open
    assert harness.find_upstream("i-2").can_open


def test_upstreams_of_a_domain_brought_back_are_cold(harness):
    upstream = harness.publish_upstream("i-1", domain=OTHER_DOMAIN)
    harness.take_domain_out(OTHER_DOMAIN)
    assert not upstream.is_cold(harness.now)
    harness.bring_domain_back(OTHER_DOMAIN)
    assert upstream.is_cold(harness.now)
    assert not upstream.is_cold(harness.now + 2.0)


def test_the_mark_is_stable_within_a_lifetime_and_differs_in_the_next(harness):
    first = harness.publish_upstream("i-1", started_ms=1).mark
    second = harness.publish_upstream("i-1", started_ms=2).mark
    assert first != second
    assert first == compute_mark(f"{SERVICE}/i-1/1")


def test_of_two_lifetimes_with_one_mark_only_one_gets_openings(harness, monkeypatch):
    """Hash collision in 32 bits: at every entry the lesser identity owns the mark."""
    monkeypatch.setattr(lifetime_module, "compute_mark", lambda identity: Mark(5))
    harness.publish_upstream("i-2")
    harness.publish_upstream("i-1")
    for _ in range(10):
        assert harness.open_flow()[0].entry.id == "i-1"
    assert harness.directory.find_by_mark(Mark(5)) is harness.find_upstream("i-1")
    harness.publish_upstream("i-1", started_ms=9)
    assert harness.directory.find_by_mark(Mark(5)).is_mark_taken is False


def test_a_mark_passes_to_the_other_lifetime_when_its_owner_ends(harness, monkeypatch):
    monkeypatch.setattr(lifetime_module, "compute_mark", lambda identity: Mark(5))
    harness.publish_upstream("i-1")
    other = harness.publish_upstream("i-2")
    harness.publish_upstream("i-1", draining=True)
    harness.remove_upstream("i-1")
    assert not other.is_mark_taken
    assert harness.directory.find_by_mark(Mark(5)) is other


def test_a_removed_route_is_distinguished_from_an_unknown_one(harness):
    assert not harness.directory.is_route_removed(ROUTE)
    harness.publish_routing(2, [harness.directory.routing.routes[1]])
    assert harness.directory.is_route_removed(ROUTE)
    harness.publish_routing(3)
    assert not harness.directory.is_route_removed(ROUTE)
