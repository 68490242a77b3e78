"""Fixtures of the tests of the process around the core."""

import pytest

from chicoryproxy.eventloop.loop import Loop
from tests.node.standins import StoreStandIn


@pytest.fixture
def loop():
    """A loop."""
    loop = Loop()
    yield loop
    loop.close()


@pytest.fixture
def store(loop):
    """A store on the loop."""
    return StoreStandIn(loop)
