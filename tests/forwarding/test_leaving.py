"""An upstream that has said that it leaves gets no openings after its time limit."""

import pytest

from chicoryproxy.forwarding.model import Drop, Refusal, UpstreamPhase, WeightedService
from chicoryproxy.forwarding.view.directoryevent import DirectoryEventKind
from tests.forwarding.harness import (
    ARCHIVE,
    OWN_DOMAIN,
    ROUTE,
    ForwarderHarness,
    create_packet,
    create_route,
)

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


# DRAIN, CONFIG: a late copy of the opening of an open flow went to the flow's upstream whatever had
# been published since; one that no longer holds the flow takes it for a new opening.
@pytest.mark.parametrize("change", ["drain", "other service", "domain out"])
def test_a_late_copy_of_an_opening_goes_nowhere_that_an_opening_may_not_go(harness, change):
    harness.publish_upstream("i-1")
    upstream, port = harness.open_flow()
    assert harness.send_opening(port=port, copy=1)[0] is upstream
    harness.publish_upstream("a-2", service=ARCHIVE)
    if change == "drain":
        harness.publish_upstream("i-1", draining=True)
    elif change == "domain out":
        harness.take_domain_out(OWN_DOMAIN)
    else:
        moved = create_route("desk", ROUTE, (WeightedService(ARCHIVE, 1.0),))
        harness.publish_routing(2, [moved])
    assert harness.send_opening(port=port, copy=1)[0] is Drop.LATE_COPY
    packet = create_packet(port=port, mark=upstream.mark, sequence=1, acknowledged=1, size=10)
    assert harness.send(packet) is upstream


# DRAIN: a write of an upstream from before it said that it leaves, which the store completed late,
# has the newer revision; openings went there again.
def test_a_registration_written_late_does_not_end_a_drain(harness):
    harness.publish_upstream("i-2")
    harness.publish_upstream("i-1", sequence=7)
    leaving = harness.publish_upstream("i-1", draining=True, sequence=9)
    harness.publish_upstream("i-1", sequence=8)
    assert leaving.phase is UpstreamPhase.DRAINING
    assert harness.events[0].kind is DirectoryEventKind.UPSTREAM_OUTDATED
    harness.publish_upstream("i-1", sequence=10)
    assert leaving.phase is UpstreamPhase.SERVING


def test_registrations_of_an_entry_that_does_not_pass_on_their_numbers_count(harness):
    upstream = harness.publish_upstream("i-1", sequence=7)
    harness.publish_upstream("i-1", draining=True, sequence=0)
    assert upstream.phase is UpstreamPhase.DRAINING
