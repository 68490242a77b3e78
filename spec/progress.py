"""Progress of long checks, on standard error."""

import sys
import time
from collections.abc import Callable
from typing import TextIO

INTERVAL_S = 5.0
"""Shortest time between two lines."""


class Progress:
    """Tells how far the unrolling of one check is, and about how long the rest takes.

    :param name: of the check.
    :param output: gets the lines.
    :param clock: time in seconds.
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
        """Note that a step of so many is done; steps take longer and longer."""
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
"""Single steps may take much longer than the one before without a trend."""


def estimate_remaining_s(step_duration_s: float, growth: float, steps: int) -> float:
    """Estimate the time of the steps that are left, in seconds.

    :param step_duration_s: time of the last step.
    :param growth: the factor by which it took longer than the one before.
    """
    factor = min(MAX_GROWTH, max(1.0, growth))
    total_s = 0.0
    for _ in range(steps):
        step_duration_s *= factor
        total_s += step_duration_s
    return total_s
