"""Configuration versions: they only increase, and place new flows once every live peer has them.

Covers R7, R8 and R13. Three instances read versions from a platform, which may serve any version
that it ever published, and send them to each other. A message may carry any version that its
sender ever had, which models loss, delay, reordering and duplication. An instance that was paused
or has just joined is stale until a peer that is not stale answers it.

Time is counted in ticks. A message between running instances that can reach each other takes
less than one tick; ``SPREAD_TICKS`` stands for ``spread_s``.

Not modelled: the content of versions, and which instances read the platform. A pause shorter than
``pause_s``, which goes undetected, is modelled as message delay.
"""

from enum import unique

import z3

from spec.specification import Assumption, Mutant, Specification
from spec.system import (
    Action,
    Assignment,
    Label,
    Property,
    PropertyName,
    Rule,
    State,
    System,
    Variable,
    assign,
    index_name,
)

INSTANCES = range(3)
LAST_VERSION = 3
VERSIONS = range(1, LAST_VERSION + 1)
SPREAD_TICKS = 2
VERSION_BITS = 2
AGE_BITS = 2


@unique
class VersionRule(Rule):
    """The rules of the model; each mutant removes one of them."""

    RISING = "an instance ignores versions that are not higher than its own (R13)"
    WAIT = "a version places new flows only once every live peer has it, or after spread_s (R8)"
    STALE_AFTER_PAUSE = "an instance is stale after a pause until a peer answers (R7)"
    STALE_AFTER_JOIN = "an instance is stale after its start until a peer answers (R7)"
    WAIT_AFTER_PAUSE = "a pause restarts the wait of spread_s (found by model checking)"
    STALE_AFTER_CUT = "an instance is stale after it was cut off (found by model checking)"


@unique
class VersionStep(Label):
    """Labels of the actions."""

    PUBLISH = "a new version is published on the platform"
    READ = "an instance reads a version from the platform"
    GOSSIP = "an instance receives a version from a peer"
    CONFIRM = "a peer answers a stale instance"
    ENFORCE = "an instance starts to place new flows by its version"
    TICK = "time passes"
    PAUSE = "an instance pauses"
    RESUME = "a paused instance resumes"
    CRASH = "an instance crashes"
    JOIN = "a replacement joins"
    CUT = "an instance is cut off"
    HEAL = "an instance can reach its peers again"


@unique
class VersionProperty(PropertyName):
    """Names of the properties."""

    NEVER_REVERTS = "neither the version of an instance nor the one that it places by decreases"
    KNOWN_WHEN_PLACING = "each instance that may decide has every version that places new flows"


