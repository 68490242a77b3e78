"""Fixtures for the tests of the forwarding core."""

import pytest

from tests.forwarding.harness import ForwarderHarness


@pytest.fixture
def harness():
    """A forwarding core with a configuration and no upstreams."""
    harness = ForwarderHarness()
    harness.publish_routing(1)
    return harness
