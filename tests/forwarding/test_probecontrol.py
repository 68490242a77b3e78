"""Control selection when hundreds of probes of a partitioned domain time out at once."""

import pytest

from chicoryproxy.forwarding.health.probecontrol import (
    MIN_SEARCH_INTERVAL_S,
    RECENT_ANSWER_S,
    ControlProbeSelector,
)
from tests.forwarding.harness import OTHER_DOMAIN, OWN_DOMAIN

THIRD_DOMAIN = "port-klang"


class CountingDirectory:
    """Counts the iterations over all upstreams.

    :ivar iterations: iterations since the start.
    """

    def __init__(self, directory):
        self.iterations = 0
        self._directory = directory

    def iterate_present(self):
        """Iterate over all upstreams."""
        self.iterations += 1
        return self._directory.iterate_present()


@pytest.fixture
def directory(harness):
    """Two upstreams in each of two failure domains; one of the own domain has answered."""
    for name, domain in (
        ("i-1", OWN_DOMAIN),
        ("i-2", OWN_DOMAIN),
        ("i-3", OTHER_DOMAIN),
        ("i-4", OTHER_DOMAIN),
    ):
        harness.publish_upstream(name, domain=domain)
    harness.find_upstream("i-2").answered_s = harness.now
    return CountingDirectory(harness.directory)


def test_the_control_is_the_upstream_of_the_own_domain_that_answered_last(harness, directory):
    assert ControlProbeSelector(directory, OWN_DOMAIN).choose(
        harness.find_upstream("i-3"), harness.now
    ) is harness.find_upstream("i-2")


def test_timeouts_of_a_partitioned_domain_share_one_search(harness, directory):
    selector = ControlProbeSelector(directory, OWN_DOMAIN)
    for _ in range(100):
        for name in ("i-3", "i-4"):
            assert selector.choose(
                harness.find_upstream(name), harness.now + MIN_SEARCH_INTERVAL_S * 2
            ) is harness.find_upstream("i-2")
    assert directory.iterations == 1


def test_the_suspected_upstream_is_never_its_own_control(harness, directory):
    selector = ControlProbeSelector(directory, OWN_DOMAIN)
    selector.choose(harness.find_upstream("i-3"), harness.now)
    assert selector.choose(harness.find_upstream("i-2"), harness.now) is harness.find_upstream(
        "i-1"
    )


def test_an_unreachable_control_is_replaced(harness, directory):
    selector = ControlProbeSelector(directory, OWN_DOMAIN)
    selector.choose(harness.find_upstream("i-3"), harness.now)
    harness.find_upstream("i-2").is_unreachable = True
    assert selector.choose(harness.find_upstream("i-3"), harness.now) is harness.find_upstream(
        "i-1"
    )


def test_a_control_without_recent_answers_is_replaced_after_the_interval(harness, directory):
    selector = ControlProbeSelector(directory, OWN_DOMAIN)
    selector.choose(harness.find_upstream("i-3"), harness.now)
    later = harness.now + RECENT_ANSWER_S + MIN_SEARCH_INTERVAL_S
    harness.find_upstream("i-1").answered_s = later
    assert selector.choose(harness.find_upstream("i-3"), later) is harness.find_upstream("i-1")


def test_upstreams_of_the_suspected_domain_are_chosen_last(harness, directory):
    """Without upstreams in the own domain, a third domain is preferred to the suspected one."""
    harness.publish_upstream("i-5", domain=THIRD_DOMAIN)
    harness.find_upstream("i-4").answered_s = harness.now
    selector = ControlProbeSelector(harness.directory, "nowhere")
    assert selector.choose(harness.find_upstream("i-3"), harness.now) in (
        harness.find_upstream("i-2"),
        harness.find_upstream("i-5"),
    )


def test_there_is_no_control_without_another_upstream(harness):
    upstream = harness.publish_upstream("i-1")
    assert ControlProbeSelector(harness.directory, OWN_DOMAIN).choose(upstream, harness.now) is None
