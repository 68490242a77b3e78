"""Exceptions that cover an instance replace the limits of the fleet for this instance only."""

import msgspec
import pytest

from chicoryproxy.configuration.instancelimits import find_limits
from chicoryproxy.model import FleetLimits, InstanceLimits
from chicoryproxy.testing import create_tenggara
from tests.control_net import ControlNet, make_configuration

LIMIT_BYTES_PER_S = 1024
"""A quarter of the default control rate of the fleet."""


@pytest.fixture
def net():
    """A fleet whose second configuration version overrides the limits of one instance."""
    net = ControlNet(10, loss=0.02)
    net.run(5.0)
    own = InstanceLimits(net.instances[0].id, LIMIT_BYTES_PER_S, 1000)
    net.publish(msgspec.structs.replace(make_configuration(2), instances=(own,)))
    net.run(5.0)
    return net


def test_the_exception_replaces_only_the_limits_of_the_instance():
    own = InstanceLimits("entry-0", LIMIT_BYTES_PER_S, 1000)
    fleet = FleetLimits(spread_s=7.0)
    configuration = msgspec.structs.replace(make_configuration(1, fleet=fleet), instances=(own,))
    found = find_limits(configuration, "entry-0")
    assert (found.control_bytes_per_s, found.flow_table_size) == (LIMIT_BYTES_PER_S, 1000)
    assert found.spread_s == 7.0
    assert find_limits(configuration, "entry-1") == fleet


def test_the_view_of_the_instance_keeps_its_control_rate(net):
    net.sent_bytes.clear()
    net.run(10.0)
    net.kill(net.instances[1].id)
    net.run(10.0)
    assert net.sent_bytes[net.instances[0].id] <= 20.0 * LIMIT_BYTES_PER_S


def test_the_entry_of_the_instance_applies_its_control_rate():
    deployment = create_tenggara()
    own = InstanceLimits(deployment.instances[0].id, LIMIT_BYTES_PER_S, 1000)
    configuration = msgspec.structs.replace(deployment.configuration, instances=(own,))
    fleet = msgspec.structs.replace(deployment, configuration=configuration).create_fleet()
    fleet.run(5.0)
    limits = [node.core._context.view.fleet.control_bytes_per_s for node in fleet.nodes.values()]
    assert sorted(limits) == [LIMIT_BYTES_PER_S] + [4096] * (len(limits) - 1)
