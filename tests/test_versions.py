"""Tests of the active version and the retained generations."""

import pytest

from chicoryproxy.control.versions import MAX_GENERATIONS, VersionStore
from chicoryproxy.ids import InstanceId, ServiceId, Version
from chicoryproxy.protocol.messages import ServiceClean
from tests.control_net import DOMAINS, ControlNet, make_configuration, make_instance, make_upstream

SERVICE = ServiceId("recovery-log")
PEERS = [InstanceId("entry-0001"), InstanceId("entry-0002")]


def make_version(version: int, count: int) -> object:
    upstreams = [make_upstream(index, DOMAINS[index % 3]) for index in range(count)]
    return make_configuration(version, upstreams)


def list_versions(store: VersionStore) -> list[int]:
    return [generation.version for generation in store.list_generations()]


@pytest.fixture
def store() -> VersionStore:
    store = VersionStore()
    store.adopt(make_version(1, 3), 0.0)
    return store


def test_a_version_never_reverts(store: VersionStore) -> None:
    store.adopt(make_version(3, 4), 1.0)
    assert store.adopt(make_version(2, 5), 2.0) is None
    assert store.adopt(make_version(3, 6), 2.0) is None
    assert len(store.configuration.services[0].upstreams) == 4
    assert store.stale_reads == 1


def test_a_generation_is_added_only_when_the_members_differ(store: VersionStore) -> None:
    store.adopt(make_version(2, 3), 1.0)
    store.adopt(make_version(3, 4), 2.0)
    assert list_versions(store) == [1, 3]


def test_members_are_listed_not_draining_and_in_a_domain_in_service(store: VersionStore) -> None:
    upstreams = [
        make_upstream(0, DOMAINS[0]),
        make_upstream(1, DOMAINS[1]),
        make_upstream(2, DOMAINS[2], draining=True),
    ]
    store.adopt(make_configuration(2, upstreams, out=[DOMAINS[0]]), 1.0)
    newest = store.list_generations()[-1]
    assert [upstream.id for upstream in newest.members] == ["log-1"]


def test_an_instance_that_skipped_versions_ends_with_the_same_generations() -> None:
    full, skipping = VersionStore(), VersionStore()
    for version, count in [(1, 3), (2, 5), (3, 5), (4, 3), (5, 3)]:
        full.adopt(make_version(version, count), 0.0)
    skipping.adopt(make_version(1, 3), 0.0)
    skipping.adopt(make_version(5, 3), 0.0)
    skipping.merge_generations(full.list_generations())
    assert list_versions(full) == [1, 2, 4]
    assert skipping.list_generations() == full.list_generations()


def test_clean_reports_prune_older_generations_but_never_the_newest(store: VersionStore) -> None:
    old = store.list_generations()
    store.adopt(make_version(2, 4), 1.0)
    store.adopt(make_version(3, 5), 1.0)
    store.prune([ServiceClean(SERVICE, Version(2))])
    assert list_versions(store) == [2, 3]
    store.merge_generations(old)
    assert list_versions(store) == [2, 3]
    store.prune([ServiceClean(SERVICE, Version(99))])
    assert list_versions(store) == [3]


def test_a_bounded_number_of_generations_is_kept(store: VersionStore) -> None:
    for version in range(2, 100):
        store.adopt(make_version(version, 1 + version % 2), 1.0)
    assert len(list_versions(store)) == MAX_GENERATIONS
    assert list_versions(store)[-1] == 99


def test_the_generation_of_flows_without_a_record_is_kept_through_many_changes(
    store: VersionStore,
) -> None:
    for version in range(2, 100):
        store.adopt(make_version(version, 1 + version % 2), 1.0)
    assert list_versions(store)[0] == 1
    store.prune([ServiceClean(SERVICE, Version(98))])
    assert list_versions(store) == [98, 99]


def test_placed_increases_once_all_peers_have_the_version(store: VersionStore) -> None:
    store.record_peer_version(PEERS[0], Version(1))
    store.advance_placed(PEERS, 3.0, 0.1)
    assert store.placed == 0
    store.record_peer_version(PEERS[1], Version(1))
    store.advance_placed(PEERS, 3.0, 0.2)
    assert store.placed == 1


