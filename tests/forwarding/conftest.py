"""Fixtures for the tests of the forwarding core."""

import pytest

from tests.forwarding.harness import ForwarderHarness
from tests.forwarding.probenetwork import Network


@pytest.fixture
def harness():
    """A forwarding core with a configuration and no upstreams."""
    harness = ForwarderHarness()
    harness.publish_routing(1)
    return harness


@pytest.fixture
def network(harness):
    """A network in which all connections succeed at once."""
    return Network(harness)
