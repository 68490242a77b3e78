"""Routing of one flow of one slot while versions, homes and records change.

Covers R1 to R9 apart from the limits of upstreams. Three entries learn generations 1 to 3, each of
which places the slot on an upstream of the solver's choice. The flow is open from the start or is
opened at any time. Its packets, including opening packets, may reach any entry at any time and any
number of times, which models packet spraying by the fabric, passing to a home, loss, delay,
reordering and duplication.

The result of ``spec.versions`` is assumed: a version is put in force only when every entry that
runs and is not stale has it. All running peers answer a query in the same step.

Not modelled: upstreams that are removed or not ready, a second flow with the same key, and
partitions while a version spreads (``spec.versions`` shows where the property then fails).
"""

import z3

from spec.routingrules import RoutingProperty, RoutingRule, RoutingStep
from spec.routingstate import (
    BITS,
    ENTRIES,
    LATER_VERSIONS,
    NONE,
    VERSIONS,
    choose_greater,
    holds_record,
    is_clean,
    is_running,
    is_up_to_date,
    select_newest,
    select_place,
    select_record,
)
from spec.specification import Assumption, Mutant, Specification
from spec.system import (
    Action,
    Assignment,
    Property,
    Rule,
    State,
    System,
    Variable,
    assign,
    index_name,
)


