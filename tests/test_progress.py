"""Tests of the progress output of long checks."""

import io

import pytest

from spec.progress import INTERVAL_S, MAX_GROWTH, Progress, estimate_remaining_s


def test_progress_is_written_when_steps_are_slow():
    output, now = io.StringIO(), [0.0]
    progress = Progress("homes: holds", output, lambda: now[0])
    for step in (1, 2, 3, 4):
        now[0] += INTERVAL_S / 2 + 0.1
        progress.report_step(step, 4)
    assert output.getvalue() == "homes: holds: step 2 of 4, about 5 s left\n"


def test_quick_checks_write_nothing():
    output = io.StringIO()
    progress = Progress("homes", output, lambda: 0.0)
    for step in range(5):
        progress.report_step(step, 5)
    assert output.getvalue() == ""


@pytest.mark.parametrize(
    ("growth", "remaining_s"), [(0.5, 30.0), (1.0, 30.0), (1.2, 43.68), (9.0, 71.25)]
)
def test_estimate_follows_growth_of_step_times(growth, remaining_s):
    assert estimate_remaining_s(10.0, growth, 3) == pytest.approx(remaining_s)
    assert MAX_GROWTH == 1.5
