"""Reports the progress of long checks on standard error."""

import sys
import time
from collections.abc import Callable
from typing import TextIO

INTERVAL_S = 5.0
"""Shortest interval between two lines."""


class Progress:
    """Prints how many steps of a check are done, with an estimate of the remaining time.

    :param name: name of the check.
    :param output: where to write the lines; standard error by default.
    :param clock: returns the time in seconds.
    """

    def __init__(
        self,
        name: str,
        output: TextIO | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._name = name
        self._output = output or sys.stderr
        self._clock = clock
        self._reported_s = self._last_step_s = clock()
        self._step_duration_s = 0.0

    def report_step(self, step: int, depth: int) -> None:
        """Record that a step is done, and print a line if the last one is ``INTERVAL_S`` old.

        The estimate allows for steps that take longer and longer.

        :param step: number of the step.
        :param depth: number of the last step.
        """
        now = self._clock()
        growth = (now - self._last_step_s) / self._step_duration_s if self._step_duration_s else 1.0
        self._step_duration_s = now - self._last_step_s
        self._last_step_s = now
        if now - self._reported_s < INTERVAL_S or step >= depth:
            return
        self._reported_s = now
        remaining_s = estimate_remaining_s(self._step_duration_s, growth, depth - step)
        line = f"{self._name}: step {step} of {depth}, about {remaining_s:.0f} s left"
        print(line, file=self._output, flush=True)


MAX_GROWTH = 1.5
"""Upper limit of the growth factor: a single slow step does not show a trend."""


def estimate_remaining_s(step_duration_s: float, growth: float, steps: int) -> float:
    """Estimate the time that the remaining steps take, in seconds.

    :param step_duration_s: duration of the last step.
    :param growth: duration of the last step divided by that of the step before.
    :param steps: number of remaining steps.
    """
    factor = min(MAX_GROWTH, max(1.0, growth))
    total_s = 0.0
    for _ in range(steps):
        step_duration_s *= factor
        total_s += step_duration_s
    return total_s
