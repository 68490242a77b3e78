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
        self._told_s = self._last_s = clock()
        self._took_s = 0.0

    def note_step(self, step: int, depth: int) -> None:
        """Note that a step of so many is done; steps take longer and longer."""
        now = self._clock()
        growth = (now - self._last_s) / self._took_s if self._took_s else 1.0
        self._took_s = now - self._last_s
        self._last_s = now
        if now - self._told_s < INTERVAL_S or step >= depth:
            return
        self._told_s = now
        rest_s = estimate_rest(self._took_s, growth, depth - step)
        line = f"{self._name}: step {step} of {depth}, about {rest_s:.0f} s left"
        print(line, file=self._output, flush=True)


MAX_GROWTH = 1.5
"""Single steps may take much longer than the one before without a trend."""


def estimate_rest(took_s: float, growth: float, steps: int) -> float:
    """Estimate the time of the steps that are left, in seconds.

    :param took_s: time of the last step.
    :param growth: the factor by which it took longer than the one before.
    """
    factor = min(MAX_GROWTH, max(1.0, growth))
    total_s = 0.0
    for _ in range(steps):
        took_s *= factor
        total_s += took_s
    return total_s
