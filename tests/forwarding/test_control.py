"""Cut failure domain: hundreds of probes time out at once and each needs a control."""

import pytest

from chicoryproxy.forwarding.control import ANSWERED_S, REST_S, ControlChoice
from tests.forwarding.world import OTHER, OWN

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
def directory(world):
    """Two upstreams in each of two failure domains; one of the own domain has answered."""
    for name, domain in (("i-1", OWN), ("i-2", OWN), ("i-3", OTHER), ("i-4", OTHER)):
        world.list(name, domain=domain)
    world.find("i-2").answered_s = world.now
    return CountingDirectory(world.directory)


def test_an_upstream_of_the_own_domain_that_answered_last_is_the_control(world, directory):
    assert ControlChoice(directory, OWN).choose(world.find("i-3"), world.now) is world.find("i-2")


def test_timeouts_of_a_cut_domain_share_one_choice(world, directory):
    choice = ControlChoice(directory, OWN)
    for _ in range(100):
        for name in ("i-3", "i-4"):
            assert choice.choose(world.find(name), world.now + REST_S * 2) is world.find("i-2")
    assert directory.walks == 1


def test_the_suspected_upstream_is_never_its_own_control(world, directory):
    choice = ControlChoice(directory, OWN)
    choice.choose(world.find("i-3"), world.now)
    assert choice.choose(world.find("i-2"), world.now) is world.find("i-1")


def test_a_control_that_is_out_of_reach_is_replaced(world, directory):
    choice = ControlChoice(directory, OWN)
    choice.choose(world.find("i-3"), world.now)
    world.find("i-2").is_unreachable = True
    assert choice.choose(world.find("i-3"), world.now) is world.find("i-1")


def test_a_silent_control_is_chosen_again_after_a_rest(world, directory):
    choice = ControlChoice(directory, OWN)
    choice.choose(world.find("i-3"), world.now)
    later = world.now + ANSWERED_S + REST_S
    world.find("i-1").answered_s = later
    assert choice.choose(world.find("i-3"), later) is world.find("i-1")


def test_neighbours_of_the_suspected_upstream_come_last(world, directory):
    """An entry whose own domain has no upstream: a third domain tells more than the same one."""
    world.list("i-5", domain=THIRD)
    world.find("i-4").answered_s = world.now
    choice = ControlChoice(world.directory, "nowhere")
    assert choice.choose(world.find("i-3"), world.now) in (world.find("i-2"), world.find("i-5"))


def test_there_is_no_control_without_another_upstream(world):
    upstream = world.list("i-1")
    assert ControlChoice(world.directory, OWN).choose(upstream, world.now) is None
