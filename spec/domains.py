"""A failure domain that is taken out gets nothing after a bound.

Covers R14 and R8's "a removal takes effect at once". Two entries forward packets of flows that
they know, or release packets that they held; either may pause, be cut off, die or be replaced.
Between running entries that are not cut off, word of the version takes less than
``BOUND_TICKS``. A packet that left before the bound but arrives later is not counted.

Left out: bringing the domain back (the version after; its upstreams are cold then, see
``spec.grants``), and what the flows' callers get.
"""

from enum import unique

import z3

from spec.system import (
    Action,
    Label,
    Limit,
    Mutant,
    Promise,
    Property,
    Rule,
    Specification,
    State,
    System,
    Variable,
    assign,
    index_name,
)

ENTRIES = range(2)
BOUND_TICKS = 2
BITS = 2


@unique
class DomainRule(Rule):
    """Rules that a mutant takes out."""

    AT_ONCE = "an entry that has the version sends nothing to the domain (R14)"
    CHECK_HELD = "a held packet is checked again when it leaves (R15)"
    STALE_AFTER_PAUSE = "an entry is stale after a pause, before its first packet (R7)"
    STALE_AFTER_CUT = "an entry is stale after it was cut off (found by the model)"
    STALE_AFTER_JOIN = "an entry is stale after its start (R7)"
    STALE_SENDS_NOTHING = "a stale entry also holds packets of known flows (found by the model)"


@unique
class DomainStep(Label):
    """Actions."""

    TICK = "time passes"
    TAKE_OUT = "operators take the domain out"
    LEARN = "an entry learns of it"
    SEND = "an entry sends a packet of a known flow to the domain"
    HOLD = "an entry holds a packet for the domain"
    RESUME = "an entry sends the held packet"
    PAUSE = "an entry pauses"
    WAKE = "an entry wakes"
    CUT = "an entry is cut off"
    HEAL = "an entry can reach its peers again"
    CONFIRM = "a peer answers a stale entry"
    REPLACE = "an entry is replaced"


@unique
class DomainPromise(Promise):
    """Properties."""

    NOTHING_LATE = "nothing leaves for a domain that is out after the bound"


