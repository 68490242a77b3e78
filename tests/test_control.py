"""Several control cores together."""

import pytest

from tests.control_net import DOMAINS, ControlNet, make_configuration, make_upstream


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


def test_a_stale_platform_never_reverts_a_version() -> None:
    net = ControlNet(7)
    net.publish(make_configuration(5))
    net.run(3.0)
    net.publish(make_configuration(4, [make_upstream(0, DOMAINS[0])]))
    net.run(3.0)
    assert {view.configuration.version for view in net.views.values()} == {5}
    assert {len(view.conditions) for view in net.views.values()} == {6}


def test_a_new_version_places_flows_once_all_live_peers_have_it() -> None:
    net = ControlNet(7)
    net.run(5.0)
    cut_off = net.instances[0].id
    net.cut = lambda sender, target: cut_off in (sender, target)
    net.watching.discard(cut_off)
    net.publish(make_configuration(2))
    net.run(1.0)
    assert net.views[net.instances[1].id].configuration.version == 2
    assert net.views[net.instances[1].id].placed == 1
    net.run(2.5)
    assert net.views[net.instances[1].id].placed == 2
