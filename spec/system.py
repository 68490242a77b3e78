"""Transition systems over booleans and fixed-width unsigned integers.

A :class:`System` defines its variables, initial states, actions and properties. Each action has a
guard and assignments; variables without an assignment keep their value.
"""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from enum import Enum

import z3
from msgspec import Struct


class Rule(Enum):
    """Base of the enumerations of protocol rules; a mutant is a system without one of them."""


class Label(Enum):
    """Base of the enumerations that label the actions of a system."""


class PropertyName(Enum):
    """Base of the enumerations that name the safety properties of a system."""


class Variable(Struct, frozen=True):
    """A state variable.

    :param bits: width of an unsigned integer, or 0 for a boolean.
    """

    name: str
    bits: int = 0


class State:
    """The state variables before or after one step, as z3 expressions.

    :param variables: the variables of the system.
    :param suffix: appended to the z3 names, so that each state has its own.
    """

    def __init__(self, variables: Sequence[Variable], suffix: str) -> None:
        self.values = {v.name: _create_expression(v, suffix) for v in variables}

    def get(self, name: str, *indices: int) -> z3.ExprRef:
        """Return the expression of a variable.

        :param name: name of the variable, without indices.
        :param indices: indices of an indexed variable.
        """
        return self.values[index_name(name, *indices)]


class Assignment(Struct, frozen=True):
    """The value of a variable after a step."""

    name: str
    value: z3.ExprRef | int | bool


class Action(Struct, frozen=True):
    """A guarded transition from one state to the next.

    :param label: kind of action.
    :param arguments: instances, versions and other parameters of the action.
    :param guard: condition on the state before the step.
    :param assignments: values after the step; the last assignment of a variable applies.
    """

    label: Label
    arguments: tuple[int, ...]
    guard: z3.BoolRef
    assignments: tuple[Assignment, ...]


class Property(Struct, frozen=True):
    """A condition that must hold in every reachable state."""

    property_name: PropertyName
    holds: z3.BoolRef


class System(ABC):
    """A transition system whose rules can be removed one by one.

    :param rules: the rules that apply.
    """

    def __init__(self, rules: frozenset[Rule]) -> None:
        self.rules = rules

    def has(self, rule: Rule) -> bool:
        """Return whether a rule applies."""
        return rule in self.rules

    @abstractmethod
    def list_variables(self) -> tuple[Variable, ...]:
        """Return the state variables."""

    @abstractmethod
    def build_initial_condition(self, state: State) -> z3.BoolRef:
        """Return the condition that initial states fulfil."""

    @abstractmethod
    def list_actions(self, state: State) -> tuple[Action, ...]:
        """Return the actions, with guards and values in terms of a state."""

    @abstractmethod
    def list_properties(self, state: State) -> tuple[Property, ...]:
        """Return the properties in terms of a state."""

    def list_lemmas(self, state: State) -> tuple[z3.BoolRef, ...]:
        """Return auxiliary invariants for k-induction, which are checked as well."""
        del state
        return ()


def index_name(name: str, *indices: int) -> str:
    """Return the name of an indexed variable, such as ``alive_2``."""
    return "_".join((name, *map(str, indices)))


def assign(name: str, *indices: int, to: z3.ExprRef | int | bool) -> Assignment:
    """Return an assignment to an indexed variable."""
    return Assignment(index_name(name, *indices), to)


def _create_expression(variable: Variable, suffix: str) -> z3.ExprRef:
    name = variable.name + suffix
    return z3.BitVec(name, variable.bits) if variable.bits else z3.Bool(name)
