"""Tests of several control cores that exchange messages."""

import random

import pytest

from chicoryproxy.ids import InstanceId, ServiceId, Version
from chicoryproxy.protocol.actions import SendToView
from chicoryproxy.protocol.messages import EntryReport, Gossip, Ping, ServiceClean, VersionBody
from chicoryproxy.states import MemberState
from tests.control_net import DOMAINS, ControlNet, make_configuration, make_upstream


@pytest.fixture
def net() -> ControlNet:
    net = ControlNet(7)
    net.run(5.0)
    return net


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_every_instance_gets_a_version_although_a_reader_is_dead(seed: int) -> None:
    net = ControlNet(21, seed, loss=0.05)
    net.run_until(lambda: net.all_have(1), 8.0)
    net.run(3.0)
    dead = sorted(net.watching)[0]
    net.kill(dead)
    net.publish(make_configuration(2))
    net.run_until(lambda: net.all_have(2), 8.0)


def test_only_a_few_instances_of_a_domain_watch_the_platform() -> None:
    net = ControlNet(30)
    net.run(5.0)
    for domain in DOMAINS:
        watching = [entry for entry in net.instances if entry.domain == domain]
        assert sum(entry.id in net.watching for entry in watching) == 3


def test_a_stale_platform_never_reverts_a_version(net: ControlNet) -> None:
    net.publish(make_configuration(5))
    net.run(3.0)
    net.publish(make_configuration(4, [make_upstream(0, DOMAINS[0])]))
    net.run(3.0)
    assert {view.configuration.version for view in net.views.values()} == {5}
    assert {len(view.conditions) for view in net.views.values()} == {6}


def test_a_new_version_places_flows_once_peers_have_it_and_openings_have_settled(
    net: ControlNet,
) -> None:
    cut_off = net.instances[0].id
    net.is_dropped = lambda sender, target: cut_off in (sender, target)
    net.watching.discard(cut_off)
    net.publish(make_configuration(2))
    net.run(1.0)
    assert net.views[net.instances[1].id].configuration.version == 2
    assert net.views[net.instances[1].id].placed == 1
    net.run(2.9)
    assert net.views[net.instances[1].id].placed == 1
    net.run(2.6)
    assert net.views[net.instances[1].id].placed == 2


def test_a_version_reaches_three_hundred_instances_with_a_reader_dead() -> None:
    net = ControlNet(300)
    net.run_until(lambda: net.all_have(1), 8.0)
    net.run(3.0)
    net.kill(sorted(net.watching)[0])
    net.publish(make_configuration(2))
    net.run_until(lambda: net.all_have(2), 8.0)


def test_a_version_reaches_everyone_while_most_messages_are_lost() -> None:
    net = ControlNet(21)
    net.run(3.0)
    net.loss = 0.4
    net.publish(make_configuration(2))
    net.run_until(lambda: net.all_have(2), 8.0)


def test_an_instance_is_behind_until_it_has_the_highest_reported_version(
    net: ControlNet,
) -> None:
    behind, peer = net.instances[0].id, net.instances[1].id
    net.is_dropped = lambda sender, target: sender == behind
    net.call(behind, "receive_message", peer, Ping(1, Gossip(Version(9))))
    view = net.views[behind]
    assert (view.highest, view.configuration.version) == (9, 1)
    net.is_dropped = lambda sender, target: False
    net.publish(make_configuration(9))
    net.run(1.0)
    assert net.views[behind].configuration.version == 9


def test_a_paused_instance_is_stale_until_a_fresh_peer_confirms(net: ControlNet) -> None:
    paused = net.instances[0].id
    net.paused.add(paused)
    net.watching.discard(paused)
    net.run(5.0)
    net.publish(make_configuration(2))
    net.run(1.0)
    net.paused.discard(paused)
    net.is_dropped = lambda sender, target: paused in (sender, target)
    net.run(1.0)
    assert net.views[paused].stale
    net.is_dropped = lambda sender, target: False
    net.run_until(lambda: not net.views[paused].stale, 2.0)
    assert net.views[paused].configuration.version == 2


# An instance that missed a version while it was paused took its view for current as soon as a peer
# answered, and placed flows by the former version until it had fetched the new one.
def test_a_peer_with_a_newer_version_does_not_confirm_the_view(
    net: ControlNet, monkeypatch: pytest.MonkeyPatch
) -> None:
    paused = net.instances[0].id
    net.paused.add(paused)
    net.watching.discard(paused)
    net.run(5.0)
    net.publish(make_configuration(2))
    net.run(1.0)
    net.paused.discard(paused)
    send = net._send

    def lose_bodies(sender: InstanceId, action: SendToView) -> None:
        if not isinstance(action.message, VersionBody):
            send(sender, action)

    monkeypatch.setattr(net, "_send", lose_bodies)
    net.run(0.5 * net.views[paused].configuration.fleet.spread_s)
    assert net.views[paused].stale
    monkeypatch.setattr(net, "_send", send)
    net.run_until(lambda: not net.views[paused].stale, 2.0)
    assert net.views[paused].configuration.version == 2