class RoutingSystem(System):
    """Transition system of three entries that route one flow.

    State per entry: ``alive``; ``paused``; ``stale``; ``home``, whether it may decide as home;
    ``know``, whether it has each later generation; ``force``, the generation that places new
    flows; ``base``, the generation as of which the slot was released; and ``record``, the recorded
    upstream.

    Shared state: ``place``, the upstream of each generation; ``flow``, the upstream that received
    the first packet of the flow; ``unrecorded``, whether an entry decided alone on the opening and
    recorded nothing; ``opening``, whether opening packets may still arrive; ``released``, which
    releases were sent; and ``broken``, which marks a violation.

    The tests replay counterexamples of this system on real packet cores and read the variables by
    name.

    :param rules: the rules that apply.
    :param records_survive: whether another running entry has the record when a holder crashes or
        pauses, and no release is lost because two entries stop before it reaches the others.
    :param starts_in_second_generation: whether all entries have generation 2 at the start.
    """

    def __init__(
        self,
        rules: frozenset[Rule] = frozenset(RoutingRule),
        records_survive: bool = True,
        starts_in_second_generation: bool = False,
    ) -> None:
        super().__init__(rules)
        self.records_survive = records_survive
        self.starts_in_second_generation = starts_in_second_generation

    def list_variables(self) -> tuple[Variable, ...]:
        """Return the state variables."""
        result = [Variable(n) for n in ("broken", "unrecorded", "opening")]
        result.append(Variable("flow", BITS))
        result += [Variable(index_name("place", v), BITS) for v in VERSIONS]
        result += [Variable(index_name("released", v)) for v in LATER_VERSIONS]
        for i in ENTRIES:
            result += [Variable(index_name(n, i)) for n in ("alive", "paused", "stale", "home")]
            result += [Variable(index_name("know", i, v)) for v in LATER_VERSIONS]
            result += [Variable(index_name(n, i), BITS) for n in ("force", "base", "record")]
        return tuple(result)

    def build_initial_condition(self, state: State) -> z3.BoolRef:
        """Return the condition that initial states fulfil.

        Entry 0 is home. All entries have generation 1 only, or all have generation 2 and each
        places new flows by one of the two.
        """
        flow = state.get("flow")
        conditions = [z3.Not(state.get("broken"))]
        if self.starts_in_second_generation:
            conditions.append(z3.Not(state.get("opening")))
        conditions += [state.get("place", v) != NONE for v in VERSIONS]
        conditions.append(z3.Or(flow == NONE, flow == state.get("place", 1)))
        conditions.append(state.get("unrecorded") == (flow != NONE))
        conditions += [z3.Not(state.get("released", v)) for v in LATER_VERSIONS]
        for i in ENTRIES:
            conditions += [state.get("alive", i), state.get("home", i) == (i == 0)]
            conditions += [z3.Not(state.get(n, i)) for n in ("paused", "stale")]
            conditions.append(state.get("know", i, 2) == self.starts_in_second_generation)
            conditions.append(z3.Not(state.get("know", i, 3)))
            conditions.append(
                z3.ULE(state.get("force", i), 2 if self.starts_in_second_generation else 1)
            )
            conditions.append(z3.UGE(state.get("force", i), 1))
            conditions += [state.get("base", i) == 1, state.get("record", i) == NONE]
        return z3.And(conditions)

    def list_actions(self, state: State) -> tuple[Action, ...]:
        """Return the actions, with guards and values in terms of a state."""
        result = [self._build_opened(state)]
        for i in ENTRIES:
            result += self._list_version_actions(state, i)
            result += [self._build_opening(state, i), self._build_data(state, i)]
            result += self._list_record_actions(state, i)
            result += self._list_release_actions(state, i)
            result.append(self._build_take_over(state, i))
            result += self._list_fault_actions(state, i)
            result += self._list_replacement_actions(state, i)
        return tuple(result)

    def list_properties(self, state: State) -> tuple[Property, ...]:
        """Return the properties in terms of a state."""
        return (Property(RoutingProperty.ONE_UPSTREAM, z3.Not(state.get("broken"))),)

    # Versions.

    def _list_version_actions(self, state: State, i: int) -> list[Action]:
        result = []
        for v in LATER_VERSIONS:
            learnt = (assign("know", i, v, to=True),)
            result.append(Action(RoutingStep.LEARN, (i, v), is_running(state, i), learnt))
            result.append(self._build_enforce(state, i, v))
        return result

    def _build_enforce(self, state: State, i: int, v: int) -> Action:
        guards = [is_running(state, i), z3.Not(state.get("stale", i))]
        guards += [state.get("know", i, v), z3.ULT(state.get("force", i), v)]
        if self.has(RoutingRule.WAIT):
            guards += [self._knows_generation(state, j, v) for j in ENTRIES]
        if self.has(RoutingRule.SETTLED):
            repeated = z3.And(state.get("unrecorded"), state.get("opening"))
            guards.append(z3.Not(repeated))
        return Action(RoutingStep.ENFORCE, (i, v), z3.And(guards), (assign("force", i, to=v),))

    def _knows_generation(self, state: State, j: int, v: int) -> z3.BoolRef:
        known = [state.get("know", j, v)]
        if not self.has(RoutingRule.GENERATIONS):
            known += [state.get("know", j, w) for w in LATER_VERSIONS if w > v]
        is_exempt = z3.Or(z3.Not(is_running(state, j)), state.get("stale", j))
        return z3.Or(is_exempt, *known)

    # Packets.

    def _build_opening(self, state: State, i: int) -> Action:
        flow, record = state.get("flow"), state.get("record", i)
        alone, as_home = self._decides_alone(state, i), self._decides_as_home(state, i)
        placed = select_place(state, state.get("force", i))
        newest_place = select_place(state, select_newest(state, i))
        decided = z3.If(record != NONE, record, z3.If(alone, newest_place, placed))
        guards = [z3.Or(flow == NONE, state.get("opening")), is_running(state, i)]
        guards.append(z3.Or(record != NONE, alone, as_home))
        is_unrecorded = z3.And(record == NONE, alone)
        unrecorded = z3.If(flow == NONE, is_unrecorded, state.get("unrecorded"))
        assignments = self._assign_forward(state, i, decided)
        assignments += (
            assign("unrecorded", to=unrecorded),
            assign("opening", to=True),
        )
        return Action(RoutingStep.OPENING, (i,), z3.And(guards), assignments)

    def _build_data(self, state: State, i: int) -> Action:
        record = state.get("record", i)
        alone, as_home = self._decides_alone(state, i), self._decides_as_home(state, i)
        fallback = select_place(state, state.get("base", i))
        if not self.has(RoutingRule.BASE):
            fallback = select_place(state, select_newest(state, i))
        if self.has(RoutingRule.PEER_RECORDS):
            fallback = select_record(state, [j for j in ENTRIES if j != i], fallback)
        newest_place = select_place(state, select_newest(state, i))
        decided = z3.If(record != NONE, record, z3.If(alone, newest_place, fallback))
        guards = [state.get("flow") != NONE, is_running(state, i)]
        guards.append(z3.Or(record != NONE, alone, as_home))
        assignments = self._assign_forward(state, i, decided)
        return Action(RoutingStep.DATA, (i,), z3.And(guards), assignments)

    def _assign_forward(
        self, state: State, i: int, decided: z3.BitVecRef
    ) -> tuple[Assignment, ...]:
        flow, record = state.get("flow"), state.get("record", i)
        recorded = z3.If(self._decides_alone(state, i), record, decided)
        if not self.has(RoutingRule.RECORDS):
            recorded = record
        moved = z3.And(flow != NONE, flow != decided)
        return (
            assign("flow", to=z3.If(flow == NONE, decided, flow)),
            assign("broken", to=z3.Or(state.get("broken"), moved)),
            assign("record", i, to=recorded),
        )

    def _decides_alone(self, state: State, i: int) -> z3.BoolRef:
        conditions = []
        if self.has(RoutingRule.CONTESTED):
            conditions.append(is_clean(state, i))
        if self.has(RoutingRule.STALE):
            conditions.append(z3.Not(state.get("stale", i)))
        return z3.And(conditions)

    def _decides_as_home(self, state: State, i: int) -> z3.BoolRef:
        conditions = []
        if self.has(RoutingRule.ONLY_HOME):
            conditions.append(state.get("home", i))
        if self.has(RoutingRule.STALE):
            conditions.append(z3.Not(state.get("stale", i)))
        return z3.And(conditions)

    def _build_opened(self, state: State) -> Action:
        guard = z3.And(state.get("flow") != NONE, state.get("opening"))
        return Action(RoutingStep.OPENED, (), guard, (assign("opening", to=False),))

    # Records.

    def _list_record_actions(self, state: State, i: int) -> list[Action]:
        result = []
        for j in ENTRIES:
            if j == i:
                continue
            hint = state.get("record", j)
            guard = z3.And(state.get("alive", j), is_running(state, i), hint != NONE)
            result.append(Action(RoutingStep.HINT, (i, j), guard, (assign("record", i, to=hint),)))
        guards = [state.get("alive", i), self._is_held_elsewhere(state, i)]
        guards.append(z3.Not(state.get("opening")))
        forgotten = (assign("record", i, to=NONE),)
        result.append(Action(RoutingStep.EXPIRE, (i,), z3.And(guards), forgotten))
        return result

    def _is_held_elsewhere(self, state: State, i: int) -> z3.BoolRef:
        return z3.Or([holds_record(state, j) for j in ENTRIES if j != i])

    def _build_take_over(self, state: State, i: int) -> Action:
        peers = [j for j in ENTRIES if j != i]
        guards = [is_running(state, i), z3.Not(state.get("stale", i))]
        guards.append(z3.Not(state.get("home", i)))
        assignments = [assign("home", i, to=True)]
        if self.has(RoutingRule.TAKE_OVER):
            recovered = select_record(state, peers, state.get("record", i))
            assignments.append(assign("record", i, to=recovered))
        if self.has(RoutingRule.TAKE_RELEASES):
            base = state.get("base", i)
            for j in peers:
                base = z3.If(is_running(state, j), choose_greater(base, state.get("base", j)), base)
            assignments += self._assign_release(state, i, base)
        if self.has(RoutingRule.YIELD):
            for j in peers:
                still_home = z3.And(state.get("home", j), z3.Not(is_running(state, j)))
                assignments.append(assign("home", j, to=still_home))
        return Action(RoutingStep.TAKE_OVER, (i,), z3.And(guards), tuple(assignments))

    # Releases.

    def _list_release_actions(self, state: State, i: int) -> list[Action]:
        result = []
        for v in LATER_VERSIONS:
            result += [self._build_release(state, i, j, v) for j in ENTRIES if j != i]
            guards = [is_running(state, i), state.get("released", v), state.get("know", i, v)]
            guards.append(z3.ULT(state.get("base", i), v))
            version = z3.BitVecVal(v, BITS)
            adopted = self._assign_release(state, i, version)
            result.append(Action(RoutingStep.RELEASED, (i, v), z3.And(guards), adopted))
        return result

    def _build_release(self, state: State, i: int, j: int, v: int) -> Action:
        guards = [self._decides_as_home(state, i), is_running(state, i)]
        guards += [
            state.get("know", i, v),
            state.get("force", i) == v,
            select_newest(state, i) == v,
        ]
        guards.append(z3.ULT(state.get("base", i), v))
        if self.has(RoutingRule.IDLE_WAIT):
            holders = [holds_record(state, j) for j in ENTRIES]
            is_new = state.get("flow") == state.get("place", v)
            guards.append(z3.Or(state.get("flow") == NONE, is_new, *holders))
        if self.has(RoutingRule.RELEASE_ASKS):
            guards += [self._agrees_to_release(state, k, v) for k in ENTRIES]
        version = z3.BitVecVal(v, BITS)
        assignments = (assign("released", v, to=True), *self._assign_release(state, i, version))
        if self.has(RoutingRule.RELEASE_ACKED):
            guards += [is_running(state, j), state.get("know", j, v)]
            assignments += self._assign_release(
                state, j, choose_greater(state.get("base", j), version)
            )
        return Action(RoutingStep.RELEASE, (i, j, v), z3.And(guards), assignments)

    def _agrees_to_release(self, state: State, j: int, v: int) -> z3.BoolRef:
        record = state.get("record", j)
        answers = z3.And(is_running(state, j), z3.Not(state.get("stale", j)))
        free = z3.Or(record == NONE, record == state.get("place", v))
        return z3.Or(z3.Not(state.get("alive", j)), z3.And(answers, free, state.get("know", j, v)))

    def _assign_release(self, state: State, i: int, base: z3.BitVecRef) -> tuple[Assignment, ...]:
        adopted: tuple[Assignment, ...] = (assign("base", i, to=base),)
        if self.has(RoutingRule.RELEASE_FORCES):
            force = choose_greater(state.get("force", i), base)
            adopted += (assign("force", i, to=force),)
        return adopted

    # Faults.

    def _list_fault_actions(self, state: State, i: int) -> list[Action]:
        running = is_running(state, i)
        may_pause = z3.And(running, self._may_stop(state, i))
        home = z3.And(state.get("home", i), not self.has(RoutingRule.PAUSED_HOME))
        resumed = (
            assign("paused", i, to=False),
            assign("stale", i, to=True),
            assign("home", i, to=home),
        )
        paused = z3.And(state.get("alive", i), state.get("paused", i))
        result = [
            Action(RoutingStep.PAUSE, (i,), may_pause, (assign("paused", i, to=True),)),
            Action(RoutingStep.RESUME, (i,), paused, resumed),
        ]
        for j in ENTRIES:
            if j != i:
                result.append(self._build_confirm(state, i, j))
        return result

    def _may_stop(self, state: State, i: int) -> z3.BoolRef:
        if not self.records_survive:
            return z3.BoolVal(True)
        others = [j for j in ENTRIES if j != i]
        base = state.get("base", i)
        known = [z3.And(is_running(state, j), z3.UGE(state.get("base", j), base)) for j in others]
        all_others_run = z3.And([is_running(state, j) for j in others])
        recorded = z3.Or(state.get("record", i) == NONE, self._is_held_elsewhere(state, i))
        return z3.And(recorded, z3.Or(all_others_run, base == 1, *known))

    def _build_confirm(self, state: State, i: int, j: int) -> Action:
        guards = [is_running(state, i), is_running(state, j), state.get("stale", i)]
        guards.append(z3.Not(state.get("stale", j)))
        assignments = [assign("stale", i, to=False)]
        for v in LATER_VERSIONS:
            known = z3.Or(state.get("know", i, v), state.get("know", j, v))
            assignments.append(assign("know", i, v, to=known))
        return Action(RoutingStep.CONFIRM, (i, j), z3.And(guards), tuple(assignments))

    def _list_replacement_actions(self, state: State, i: int) -> list[Action]:
        alive = state.get("alive", i)
        stopped = (
            assign("alive", i, to=False),
            assign("home", i, to=False),
            assign("record", i, to=NONE),
        )
        may_crash = z3.And(alive, self._may_stop(state, i))
        result = [Action(RoutingStep.CRASH, (i,), may_crash, stopped)]
        for j in ENTRIES:
            if j != i:
                result.append(self._build_leave(state, i, j, stopped))
        joined = [assign("alive", i, to=True), assign("paused", i, to=False)]
        joined += [assign("stale", i, to=True)]
        joined += [assign(n, i, to=1) for n in ("force", "base")]
        joined += [assign("know", i, v, to=False) for v in LATER_VERSIONS]
        guards = [z3.Not(alive)]
        if self.records_survive:
            guards += [is_up_to_date(state, j) for j in ENTRIES]
        result.append(Action(RoutingStep.JOIN, (i,), z3.And(guards), tuple(joined)))
        return result

    def _build_leave(self, state: State, i: int, j: int, stopped: tuple[Assignment, ...]) -> Action:
        guard = z3.And(is_running(state, i), is_running(state, j))
        given, own = state.get("record", i), state.get("record", j)
        assignments = stopped
        if self.has(RoutingRule.HANDOVER):
            handed_over = z3.If(own == NONE, given, own)
            assignments += (assign("record", j, to=handed_over),)
        if self.has(RoutingRule.HANDOVER_RELEASES):
            base = choose_greater(state.get("base", i), state.get("base", j))
            assignments += self._assign_release(state, j, base)
        return Action(RoutingStep.LEAVE, (i, j), guard, assignments)


