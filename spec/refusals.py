"""Refusals: no packet of a flow was forwarded before a reset reports the flow as "not run".

Covers R12 with R4 to R6. Three entries receive copies of the flow's packets in any order. A home
either refuses an unknown opening, for lack of capacity, or forwards and records it. Homes change,
and hints may be lost. Resets because the upstream is gone or its domain is out are permitted and
not part of the model.

Not modelled: a copy of the opening that is forwarded after the refusal (its caller has closed the
connection by then, so that the upstream gets no request), and datagrams, which get no reset.
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

ENTRIES = range(3)


@unique
class RefusalRule(Rule):
    """The rules of the model; each mutant removes one of them."""

    HOME_REFUSES = "only the home refuses (R4)"
    UNKNOWN_ONLY = "a home does not refuse a flow that it has a record of (R12)"
    RECORDS = "a home records the flows that it forwards (R4)"
    TAKE_OVER = "a new home asks its peers for records before it decides (R6)"
    YIELD = "an entry that answers a take-over stops being home (found by model checking)"
    HANDOVER = "a leaving home hands its records over to its successor (R6)"


@unique
class RefusalStep(Label):
    """Labels of the actions."""

    FORWARD = "an entry forwards a packet of the flow"
    REFUSE = "an entry refuses the flow with a reset"
    HINT = "an entry receives a hint from another entry"
    TAKE_OVER = "an entry takes over as home"
    LEAVE = "an entry leaves after its handover"
    CRASH = "an entry crashes"
    JOIN = "a replacement joins"


@unique
class RefusalProperty(PropertyName):
    """Names of the properties."""

    NEVER_RAN = "a flow that was refused had no packet forwarded before"


class RefusalSystem(System):
    """Transition system of three entries that forward or refuse one flow.

    State per entry: ``alive``; ``home``, whether it is home; and ``record``, whether it has a
    record of the flow. Shared state: ``forwarded``, whether a packet of the flow was sent to an
    upstream; and ``wrong``, which marks a violation.

    :param rules: the rules that apply.
    :param records_survive: whether another entry has the record when a holder crashes.
    """

    def __init__(
        self, rules: frozenset[Rule] = frozenset(RefusalRule), records_survive: bool = True
    ) -> None:
        super().__init__(rules)
        self.records_survive = records_survive

    def list_variables(self) -> tuple[Variable, ...]:
        """Return the state variables."""
        result = [Variable("forwarded"), Variable("wrong")]
        for i in ENTRIES:
            result += [Variable(index_name(n, i)) for n in ("alive", "home", "record")]
        return tuple(result)

    def build_initial_condition(self, state: State) -> z3.BoolRef:
        """Return the condition that initial states fulfil: entry 0 is home, the flow is new."""
        conditions = [z3.Not(state.get("forwarded")), z3.Not(state.get("wrong"))]
        for i in ENTRIES:
            conditions += [state.get("alive", i), state.get("home", i) == (i == 0)]
            conditions.append(z3.Not(state.get("record", i)))
        return z3.And(conditions)

    def list_actions(self, state: State) -> tuple[Action, ...]:
        """Return the actions, with guards and values in terms of a state."""
        result = []
        for i in ENTRIES:
            result += [self._build_forward(state, i), self._build_refuse(state, i)]
            result.append(self._build_take_over(state, i))
            result += self._list_replacement_actions(state, i)
            for j in ENTRIES:
                if j != i:
                    result += self._list_exchange_actions(state, i, j)
        return tuple(result)

    def list_properties(self, state: State) -> tuple[Property, ...]:
        """Return the properties in terms of a state."""
        return (Property(RefusalProperty.NEVER_RAN, z3.Not(state.get("wrong"))),)

    def list_lemmas(self, state: State) -> tuple[z3.BoolRef, ...]:
        """Return auxiliary invariants for k-induction."""
        if not self.records_survive:
            return ()
        homes = [state.get("home", i) for i in ENTRIES]
        known = [z3.And(state.get("alive", i), state.get("record", i)) for i in ENTRIES]
        result = [z3.AtMost(*homes, 1), z3.Implies(state.get("forwarded"), z3.Or(known))]
        for i in ENTRIES:
            result += [
                z3.Implies(state.get(n, i), state.get("alive", i)) for n in ("home", "record")
            ]
            result.append(z3.Implies(state.get("record", i), state.get("forwarded")))
            home_knows = z3.Implies(state.get("forwarded"), state.get("record", i))
            result.append(z3.Implies(state.get("home", i), home_knows))
        return tuple(result)

    def _build_forward(self, state: State, i: int) -> Action:
        record, home = state.get("record", i), state.get("home", i)
        guard = z3.And(state.get("alive", i), z3.Or(record, home))
        recorded = z3.BoolVal(True) if self.has(RefusalRule.RECORDS) else record
        assignments = (assign("forwarded", to=True), assign("record", i, to=recorded))
        return Action(RefusalStep.FORWARD, (i,), guard, assignments)

    def _build_refuse(self, state: State, i: int) -> Action:
        guards = [state.get("alive", i)]
        if self.has(RefusalRule.HOME_REFUSES):
            guards.append(state.get("home", i))
        if self.has(RefusalRule.UNKNOWN_ONLY):
            guards.append(z3.Not(state.get("record", i)))
        wrong = z3.Or(state.get("wrong"), state.get("forwarded"))
        return Action(RefusalStep.REFUSE, (i,), z3.And(guards), (assign("wrong", to=wrong),))

    def _build_take_over(self, state: State, i: int) -> Action:
        peers = [j for j in ENTRIES if j != i]
        guard = z3.And(state.get("alive", i), z3.Not(state.get("home", i)))
        assignments = [assign("home", i, to=True)]
        if self.has(RefusalRule.TAKE_OVER):
            known = [z3.And(state.get("alive", j), state.get("record", j)) for j in peers]
            recovered = z3.Or(state.get("record", i), *known)
            assignments.append(assign("record", i, to=recovered))
        if self.has(RefusalRule.YIELD):
            assignments += [assign("home", j, to=False) for j in peers]
        return Action(RefusalStep.TAKE_OVER, (i,), guard, tuple(assignments))

    def _list_replacement_actions(self, state: State, i: int) -> list[Action]:
        alive, record = state.get("alive", i), state.get("record", i)
        others = [z3.And(state.get("alive", j), state.get("record", j)) for j in ENTRIES if j != i]
        may_crash = alive
        if self.records_survive:
            may_crash = z3.And(alive, z3.Or(z3.Not(record), *others))
        stopped = tuple(assign(n, i, to=False) for n in ("alive", "home", "record"))
        return [
            Action(RefusalStep.CRASH, (i,), may_crash, stopped),
            Action(RefusalStep.JOIN, (i,), z3.Not(alive), (assign("alive", i, to=True),)),
        ]

    def _list_exchange_actions(self, state: State, i: int, j: int) -> list[Action]:
        both = z3.And(state.get("alive", i), state.get("alive", j))
        record, given = state.get("record", j), state.get("record", i)
        hint = (assign("record", j, to=True),)
        departed = tuple(assign(n, i, to=False) for n in ("alive", "home", "record"))
        if self.has(RefusalRule.HANDOVER):
            departed += (assign("record", j, to=z3.Or(record, given)),)
        return [
            Action(RefusalStep.HINT, (i, j), z3.And(both, given), hint),
            Action(RefusalStep.LEAVE, (i, j), both, departed),
        ]


def create_specification() -> Specification:
    """Return the system of this module and its checks."""
    return Specification(
        name="refusals",
        create=RefusalSystem,
        rules=RefusalRule,
        property_names=RefusalProperty,
        mutants=tuple(Mutant(rule, RefusalProperty.NEVER_RAN) for rule in RefusalRule),
        assumptions=(
            Assumption(
                "a record survives a crash (no hint lost, home and successor not both crashed)",
                lambda: RefusalSystem(records_survive=False),
                RefusalProperty.NEVER_RAN,
            ),
        ),
        quick_depth=8,
        full_depth=16,
        induction_depth=3,
    )
