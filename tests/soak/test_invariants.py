"""The invariants of the soak notice openings that only an older version allows."""

from collections import namedtuple

import pytest

from chicoryproxy.platform.header import FLAG_SYN
from tests.soak.deployment import EXTRA_ROUTE, MOVING_ROUTE, ROUTES
from tests.soak.invariants import CONFIG_BOUND_S, QUIET_PERIOD_S, REGRESSION_BOUND_S, Invariants
from tests.soak.traffic import HEADER
from tests.soak.versions import REFUSED

ENTRY = ("entry-0", 1)
ONE_PROCESS_LATER = ("entry-0", 2)
STEP_S = 1.0
BASE = {ROUTES[0]: "desk", MOVING_ROUTE: "desk"}
ADDED = {**BASE, EXTRA_ROUTE: "desk"}
MOVED = {**BASE, MOVING_ROUTE: "vault"}

SERVER_FIELDS = ("name", "service", "state", "zone", "is_alive", "state_changed_s")
Server = namedtuple("Server", SERVER_FIELDS, defaults=(True, 0.0))


class Clock:
    """A clock that tests set.

    :ivar now: time, in seconds.
    """

    def __init__(self):
        self.now = 100.0

    def read_clock(self):
        """Return the time."""
        return self.now


class World:
    """Versions, openings and the invariants that judge them."""

    def __init__(self):
        self.clock = Clock()
        self.servers = []
        self.invariants = Invariants(self.clock, self.servers)
        self.clock.now += QUIET_PERIOD_S + STEP_S
        self._port = 1024

    def publish(self, *versions):
        """Publish versions, with a step after each."""
        for services in versions:
            self.invariants.record_version(services)
            self.clock.now += STEP_S

    def open(self, route, outcome, lifetime=ENTRY, after_s=0.0):
        """Let an entry handle an opening.

        :param outcome: the service that runs it, or ``REFUSED``.
        :param after_s: time for which it is on the way.
        """
        self._port += 1
        sent_s = self.clock.now
        packet = HEADER.pack(1, 0, 7, *route, self._port, 0, 7, 0, FLAG_SYN)
        self.invariants.record_sent(packet, lifetime)
        self.clock.now += after_s
        if outcome is REFUSED:
            self.invariants.check_refusal(route, sent_s, lifetime)
        else:
            self.invariants.check_opening(Server("i-1", outcome, "ready", "north"), packet)


@pytest.fixture
def world():
    """A world without versions."""
    return World()


# CONFIG: an entry process goes back to an older version, whose effect it then shows once more.
@pytest.mark.parametrize(
    ("versions", "route", "shown", "regressed"),
    [
        ((ADDED, BASE), EXTRA_ROUTE, REFUSED, "desk"),
        ((BASE, ADDED), EXTRA_ROUTE, "desk", REFUSED),
        ((BASE, MOVED), MOVING_ROUTE, "vault", "desk"),
    ],
)
def test_an_entry_that_goes_back_to_an_older_version_is_a_violation(
    world, versions, route, shown, regressed
):
    world.publish(*versions)
    world.open(route, shown)
    world.clock.now += REGRESSION_BOUND_S + 0.01
    world.open(route, regressed)
    assert ["went back" in text for text in world.invariants.violations] == [True]


# CONFIG: the effect that was shown is that of another route, of a version after the route's change.
def test_the_effect_of_a_version_on_one_route_binds_the_others(world):
    world.publish(ADDED, BASE, MOVED)
    world.open(MOVING_ROUTE, "vault")
    world.clock.now += REGRESSION_BOUND_S + 0.01
    world.open(EXTRA_ROUTE, "desk")
    assert ["went back" in text for text in world.invariants.violations] == [True]


# CONFIG: disturbance stretches no bound of a process that has shown the version already.
def test_going_back_to_an_older_version_is_a_violation_also_under_disturbance(world):
    world.publish(BASE, MOVED)
    world.open(MOVING_ROUTE, "vault")
    world.invariants.record_disturbance()
    world.clock.now += REGRESSION_BOUND_S + 0.01
    world.open(MOVING_ROUTE, "desk")
    assert len(world.invariants.violations) == 1


