"""Results of the model checker, with their counterexamples."""

from enum import Enum

from msgspec import Struct

from spec.system import Label, PropertyName


class Change(Struct, frozen=True):
    """A variable and its value; in a step, the value that the step gave it."""

    name: str
    value: int


class Step(Struct, frozen=True):
    """One step of a counterexample."""

    label: Label
    arguments: tuple[int, ...]
    changes: tuple[Change, ...]


class Verdict(Enum):
    """Result of a check.

    ``NOT_CLOSED`` means that k-induction found no proof. ``UNREACHABLE`` means that no run of the
    checked length exists, so that the check is vacuous.
    """

    HOLDS = "holds"
    BROKEN = "broken"
    NOT_CLOSED = "not closed"
    UNREACHABLE = "unreachable"


class Finding(Struct, frozen=True):
    """Result of a check, with the counterexample if a property is violated.

    :param depth: number of steps that were checked, or k for k-induction.
    :param property_name: the violated property.
    :param steps: the counterexample.
    :param start: initial values, in the order of the system's variables.
    """

    verdict: Verdict
    depth: int
    property_name: PropertyName | None = None
    steps: tuple[Step, ...] = ()
    start: tuple[Change, ...] = ()
