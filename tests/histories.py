"""Random histories of a fleet as hypothesis state machines with invariants."""

from hypothesis import event
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from chicoryproxy.model import WarmUp
from chicoryproxy.states import DomainState
from chicoryproxy.testing import FlowOutcome, create_tenggara
from tests.fleet_simulation import APPLY_BOUND_S, FleetSimulation

IDLE_TIMEOUT_S = 5.0
FLOWS_PER_S = 15
MIN_INSTANCES = 5
MAX_INSTANCES = 9
MAX_DRAINING = 2
MAX_UPSTREAMS = 9
SETTLE_S = 45.0
WARM_UP = WarmUp(cold_openings=3.0, full_openings=20.0, duration_s=4.0)

indices = st.integers(0, 30)


class PlannedHistory(RuleBasedStateMachine):
    """Changes that operators make, in any order and at any distance, under steady openings."""

    def __init__(self) -> None:
        super().__init__()
        self.simulation = FleetSimulation(
            create_tenggara(idle_timeout_s=IDLE_TIMEOUT_S), 1, WARM_UP
        )
        self.out_since: dict[str, float] = {}
        self.received_while_out: dict[str, int] = {}
        self._advance(1.0)

    @rule(seconds=st.sampled_from((0.05, 0.4, 1.5, 4.0)))
    def pass_time(self, seconds):
        self._advance(seconds)

    @precondition(lambda self: self._count_draining() < MAX_DRAINING)
    @rule(index=indices)
    def drain(self, index):
        free = [item.id for item in self.simulation.service.upstreams if not item.draining]
        self.simulation.drain(free[index % len(free)])

    @precondition(lambda self: self._count_draining() > 0)
    @rule(index=indices)
    def undrain(self, index):
        draining = [item.id for item in self.simulation.service.upstreams if item.draining]
        self.simulation.drain(draining[index % len(draining)], draining=False)

    @precondition(lambda self: len(self.simulation.service.upstreams) < MAX_UPSTREAMS)
    @rule(index=indices)
    def add_upstream(self, index):
        self.simulation.add_upstream(self.simulation.domains[index % len(self.simulation.domains)])

    @precondition(lambda self: not self.out_since)
    @rule(index=indices)
    def take_out(self, index):
        domain = self.simulation.domains[index % len(self.simulation.domains)]
        self.simulation.take_out(domain)
        self.out_since[domain] = self.simulation.fleet.now

    @precondition(lambda self: self.out_since)
    @rule()
    def bring_back(self):
        domain, _ = self.out_since.popitem()
        self.received_while_out.pop(domain, None)
        self.simulation.bring_back(domain)

    @precondition(lambda self: len(self.simulation.list_live_instances()) < MAX_INSTANCES)
    @rule(index=indices)
    def join(self, index):
        self.simulation.join(self.simulation.domains[index % len(self.simulation.domains)])

    @precondition(lambda self: len(self.simulation.list_live_instances()) > MIN_INSTANCES)
    @rule(index=indices)
    def stop(self, index):
        self.simulation.stop(self._pick_instance(index))

    @invariant()
    def check_safety(self):
        simulation = self.simulation
        assert simulation.fleet.misrouted_segments == 0
        assert simulation.reverted_instances == []
        assert simulation.list_refused_but_accepted_flows() == []
        assert simulation.count_duplicate_runs() == 0
        self._check_domains_out()

    @invariant()
    def check_no_disruption(self):
        assert self.simulation.list_broken_flows() == []
        assert self.simulation.overloads() == {}

    def teardown(self):
        self._advance(SETTLE_S / 3)
        self.simulation.run(SETTLE_S)
        self.check_safety()
        self.check_end()

    def check_end(self):
        self.check_no_disruption()
        assert self.simulation.list_unanswered_flows() == []
        versions = {
            self.simulation.versions[name] for name in self.simulation.list_live_instances()
        }
        assert versions == {self.simulation.published.version}
        if self._are_upstreams_ready():
            assert self.simulation.count_contested_slots() == 0

    def _advance(self, seconds):
        self.simulation.open_flows(max(1, int(FLOWS_PER_S * seconds)), seconds, rounds=4)
        self.simulation.run(seconds)

    def _pick_instance(self, index):
        """Pick a running instance; each failure domain keeps one of its own."""
        live = self.simulation.list_live_instances()
        nodes = self.simulation.fleet.nodes
        domains = [nodes[name].instance.domain for name in live]
        spare = [name for name in live if domains.count(nodes[name].instance.domain) > 1]
        return spare[index % len(spare)]

    def _count_draining(self):
        return sum(item.draining for item in self.simulation.service.upstreams)

    def _are_upstreams_ready(self):
        node = self.simulation.fleet.nodes[self.simulation.list_live_instances()[0]]
        domains = {item.id: item.state for item in self.simulation.published.domains}
        return all(
            node.core._context.view.state_of(item.id).value == "ready"
            for item in self.simulation.service.upstreams
            if domains[item.domain] is DomainState.IN and not item.draining
        )

    def _check_domains_out(self):
        """Check that a failure domain receives nothing once it is out for some seconds."""
        for domain, since in self.out_since.items():
            if self.simulation.fleet.now < since + APPLY_BOUND_S:
                continue
            received = sum(
                sum(item.segments_by_service.values())
                for item in self.simulation.list_upstreams_in(domain)
            )
            assert received == self.received_while_out.setdefault(domain, received)


class FaultyHistory(PlannedHistory):
    """Changes and failures; broken flows are only counted, all other invariants are asserted."""

    @precondition(lambda self: len(self.simulation.list_live_instances()) > MIN_INSTANCES)
    @rule(index=indices)
    def kill(self, index):
        name = self._pick_instance(index)
        self.simulation.fleet.kill(name)
        self.simulation.fleet.schedule.call_later(5.0, lambda: self.simulation.fleet.unlist(name))

    @rule(index=indices, seconds=st.sampled_from((0.5, 2.0, 6.0)))
    def pause(self, index, seconds):
        self.simulation.fleet.pause(self._pick_instance(index), seconds)

    @precondition(lambda self: not self.simulation.fleet.partitions)
    @rule(index=indices)
    def cut(self, index):
        self.simulation.isolate_domain(
            self.simulation.domains[index % len(self.simulation.domains)]
        )

    @precondition(lambda self: self.simulation.fleet.partitions)
    @rule()
    def heal(self):
        self.simulation.fleet.heal()

    @rule(is_down=st.booleans())
    def switch_platform(self, is_down):
        self.simulation.fleet.platform.is_down = is_down

    @rule(share=st.sampled_from((0.0, 0.1, 0.3)))
    def lose_messages(self, share):
        self.simulation.fleet.loss = share
        self.simulation.fleet.duplication = share

    @invariant()
    def check_no_disruption(self):
        """Check nothing here; broken flows are counted at the end."""

    def _check_domains_out(self):
        fleet = self.simulation.fleet
        if not fleet.partitions and not fleet.platform.is_down and not fleet.loss:
            super()._check_domains_out()

    def teardown(self):
        fleet = self.simulation.fleet
        fleet.heal()
        fleet.platform.is_down = False
        fleet.loss = fleet.duplication = 0.0
        self.received_while_out.clear()
        self.out_since = {domain: fleet.now for domain in self.out_since}
        super().teardown()

    def check_end(self):
        outcomes = self.simulation.fleet.count()
        event(f"broken flows: {len(self.simulation.list_broken_flows())}")
        assert outcomes[FlowOutcome.OPENING] == 0
        versions = {
            self.simulation.versions[name] for name in self.simulation.list_live_instances()
        }
        assert versions == {self.simulation.published.version}