def test_two_instances_resumed_together_do_not_confirm_each_other(net: ControlNet) -> None:
    pair = {entry.id for entry in net.instances[:2]}
    net.paused |= pair
    net.run(1.5)
    net.paused -= pair
    net.is_dropped = lambda sender, target: (sender in pair) != (target in pair)
    net.run(1.0)
    assert all(net.views[id_].stale for id_ in pair)
    net.run(net.views[min(pair)].configuration.fleet.spread_s)
    assert not any(net.views[id_].stale for id_ in pair)


def test_an_instance_does_not_suspect_its_peers_after_its_own_pause(net: ControlNet) -> None:
    paused = net.instances[0].id
    net.paused.add(paused)
    net.run(30.0)
    net.paused.discard(paused)
    net.run(3.0)
    states = {member.state for member in net.views[paused].members}
    assert states == {MemberState.ALIVE}


def test_a_view_is_sent_only_after_a_change(net: ControlNet) -> None:
    numbers = {id_: view.number for id_, view in net.views.items()}
    net.run(10.0)
    assert {id_: view.number for id_, view in net.views.items()} == numbers
    net.publish(make_configuration(2))
    net.run(1.0)
    assert all(net.views[id_].number > number for id_, number in numbers.items())


def test_a_report_of_a_clean_service_prunes_generations_in_the_view(net: ControlNet) -> None:
    net.publish(make_configuration(2, [make_upstream(0, DOMAINS[0])]))
    net.run(1.0)
    reporter = net.instances[0].id
    assert len(net.views[reporter].generations) == 2
    clean = (ServiceClean(ServiceId("recovery-log"), Version(2)),)
    net.call(reporter, "receive_report", EntryReport(clean=clean))
    assert [entry.version for entry in net.views[reporter].generations] == [2]


@pytest.mark.parametrize("count", [10, 100])
def test_control_traffic_stays_within_the_budget(count: int) -> None:
    net = ControlNet(count, loss=0.02)
    net.run(10.0)
    net.sent_bytes.clear()
    net.kill(net.instances[1].id)
    net.publish(make_configuration(2))
    net.run(20.0)
    limit = net.views[net.instances[0].id].configuration.fleet.control_bytes_per_s
    assert max(net.sent_bytes.values()) <= 20.0 * limit


def test_the_same_seed_gives_the_same_actions() -> None:
    first, second = ControlNet(9, 5, loss=0.1), ControlNet(9, 5, loss=0.1)
    for net in (first, second):
        net.run(10.0)
    assert first.sent_bytes == second.sent_bytes
    assert first.views == second.views


def test_the_description_contains_the_version_of_each_peer(net: ControlNet) -> None:
    net.publish(make_configuration(2))
    net.run(2.0)
    description = net.cores[net.instances[0].id].describe()
    assert (description.version, description.placed) == (2, 1)
    net.run(3.0)
    description = net.cores[net.instances[0].id].describe()
    assert (description.version, description.placed) == (2, 2)
    assert {peer.version for peer in description.peers} == {2}
    assert len(description.peers) == len(net.instances) - 1
    assert description.evidence


def apply_random_event(net: ControlNet, version: int, rng: random.Random) -> int:
    """Apply one pseudo-random event and return the version that is published afterwards."""
    live = sorted(net.cores)
    event = rng.choice(("publish", "publish", "skip", "restart", "part", "heal", "pause", "wake"))
    if event in ("publish", "skip"):
        version += 1 if event == "publish" else 3
        out = [domain for domain in DOMAINS if rng.random() < 0.2]
        net.watching = set(rng.sample(sorted(net.watching), (len(net.watching) + 1) // 2))
        net.publish(make_configuration(version, out=out))
    elif event == "restart":
        restarted = rng.choice(net.instances)
        net.kill(restarted.id)
        net.start(restarted)
    elif event in ("part", "heal"):
        side = {id_ for id_ in live if event == "part" and rng.random() < 0.4}
        net.is_dropped = lambda sender, target: (sender in side) != (target in side)
    elif event == "pause":
        net.paused.add(rng.choice(live))
    else:
        net.paused.clear()
    net.run(rng.choice((0.1, 0.5, 2.0, 6.0)))
    return version


@pytest.mark.parametrize("seed", range(6))
def test_all_instances_agree_after_a_random_history(seed: int) -> None:
    rng = random.Random(seed)
    net = ControlNet(rng.choice((3, 7, 12)), seed, loss=0.02)
    version = 1
    for _ in range(40):
        version = apply_random_event(net, version, rng)
    net.is_dropped = lambda sender, target: False
    net.paused.clear()
    net.watching = {id_ for id_ in net.cores if net.cores[id_].describe().watch.value != "idle"}
    net.publish(make_configuration(version + 1))
    net.run(40.0)
    views = list(net.views.values())
    assert {(view.configuration.version, view.placed, view.stale) for view in views} == {
        (version + 1, version + 1, False)
    }
    assert {member.state for view in views for member in view.members} == {MemberState.ALIVE}
    condition_sets = {
        tuple((c.upstream, c.state, c.epoch) for c in view.conditions) for view in views
    }
    assert len(condition_sets) == 1
    assert len({view.generations[-1].version for view in views}) == 1
