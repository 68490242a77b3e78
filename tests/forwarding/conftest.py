"""Fixtures of the tests of the forwarding core."""

import pytest

from tests.forwarding.harness import ForwarderHarness


@pytest.fixture
def harness():
    """A core with a configuration and no upstream."""
    harness = ForwarderHarness()
    harness.publish_routing(1)
    return harness
