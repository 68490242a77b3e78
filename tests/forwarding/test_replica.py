"""Changes can be merged in any order, and a complete listing implies removals."""

from hypothesis import given
from hypothesis import strategies as st

from chicoryproxy.forwarding.model import (
    NO_REVISION,
    Change,
    DomainBack,
    DomainOut,
    Revision,
    UpstreamListed,
    UpstreamUnlisted,
)
from chicoryproxy.forwarding.view import replica as replica_module
from chicoryproxy.forwarding.view.replica import Replica, get_domain_key, get_upstream_key
from chicoryproxy.ids import DomainId, UpstreamId
from tests.forwarding.harness import ForwarderHarness

KEYS = ("i-1", "i-2", "i-3")


def remove(name, revision):
    """Create the removal of an upstream."""
    upstream = UpstreamId(name)
    return Change(get_upstream_key(upstream), Revision(revision), UpstreamUnlisted(upstream))


def add(name, revision):
    """Create the registration of an upstream."""
    upstream = UpstreamId(name)
    entry = ForwarderHarness().publish_upstream(name).entry
    return Change(get_upstream_key(upstream), Revision(revision), UpstreamListed(entry))


def test_the_newest_revision_of_a_key_wins():
    replica = Replica()
    assert replica.merge(add("i-1", 5))
    assert not replica.merge(remove("i-1", 4))
    assert not replica.merge(add("i-1", 5))
    assert replica.merge(remove("i-1", 6))


@given(st.permutations(range(1, 8)))
def test_the_replica_does_not_depend_on_the_order_of_changes(order):
    changes = {
        revision: (add if revision % 2 else remove)(KEYS[revision % 3], revision)
        for revision in range(1, 8)
    }
    replica, ordered = Replica(), Replica()
    for revision in order:
        replica.merge(changes[revision])
    for revision in sorted(changes):
        ordered.merge(changes[revision])
    assert replica.get_since(Revision(0)) == ordered.get_since(Revision(0))


def test_a_listing_implies_the_removal_of_missing_keys():
    replica = Replica()
    domain = DomainId("cyberjaya")
    replica.merge(add("i-1", 3))
    replica.merge(add("i-2", 9))
    replica.merge(Change(get_domain_key(domain), Revision(4), DomainOut(domain)))
    removals = replica.infer_removals([], Revision(8))
    assert [item.fact for item in removals] == [
        UpstreamUnlisted(UpstreamId("i-1")),
        DomainBack(domain),
    ]
    # Newer changes may have been written after their page of the listing was read.
    assert all(item.revision == 8 for item in removals)


def test_the_changes_for_a_peer_include_removals():
    replica = Replica()
    replica.merge(add("i-1", 3))
    replica.merge(add("i-2", 4))
    replica.merge(remove("i-1", 5))
    assert [item.revision for item in replica.get_since(Revision(3))] == [4, 5]


def test_upstreams_that_return_often_do_not_evict_removals(monkeypatch):
    """Flapping upstream: removals of others were forgotten, so that peers kept these."""
    monkeypatch.setattr(replica_module, "MAX_TOMBSTONES", 2)
    replica = Replica()
    replica.merge(remove("i-1", 1))
    for revision in range(2, 12, 2):
        replica.merge(remove("i-2", revision))
        replica.merge(add("i-2", revision + 1))
    assert [item.revision for item in replica.get_since(NO_REVISION)] == [1, 11]
    assert replica.complete_since == NO_REVISION


def test_an_evicted_removal_shortens_the_history(monkeypatch):
    """A peer that is behind it must get all keys."""
    monkeypatch.setattr(replica_module, "MAX_TOMBSTONES", 2)
    replica = Replica()
    for revision, name in enumerate(KEYS, 1):
        replica.merge(remove(name, revision))
    assert replica.complete_since == 1


def test_the_synced_revision_never_decreases():
    replica = Replica()
    replica.advance_synced(Revision(9), NO_REVISION)
    replica.advance_synced(Revision(4), NO_REVISION)
    assert replica.synced == 9
