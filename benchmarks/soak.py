"""Long randomized state-machine tests: ``python -m benchmarks.soak --seed 1 --steps 200``.

Prints the seed and, for a failure, the minimized steps as calls that reproduce it. The exit code is
1 if a history violated an invariant.
"""

import argparse
import sys
import time

from hypothesis import HealthCheck, Verbosity, seed, settings
from hypothesis.stateful import run_state_machine_as_test

from tests.histories import FaultyHistory, PlannedHistory

STEPS_PER_HISTORY = 25
HISTORIES = {"planned": PlannedHistory, "faulty": FaultyHistory}


def run_history(kind: str, number: int, steps: int) -> bool:
    """Run histories of one kind and print the outcome.

    :param number: seed for generating the histories.
    :param steps: number of steps in all histories together.
    :returns: whether every invariant held.
    """
    machine = seed(number)(HISTORIES[kind])
    limits = settings(
        database=None,
        deadline=None,
        max_examples=max(1, steps // STEPS_PER_HISTORY),
        stateful_step_count=STEPS_PER_HISTORY,
        suppress_health_check=list(HealthCheck),
        verbosity=Verbosity.normal,
    )
    started = time.perf_counter()
    try:
        run_state_machine_as_test(machine, settings=limits)
        failure = None
    except Exception as error:  # Any exception raised by the cores is a failure.
        failure = error
    elapsed_s = time.perf_counter() - started
    print(
        f"{kind}: seed {number}, {steps} steps, {elapsed_s:.0f} s: "
        f"{'failed' if failure else 'held'}"
    )
    if failure is not None:
        print("\n".join([repr(failure), *getattr(failure, "__notes__", ())]))
    return failure is None


def main() -> int:
    """Run the kinds of histories selected on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--steps", type=int, default=200)
    parser.add_argument("--kind", choices=sorted(HISTORIES), action="append")
    options = parser.parse_args()
    kinds = options.kind or list(HISTORIES)
    passed = [run_history(kind, options.seed, options.steps) for kind in kinds]
    return 0 if all(passed) else 1


if __name__ == "__main__":
    sys.exit(main())
