"""Cut failure domain: hundreds of probes time out at once and each needs a control."""

import pytest

from chicoryproxy.forwarding.probecontrol import (
    MIN_SEARCH_INTERVAL_S,
    RECENT_ANSWER_S,
    ControlProbeSelector,
)
from tests.forwarding.harness import OTHER, OWN

THIRD = "port-klang"


class CountingDirectory:
    """Counts the walks over all upstreams.

    :ivar walks: walks since the start.
    """

    def __init__(self, directory):
        self.walks = 0
        self._directory = directory

    def iterate_present(self):
        """Iterate over all upstreams."""
        self.walks += 1
        return self._directory.iterate_present()


@pytest.fixture
def directory(harness):
    """Two upstreams in each of two failure domains; one of the own domain has answered."""
    for name, domain in (("i-1", OWN), ("i-2", OWN), ("i-3", OTHER), ("i-4", OTHER)):
        harness.publish_upstream(name, domain=domain)
    harness.find_upstream("i-2").answered_s = harness.now
    return CountingDirectory(harness.directory)


def test_an_upstream_of_the_own_domain_that_answered_last_is_the_control(harness, directory):
    assert ControlProbeSelector(directory, OWN).choose(
        harness.find_upstream("i-3"), harness.now
    ) is harness.find_upstream("i-2")


def test_timeouts_of_a_cut_domain_share_one_choice(harness, directory):
    choice = ControlProbeSelector(directory, OWN)
    for _ in range(100):
        for name in ("i-3", "i-4"):
            assert choice.choose(
                harness.find_upstream(name), harness.now + MIN_SEARCH_INTERVAL_S * 2
            ) is harness.find_upstream("i-2")
    assert directory.walks == 1


def test_the_suspected_upstream_is_never_its_own_control(harness, directory):
    choice = ControlProbeSelector(directory, OWN)
    choice.choose(harness.find_upstream("i-3"), harness.now)
    assert choice.choose(harness.find_upstream("i-2"), harness.now) is harness.find_upstream("i-1")


def test_a_control_that_is_out_of_reach_is_replaced(harness, directory):
    choice = ControlProbeSelector(directory, OWN)
    choice.choose(harness.find_upstream("i-3"), harness.now)
    harness.find_upstream("i-2").is_unreachable = True
    assert choice.choose(harness.find_upstream("i-3"), harness.now) is harness.find_upstream("i-1")


def test_a_silent_control_is_chosen_again_after_a_rest(harness, directory):
    choice = ControlProbeSelector(directory, OWN)
    choice.choose(harness.find_upstream("i-3"), harness.now)
    later = harness.now + RECENT_ANSWER_S + MIN_SEARCH_INTERVAL_S
    harness.find_upstream("i-1").answered_s = later
    assert choice.choose(harness.find_upstream("i-3"), later) is harness.find_upstream("i-1")


def test_neighbours_of_the_suspected_upstream_come_last(harness, directory):
    """An entry whose own domain has no upstream: a third domain tells more than the same one."""
    harness.publish_upstream("i-5", domain=THIRD)
    harness.find_upstream("i-4").answered_s = harness.now
    choice = ControlProbeSelector(harness.directory, "nowhere")
    assert choice.choose(harness.find_upstream("i-3"), harness.now) in (
        harness.find_upstream("i-2"),
        harness.find_upstream("i-5"),
    )


def test_there_is_no_control_without_another_upstream(harness):
    upstream = harness.publish_upstream("i-1")
    assert ControlProbeSelector(harness.directory, OWN).choose(upstream, harness.now) is None
