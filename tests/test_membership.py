"""Tests of membership through control cores."""

import msgspec
import pytest

from chicoryproxy.control.versions import EMPTY_CONFIGURATION
from chicoryproxy.protocol.actions import SendToView
from chicoryproxy.protocol.messages import Gossip, MemberUpdate, Ping, VersionBody
from chicoryproxy.protocol.sizes import estimate_message_bytes
from chicoryproxy.states import MemberState
from tests.control_net import ControlNet, make_instance

SILENT = (MemberState.SUSPECT, MemberState.HIDDEN)


@pytest.fixture
def net() -> ControlNet:
    net = ControlNet(12)
    net.run(5.0)
    return net


def all_see(net: ControlNet, subject: str, *states: MemberState | None) -> bool:
    return all(net.get_state(id_, subject) in states for id_ in net.cores if id_ != subject)


def test_a_dead_instance_is_hidden_for_as_long_as_it_is_listed(net: ControlNet) -> None:
    dead = net.instances[1].id
    net.kill(dead)
    net.run_until(lambda: all_see(net, dead, MemberState.HIDDEN), 20.0)
    net.run(60.0)
    assert all_see(net, dead, MemberState.HIDDEN)


def test_a_hidden_instance_is_still_probed_and_recovers(net: ControlNet) -> None:
    hidden = net.instances[1].id
    net.is_dropped = lambda sender, target: hidden in (sender, target)
    net.run_until(lambda: all_see(net, hidden, MemberState.HIDDEN), 20.0)
    net.run(100.0)
    net.is_dropped = lambda sender, target: False
    net.run_until(lambda: all_see(net, hidden, MemberState.ALIVE), 10.0)


def test_a_dead_instance_removed_from_the_list_is_gone_for_good(net: ControlNet) -> None:
    dead = net.instances[1]
    net.kill(dead.id)
    net.run_until(lambda: all_see(net, dead.id, MemberState.HIDDEN), 20.0)
    net.publish_list(entry for entry in net.instances if entry != dead)
    net.run_until(lambda: all_see(net, dead.id, None), 20.0)
    net.publish_list(net.instances)
    net.run(5.0)
    assert all_see(net, dead.id, None)


def test_an_instance_that_answers_stays_a_member_when_missing_from_the_list(
    net: ControlNet,
) -> None:
    net.publish_list(net.instances[1:])
    net.run(30.0)
    assert all_see(net, net.instances[0].id, MemberState.ALIVE)


def test_every_instance_learns_of_a_new_one_from_the_readers() -> None:
    net = ControlNet(30)
    net.run(5.0)
    newcomer = make_instance(30)
    net.instances.append(newcomer)
    net.publish_list(net.instances)
    net.start(newcomer)
    net.run_until(lambda: all_see(net, newcomer.id, MemberState.ALIVE), 8.0)


def test_message_loss_hides_no_instance(net: ControlNet) -> None:
    net.loss = 0.1
    for _ in range(60):
        net.run(1.0)
        for id_ in net.cores:
            assert all_see(net, id_, MemberState.ALIVE, MemberState.SUSPECT)


def test_an_instance_that_only_some_peers_reach_is_not_hidden(net: ControlNet) -> None:
    first, second = net.instances[0].id, net.instances[1].id
    net.is_dropped = lambda sender, target: {sender, target} == {first, second}
    for _ in range(30):
        net.run(1.0)
        assert net.get_state(first, second) is not MemberState.HIDDEN


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_partition_heals_and_merges(seed: int) -> None:
    net = ControlNet(40, seed, loss=0.02)
    net.run(5.0)
    left = {entry.id for entry in net.instances[::3]}
    net.is_dropped = lambda sender, target: (sender in left) != (target in left)
    net.run(40.0)
    inside = net.instances[0].id
    outside = net.instances[1].id
    assert net.get_state(inside, outside) is MemberState.HIDDEN
    assert net.get_state(outside, inside) is MemberState.HIDDEN
    net.is_dropped = lambda sender, target: False
    net.run_until(
        lambda: all(all_see(net, id_, MemberState.ALIVE) for id_ in net.cores), limit_s=60.0
    )


def test_leaving_is_gossiped_before_the_instance_may_stop(net: ControlNet) -> None:
    leaving = net.instances[0]
    net.call(leaving.id, "begin_leaving")
    core = net.cores[leaving.id]
    net.run(1.0)
    assert all_see(net, leaving.id, MemberState.LEAVING)
    assert not core.may_stop(net.now)
    net.publish_list(
        msgspec.structs.replace(entry, leaving=entry == leaving) for entry in net.instances
    )
    net.run(0.5)
    assert core.may_stop(net.now)


def test_a_leaving_instance_may_stop_after_a_timeout_with_an_outdated_list(net: ControlNet) -> None:
    leaving = net.instances[0].id
    net.call(leaving, "begin_leaving")
    net.run(10.1)
    assert net.cores[leaving].may_stop(net.now)


def test_a_restarted_process_overrides_updates_about_its_predecessor(net: ControlNet) -> None:
    restarted = net.instances[0]
    net.call(restarted.id, "begin_leaving")
    net.run(2.0)
    net.kill(restarted.id)
    net.run(5.0)
    net.start(restarted)
    net.run_until(lambda: all_see(net, restarted.id, MemberState.ALIVE), 20.0)
    net.call(restarted.id, "begin_leaving")
    net.run_until(lambda: all_see(net, restarted.id, MemberState.LEAVING), 5.0)


def test_a_joining_instance_learns_which_members_are_silent(net: ControlNet) -> None:
    dead = net.instances[1].id
    net.kill(dead)
    net.run_until(lambda: all_see(net, dead, MemberState.HIDDEN), 20.0)
    newcomer = make_instance(50)
    net.instances.append(newcomer)
    net.publish_list(net.instances)
    net.start(newcomer)
    net.run(1.0)
    assert net.get_state(newcomer.id, dead) in SILENT


def test_messages_stay_below_their_size_limit_under_many_updates(net: ControlNet) -> None:
    viewer, peer = net.instances[0].id, net.instances[1].id
    core = net.cores[viewer]
    subjects = [entry.id for entry in net.instances[2:]]
    for incarnation in range(1, 50):
        states = [MemberState.SUSPECT if incarnation % 2 else MemberState.ALIVE] * len(subjects)
        updates = tuple(
            MemberUpdate(subject, state, incarnation)
            for subject, state in zip(subjects, states, strict=True)
        )
        actions = core.receive_message(peer, Ping(incarnation, Gossip(1, updates)), net.now)
        actions += core.tick(net.now)
        messages = [action.message for action in actions if hasattr(action, "message")]
        assert messages
        assert all(estimate_message_bytes(message) <= 1200 for message in messages)


def test_outdated_instance_entries_are_not_forwarded_again(net: ControlNet) -> None:
    first, second, third = (entry.id for entry in net.instances[:3])
    subject = net.instances[4]
    leaving = msgspec.structs.replace(subject, leaving=True)
    for entry, is_news in [(leaving, True), (subject, False), (leaving, False)]:
        body = VersionBody(EMPTY_CONFIGURATION, (), (entry,), ())
        actions = net.cores[first].receive_message(second, body, net.now)
        pushed = [action for action in actions if isinstance(action, SendToView)]
        assert bool(pushed) is is_news
    net.call(first, "tick")
    assert net.get_state(first, subject.id) is MemberState.LEAVING
    assert net.get_state(third, subject.id) is MemberState.ALIVE
