"""Histories that once broke a promise, replayed step by step.

``test_histories`` draws its histories from a seed that Hypothesis derives from the source of the
state machine, so an edit of the machine draws other ones. A history that failed is kept here.
"""

from tests.histories import PlannedHistory


def test_an_upstream_that_starts_cold_during_many_restarts_keeps_its_limit():
    history = PlannedHistory()
    history.drain(pick=1)
    history.stop(pick=19)
    history.stop(pick=19)
    history.drain(pick=30)
    history.join(pick=24)
    history.take_out(pick=8)
    history.stop(pick=6)
    history.join(pick=26)
    history.bring_back()
    history.join(pick=7)
    history.pass_time(seconds=1.5)
    history.keeps_safe()
    history.breaks_nothing()
    history.teardown()
