"""Tests of the retry budget."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from chicoryproxy.routing.retry import MIN_RETRIES_PER_WINDOW, WINDOW_S, RetryBudget


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.lists(st.tuples(st.floats(0, 3), st.integers(0, 30), st.integers(0, 30)), max_size=30))
def test_retries_stay_within_their_share_of_the_window(steps):
    budget = RetryBudget(0.1)
    now, opened, allowed = 0.0, [], []
    for gap, openings, retries in steps:
        now += gap
        for _ in range(openings):
            budget.record_opening(now)
        opened += [now] * openings
        allowed += [now for _ in range(retries) if budget.allow_retry(now)]
        first = int(now) - WINDOW_S + 1
        recent = sum(at >= first for at in opened)
        if now in allowed:
            assert sum(at >= first for at in allowed) <= MIN_RETRIES_PER_WINDOW + 0.1 * recent


def test_the_budget_returns_after_the_window():
    budget = RetryBudget(0.1)
    assert [budget.allow_retry(0.0) for _ in range(4)] == [True, True, True, False]
    assert budget.allow_retry(WINDOW_S + 1.0)


@pytest.mark.parametrize("openings", [0, 1000])
def test_a_ratio_of_zero_allows_no_retry(openings):
    budget = RetryBudget(0.0)
    for _ in range(openings):
        budget.record_opening(0.0)
    assert not budget.allow_retry(0.0)
