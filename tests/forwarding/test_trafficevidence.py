"""What packets tell of an upstream reaches the components that judge it."""

import pytest

from chicoryproxy.forwarding.flows import Flow
from tests.forwarding.harness import ROUTE, ForwarderHarness


@pytest.fixture
def harness():
    """A forwarding core with one upstream."""
    created = ForwarderHarness()
    created.publish_routing(1)
    created.publish_upstream("i-1")
    return created


def test_a_failure_counts_and_asks_for_a_probe(harness):
    upstream, forwarder = harness.find_upstream("i-1"), harness.forwarder
    forwarder._evidence.record_failure(upstream, harness.now)
    assert forwarder.failure_detector.get_failures(upstream) == 1
    assert forwarder.reachability.pop_due(harness.now) == [upstream]


def test_an_answer_ends_the_failures(harness):
    upstream, forwarder = harness.find_upstream("i-1"), harness.forwarder
    forwarder._evidence.record_failure(upstream, harness.now)
    forwarder._evidence.record_answer(upstream, harness.now)
    assert forwarder.failure_detector.get_failures(upstream) == 0
    assert upstream.answered_s == harness.now


@pytest.mark.parametrize("has_route", [True, False])
def test_a_response_is_observed_also_if_its_route_is_gone(harness, has_route):
    observed = []
    harness.forwarder._evidence._observer.record_response = observed.append
    route = harness.directory.find_route(ROUTE) if has_route else None
    upstream = harness.find_upstream("i-1")
    harness.forwarder._evidence.record_response(
        route, Flow(harness.now), upstream, 0.2, harness.now
    )
    assert observed == [0.2]