class DomainSystem(System):
    """The system of this module.

    State per entry: ``learnt``, ``paused``, ``cut``, ``stale``, ``held``. ``out`` with ``age`` in
    ticks, ``late`` is the violation.

    :param rules: the rules that are in force.
    :param excuse_cuts: whether an entry that is cut off is outside the property.
    """

    def __init__(
        self, rules: frozenset[Rule] = frozenset(DomainRule), excuse_cuts: bool = True
    ) -> None:
        super().__init__(rules)
        self.excuse_cuts = excuse_cuts

    def list_variables(self) -> tuple[Variable, ...]:
        """Return the variables."""
        result = [Variable("out"), Variable("late"), Variable("age", BITS)]
        for i in ENTRIES:
            flags = ("learnt", "paused", "cut", "stale", "held")
            result += [Variable(index_name(n, i)) for n in flags]
        return tuple(result)

    def build_start(self, state: State) -> z3.BoolRef:
        """Return the condition on initial states: the domain is in."""
        conditions = [z3.Not(state.get(n)) for n in ("out", "late")] + [state.get("age") == 0]
        for i in ENTRIES:
            flags = ("learnt", "paused", "cut", "stale", "held")
            conditions += [z3.Not(state.get(n, i)) for n in flags]
        return z3.And(conditions)

    def list_actions(self, state: State) -> tuple[Action, ...]:
        """Return the actions that may follow a state."""
        result = [self._build_tick(state)]
        taken = (assign("out", to=True),)
        result.append(Action(DomainStep.TAKE_OUT, (), z3.Not(state.get("out")), taken))
        for i in ENTRIES:
            result += self._list_packets(state, i)
            result += self._list_faults(state, i)
            result.append(self._build_confirm(state, i, 1 - i))
        return tuple(result)

    def list_properties(self, state: State) -> tuple[Property, ...]:
        """Return the properties."""
        return (Property(DomainPromise.NOTHING_LATE, z3.Not(state.get("late"))),)

    def list_lemmas(self, state: State) -> tuple[z3.BoolRef, ...]:
        """Return further invariants that help k-induction: who decides knows after the bound."""
        if not self.excuse_cuts:
            return ()
        result = [z3.ULE(state.get("age"), BOUND_TICKS)]
        for i in ENTRIES:
            excused = [state.get(n, i) for n in ("paused", "cut", "stale", "learnt")]
            result.append(z3.Or(z3.ULT(state.get("age"), BOUND_TICKS), *excused))
        return tuple(result)

    def _build_tick(self, state: State) -> Action:
        age = state.get("age")
        last = age == BOUND_TICKS - 1
        guards = []
        for i in ENTRIES:
            excused = [state.get(n, i) for n in ("paused", "cut", "stale", "learnt")]
            guards.append(z3.Implies(last, z3.Or(excused)))
        counted = z3.And(state.get("out"), z3.ULT(age, BOUND_TICKS))
        advanced = (assign("age", to=z3.If(counted, age + 1, age)),)
        return Action(DomainStep.TICK, (), z3.And(guards), advanced)

    def _list_packets(self, state: State, i: int) -> list[Action]:
        running, held = z3.Not(state.get("paused", i)), state.get("held", i)
        may_send = [running]
        if self.has(DomainRule.STALE_SENDS_NOTHING):
            may_send.append(z3.Not(state.get("stale", i)))
        may_leave = list(may_send)
        if self.has(DomainRule.AT_ONCE):
            may_send.append(z3.Not(state.get("learnt", i)))
            if self.has(DomainRule.CHECK_HELD):
                may_leave.append(z3.Not(state.get("learnt", i)))
        late = state.get("age") == BOUND_TICKS
        if self.excuse_cuts:
            late = z3.And(late, z3.Not(state.get("cut", i)))
        sent = assign("late", to=z3.Or(state.get("late"), late))
        can_learn = z3.And(running, state.get("out"))
        resumed = (sent, assign("held", i, to=False))
        return [
            Action(DomainStep.LEARN, (i,), can_learn, (assign("learnt", i, to=True),)),
            Action(DomainStep.SEND, (i,), z3.And(may_send), (sent,)),
            Action(DomainStep.HOLD, (i,), z3.And(may_send), (assign("held", i, to=True),)),
            Action(DomainStep.RESUME, (i,), z3.And(held, *may_leave), resumed),
        ]

    def _list_faults(self, state: State, i: int) -> list[Action]:
        paused, cut, stale = (state.get(n, i) for n in ("paused", "cut", "stale"))
        after_pause = z3.Or(stale, self.has(DomainRule.STALE_AFTER_PAUSE))
        after_cut = z3.Or(stale, self.has(DomainRule.STALE_AFTER_CUT))
        woken = (assign("paused", i, to=False), assign("stale", i, to=after_pause))
        healed = (assign("cut", i, to=False), assign("stale", i, to=after_cut))
        replaced = [assign(n, i, to=False) for n in ("learnt", "paused", "held")]
        replaced.append(assign("stale", i, to=self.has(DomainRule.STALE_AFTER_JOIN)))
        return [
            Action(DomainStep.PAUSE, (i,), z3.Not(paused), (assign("paused", i, to=True),)),
            Action(DomainStep.WAKE, (i,), paused, woken),
            Action(DomainStep.CUT, (i,), z3.Not(cut), (assign("cut", i, to=True),)),
            Action(DomainStep.HEAL, (i,), cut, healed),
            Action(DomainStep.REPLACE, (i,), z3.BoolVal(True), tuple(replaced)),
        ]

    def _build_confirm(self, state: State, i: int, j: int) -> Action:
        guards = [z3.Not(state.get(n, k)) for n in ("paused", "cut") for k in (i, j)]
        guards += [state.get("stale", i), z3.Not(state.get("stale", j))]
        learnt = z3.Or(state.get("learnt", i), state.get("learnt", j))
        assignments = (assign("stale", i, to=False), assign("learnt", i, to=learnt))
        return Action(DomainStep.CONFIRM, (i, j), z3.And(guards), assignments)


def create_specification() -> Specification:
    """Return the system of this module with its checks."""
    return Specification(
        name="domains",
        create=DomainSystem,
        rules=DomainRule,
        promises=DomainPromise,
        mutants=tuple(Mutant(rule, DomainPromise.NOTHING_LATE) for rule in DomainRule),
        limits=(
            Limit(
                "the entry is not cut off from the platform and its peers",
                lambda: DomainSystem(excuse_cuts=False),
                DomainPromise.NOTHING_LATE,
            ),
        ),
        quick_depth=10,
        full_depth=20,
        induction_depth=3,
    )
