"""Checks all specifications: ``python -m spec.check --depth full``.

Exit codes: 0 if every property holds and every mutant and every dropped assumption has a
counterexample; 1 otherwise.
"""

import sys
import time
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum, unique
from functools import cache
from typing import Annotated

import cappa
from msgspec import Struct

from spec.catalog import list_specifications
from spec.finding import Finding, Verdict
from spec.modelchecker import check_bounded, check_inductive
from spec.progress import Progress
from spec.specification import Mutant, Specification
from spec.trace import format_finding


@unique
class Depth(Enum):
    """Which of a specification's depths to check its properties to."""

    QUICK = "quick"
    FULL = "full"


class Check(Struct, frozen=True):
    """A check and its result.

    :param passed: whether the result is the expected one.
    :param cpu_s: processor time used, in seconds.
    """

    name: str
    passed: bool
    finding: Finding
    cpu_s: float


@dataclass(frozen=True)
class Arguments:
    """Check the specification of the protocol.

    :param depth: quick, as in the tests, or full.
    :param only: name of the only specification to check.
    :param traces: also print the counterexamples of mutants and dropped assumptions.
    """

    depth: Annotated[Depth, cappa.Arg(long=True)] = Depth.QUICK
    only: Annotated[str, cappa.Arg(long=True)] = ""
    traces: Annotated[bool, cappa.Arg(long=True)] = False


def check_properties(specification: Specification, depth: int) -> Check:
    """Check that all properties hold in runs of up to ``depth`` steps."""
    start_s = time.process_time()
    system = specification.create(frozenset(specification.rules))
    name = f"holds to depth {depth}"
    finding = check_bounded(system, depth, progress=_create_progress(specification, name))
    passed = finding.verdict == Verdict.HOLDS
    return _end_check(specification, name, passed, finding, start_s)


def check_induction(specification: Specification) -> Check:
    """Check that k-induction proves all properties."""
    start_s = time.process_time()
    system = specification.create(frozenset(specification.rules))
    finding = check_inductive(system, specification.induction_depth)
    passed = finding.verdict == Verdict.HOLDS
    return _end_check(specification, f"k-induction, k = {finding.depth}", passed, finding, start_s)


@cache
def find_counterexample(specification: Specification, mutant: Mutant) -> Finding:
    """Search for the shortest counterexample of a mutant."""
    system = specification.create(frozenset(specification.rules) - {mutant.rule})
    progress = _create_progress(specification, f"without {mutant.rule.name}")
    return check_bounded(
        system, specification.full_depth, property_name=mutant.property_name, progress=progress
    )


def check_mutants(specification: Specification) -> Iterator[Check]:
    """Check that each mutant violates its property."""
    for mutant in specification.mutants:
        start_s = time.process_time()
        finding = find_counterexample(specification, mutant)
        passed = finding.verdict == Verdict.BROKEN
        name = f"without {mutant.rule.name}: {mutant.property_name.name}"
        yield _end_check(specification, name, passed, finding, start_s)


def check_assumptions(specification: Specification) -> Iterator[Check]:
    """Check that each assumption is needed: without it the property is violated."""
    for assumption in specification.assumptions:
        start_s = time.process_time()
        name = f"not assuming that {assumption.text}: {assumption.property_name.name}"
        finding = check_bounded(
            assumption.create(),
            specification.full_depth,
            property_name=assumption.property_name,
            progress=_create_progress(specification, name),
        )
        passed = finding.verdict == Verdict.BROKEN
        yield _end_check(specification, name, passed, finding, start_s)


def run_checks(specification: Specification, depth: Depth) -> Iterator[Check]:
    """Run all checks of a specification and yield each result as it completes."""
    is_full = depth == Depth.FULL
    steps = specification.full_depth if is_full else specification.quick_depth
    yield check_properties(specification, steps)
    if specification.induction_depth:
        yield check_induction(specification)
    yield from check_mutants(specification)
    yield from check_assumptions(specification)


def _create_progress(specification: Specification, name: str) -> Progress:
    return Progress(f"{specification.name}: {name}")


def _end_check(
    specification: Specification, name: str, passed: bool, finding: Finding, start_s: float
) -> Check:
    cpu_s = time.process_time() - start_s
    return Check(f"{specification.name}: {name}", passed, finding, cpu_s)


def main() -> int:
    """Run the command line.

    :returns: the exit code.
    """
    arguments = cappa.parse(Arguments)
    failed = 0
    start_s = time.process_time()
    for specification in list_specifications():
        if arguments.only in ("", specification.name):
            for check in run_checks(specification, arguments.depth):
                _print_check(check, arguments.traces)
                failed += not check.passed
    print(f"{failed} failed, {time.process_time() - start_s:.1f} s of processor time")
    return int(failed > 0)


def _print_check(check: Check, traces: bool) -> None:
    outcome = "ok  " if check.passed else "FAIL"
    print(f"{outcome} {check.name} ({check.finding.depth} steps, {check.cpu_s:.1f} s)", flush=True)
    if traces or not check.passed:
        print(format_finding(check.finding), flush=True)


if __name__ == "__main__":
    sys.exit(main())
