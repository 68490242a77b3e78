"""A failure domain that is taken out receives no packets once a time bound has passed.

Covers R14 and "a removal takes effect at once" of R8. Two entries forward packets of known flows or
send packets that they held. Either may pause, be cut off, crash or be replaced. The version that
takes the domain out reaches running entries that are not cut off in less than ``BOUND_TICKS``. A
packet that is sent before the bound and arrives after it does not violate the property.

Not modelled: the later version that brings the domain back (its upstreams are cold then, see
``spec.grants``), and the answers that the callers of the flows get.
"""

from enum import unique

import z3

from spec.specification import Assumption, Mutant, Specification
from spec.system import (
    Action,
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

ENTRIES = range(2)
BOUND_TICKS = 2
BITS = 2


@unique
class DomainRule(Rule):
    """The rules of the model; each mutant removes one of them."""

    AT_ONCE = "an entry that has the version sends no packets to the domain (R14)"
    CHECK_HELD = "a held packet is checked again when it is sent (R15)"
    STALE_AFTER_PAUSE = "an entry is stale after a pause, before it handles a packet (R7)"
    STALE_AFTER_CUT = "an entry is stale after it was cut off (found by model checking)"
    STALE_AFTER_JOIN = "an entry is stale after its start (R7)"
    STALE_SENDS_NOTHING = (
        "a stale entry also holds packets of known flows (found by model checking)"
    )


@unique
class DomainStep(Label):
    """Labels of the actions."""

    TICK = "time passes"
    TAKE_OUT = "an operator takes the domain out"
    LEARN = "an entry learns that the domain is out"
    SEND = "an entry sends a packet of a known flow to the domain"
    HOLD = "an entry holds a packet for the domain"
    SEND_HELD = "an entry sends the held packet"
    PAUSE = "an entry pauses"
    RESUME = "a paused entry resumes"
    CUT = "an entry is cut off"
    HEAL = "an entry can reach its peers again"
    CONFIRM = "a peer answers a stale entry"
    REPLACE = "an entry is replaced by a new one"


@unique
class DomainProperty(PropertyName):
    """Names of the properties."""

    NOTHING_LATE = "no packet is sent to a domain that has been out for longer than the bound"


class DomainSystem(System):
    """Transition system of two entries that send packets to a failure domain.

    State per entry: ``learnt``, whether it knows that the domain is out; ``paused``; ``cut``,
    whether it is cut off from the platform and its peers; ``stale``; and ``held``, whether it holds
    a packet for the domain. Shared state: ``out``, whether the domain is out; ``age``, for how many
    ticks; and ``late``, which marks a violation.

    :param rules: the rules that apply.
    :param exempt_cut_off: whether the property exempts entries that are cut off.
    """

    def __init__(
        self, rules: frozenset[Rule] = frozenset(DomainRule), exempt_cut_off: bool = True
    ) -> None:
        super().__init__(rules)
        self.exempt_cut_off = exempt_cut_off

    def list_variables(self) -> tuple[Variable, ...]:
        """Return the state variables."""
        result = [Variable("out"), Variable("late"), Variable("age", BITS)]
        for i in ENTRIES:
            flags = ("learnt", "paused", "cut", "stale", "held")
            result += [Variable(index_name(n, i)) for n in flags]
        return tuple(result)

    def build_initial_condition(self, state: State) -> z3.BoolRef:
        """Return the condition that initial states fulfil: the domain is in."""
        conditions = [z3.Not(state.get(n)) for n in ("out", "late")] + [state.get("age") == 0]
        for i in ENTRIES:
            flags = ("learnt", "paused", "cut", "stale", "held")
            conditions += [z3.Not(state.get(n, i)) for n in flags]
        return z3.And(conditions)

    def list_actions(self, state: State) -> tuple[Action, ...]:
        """Return the actions, with guards and values in terms of a state."""
        result = [self._build_tick(state)]
        taken_out = (assign("out", to=True),)
        result.append(Action(DomainStep.TAKE_OUT, (), z3.Not(state.get("out")), taken_out))
        for i in ENTRIES:
            result += self._list_packet_actions(state, i)
            result += self._list_fault_actions(state, i)
            result.append(self._build_confirm(state, i, 1 - i))
        return tuple(result)

    def list_properties(self, state: State) -> tuple[Property, ...]:
        """Return the properties in terms of a state."""
        return (Property(DomainProperty.NOTHING_LATE, z3.Not(state.get("late"))),)

    def list_lemmas(self, state: State) -> tuple[z3.BoolRef, ...]:
        """Return auxiliary invariants for k-induction.

        After the bound, an entry that may send knows that the domain is out.
        """
        if not self.exempt_cut_off:
            return ()
        result = [z3.ULE(state.get("age"), BOUND_TICKS)]
        for i in ENTRIES:
            exemptions = [state.get(n, i) for n in ("paused", "cut", "stale", "learnt")]
            result.append(z3.Or(z3.ULT(state.get("age"), BOUND_TICKS), *exemptions))
        return tuple(result)

    def _build_tick(self, state: State) -> Action:
        age = state.get("age")
        last = age == BOUND_TICKS - 1
        guards = []
        for i in ENTRIES:
            exemptions = [state.get(n, i) for n in ("paused", "cut", "stale", "learnt")]
            guards.append(z3.Implies(last, z3.Or(exemptions)))
        counted = z3.And(state.get("out"), z3.ULT(age, BOUND_TICKS))
        advanced = (assign("age", to=z3.If(counted, age + 1, age)),)
        return Action(DomainStep.TICK, (), z3.And(guards), advanced)

    def _list_packet_actions(self, state: State, i: int) -> list[Action]:
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
        if self.exempt_cut_off:
            late = z3.And(late, z3.Not(state.get("cut", i)))
        sent = assign("late", to=z3.Or(state.get("late"), late))
        can_learn = z3.And(running, state.get("out"))
        sent_held = (sent, assign("held", i, to=False))
        return [
            Action(DomainStep.LEARN, (i,), can_learn, (assign("learnt", i, to=True),)),
            Action(DomainStep.SEND, (i,), z3.And(may_send), (sent,)),
            Action(DomainStep.HOLD, (i,), z3.And(may_send), (assign("held", i, to=True),)),
            Action(DomainStep.SEND_HELD, (i,), z3.And(held, *may_leave), sent_held),
        ]

    def _list_fault_actions(self, state: State, i: int) -> list[Action]:
        paused, cut, stale = (state.get(n, i) for n in ("paused", "cut", "stale"))
        after_pause = z3.Or(stale, self.has(DomainRule.STALE_AFTER_PAUSE))
        after_cut = z3.Or(stale, self.has(DomainRule.STALE_AFTER_CUT))
        resumed = (assign("paused", i, to=False), assign("stale", i, to=after_pause))
        healed = (assign("cut", i, to=False), assign("stale", i, to=after_cut))
        replaced = [assign(n, i, to=False) for n in ("learnt", "paused", "held")]
        replaced.append(assign("stale", i, to=self.has(DomainRule.STALE_AFTER_JOIN)))
        return [
            Action(DomainStep.PAUSE, (i,), z3.Not(paused), (assign("paused", i, to=True),)),
            Action(DomainStep.RESUME, (i,), paused, resumed),
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
    """Return the system of this module and its checks."""
    return Specification(
        name="domains",
        create=DomainSystem,
        rules=DomainRule,
        property_names=DomainProperty,
        mutants=tuple(Mutant(rule, DomainProperty.NOTHING_LATE) for rule in DomainRule),
        assumptions=(
            Assumption(
                "the entry is not cut off from the platform and its peers",
                lambda: DomainSystem(exempt_cut_off=False),
                DomainProperty.NOTHING_LATE,
            ),
        ),
        quick_depth=10,
        full_depth=20,
        induction_depth=3,
    )