class VersionSystem(System):
    """Transition system of three instances that spread versions.

    State per instance: ``have``, its version; ``force``, the version that places its new flows;
    ``age``, the ticks since it adopted its version; ``alive``; ``paused``; ``stale``; ``cut``,
    whether it is cut off from its peers; and ``healing``, set from the end of the cut to the next
    tick.

    :param rules: the rules that apply.
    :param exempt_cut_off: whether ``KNOWN_WHEN_PLACING`` exempts instances that are cut off.
    """

    def __init__(
        self, rules: frozenset[Rule] = frozenset(VersionRule), exempt_cut_off: bool = True
    ) -> None:
        super().__init__(rules)
        self.exempt_cut_off = exempt_cut_off

    def list_variables(self) -> tuple[Variable, ...]:
        """Return the state variables."""
        result = [Variable("published", VERSION_BITS), Variable("reverted")]
        for i in INSTANCES:
            result += [Variable(index_name(n, i), VERSION_BITS) for n in ("have", "force")]
            result.append(Variable(index_name("age", i), AGE_BITS))
            flags = ("alive", "paused", "stale", "cut", "healing")
            result += [Variable(index_name(n, i)) for n in flags]
        return tuple(result)

    def build_initial_condition(self, state: State) -> z3.BoolRef:
        """Return the condition that initial states fulfil: every instance places by version 1."""
        conditions = [state.get("published") == 1, z3.Not(state.get("reverted"))]
        for i in INSTANCES:
            conditions += [state.get("have", i) == 1, state.get("force", i) == 1]
            conditions += [state.get("age", i) == 0, state.get("alive", i)]
            flags = ("paused", "stale", "cut", "healing")
            conditions += [z3.Not(state.get(n, i)) for n in flags]
        return z3.And(conditions)

    def list_actions(self, state: State) -> tuple[Action, ...]:
        """Return the actions, with guards and values in terms of a state."""
        published = state.get("published")
        result = [
            Action(
                VersionStep.PUBLISH,
                (),
                z3.ULT(published, LAST_VERSION),
                (assign("published", to=published + 1),),
            ),
            self._build_tick(state),
        ]
        for i in INSTANCES:
            result += self._list_read_actions(state, i)
            result += self._list_message_actions(state, i)
            result.append(self._build_enforce(state, i))
            result += self._list_fault_actions(state, i)
        return tuple(result)

    def list_properties(self, state: State) -> tuple[Property, ...]:
        """Return the properties in terms of a state."""
        pairs = [(i, j) for i in INSTANCES for j in INSTANCES if i != j]
        known = [self._is_known(state, i, j) for i, j in pairs]
        return (
            Property(VersionProperty.NEVER_REVERTS, z3.Not(state.get("reverted"))),
            Property(VersionProperty.KNOWN_WHEN_PLACING, z3.And(known)),
        )

    def list_lemmas(self, state: State) -> tuple[z3.BoolRef, ...]:
        """Return auxiliary invariants for k-induction."""
        if not self.exempt_cut_off:
            return ()
        result = []
        for i in INSTANCES:
            result.append(z3.ULE(state.get("force", i), state.get("have", i)))
            result.append(z3.ULE(state.get("have", i), state.get("published")))
            result.append(z3.ULE(state.get("age", i), SPREAD_TICKS))
            result += [self._is_known_in_time(state, i, j) for j in INSTANCES if j != i]
        return tuple(result)

    def _is_known_in_time(self, state: State, i: int, j: int) -> z3.BoolRef:
        is_recent = z3.ULT(state.get("age", i), SPREAD_TICKS)
        known = z3.UGE(state.get("have", j), state.get("have", i))
        return z3.Or(is_recent, known, state.get("paused", i), *self._list_exemptions(state, i, j))

    def _is_known(self, state: State, i: int, j: int) -> z3.BoolRef:
        known = z3.ULE(state.get("force", i), state.get("have", j))
        return z3.Or(known, *self._list_exemptions(state, i, j))

    def _list_exemptions(self, state: State, i: int, j: int) -> list[z3.BoolRef]:
        result = [
            z3.Not(state.get("alive", i)),
            z3.Not(state.get("alive", j)),
            state.get("paused", j),
            state.get("stale", j),
        ]
        if self.exempt_cut_off:
            result += [state.get(n, i) for n in ("cut", "healing")]
            result.append(state.get("cut", j))
        return result

    def _list_read_actions(self, state: State, i: int) -> list[Action]:
        result = []
        for version in VERSIONS:
            guard = z3.And(_is_running(state, i), z3.UGE(state.get("published"), version))
            version_value = z3.BitVecVal(version, VERSION_BITS)
            assignments = self._assign_adoption(state, i, version_value)
            result.append(Action(VersionStep.READ, (i, version), guard, assignments))
        return result

    def _list_message_actions(self, state: State, i: int) -> list[Action]:
        result = []
        for j in INSTANCES:
            if j == i:
                continue
            linked = _is_linked(state, i, j)
            for version in VERSIONS:
                guard = z3.And(linked, z3.UGE(state.get("have", j), version))
                version_value = z3.BitVecVal(version, VERSION_BITS)
                assignments = self._assign_adoption(state, i, version_value)
                result.append(Action(VersionStep.GOSSIP, (i, j, version), guard, assignments))
            guard = z3.And(linked, state.get("stale", i), z3.Not(state.get("stale", j)))
            assignments = self._assign_adoption(state, i, state.get("have", j))
            confirmed = assignments + (assign("stale", i, to=False),)
            result.append(Action(VersionStep.CONFIRM, (i, j), guard, confirmed))
        return result

    def _assign_adoption(
        self, state: State, i: int, version: z3.BitVecRef
    ) -> tuple[Assignment, ...]:
        have, force = state.get("have", i), state.get("force", i)
        higher = z3.UGT(version, have)
        is_adopted = higher if self.has(VersionRule.RISING) else version != have
        is_lower = z3.And(is_adopted, z3.ULT(version, have))
        return (
            assign("have", i, to=z3.If(is_adopted, version, have)),
            assign(
                "force", i, to=z3.If(z3.And(is_adopted, z3.ULT(version, force)), version, force)
            ),
            assign("age", i, to=z3.If(is_adopted, z3.BitVecVal(0, AGE_BITS), state.get("age", i))),
            assign("reverted", to=z3.Or(state.get("reverted"), is_lower)),
        )

    def _build_enforce(self, state: State, i: int) -> Action:
        have = state.get("have", i)
        peers_have = [
            z3.Or(z3.Not(state.get("alive", j)), z3.UGE(state.get("have", j), have))
            for j in INSTANCES
        ]
        has_waited = z3.UGE(state.get("age", i), SPREAD_TICKS)
        guards = [_is_running(state, i), z3.Not(state.get("stale", i))]
        guards.append(z3.ULT(state.get("force", i), have))
        if self.has(VersionRule.WAIT):
            guards.append(z3.Or(has_waited, z3.And(peers_have)))
        return Action(VersionStep.ENFORCE, (i,), z3.And(guards), (assign("force", i, to=have),))

    def _build_tick(self, state: State) -> Action:
        spread = [
            z3.Or(
                z3.Not(_is_linked(state, i, j)),
                z3.And(state.get("age", i) == 0, z3.Not(state.get("healing", i))),
                z3.UGE(state.get("have", j), state.get("have", i)),
            )
            for i in INSTANCES
            for j in INSTANCES
            if i != j
        ]
        assignments = []
        for i in INSTANCES:
            age = state.get("age", i)
            full = z3.UGE(age, SPREAD_TICKS)
            assignments.append(assign("age", i, to=z3.If(full, age, age + 1)))
            healing = z3.And(state.get("healing", i), state.get("paused", i))
            assignments.append(assign("healing", i, to=healing))
        return Action(VersionStep.TICK, (), z3.And(spread), tuple(assignments))

    def _list_fault_actions(self, state: State, i: int) -> list[Action]:
        alive, paused, cut = (state.get(n, i) for n in ("alive", "paused", "cut"))
        stale = z3.Or(state.get("stale", i), self.has(VersionRule.STALE_AFTER_PAUSE))
        joined = [assign(n, i, to=0) for n in ("have", "force", "age")]
        joined += [assign("alive", i, to=True), assign("paused", i, to=False)]
        joined.append(assign("stale", i, to=self.has(VersionRule.STALE_AFTER_JOIN)))
        returned = z3.Or(state.get("stale", i), self.has(VersionRule.STALE_AFTER_CUT))
        healed = (
            assign("cut", i, to=False),
            assign("healing", i, to=True),
            assign("stale", i, to=returned),
        )
        paused_now = (assign("paused", i, to=True),)
        age = 0 if self.has(VersionRule.WAIT_AFTER_PAUSE) else state.get("age", i)
        resumed = (
            assign("paused", i, to=False),
            assign("stale", i, to=stale),
            assign("age", i, to=age),
        )
        running = z3.And(alive, z3.Not(paused))
        return [
            Action(VersionStep.PAUSE, (i,), running, paused_now),
            Action(VersionStep.RESUME, (i,), z3.And(alive, paused), resumed),
            Action(VersionStep.CRASH, (i,), alive, (assign("alive", i, to=False),)),
            Action(VersionStep.JOIN, (i,), z3.Not(alive), tuple(joined)),
            Action(VersionStep.CUT, (i,), z3.Not(cut), (assign("cut", i, to=True),)),
            Action(VersionStep.HEAL, (i,), cut, healed),
        ]


