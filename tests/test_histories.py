"""Short, reproducible random histories; ``make soak`` runs longer ones."""

from hypothesis import HealthCheck, settings
from hypothesis.stateful import run_state_machine_as_test

from tests.histories import FaultyHistory, PlannedHistory

CI_SETTINGS = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=3,
    stateful_step_count=12,
    suppress_health_check=list(HealthCheck),
)


def test_planned_changes_break_no_flow():
    run_state_machine_as_test(PlannedHistory, settings=CI_SETTINGS)


def test_failures_violate_no_invariant_but_flow_survival():
    run_state_machine_as_test(FaultyHistory, settings=CI_SETTINGS)