def test_placed_increases_after_the_spread_time_without_reports_of_peers(
    store: VersionStore,
) -> None:
    store.advance_placed(PEERS, 3.0, 2.9)
    assert store.placed == 0
    store.advance_placed(PEERS, 3.0, 3.0)
    assert store.placed == 1


def test_a_later_version_is_placed_after_openings_without_a_record_have_settled(
    store: VersionStore,
) -> None:
    store.advance_placed((), 3.0, 0.0)
    store.adopt(make_version(2, 4), 10.0)
    store.advance_placed(PEERS, 3.0, 10.0)
    for peer in PEERS:
        store.record_peer_version(peer, Version(2))
    store.advance_placed(PEERS, 3.0, 11.0)
    store.advance_placed(PEERS, 3.0, 13.9)
    assert store.placed == 1
    store.advance_placed(PEERS, 3.0, 14.0)
    assert store.placed == 2


def test_versions_in_quick_succession_do_not_hold_up_placement(store: VersionStore) -> None:
    store.advance_placed((), 3.0, 0.0)
    for number in range(2, 20):
        now = 10.0 + number
        store.adopt(make_version(number, 4), now)
        for peer in PEERS:
            store.record_peer_version(peer, Version(number))
        store.advance_placed(PEERS, 3.0, now)
        assert store.placed >= number - 4


def test_the_highest_version_reported_by_a_peer_is_recorded(store: VersionStore) -> None:
    assert store.record_peer_version(PEERS[0], Version(7))
    assert (store.highest, store.is_behind) == (7, True)
    assert not store.record_peer_version(PEERS[1], Version(6))
    assert store.highest == 7


def test_a_joining_instance_gets_the_generations_of_its_peers() -> None:
    net = ControlNet(6)
    for version, count in [(1, 3), (2, 4), (3, 5)]:
        net.publish(make_version(version, count))
        net.run(2.0)
    newcomer = make_instance(9)
    net.instances.append(newcomer)
    net.publish_list(net.instances)
    net.start(newcomer)
    net.run(0.5)
    view = net.views[newcomer.id]
    assert not view.stale
    assert [generation.version for generation in view.generations] == [1, 2, 3]


def test_an_instance_that_skipped_is_stale_until_it_has_the_generations() -> None:
    net = ControlNet(7)
    net.run(3.0)
    skipping = net.instances[0].id
    net.is_dropped = lambda sender, target: skipping in (sender, target)
    net.watching.discard(skipping)
    for version, count in [(2, 4), (3, 5), (4, 4)]:
        net.publish(make_version(version, count))
        net.run(0.2)
    net.watching.add(skipping)
    net.publish(make_version(5, 3))
    assert net.views[skipping].configuration.version == 5
    assert net.views[skipping].stale
    net.is_dropped = lambda sender, target: False
    net.run(1.0)
    assert not net.views[skipping].stale
    other = net.views[net.instances[1].id]
    assert net.views[skipping].generations == other.generations
    assert len(other.generations) == 5


def test_a_start_without_reachable_peers_ends_after_a_timeout() -> None:
    net = ControlNet(6)
    for id_ in [entry.id for entry in net.instances[1:]]:
        net.kill(id_)
    net.run_until(lambda: net.all_have(1), 3.0)
    net.run(0.5)
    assert not net.views[net.instances[0].id].stale


def test_an_instance_that_joined_alone_merges_with_its_peers_once_they_answer() -> None:
    net = ControlNet(6)
    for version, count in [(1, 3), (2, 4), (3, 5)]:
        net.publish(make_version(version, count))
        net.run(2.0)
    newcomer = make_instance(9)
    net.is_dropped = lambda sender, target: newcomer.id in (sender, target)
    net.instances.append(newcomer)
    net.publish_list(net.instances)
    net.start(newcomer)
    net.run(4.0)
    assert [entry.version for entry in net.views[newcomer.id].generations] == [3]
    net.is_dropped = lambda sender, target: False
    net.run(5.0)
    assert [entry.version for entry in net.views[newcomer.id].generations] == [1, 2, 3]
    assert not net.views[newcomer.id].stale
