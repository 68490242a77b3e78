"""Tests of upstream conditions: signals, assessments, epochs and owners."""

import pytest

from chicoryproxy.control.conditions import EPOCHS_PER_VERSION, ConditionStore
from chicoryproxy.control.health import RECOVERY_HOLD_S, UpstreamHealth
from chicoryproxy.control.owners import OwnerMap
from chicoryproxy.ids import Epoch, InstanceId, UpstreamId
from chicoryproxy.model import UpstreamCondition
from chicoryproxy.protocol.events import HealthReading
from chicoryproxy.protocol.messages import EntryReport, OpeningOutcomes
from chicoryproxy.rendezvous import choose_owner
from chicoryproxy.states import UpstreamState
from tests.control_net import DOMAINS, ControlNet, make_configuration, make_instance, make_upstream

UPSTREAM = make_upstream(0, DOMAINS[0])
WARM_UP_S = UPSTREAM.warm_up.duration_s


class HealthHarness:
    """Feeds readings and outcomes to the health of one upstream and assesses it."""

    def __init__(self, state: UpstreamState, epoch: int = 7) -> None:
        self.now = 1000.0
        self.health = UpstreamHealth(UPSTREAM, self.now)
        self.state = state
        self.epoch = epoch
        self.since = self.now
        self.cold_resets = 0

    def step(self, seconds: int = 1, **reading: object) -> UpstreamState:
        """Advance the clock, with the same reading and an assessment every second."""
        for _ in range(seconds):
            self.now += 1.0
            if reading:
                values = {"reachable": True, "state": UpstreamState.READY, "started_at_s": 5.0}
                self.health.observe_reading(
                    HealthReading(UPSTREAM.id, **(values | reading)), self.now
                )
            self.assess()
        return self.state

    def open(self, answered: int = 0, refused: int = 0, lost: int = 0) -> UpstreamState:
        """Report opening outcomes and assess the upstream."""
        outcomes = OpeningOutcomes(UPSTREAM.id, answered, refused, lost)
        self.health.observe_outcomes(outcomes, self.now)
        return self.assess()

    def assess(self) -> UpstreamState:
        """Assess the upstream and apply the result as ``HealthMonitor`` does."""
        condition = UpstreamCondition(UPSTREAM.id, self.state, self.epoch, self.since)
        state = self.health.assess(condition, self.now)
        if state is not self.state:
            self.state, self.epoch, self.since = state, self.epoch + 1, self.now
            if state is UpstreamState.COLD:
                self.cold_resets += 1
                self.health.restart_warm_up(self.now)
        return self.state


def test_a_changed_start_time_makes_an_upstream_cold_immediately() -> None:
    harness = HealthHarness(UpstreamState.READY)
    assert harness.step(5, started_at_s=5.0) is UpstreamState.READY
    assert harness.step(1, started_at_s=999.0) is UpstreamState.COLD


@pytest.mark.parametrize("reported", [UpstreamState.COLD, UpstreamState.WARMING])
def test_an_upstream_that_reports_not_being_warm_becomes_cold(reported: UpstreamState) -> None:
    harness = HealthHarness(UpstreamState.READY)
    assert harness.step(1, state=reported) is UpstreamState.COLD


@pytest.mark.parametrize("outcome", ["refused", "lost"])
def test_failed_openings_make_an_upstream_cold_despite_healthy_readings(outcome: str) -> None:
    harness = HealthHarness(UpstreamState.READY)
    harness.step(2, slots_used=0)
    assert harness.open(answered=4, **{outcome: 6}) is UpstreamState.COLD


def test_a_few_failed_openings_are_not_enough_evidence() -> None:
    harness = HealthHarness(UpstreamState.READY)
    assert harness.open(refused=2, lost=2) is UpstreamState.READY


def test_warming_requires_evidence_and_not_time_alone() -> None:
    harness = HealthHarness(UpstreamState.COLD)
    assert harness.step(200, slots_used=0) is UpstreamState.COLD
    assert harness.open(answered=5) is UpstreamState.WARMING
    assert harness.step(200, slots_used=0) is UpstreamState.WARMING
    harness.health.observe_warmed(harness.now)
    assert harness.assess() is UpstreamState.READY


def test_a_full_ramp_from_before_a_cold_start_is_ignored() -> None:
    harness = HealthHarness(UpstreamState.COLD)
    harness.health.observe_warmed(harness.now + 0.2)
    harness.step(1, slots_used=0)
    harness.open(answered=5)
    assert harness.step(int(WARM_UP_S) + 20, slots_used=0) is UpstreamState.WARMING


