"""Tests of the choice of instances that watch the platform."""

from chicoryproxy.control.readers import choose_readers
from tests.control_net import DOMAINS, ControlNet, make_configuration, make_instance


def test_the_choice_of_readers_depends_only_on_the_set_of_instances() -> None:
    instances = [make_instance(index) for index in range(20)]
    chosen = choose_readers(DOMAINS[0], instances)
    assert len(set(chosen)) == 3
    assert choose_readers(DOMAINS[0], instances[::-1]) == chosen
    assert choose_readers(DOMAINS[0], instances[:2])[:2] != ()


def test_a_silent_reader_is_replaced() -> None:
    net = ControlNet(15)
    net.run(5.0)
    domain = [entry for entry in net.instances if entry.domain == DOMAINS[0]]
    silent = next(entry.id for entry in domain if entry.id in net.watching)
    net.kill(silent)
    net.run(10.0)
    assert sum(entry.id in net.watching for entry in domain) == 3


def test_the_number_of_readers_does_not_grow_with_the_fleet() -> None:
    counts = []
    for size in (12, 48):
        net = ControlNet(size)
        net.run(5.0)
        counts.append(len(net.watching))
    assert counts == [9, 9]


def test_an_unreachable_platform_is_counted_and_reverts_nothing() -> None:
    net = ControlNet(6)
    net.run(3.0)
    net.publish(None)
    net.publish(None)
    net.run(30.0)
    net.start(make_instance(0))
    assert {view.configuration.version for view in net.views.values()} == {1}
    core = net.cores[net.instances[1].id]
    assert core.describe().unread == 2


def test_a_restarted_instance_gets_its_version_from_peers_while_the_platform_is_stale() -> None:
    net = ControlNet(6)
    net.publish(make_configuration(5))
    net.run(3.0)
    net.kill(net.instances[0].id)
    net.configuration = make_configuration(4)
    net.start(net.instances[0])
    net.run(2.0)
    assert net.views[net.instances[0].id].configuration.version == 5


def test_a_domain_that_is_cut_off_from_the_platform_gets_versions_from_the_others() -> None:
    net = ControlNet(9)
    net.run(3.0)
    net.watching -= {entry.id for entry in net.instances if entry.domain == DOMAINS[0]}
    net.publish(make_configuration(2))
    net.run_until(lambda: net.all_have(2), 8.0)
