"""Tests of the token bucket for control traffic."""

from chicoryproxy.protocol.budget import ControlBudget
from chicoryproxy.protocol.messages import Priority

RATE = 1000.0


def send_until_refused(budget: ControlBudget, priority: Priority, now: float) -> int:
    sent = 0
    while budget.allow(priority, 10, now):
        sent += 10
    return sent


def test_hints_are_refused_first() -> None:
    budget = ControlBudget(RATE)
    send_until_refused(budget, Priority.HINT, 0.0)
    assert budget.allow(Priority.HANDOVER, 10, 0.0)
    send_until_refused(budget, Priority.HANDOVER, 0.0)
    assert not budget.allow(Priority.HINT, 10, 0.0)
    assert budget.allow(Priority.MEMBERSHIP, 10, 0.0)


def test_safety_is_never_refused() -> None:
    budget = ControlBudget(RATE)
    assert all(budget.allow(Priority.SAFETY, 10_000, 0.0) for _ in range(5))
    assert not budget.allow(Priority.MEMBERSHIP, 10, 0.0)


def test_debt_is_limited_to_one_burst() -> None:
    budget = ControlBudget(RATE)
    budget.allow(Priority.SAFETY, 1_000_000, 0.0)
    assert not budget.allow(Priority.MEMBERSHIP, 10, 1.0)
    assert budget.allow(Priority.MEMBERSHIP, 10, 1.1)


def test_allowed_bytes_stay_within_the_rate() -> None:
    budget = ControlBudget(RATE)
    send_until_refused(budget, Priority.MEMBERSHIP, 0.0)
    sent = sum(send_until_refused(budget, Priority.MEMBERSHIP, step / 10) for step in range(1, 101))
    assert sent <= 10 * RATE


def test_counters_are_kept_per_priority() -> None:
    budget = ControlBudget(RATE)
    budget.allow(Priority.HINT, 100, 0.0)
    budget.allow(Priority.HINT, 5000, 0.0)
    counts = {entry.priority: entry for entry in budget.get_counts()}
    assert (counts[Priority.HINT].messages, counts[Priority.HINT].size) == (1, 100)
    assert counts[Priority.HINT].refused == 1
    assert counts[Priority.SAFETY].messages == 0