def create_specification() -> Specification:
    """Return the system of this module and its checks."""
    known = VersionProperty.KNOWN_WHEN_PLACING
    return Specification(
        name="versions",
        create=VersionSystem,
        rules=VersionRule,
        property_names=VersionProperty,
        mutants=(
            Mutant(VersionRule.RISING, VersionProperty.NEVER_REVERTS),
            Mutant(VersionRule.WAIT, known),
            Mutant(VersionRule.STALE_AFTER_PAUSE, known),
            Mutant(VersionRule.STALE_AFTER_JOIN, known),
            Mutant(VersionRule.WAIT_AFTER_PAUSE, known),
            Mutant(VersionRule.STALE_AFTER_CUT, known),
        ),
        assumptions=(
            Assumption(
                "no instance that receives packets is cut off while a version spreads",
                lambda: VersionSystem(exempt_cut_off=False),
                known,
            ),
        ),
        quick_depth=8,
        full_depth=12,
        induction_depth=2,
    )


def _is_running(state: State, i: int) -> z3.BoolRef:
    return z3.And(state.get("alive", i), z3.Not(state.get("paused", i)))


def _is_linked(state: State, i: int, j: int) -> z3.BoolRef:
    reachable = [z3.Not(state.get("cut", k)) for k in (i, j)]
    return z3.And(_is_running(state, i), _is_running(state, j), *reachable)