# CONFIG: a check that reports what the rule allows would have to be relaxed, and then miss faults.
@pytest.mark.parametrize(
    ("versions", "wait_s", "lifetime"),
    [
        ((BASE, MOVED), REGRESSION_BOUND_S - 0.01, ENTRY),
        ((BASE, MOVED), STEP_S, ONE_PROCESS_LATER),
        ((BASE, MOVED, BASE), STEP_S, ENTRY),
    ],
    ids=["soon after", "another lifetime", "a newer version allows it"],
)
def test_what_is_no_return_to_an_older_version_is_no_violation(world, versions, wait_s, lifetime):
    world.publish(*versions)
    world.open(MOVING_ROUTE, "vault")
    world.clock.now += wait_s
    world.open(MOVING_ROUTE, "desk", lifetime)
    assert world.invariants.violations == []


# CONFIG: a route was moved to another service, and the old one still ran its openings.
def test_an_opening_that_the_old_service_runs_later_than_the_bound_is_a_violation(world):
    world.publish(BASE, MOVED)
    world.clock.now += CONFIG_BOUND_S - STEP_S + 0.01
    world.open(MOVING_ROUTE, "desk")
    assert ["was replaced" in text for text in world.invariants.violations] == [True]


# CONFIG: the bound counts from the ack to the moment when the caller sent the opening.
@pytest.mark.parametrize("after_s", [0.0, STEP_S])
def test_an_opening_that_was_sent_within_the_bound_may_be_run_by_the_old_service(world, after_s):
    world.publish(BASE, MOVED)
    world.clock.now += CONFIG_BOUND_S - STEP_S - 0.01
    world.open(MOVING_ROUTE, "desk", after_s=after_s)
    assert world.invariants.violations == []


# ROUTE: no version ever allowed the service.
def test_an_opening_that_a_service_runs_which_no_version_allows_is_a_violation(world):
    world.publish(BASE)
    world.open(MOVING_ROUTE, "vault")
    assert any("got an opening of" in text for text in world.invariants.violations)


# FLOW: versions drop the route of an open flow, which may then be reset; no other reset may hit it.
@pytest.mark.parametrize(
    ("before", "after", "is_violation"),
    [
        ((ADDED,), (BASE, ADDED), False),
        ((ADDED, BASE), (), False),
        ((ADDED, BASE, ADDED), (), True),
        ((BASE, ADDED), (MOVED | ADDED,), True),
    ],
    ids=["dropped since", "dropped, not yet heard of", "dropped before", "never dropped since"],
)
def test_the_reset_of_an_open_flow_whose_route_is_not_dropped_is_a_violation(
    world, before, after, is_violation
):
    world.publish(*before)
    opened_s = world.clock.now
    world.servers.append(Server("i-1", "desk", "ready", "north"))
    world.publish(*after)
    world.clock.now += QUIET_PERIOD_S
    world.invariants.check_reset(EXTRA_ROUTE, opened_s, "i-1", "waiting", world.clock.now)
    assert bool(world.invariants.violations) is is_violation


# CONFIG: one entry is killed, and another one, which got its view from it, falls behind.
def test_the_fault_of_one_entry_does_not_suspend_the_checks_of_the_others(world):
    world.publish(BASE, MOVED)
    world.clock.now += CONFIG_BOUND_S
    world.invariants.record_disturbance(entry="entry-0")
    world.open(MOVING_ROUTE, "desk")
    assert world.invariants.violations == []
    world.open(MOVING_ROUTE, "desk", ("entry-1", 1))
    assert len(world.invariants.violations) == 1


# CONFIG: it isn't known which entry refused, since copies of the opening went to several.
def test_a_refusal_of_an_unknown_entry_is_not_judged_while_any_entry_is_disturbed(world):
    world.invariants.record_added_route(EXTRA_ROUTE)
    world.publish(BASE, ADDED)
    world.clock.now += CONFIG_BOUND_S
    world.invariants.record_disturbance(entry="entry-0")
    world.open(EXTRA_ROUTE, REFUSED, lifetime=None)
    assert world.invariants.violations == []
    world.open(EXTRA_ROUTE, REFUSED, lifetime=("entry-1", 1))
    assert len(world.invariants.violations) == 1