def create_specification() -> Specification:
    """Return the system and its checks, for runs that start with generation 1 alone."""
    rules = (
        RoutingRule.CONTESTED,
        RoutingRule.WAIT,
        RoutingRule.BASE,
        RoutingRule.SETTLED,
        RoutingRule.GENERATIONS,
        RoutingRule.STALE,
        RoutingRule.TAKE_OVER,
    )
    return Specification(
        name="routing",
        create=RoutingSystem,
        rules=RoutingRule,
        property_names=RoutingProperty,
        mutants=tuple(Mutant(rule, RoutingProperty.ONE_UPSTREAM) for rule in rules),
        assumptions=(
            Assumption(
                "a record survives a crash (no hint lost, home and successor not both crashed)",
                lambda: RoutingSystem(records_survive=False, starts_in_second_generation=True),
                RoutingProperty.ONE_UPSTREAM,
            ),
        ),
        quick_depth=6,
        full_depth=10,
    )


def create_second_generation_specification() -> Specification:
    """Return the system and its checks, for runs that start with generation 2 at all entries."""
    rules = (
        RoutingRule.ONLY_HOME,
        RoutingRule.RECORDS,
        RoutingRule.PEER_RECORDS,
        RoutingRule.HANDOVER,
        RoutingRule.IDLE_WAIT,
        RoutingRule.RELEASE_ASKS,
        RoutingRule.YIELD,
        RoutingRule.TAKE_RELEASES,
        RoutingRule.RELEASE_ACKED,
        RoutingRule.HANDOVER_RELEASES,
        RoutingRule.PAUSED_HOME,
        RoutingRule.RELEASE_FORCES,
    )
    return Specification(
        name="routing, generation 2 in force",
        create=lambda rules: RoutingSystem(rules, starts_in_second_generation=True),
        rules=RoutingRule,
        property_names=RoutingProperty,
        mutants=tuple(Mutant(rule, RoutingProperty.ONE_UPSTREAM) for rule in rules),
        assumptions=(),
        quick_depth=5,
        full_depth=9,
    )
