"""Response times tell slow upstreams from fast ones, and single long responses tell little."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from chicoryproxy.forwarding.balancing import performance
from chicoryproxy.forwarding.balancing.performance import (
    MAX_FACTOR,
    MIN_FACTOR,
    RETENTION_S,
    NoPerformance,
    create_performance,
)
from chicoryproxy.ids import UpstreamId
from tests.forwarding.harness import ForwarderHarness


@pytest.fixture
def upstreams(harness):
    """Three upstreams of a service."""
    return [harness.publish_upstream(f"i-{number}") for number in range(3)]


@pytest.fixture
def measured():
    """Measurement that is switched on."""
    return create_performance()


def test_upstreams_of_unequal_speed_are_told_apart(upstreams, measured):
    """Speeds of 0.6 : 1 : 1.6, responses in turn."""
    for step in range(60):
        for upstream, speed in zip(upstreams, (0.6, 1.0, 1.6), strict=True):
            measured.record_response(upstream, 0.05 / speed, step * 0.1)
    slow, usual, fast = map(measured.get_factor, upstreams)
    assert slow > 1.3
    assert 1.0 <= usual < 1.1
    assert fast == 1.0


def test_an_upstream_that_fails_at_once_attracts_no_openings(upstreams, measured):
    """Failures are the fastest answers; the others work as usual."""
    for step in range(60):
        for upstream, duration_s in zip(upstreams, (0.002, 0.05, 0.05), strict=True):
            measured.record_response(upstream, duration_s, step * 0.1)
    failing, *working = map(measured.get_factor, upstreams)
    assert failing == 1.0
    assert all(factor < 1.6 for factor in working)


def test_a_long_tail_is_not_taken_for_slowness(upstreams, measured):
    """One request in twenty takes seven times as long, at each upstream."""
    rng = random.Random(1)
    for step in range(400):
        for upstream in upstreams:
            duration_s = 0.35 if rng.random() < 0.05 else 0.05
            measured.record_response(upstream, duration_s, step * 0.01)
        if step > 30:
            assert all(0.7 < measured.get_factor(upstream) < 1.4 for upstream in upstreams)


def test_one_long_response_of_an_unknown_upstream_proves_little(upstreams, measured):
    for _ in range(30):
        measured.record_response(upstreams[0], 0.05, 1.0)
    measured.record_response(upstreams[1], 5.0, 1.0)
    assert measured.get_factor(upstreams[1]) < 1.5


def test_a_new_lifetime_knows_nothing(harness, upstreams, measured):
    """An upstream that was slow restarts under its id."""
    for _ in range(30):
        measured.record_response(upstreams[0], 0.2, 1.0)
        measured.record_response(upstreams[1], 0.05, 1.0)
    assert measured.get_factor(upstreams[0]) > 1.2
    restarted = harness.publish_upstream("i-0", started_ms=2_000)
    assert restarted is not upstreams[0]
    assert measured.get_factor(restarted) == 1.0


def test_a_slow_upstream_is_tried_again(upstreams, measured):
    """It gets no openings, so that no response shows that it has become faster."""
    for _ in range(30):
        measured.record_response(upstreams[0], 0.2, 1.0)
        measured.record_response(upstreams[1], 0.05, 1.0)
    measured.expire(1.0 + RETENTION_S + 0.1)
    assert measured.get_factor(upstreams[0]) == 1.0
    assert len(measured) == 0


def test_memory_is_bounded(harness, measured, monkeypatch):
    monkeypatch.setattr(performance, "MAX_UPSTREAMS", 10)
    for number in range(30):
        measured.record_response(harness.publish_upstream(f"j-{number}"), 0.05, 1.0)
    assert len(measured) == 10


@given(st.lists(st.tuples(st.integers(0, 2), st.floats(0.0, 100.0)), max_size=60))
def test_factors_are_bounded(responses):
    harness, measured = ForwarderHarness(), create_performance()
    upstreams = [harness.publish_upstream(UpstreamId(f"i-{number}")) for number in range(3)]
    for index, duration_s in responses:
        measured.record_response(upstreams[index], duration_s, 1.0)
        assert all(MIN_FACTOR <= measured.get_factor(item) <= MAX_FACTOR for item in upstreams)


def test_without_measurement_no_factor_is_known(upstreams):
    unknown = NoPerformance()
    unknown.record_response(upstreams[0], 0.05, 1.0)
    assert unknown.get_factor(upstreams[0]) is None
