"""Repeated failures make an upstream suspected; answers clear them."""

from chicoryproxy.forwarding.health.failuredetector import (
    BACKOFF_MAX_S,
    BACKOFF_MIN_S,
    RETENTION_S,
    FailureDetector,
)


def test_an_upstream_is_suspected_for_the_backoff_after_two_failures(harness):
    upstream, detector = harness.publish_upstream("i-1"), FailureDetector()
    assert not detector.record_failure(upstream, 1.0)
    assert detector.record_failure(upstream, 1.1)
    assert detector.is_suspected(upstream, 1.2)
    assert not detector.is_suspected(upstream, 1.2 + BACKOFF_MIN_S)


def test_an_answer_between_two_failures_clears_the_first(harness):
    upstream, detector = harness.publish_upstream("i-1"), FailureDetector()
    detector.record_failure(upstream, 1.0)
    detector.record_answer(upstream)
    assert not detector.record_failure(upstream, 1.1)


def test_old_failure_records_are_discarded(harness):
    """Replaced upstreams never answer again; their records must not accumulate."""
    upstream, detector = harness.publish_upstream("i-1"), FailureDetector()
    detector.record_failure(upstream, 1.0)
    detector.expire(1.0 + RETENTION_S / 2)
    assert detector.get_failures(upstream) == 1
    detector.expire(2.0 + RETENTION_S)
    assert detector.get_failures(upstream) == 0


def test_failures_far_apart_do_not_add_up(harness):
    upstream, detector = harness.publish_upstream("i-1"), FailureDetector()
    detector.record_failure(upstream, 1.0)
    assert not detector.record_failure(upstream, 9.0)


def test_the_backoff_of_a_flapping_upstream_doubles_up_to_a_limit(harness):
    """Flapping upstream: each renewed failure blocks openings for longer."""
    upstream, detector = harness.publish_upstream("i-1"), FailureDetector()
    now, lengths = 1.0, []
    for _ in range(6):
        while not detector.record_failure(upstream, now):
            now += 0.01
        start = now
        while detector.is_suspected(upstream, now):
            now += 0.1
        lengths.append(now - start)
    assert lengths[1] > lengths[0] * 1.8
    assert max(lengths) <= BACKOFF_MAX_S + 0.2
