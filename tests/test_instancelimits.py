"""Exceptions that cover an instance replace the fleet's limits there, and only there."""

import msgspec
import pytest

from chicoryproxy.configuration.instancelimits import find_limits
from chicoryproxy.model import FleetLimits, InstanceLimits
from chicoryproxy.testing import create_tenggara
from tests.control_net import ControlNet, make_configuration

LIMIT = 1024
"""Bytes a second, a quarter of the fleet's."""


@pytest.fixture
def net():
    """A fleet in whose second version one instance has a limit of its own."""
    net = ControlNet(10, loss=0.02)
    net.run(5.0)
    own = InstanceLimits(net.instances[0].id, LIMIT, 1000)
    net.publish(msgspec.structs.replace(make_configuration(2), instances=(own,)))
    net.run(5.0)
    return net


def test_the_exception_replaces_two_of_the_limits():
    own = InstanceLimits("entry-0", LIMIT, 1000)
    fleet = FleetLimits(spread_s=7.0)
    configuration = msgspec.structs.replace(make_configuration(1, fleet=fleet), instances=(own,))
    found = find_limits(configuration, "entry-0")
    assert (found.control_bytes_per_s, found.flow_table_size) == (LIMIT, 1000)
    assert found.spread_s == 7.0
    assert find_limits(configuration, "entry-1") == fleet


def test_the_view_of_the_instance_sends_within_its_own_limit(net):
    net.sent_bytes.clear()
    net.run(10.0)
    net.kill(net.instances[1].id)
    net.run(10.0)
    assert net.sent_bytes[net.instances[0].id] <= 20.0 * LIMIT


def test_the_entry_of_the_instance_takes_its_own_limit():
    deployment = create_tenggara()
    own = InstanceLimits(deployment.instances[0].id, LIMIT, 1000)
    configuration = msgspec.structs.replace(deployment.configuration, instances=(own,))
    fleet = msgspec.structs.replace(deployment, configuration=configuration).create_fleet()
    fleet.run(5.0)
    limits = [node.core._context.view.fleet.control_bytes_per_s for node in fleet.nodes.values()]
    assert sorted(limits) == [LIMIT] + [4096] * (len(limits) - 1)