def test_ready_requires_the_minimum_warm_up_time() -> None:
    harness = HealthHarness(UpstreamState.COLD)
    harness.step(1, slots_used=0)
    harness.open(answered=5)
    harness.step(int(WARM_UP_S * 0.6), slots_used=0)
    harness.health.observe_warmed(harness.now)
    assert harness.assess() is UpstreamState.WARMING
    assert harness.step(int(WARM_UP_S), slots_used=0) is UpstreamState.READY


def test_overload_requires_confirmation_and_ends_with_hysteresis() -> None:
    harness = HealthHarness(UpstreamState.READY)
    full = UPSTREAM.capacity.slots + 1
    assert harness.step(1, slots_used=full) is UpstreamState.READY
    assert harness.step(1, slots_used=full) is UpstreamState.SHEDDING
    assert harness.step(int(RECOVERY_HOLD_S) - 1, slots_used=0) is UpstreamState.SHEDDING
    assert harness.step(1, slots_used=0) is UpstreamState.READY


def test_an_upstream_that_reports_draining_stays_draining_until_ready() -> None:
    harness = HealthHarness(UpstreamState.READY)
    assert harness.step(1, state=UpstreamState.DRAINING) is UpstreamState.READY
    assert harness.step(9, state=UpstreamState.DRAINING) is UpstreamState.DRAINING
    assert harness.step(9) is UpstreamState.DRAINING
    assert harness.step(int(RECOVERY_HOLD_S), slots_used=0) is UpstreamState.READY


def test_a_faulty_health_endpoint_does_not_disable_an_upstream_that_answers() -> None:
    harness = HealthHarness(UpstreamState.READY)
    for _ in range(10):
        harness.open(answered=5)
        assert harness.step(1, reachable=False) is UpstreamState.READY


def test_an_upstream_without_any_answer_is_unreachable_and_comes_back_cold() -> None:
    harness = HealthHarness(UpstreamState.READY)
    assert harness.step(3, reachable=False) is UpstreamState.UNREACHABLE
    assert harness.step(1, slots_used=0) is UpstreamState.COLD


def test_a_signal_that_openings_contradict_for_long_is_distrusted() -> None:
    harness = HealthHarness(UpstreamState.READY)
    harness.step(1, state=UpstreamState.COLD)
    for _ in range(300):
        harness.open(answered=5)
        harness.step(1, state=UpstreamState.COLD)
        harness.health.observe_warmed(harness.now)
    assert harness.state is UpstreamState.READY
    assert harness.cold_resets == 1
    assert harness.open(refused=50) is UpstreamState.COLD


def test_only_an_upstream_never_assessed_becomes_ready_on_its_own_report() -> None:
    assert HealthHarness(UpstreamState.COLD, epoch=0).step(1, slots_used=0) is UpstreamState.READY
    assert HealthHarness(UpstreamState.COLD, epoch=0).step(9) is UpstreamState.COLD
    assert HealthHarness(UpstreamState.COLD, epoch=1).step(9, slots_used=0) is UpstreamState.COLD


@pytest.fixture
def net() -> ControlNet:
    net = ControlNet(7)
    net.run(5.0)
    return net


def collect_states(net: ControlNet, upstream: str) -> set[UpstreamState]:
    return {net.get_condition(id_, upstream) for id_ in net.cores}


def list_epochs(net: ControlNet, upstream: str) -> set[int]:
    return {
        condition.epoch
        for view in net.views.values()
        for condition in view.conditions
        if condition.upstream == upstream
    }


def find_owner(net: ControlNet, upstream: str, domain: str) -> InstanceId:
    alive = [entry for entry in net.instances if entry.id in net.cores and entry.domain == domain]
    return choose_owner(UpstreamId(upstream), alive)


def test_upstreams_of_the_first_configuration_start_ready_if_readings_report_it() -> None:
    net = ControlNet(7)
    silent = UpstreamId("log-3")
    ready = net.reading
    net.reading = lambda upstream: None if upstream == silent else ready(upstream)
    net.run(5.0)
    assert collect_states(net, "log-0") == {UpstreamState.READY}
    assert collect_states(net, "log-3") == {UpstreamState.COLD}


def test_an_added_upstream_is_cold_at_every_instance_with_one_epoch(net: ControlNet) -> None:
    upstreams = [make_upstream(index, DOMAINS[index % 3]) for index in range(7)]
    net.publish(make_configuration(2, upstreams))
    net.run(10.0)
    assert collect_states(net, "log-6") == {UpstreamState.COLD}
    assert list_epochs(net, "log-6") == {2 * EPOCHS_PER_VERSION}
    assert collect_states(net, "log-0") == {UpstreamState.READY}


