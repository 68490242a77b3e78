"""Random histories of a fleet as hypothesis state machines, with the promises as invariants."""

from hypothesis import event
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from chicoryproxy.model import WarmUp
from chicoryproxy.states import DomainState
from chicoryproxy.testing import FlowOutcome, create_tenggara
from tests.scenario_trial import IN_FORCE_S, Trial

IDLE_TIMEOUT_S = 5.0
FLOWS_PER_S = 15
FEWEST_INSTANCES = 5
MOST_INSTANCES = 9
MOST_DRAINING = 2
MOST_UPSTREAMS = 9
END_S = 45.0
WARM_UP = WarmUp(cold_openings=3.0, full_openings=20.0, duration_s=4.0)

picks = st.integers(0, 30)


class PlannedHistory(RuleBasedStateMachine):
    """Changes that operators make, in any order and at any distance, under steady openings."""

    def __init__(self) -> None:
        super().__init__()
        self.trial = Trial(create_tenggara(idle_timeout_s=IDLE_TIMEOUT_S), 1, WARM_UP)
        self.out_since: dict[str, float] = {}
        self.received_out: dict[str, int] = {}
        self._pass(1.0)

    @rule(seconds=st.sampled_from((0.05, 0.4, 1.5, 4.0)))
    def pass_time(self, seconds):
        self._pass(seconds)

    @precondition(lambda self: self._count_draining() < MOST_DRAINING)
    @rule(pick=picks)
    def drain(self, pick):
        free = [item.id for item in self.trial.service.upstreams if not item.draining]
        self.trial.drain(free[pick % len(free)])

    @precondition(lambda self: self._count_draining() > 0)
    @rule(pick=picks)
    def undrain(self, pick):
        draining = [item.id for item in self.trial.service.upstreams if item.draining]
        self.trial.drain(draining[pick % len(draining)], draining=False)

    @precondition(lambda self: len(self.trial.service.upstreams) < MOST_UPSTREAMS)
    @rule(pick=picks)
    def add_upstream(self, pick):
        self.trial.add_upstream(self.trial.domains[pick % len(self.trial.domains)])

    @precondition(lambda self: not self.out_since)
    @rule(pick=picks)
    def take_out(self, pick):
        domain = self.trial.domains[pick % len(self.trial.domains)]
        self.trial.take_out(domain)
        self.out_since[domain] = self.trial.fleet.now

    @precondition(lambda self: self.out_since)
    @rule()
    def bring_back(self):
        domain, _ = self.out_since.popitem()
        self.received_out.pop(domain, None)
        self.trial.bring_back(domain)

    @precondition(lambda self: len(self.trial.live_nodes()) < MOST_INSTANCES)
    @rule(pick=picks)
    def join(self, pick):
        self.trial.join(self.trial.domains[pick % len(self.trial.domains)])

    @precondition(lambda self: len(self.trial.live_nodes()) > FEWEST_INSTANCES)
    @rule(pick=picks)
    def stop(self, pick):
        self.trial.stop(self._pick_instance(pick))

    @invariant()
    def keeps_safe(self):
        trial = self.trial
        assert trial.fleet.wrong_service == 0
        assert trial.reverted == []
        assert trial.refused_but_accepted() == []
        assert trial.run_twice() == 0
        self._check_out()

    @invariant()
    def breaks_nothing(self):
        assert self.trial.broken() == []
        assert self.trial.overloads() == {}

    def teardown(self):
        self._pass(END_S / 3)
        self.trial.run(END_S)
        self.keeps_safe()
        self.check_end()

    def check_end(self):
        self.breaks_nothing()
        assert self.trial.unanswered() == []
        versions = {self.trial.versions[name] for name in self.trial.live_nodes()}
        assert versions == {self.trial.published.version}
        if self._is_warm():
            assert self.trial.contested() == 0

    def _pass(self, seconds):
        self.trial.open_flows(max(1, int(FLOWS_PER_S * seconds)), seconds, rounds=4)
        self.trial.run(seconds)

    def _pick_instance(self, pick):
        """Pick a running instance; each failure domain keeps one of its own."""
        live = self.trial.live_nodes()
        nodes = self.trial.fleet.nodes
        domains = [nodes[name].instance.domain for name in live]
        spare = [name for name in live if domains.count(nodes[name].instance.domain) > 1]
        return spare[pick % len(spare)]

    def _count_draining(self):
        return sum(item.draining for item in self.trial.service.upstreams)

    def _is_warm(self):
        node = self.trial.fleet.nodes[self.trial.live_nodes()[0]]
        domains = {item.id: item.state for item in self.trial.published.domains}
        return all(
            node.core._context.view.state_of(item.id).value == "ready"
            for item in self.trial.service.upstreams
            if domains[item.domain] is DomainState.IN and not item.draining
        )

    def _check_out(self):
        """Check that a failure domain receives nothing once it is out for some seconds."""
        for domain, since in self.out_since.items():
            if self.trial.fleet.now < since + IN_FORCE_S:
                continue
            received = sum(sum(item.services.values()) for item in self.trial.upstreams_in(domain))
            assert received == self.received_out.setdefault(domain, received)


class FaultyHistory(PlannedHistory):
    """Failures besides the changes; broken flows are counted, all other promises asserted."""

    @precondition(lambda self: len(self.trial.live_nodes()) > FEWEST_INSTANCES)
    @rule(pick=picks)
    def kill(self, pick):
        name = self._pick_instance(pick)
        self.trial.fleet.kill(name)
        self.trial.fleet.schedule.after(5.0, lambda: self.trial.fleet.unlist(name))

    @rule(pick=picks, seconds=st.sampled_from((0.5, 2.0, 6.0)))
    def pause(self, pick, seconds):
        self.trial.fleet.pause(self._pick_instance(pick), seconds)

    @precondition(lambda self: not self.trial.fleet.cuts)
    @rule(pick=picks)
    def cut(self, pick):
        self.trial.cut_off(self.trial.domains[pick % len(self.trial.domains)])

    @precondition(lambda self: self.trial.fleet.cuts)
    @rule()
    def heal(self):
        self.trial.fleet.heal()

    @rule(is_down=st.booleans())
    def switch_platform(self, is_down):
        self.trial.fleet.platform.is_down = is_down

    @rule(share=st.sampled_from((0.0, 0.1, 0.3)))
    def lose_messages(self, share):
        self.trial.fleet.loss = share
        self.trial.fleet.duplication = share

    @invariant()
    def breaks_nothing(self):
        """Broken flows are counted at the end."""

    def _check_out(self):
        fleet = self.trial.fleet
        if not fleet.cuts and not fleet.platform.is_down and not fleet.loss:
            super()._check_out()

    def teardown(self):
        fleet = self.trial.fleet
        fleet.heal()
        fleet.platform.is_down = False
        fleet.loss = fleet.duplication = 0.0
        self.received_out.clear()
        self.out_since = {domain: fleet.now for domain in self.out_since}
        super().teardown()

    def check_end(self):
        outcomes = self.trial.fleet.count()
        event(f"broken flows: {len(self.trial.broken())}")
        assert outcomes[FlowOutcome.OPENING] == 0
        versions = {self.trial.versions[name] for name in self.trial.live_nodes()}
        assert versions == {self.trial.published.version}
