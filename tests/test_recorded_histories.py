"""Histories that violated an invariant, replayed step by step.

``test_histories`` draws its histories from a seed that Hypothesis derives from the source of the
state machine, so each edit of the state machine draws other ones. Histories that failed are kept
here.
"""

from tests.histories import PlannedHistory


def finish(history):
    """Check the invariants after the last step and at the end, as Hypothesis does."""
    history.check_safety()
    history.check_no_disruption()
    history.teardown()


def test_cold_upstream_keeps_its_limit_while_instances_restart():
    history = PlannedHistory()
    history.drain(index=1)
    history.stop(index=19)
    history.stop(index=19)
    history.drain(index=30)
    history.join(index=24)
    history.take_out(index=8)
    history.stop(index=6)
    history.join(index=26)
    history.bring_back()
    history.join(index=7)
    history.pass_time(seconds=1.5)
    finish(history)


def test_cold_upstream_keeps_its_limit_after_its_domain_is_back():
    history = PlannedHistory()
    history.pass_time(seconds=0.4)
    history.stop(index=9)
    history.take_out(index=26)
    history.stop(index=18)
    history.bring_back()
    history.pass_time(seconds=4.0)
    finish(history)


def test_cold_upstream_keeps_its_limit_while_domains_leave_and_return():
    history = PlannedHistory()
    history.add_upstream(index=0)
    history.stop(index=10)
    history.take_out(index=8)
    history.bring_back()
    history.stop(index=20)
    history.take_out(index=21)
    history.drain(index=18)
    history.add_upstream(index=21)
    history.join(index=14)
    history.undrain(index=23)
    history.bring_back()
    history.take_out(index=0)
    finish(history)