def test_instances_that_skipped_differently_agree_on_the_epochs(net: ControlNet) -> None:
    skipping = net.instances[0].id
    net.publish(make_configuration(2, out=[DOMAINS[0]]))
    net.run(2.0)
    net.is_dropped = lambda sender, target: skipping in (sender, target)
    net.watching.discard(skipping)
    net.publish(make_configuration(3))
    net.run(20.0)
    net.watching.add(skipping)
    net.publish(make_configuration(5))
    net.run(5.0)
    net.is_dropped = lambda sender, target: False
    net.run(20.0)
    assert list_epochs(net, "log-0") == {3 * EPOCHS_PER_VERSION}


def test_a_domain_brought_back_has_cold_upstreams(net: ControlNet) -> None:
    net.publish(make_configuration(2, out=[DOMAINS[0]]))
    net.run(5.0)
    net.publish(make_configuration(3))
    net.run(10.0)
    assert collect_states(net, "log-0") == {UpstreamState.COLD}
    assert collect_states(net, "log-1") == {UpstreamState.READY}


def test_a_condition_is_gossiped_from_the_owner_to_all_instances(net: ControlNet) -> None:
    ready = net.reading
    restarted = HealthReading(UpstreamId("log-0"), True, UpstreamState.READY, 5000.0)
    net.reading = lambda upstream: restarted if upstream == "log-0" else ready(upstream)
    net.run_until(lambda: collect_states(net, "log-0") == {UpstreamState.COLD}, 8.0)
    owner = find_owner(net, "log-0", DOMAINS[0])
    outcomes = (OpeningOutcomes(UpstreamId("log-0"), 9, 0, 0),)
    net.run(4.0)
    net.call(owner, "receive_report", EntryReport(outcomes=outcomes))
    net.run_until(lambda: collect_states(net, "log-0") == {UpstreamState.WARMING}, 8.0)


def test_a_new_owner_continues_from_the_gossiped_condition(net: ControlNet) -> None:
    before = list_epochs(net, "log-0")
    net.kill(find_owner(net, "log-0", DOMAINS[0]))
    net.run(10.0)
    assert list_epochs(net, "log-0") == before
    net.reading = lambda upstream: HealthReading(upstream, True, UpstreamState.COLD)
    net.run_until(lambda: collect_states(net, "log-0") == {UpstreamState.COLD}, 8.0)
    assert list_epochs(net, "log-0") == {epoch + 1 for epoch in before}


def test_an_owner_that_was_paused_changes_nothing_until_its_view_is_fresh(
    net: ControlNet,
) -> None:
    owner = find_owner(net, "log-0", DOMAINS[0])
    epochs = list_epochs(net, "log-0")
    net.paused.add(owner)
    net.run(3.0)
    net.paused.discard(owner)
    net.is_dropped = lambda sender, target: owner in (sender, target)
    net.run(0.5)
    net.deliver_reading(owner, HealthReading(UpstreamId("log-0"), True, UpstreamState.COLD))
    assert net.views[owner].stale
    net.run(0.2)
    assert list_epochs(net, "log-0") == epochs


def test_upstreams_of_a_domain_that_is_cut_off_are_unreachable_and_return(
    net: ControlNet,
) -> None:
    outside = [entry.id for entry in net.instances if entry.domain != DOMAINS[0]]
    inside = {entry.id for entry in net.instances if entry.domain == DOMAINS[0]}
    net.is_dropped = lambda sender, target: (sender in inside) != (target in inside)
    ready = net.reading
    net.reading = lambda upstream: HealthReading(upstream, False)
    for id_ in inside:
        net.paused.add(id_)
    net.run(12.0)
    assert {net.get_condition(id_, "log-0") for id_ in outside} == {UpstreamState.UNREACHABLE}
    net.reading = ready
    net.run(5.0)
    assert {net.get_condition(id_, "log-0") for id_ in outside} == {UpstreamState.READY}


def test_epochs_only_increase() -> None:
    net = ControlNet(1)
    net.run(2.0)
    store: ConditionStore = net.cores[net.instances[0].id]._conditions
    upstream = UpstreamId("log-0")
    newest = UpstreamCondition(upstream, UpstreamState.COLD, Epoch(9))
    store.receive([newest], 1.0)
    store.receive([UpstreamCondition(upstream, UpstreamState.READY, Epoch(8))], 2.0)
    store.receive([UpstreamCondition(upstream, UpstreamState.READY, Epoch(9))], 2.0)
    assert store.get(upstream).state is UpstreamState.COLD


def test_the_owner_map_agrees_with_the_rendezvous_choice() -> None:
    owners = OwnerMap()
    upstreams = [UpstreamId(f"log-{index}") for index in range(50)]
    members = [make_instance(index) for index in range(12)]
    for present in (members, members[3:], members[2:9], members[:1], [], members):
        owners.update(upstreams, present)
        for upstream in upstreams:
            assert owners.get_owner(upstream) == choose_owner(upstream, present)
