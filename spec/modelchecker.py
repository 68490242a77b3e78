"""A model checker for transition systems.

:func:`check_bounded` unrolls a system step by step (bounded model checking, Biere et al. 1999), and
:func:`check_inductive` tries k-induction with simple paths (Sheeran et al. 2000).
"""

from collections.abc import Sequence

import z3

from spec.finding import Change, Finding, Step, Verdict
from spec.progress import Progress
from spec.system import Action, Property, PropertyName, State, System, Variable

SEED = 1


def check_bounded(
    system: System,
    depth: int,
    *,
    property_name: PropertyName | None = None,
    with_lemmas: bool = False,
    progress: Progress | None = None,
) -> Finding:
    """Search for a run of at most ``depth`` steps that violates a property.

    :param system: the system to check.
    :param depth: largest number of steps.
    :param property_name: the only property to check, or ``None`` for all.
    :param with_lemmas: whether to check the lemmas as well.
    :param progress: receives the number of each step that was checked.
    :returns: the shortest counterexample; else ``HOLDS``, or ``UNREACHABLE`` if no run has
        ``depth`` steps.
    """
    _reset_context()
    unrolling = _Unrolling(system, property_name, with_lemmas)
    unrolling.solver.add(system.build_initial_condition(unrolling.states[0]))
    for length in range(depth + 1):
        finding = unrolling.find_violation()
        if finding is not None:
            return finding
        if progress is not None:
            progress.report_step(length, depth)
        if length < depth:
            unrolling.extend()
    if unrolling.solver.check() != z3.sat:
        return Finding(Verdict.UNREACHABLE, depth)
    return Finding(Verdict.HOLDS, depth)


def check_inductive(system: System, depth: int) -> Finding:
    """Try to prove the properties for runs of any length by k-induction.

    :param system: the system to check.
    :param depth: largest k to try.
    :returns: ``HOLDS`` with the k for which the induction step holds, ``BROKEN`` with a
        counterexample of the base case, or ``NOT_CLOSED``.
    """
    _reset_context()
    unrolling = _Unrolling(system, None, with_lemmas=True)
    for k in range(1, depth + 1):
        unrolling.assume_properties()
        unrolling.extend()
        unrolling.require_distinct()
        if not unrolling.can_break():
            return check_bounded(system, k, with_lemmas=True)
    return Finding(Verdict.NOT_CLOSED, depth)


class _Unrolling:
    """The constraints of a run, step by step, in one solver."""

    def __init__(
        self, system: System, property_name: PropertyName | None, with_lemmas: bool
    ) -> None:
        self.system = system
        self.property_name = property_name
        self.with_lemmas = with_lemmas
        self.solver = _create_solver()
        self.variables = system.list_variables()
        self.states = [State(self.variables, "@0")]
        self.actions: list[tuple[Action, ...]] = []
        self.choices: list[z3.BitVecRef] = []

    def extend(self) -> None:
        """Append a step and the state after it."""
        before = self.states[-1]
        after = State(self.variables, f"@{len(self.states)}")
        actions = self.system.list_actions(before)
        choice = z3.BitVec(f"choice@{len(self.states)}", len(actions).bit_length())
        self.solver.add(z3.ULT(choice, len(actions)))
        for number, action in enumerate(actions):
            self.solver.add(z3.Implies(choice == number, action.guard))
        for variable in self.variables:
            value = _build_next(variable, before, actions, choice)
            self.solver.add(after.values[variable.name] == value)
        self.states.append(after)
        self.actions.append(actions)
        self.choices.append(choice)

    def can_break(self) -> bool:
        """Return whether the last state can violate a condition."""
        conditions = self._list_conditions(self.states[-1])
        return bool(self.solver.check(z3.Not(z3.And(conditions))) != z3.unsat)

    def find_violation(self) -> Finding | None:
        """Return a counterexample that ends in the last state, or ``None``."""
        if not self.can_break():
            return None
        return self._read_finding(self.solver.model())

    def assume_properties(self) -> None:
        """Assume that all conditions hold in the last state."""
        self.solver.add(*self._list_conditions(self.states[-1]))

    def require_distinct(self) -> None:
        """Require that the last state differs from all earlier ones, as a simple path does."""
        last = self.states[-1]
        for state in self.states[:-1]:
            different = [state.values[v.name] != last.values[v.name] for v in self.variables]
            self.solver.add(z3.Or(different))

    def _list_conditions(self, state: State) -> list[z3.BoolRef]:
        result = [p.holds for p in self._list_properties(state)]
        if self.with_lemmas:
            result += self.system.list_lemmas(state)
        return result

    def _list_properties(self, state: State) -> list[Property]:
        properties = self.system.list_properties(state)
        return [p for p in properties if self.property_name in (None, p.property_name)]

    def _read_finding(self, model: z3.ModelRef) -> Finding:
        broken = None
        for candidate in self._list_properties(self.states[-1]):
            if not z3.is_true(model.eval(candidate.holds, model_completion=True)):
                broken = candidate.property_name
                break
        values = [self._read_state(model, state) for state in self.states]
        steps = []
        for number, choice in enumerate(self.choices):
            action = self.actions[number][_read_value(model, choice)]
            changes = _list_changes(values[number], values[number + 1])
            steps.append(Step(action.label, action.arguments, changes))
        return Finding(Verdict.BROKEN, len(steps), broken, tuple(steps), values[0])

    def _read_state(self, model: z3.ModelRef, state: State) -> tuple[Change, ...]:
        return tuple(
            Change(v.name, _read_value(model, state.values[v.name])) for v in self.variables
        )


def _reset_context() -> None:
    """Reset z3's context, so that a counterexample does not depend on earlier checks."""
    z3.z3._main_ctx = None


def _create_solver() -> z3.Solver:
    solver = z3.SolverFor("QF_BV")
    solver.set("random_seed", SEED)
    return solver


def _build_next(
    variable: Variable, before: State, actions: Sequence[Action], choice: z3.BitVecRef
) -> z3.ExprRef:
    result = before.values[variable.name]
    for number, action in enumerate(actions):
        for assignment in action.assignments:
            if assignment.name == variable.name:
                result = z3.If(choice == number, _convert(variable, assignment.value), result)
    return result


def _convert(variable: Variable, value: z3.ExprRef | int | bool) -> z3.ExprRef:
    if isinstance(value, bool):
        return z3.BoolVal(value)
    if isinstance(value, int):
        return z3.BitVecVal(value, variable.bits)
    return value


def _read_value(model: z3.ModelRef, expression: z3.ExprRef) -> int:
    value = model.eval(expression, model_completion=True)
    if z3.is_bool(value):
        return int(z3.is_true(value))
    return int(value.as_long())


def _list_changes(before: Sequence[Change], after: Sequence[Change]) -> tuple[Change, ...]:
    return tuple(new for old, new in zip(before, after, strict=True) if old != new)
