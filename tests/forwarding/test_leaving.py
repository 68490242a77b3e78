"""An upstream that has said that it leaves gets no openings after its time limit."""

import pytest

from chicoryproxy.forwarding.model import Refusal, UpstreamPhase
from tests.forwarding.harness import ForwarderHarness

DRAIN_S = ForwarderHarness().directory.bounds.drain_s


@pytest.fixture
def leaving(harness):
    """An upstream that leaves, beside one that serves."""
    harness.publish_upstream("i-2")
    harness.publish_upstream("i-1")
    return harness.publish_upstream("i-1", draining=True)


# DRAIN: after a failed read of the store, a removed registration counted as one that had lapsed by
# mistake, also that of an upstream that had said before that it leaves.
def test_a_leaving_upstream_gets_no_openings_when_its_registration_vanishes(harness, leaving):
    harness.advance(2.0)
    harness.directory.record_store_failure(harness.now)
    harness.remove_upstream("i-1")
    assert leaving.phase is UpstreamPhase.MISSING
    assert {harness.open_flow()[0].entry.id for _ in range(20)} == {"i-2"}


# DRAIN: the limit of a drain began anew with each change of its phase.
@pytest.mark.parametrize("is_listed_again", [False, True])
def test_the_time_limit_of_a_drain_outlasts_a_lapse_of_its_registration(harness, is_listed_again):
    harness.publish_upstream("i-1", draining=True)
    harness.advance(DRAIN_S - 0.5)
    harness.directory.record_store_failure(harness.now)
    harness.remove_upstream("i-1")
    if is_listed_again:
        harness.publish_upstream("i-1", draining=True)
    assert harness.send_opening()[0] is Refusal.NO_UPSTREAM


# DRAIN: the limit counted from the moment at which this entry learned of the drain, however late.
def test_the_time_limit_of_a_drain_counts_from_the_last_confirmed_view(harness):
    harness.publish_upstream("i-1")
    harness.confirmed_s = harness.now
    harness.advance(DRAIN_S - 0.5)
    harness.publish_upstream("i-1", draining=True)
    assert harness.send_opening()[0] is Refusal.NO_UPSTREAM
