"""Checks of the protocol specification at a bounded depth."""

import pytest

from spec.catalog import list_specifications
from spec.check import check_assumptions, check_induction, check_mutants, check_properties
from spec.finding import Finding, Step, Verdict
from spec.specification import Specification
from spec.trace import format_finding
from spec.versions import VersionProperty, VersionStep

SPECIFICATIONS = list_specifications()
INDUCTIVE = [s for s in SPECIFICATIONS if s.induction_depth]


def get_specification_name(specification: Specification) -> str:
    return specification.name


each_specification = pytest.mark.parametrize(
    "specification", SPECIFICATIONS, ids=get_specification_name
)


@each_specification
def test_properties_hold(specification: Specification) -> None:
    check = check_properties(specification, specification.quick_depth)
    assert check.passed, format_finding(check.finding)


@pytest.mark.parametrize("specification", INDUCTIVE, ids=get_specification_name)
def test_properties_are_inductive(specification: Specification) -> None:
    check = check_induction(specification)
    assert check.passed, format_finding(check.finding)


@each_specification
def test_mutants_break_their_property(specification: Specification) -> None:
    missed = [check.name for check in check_mutants(specification) if not check.passed]
    assert missed == []


@each_specification
def test_dropped_assumptions_break_their_property(specification: Specification) -> None:
    missed = [check.name for check in check_assumptions(specification) if not check.passed]
    assert missed == []


@each_specification
def test_every_rule_and_promise_has_a_mutant(specification: Specification) -> None:
    related = [s for s in SPECIFICATIONS if s.rules is specification.rules]
    mutants = [mutant for s in related for mutant in s.mutants]
    assert {m.rule for m in mutants} == set(specification.rules)
    assert {m.property_name for m in mutants} == set(specification.property_names)


def test_counterexample_is_printed_as_steps() -> None:
    steps = (Step(VersionStep.CRASH, (2,), ()),)
    finding = Finding(Verdict.BROKEN, 1, VersionProperty.NEVER_REVERTS, steps)
    lines = format_finding(finding).splitlines()
    assert lines[0] == "broken, 1 steps"
    assert lines[-1] == "   1  CRASH(2): an instance crashes; no change"
