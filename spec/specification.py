"""A system with the checks to run on it."""

from collections.abc import Callable

from msgspec import Struct

from spec.system import PropertyName, Rule, System


class Mutant(Struct, frozen=True):
    """A rule to remove, and the property that is violated without it."""

    rule: Rule
    property_name: PropertyName


class Assumption(Struct, frozen=True):
    """An assumption that a property depends on; without it the system has a counterexample.

    :param text: the assumption, as the end of "not assuming that ...".
    :param create: returns the system without the assumption.
    """

    text: str
    create: Callable[[], System]
    property_name: PropertyName


class Specification(Struct, frozen=True):
    """A system and the checks to run on it.

    :param create: returns the system with the given rules.
    :param rules: enumeration of its rules.
    :param property_names: enumeration of its properties.
    :param mutants: rules that are each shown to be needed.
    :param assumptions: assumptions that are each shown to be needed.
    :param quick_depth: bound in steps for the tests.
    :param full_depth: bound in steps for ``make check-model``, and for counterexamples.
    :param induction_depth: largest k of k-induction, or 0 if it does not close.
    """

    name: str
    create: Callable[[frozenset[Rule]], System]
    rules: type[Rule]
    property_names: type[PropertyName]
    mutants: tuple[Mutant, ...]
    assumptions: tuple[Assumption, ...]
    quick_depth: int
    full_depth: int
    induction_depth: int = 0
