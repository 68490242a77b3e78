"""Tests of the leases that limit openings."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from chicoryproxy.ids import DomainId, InstanceId, UpstreamId
from chicoryproxy.model import Endpoint, Upstream, UpstreamCondition, WarmUp
from chicoryproxy.protocol.messages import Grant, GrantRequest, OpeningOutcomes
from chicoryproxy.routing.grants import WINDOW_S, GrantHolder, GrantOwner
from chicoryproxy.states import UpstreamState

LEASE_S = 0.25
MARGIN_S = 1.0
WAIT_S = 2.26
NAME = UpstreamId("u")
STEP_S = 0.02


def make_upstream(cold=10.0, full=10.0):
    return Upstream(
        NAME,
        DomainId("d"),
        Endpoint("127.0.0.1", 1),
        warm_up=WarmUp(cold_openings=cold, full_openings=full, duration_s=5.0),
    )


def make_condition(state=UpstreamState.COLD, epoch=1):
    return UpstreamCondition(NAME, state, epoch)


@pytest.fixture
def owner():
    owner = GrantOwner(LEASE_S, MARGIN_S)
    owner.begin_ownership(NAME, 0.0)
    return owner


@pytest.fixture
def holder():
    return GrantHolder()


def ask(owner, now, openings=100, holder="h", upstream=None, **condition):
    return owner.request(
        upstream or make_upstream(),
        make_condition(**condition),
        InstanceId(holder),
        openings,
        now,
    )


def receive_lease(holder, openings, now, lifetime_s=LEASE_S):
    request = holder.next_request(NAME, now)
    return holder.receive(Grant(request.request, NAME, openings, lifetime_s), now)


def test_a_new_owner_waits_until_leases_of_the_previous_owner_end(owner):
    assert ask(owner, LEASE_S + WINDOW_S + MARGIN_S) == 0
    assert ask(owner, WAIT_S) == 10


def test_an_owner_waits_again_after_a_pause(owner):
    assert ask(owner, WAIT_S) == 10
    owner.invalidate(100.0)
    assert ask(owner, 101.0) == 0
    assert ask(owner, 100.0 + WAIT_S) == 10


def test_an_owner_that_lost_an_upstream_waits_when_it_gets_it_back(owner):
    assert ask(owner, WAIT_S) == 10
    owner.retain_owned(lambda upstream: upstream != NAME)
    owner.begin_ownership(NAME, 100.0)
    assert ask(owner, 101.0) == 0
    assert ask(owner, 100.0 + WAIT_S) == 10


def test_a_shorter_lease_is_granted_only_when_the_longer_ones_are_over(owner):
    owner.set_lease(1.0, WAIT_S)
    owner.set_lease(0.1, 100.0)
    assert owner.lease_s == 0.1
    assert ask(owner, 100.0 + 1.0 + WINDOW_S + MARGIN_S) == 0
    assert ask(owner, 100.0 + 1.1 + WINDOW_S + MARGIN_S) == 10


@pytest.mark.parametrize("event", ["pause", "new upstream", "shorter again"])
def test_a_wait_that_starts_after_a_lease_was_shortened_covers_the_longer_leases(event):
    owner = GrantOwner(10.0, MARGIN_S)
    owner.set_lease(0.2, 100.0)
    if event == "pause":
        ask(owner, 100.1)
        owner.invalidate(100.2)
    elif event == "shorter again":
        owner.set_lease(0.1, 100.2)
    assert ask(owner, 100.3) == 0
    assert ask(owner, 100.0 + 10.0 + WINDOW_S + MARGIN_S) == 0
    assert ask(owner, 100.0 + 10.2 + WINDOW_S + MARGIN_S) == 10


@pytest.mark.parametrize(
    "state",
    [UpstreamState.DRAINING, UpstreamState.GONE, UpstreamState.UNREACHABLE, UpstreamState.READY],
)
def test_only_upstreams_on_a_ramp_are_granted(owner, state):
    assert ask(owner, WAIT_S, state=state) == 0


def test_the_bound_is_not_exceeded_within_a_window_and_a_lifetime(owner):
    assert ask(owner, WAIT_S) == 10
    assert ask(owner, WAIT_S + WINDOW_S + LEASE_S) == 0
    assert ask(owner, WAIT_S + WINDOW_S + LEASE_S + 0.1) == 10


def test_holders_share_in_proportion_to_their_demand(owner):
    ask(owner, WAIT_S - 0.2, openings=10, holder="a")
    ask(owner, WAIT_S - 0.1, openings=40, holder="b")
    assert ask(owner, WAIT_S, openings=10, holder="a") == 2
    assert ask(owner, WAIT_S, openings=40, holder="b") == 8


def test_a_bound_below_one_opening_per_second_is_kept(owner):
    slow = make_upstream(cold=0.25, full=0.25)
    granted = sum(ask(owner, WAIT_S + tick * 0.5, upstream=slow, openings=1) for tick in range(80))
    assert 1 < granted <= 40 * 0.25


def test_a_refusal_says_when_to_ask_again(owner):
    assert owner.retry_after_s(NAME, 1.0) == pytest.approx(WAIT_S - 1.0, abs=0.1)
    ask(owner, WAIT_S)
    wait = owner.retry_after_s(NAME, WAIT_S + 0.5)
    assert ask(owner, WAIT_S + 0.5 + wait + 0.01) > 0


def warm(owner, upstream):
    now = WAIT_S
    while not owner.warmed() and now < 300.0:
        ask(owner, now, upstream=upstream)
        owner.record_outcomes(OpeningOutcomes(NAME, int(owner.level(NAME)) + 1, 0, 0), now)
        now += 1.0
    return now


def test_answered_openings_warm_an_upstream_and_a_higher_epoch_resets_it(owner):
    upstream = make_upstream(cold=2.0, full=100.0)
    now = warm(owner, upstream)
    assert owner.warmed() == (NAME,)
    assert ask(owner, now + 2.0, upstream=upstream, epoch=2) == 2
    assert owner.warmed() == ()


def test_an_unchanged_epoch_does_not_reset_the_level(owner):
    upstream = make_upstream(cold=2.0, full=100.0)
    now = warm(owner, upstream)
    ask(owner, now, upstream=upstream, epoch=1)
    assert owner.level(NAME) == 100.0


def test_shedding_decreases_the_level_once(owner):
    upstream = make_upstream(cold=2.0, full=100.0)
    now = warm(owner, upstream)
    for _ in range(3):
        ask(owner, now, upstream=upstream, state=UpstreamState.SHEDDING, epoch=2)
    assert 2.0 < owner.level(NAME) < 100.0


def test_a_holder_uses_what_it_was_granted(holder):
    assert holder.use_opening(NAME, 0.0) is None
    assert receive_lease(holder, 2, 0.0)
    assert [bool(holder.use_opening(NAME, 0.1)) for _ in range(3)] == [True, True, False]


def test_a_lease_counts_from_the_sending_of_its_request(holder):
    request = holder.next_request(NAME, 0.0)
    assert holder.receive(Grant(request.request, NAME, 1, LEASE_S), 0.2)
    assert holder.use_opening(NAME, LEASE_S) is None


def test_a_grant_that_arrives_after_its_lifetime_is_not_used(holder):
    request = holder.next_request(NAME, 0.0)
    assert not holder.receive(Grant(request.request, NAME, 1, LEASE_S), LEASE_S)


def test_there_is_one_outstanding_request_and_a_late_grant_is_ignored(holder):
    first = holder.next_request(NAME, 0.0)
    assert holder.next_request(NAME, 0.1) is None
    second = holder.next_request(NAME, 0.3)
    assert second.request != first.request
    assert not holder.receive(Grant(first.request, NAME, 5, 1.0), 0.31)
    assert holder.receive(Grant(second.request, NAME, 5, 1.0), 0.31)
    assert not holder.receive(Grant(second.request, NAME, 5, 1.0), 0.32)


def test_a_request_asks_for_as_much_as_was_attempted(holder):
    for _ in range(7):
        holder.use_opening(NAME, 0.0)
    assert holder.next_request(NAME, 0.0).openings == 7


def test_a_refused_holder_waits_as_long_as_it_was_told(holder):
    receive_lease(holder, 0, 0.0, lifetime_s=0.5)
    assert holder.next_request(NAME, 0.4) is None
    assert holder.next_request(NAME, 0.5) is not None


def test_a_returned_opening_is_used_within_its_own_lease_only(holder):
    receive_lease(holder, 1, 0.0)
    lease = holder.use_opening(NAME, 0.0)
    holder.return_opening(NAME, lease)
    assert holder.use_opening(NAME, 0.1) == lease
    receive_lease(holder, 1, 0.3)
    assert holder.use_opening(NAME, 0.3)
    holder.return_opening(NAME, lease)
    assert holder.use_opening(NAME, 0.3) is None


@pytest.mark.parametrize(
    "discard", [lambda holder: holder.invalidate(), lambda holder: holder.discard_leases(NAME)]
)
def test_leases_and_requests_end_after_a_pause_or_a_worse_state(holder, discard):
    receive_lease(holder, 5, 0.0, lifetime_s=10.0)
    request = holder.next_request(NAME, 6.0)
    discard(holder)
    assert holder.use_opening(NAME, 6.0) is None
    assert not holder.receive(Grant(request.request, NAME, 5, 10.0), 6.0)


class LeaseSimulation:
    """Seven holders and two owners on a network that delays, loses and duplicates messages.

    Ownership changes at random times; owners and holders learn of a change within ``MARGIN_S``.
    """

    def __init__(self, seed, cold, full):
        self.random = random.Random(seed)
        self.upstream = make_upstream(cold, full)
        self.now = 0.0
        self.owners = [GrantOwner(LEASE_S, MARGIN_S), GrantOwner(LEASE_S, MARGIN_S)]
        self.holders = [GrantHolder() for _ in range(7)]
        self.assumed_owners = [0] * 7
        self.rates = [1.0] * 7
        self.queue = []
        self.forwarded = []
        self.levels = []
        self.owners[0].begin_ownership(NAME, 0.0)

    def send(self, deliver, *arguments):
        for _ in range(self.random.choice([0, 1, 1, 1, 1, 2])):
            delay = self.random.choice([0.002, 0.01, 0.1, 0.3, 1.5])
            self.queue.append((self.now + delay, deliver, arguments))

    def run(self, duration_s):
        changes_at = self.random.uniform(4.0, 8.0)
        while self.now < duration_s:
            self.now += STEP_S
            if self.now > changes_at:
                self.change_owner()
                changes_at = self.now + self.random.uniform(4.0, 9.0)
            due = [entry for entry in self.queue if entry[0] <= self.now]
            self.queue = [entry for entry in self.queue if entry[0] > self.now]
            for _, deliver, arguments in due:
                deliver(*arguments)
            for index in range(7):
                self.step_holder(index)
            self.levels.append((self.now, max(owner.level(NAME) for owner in self.owners)))

    def change_owner(self):
        if self.random.random() < 0.3:
            self.owners[self.assumed_owners[0]].invalidate(self.now)
            return
        new = self.random.randrange(2)
        self.schedule(self.owners[1 - new].end_ownership, NAME)
        self.schedule(lambda: self.owners[new].begin_ownership(NAME, self.now))
        for index in range(7):
            self.schedule(self.assumed_owners.__setitem__, index, new)

    def schedule(self, deliver, *arguments):
        delay = self.random.choice([0.0, 0.5, 1.0]) * (MARGIN_S - 2 * STEP_S)
        self.queue.append((self.now + delay, deliver, arguments))

    def step_holder(self, index):
        holder = self.holders[index]
        if self.random.random() < 0.1:
            self.rates[index] = self.random.choice([0.0, 0.1, 1.0])
        if self.random.random() >= self.rates[index]:
            return
        if holder.use_opening(NAME, self.now):
            self.forwarded.append(self.now)
        request = holder.next_request(NAME, self.now)
        if request is not None:
            self.send(self.answer_request, self.assumed_owners[index], index, request)

    def answer_request(self, number, index, request: GrantRequest):
        owner = self.owners[number]
        if NAME not in owner._owned:
            return
        holder = InstanceId(f"h{index}")
        granted = owner.request(self.upstream, make_condition(), holder, request.openings, self.now)
        owner.record_outcomes(OpeningOutcomes(NAME, granted, 0, 0), self.now)
        grant = Grant(request.request, NAME, granted, LEASE_S)
        self.send(lambda: self.holders[index].receive(grant, self.now))


def measure_windows(simulation):
    """Yield the number of openings in each window and the highest level that applied to it."""
    times = simulation.forwarded
    for end in times:
        used = sum(end - WINDOW_S < time <= end for time in times)
        earliest = end - WINDOW_S - 2 * LEASE_S
        yield used, max(level for at, level in simulation.levels if earliest <= at <= end)


@settings(derandomize=True, max_examples=60, deadline=None)
@given(seed=st.integers(0, 2**32), cold=st.sampled_from([2.0, 10.0]), grows=st.booleans())
def test_no_window_of_a_second_exceeds_the_bound(seed, cold, grows):
    simulation = LeaseSimulation(seed, cold, 100.0 if grows else cold)
    simulation.run(30.0)
    for used, bound in measure_windows(simulation):
        assert used <= bound


def test_the_simulation_forwards_openings_under_several_owners():
    simulation = LeaseSimulation(seed=1, cold=10.0, full=10.0)
    simulation.run(30.0)
    assert len(simulation.forwarded) > 30
