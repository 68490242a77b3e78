"""Tests of the ramp-up after a cold start."""

import pytest

from chicoryproxy.model import Capacity, WarmUp
from chicoryproxy.routing.ramp import create_evidence_ramp

WARM_UP = WarmUp(cold_openings=2.0, full_openings=200.0, duration_s=30.0)
CAPACITY = Capacity(slots=2, connections=2000)


@pytest.fixture
def ramp():
    return create_evidence_ramp(WARM_UP, CAPACITY)


def warm(ramp, use, now=0.0, limit_s=1000.0):
    """Record answers to a share of the allowed openings each second until the ramp is complete.

    Returns the time of completion, or of giving up after ``limit_s``.
    """
    start = now
    while not ramp.is_complete and now < start + limit_s:
        now += 1.0
        ramp.record_openings(max(1, int(ramp.level * use)), 0, 0, now)
    return now


def test_it_starts_at_the_cold_level_and_time_alone_never_raises_it(ramp):
    assert ramp.level == 2.0
    ramp.record_openings(0, 0, 0, 3600.0)
    assert ramp.level == 2.0


def test_full_use_reaches_the_full_level_but_not_before_the_duration(ramp):
    assert warm(ramp, use=1.0) >= WARM_UP.duration_s
    assert ramp.is_complete
    assert ramp.level == 200.0


def test_low_demand_takes_longer(ramp):
    quick = warm(create_evidence_ramp(WARM_UP, CAPACITY), use=1.0)
    assert warm(ramp, use=0.1) > quick
    assert ramp.is_complete


def test_a_reset_returns_to_the_cold_level_immediately(ramp):
    now = warm(ramp, use=1.0)
    ramp.reset_level(now)
    assert ramp.level == 2.0
    assert not ramp.is_complete
    assert warm(ramp, use=1.0, now=now) >= now + WARM_UP.duration_s


@pytest.mark.parametrize("failure", ["refused", "lost"])
def test_failures_decrease_the_level(ramp, failure):
    now = warm(ramp, use=1.0, limit_s=10.0)
    before = ramp.level
    ramp.record_openings(**{"answered": 0, "refused": 0, "lost": 0, failure: 20}, now=now)
    assert 2.0 <= ramp.level < before


def test_a_saturated_reading_holds_the_level_unless_much_evidence_overrides_it(ramp):
    ramp.record_load(2, 10, 1.9)
    ramp.record_openings(3, 0, 0, 2.0)
    assert ramp.level == 2.0
    ramp.record_openings(40, 0, 0, 2.1)
    assert ramp.level > 2.0


def test_an_unknown_load_reading_has_no_effect(ramp):
    ramp.record_load(-1, -1, 1.9)
    ramp.record_openings(10, 0, 0, 2.0)
    assert ramp.level > 2.0


def test_equal_cold_and_full_rates_give_a_single_level():
    ramp = create_evidence_ramp(WarmUp(5.0, 5.0, 10.0), CAPACITY)
    assert ramp.level == 5.0
    assert warm(ramp, use=1.0) >= 10.0
    assert ramp.level == 5.0
