"""Byte offsets that wrap around at 32 bits."""

import pytest

from chicoryproxy.forwarding.sequence import (
    add_to_sequence,
    compute_distance,
    is_same_flow,
    is_sequence_after,
)

LAST = (1 << 32) - 1


@pytest.mark.parametrize(
    ("offset", "other", "is_after"),
    [(1, 0, True), (0, 1, False), (5, 5, False), (3, LAST, True), (LAST, 3, False)],
)
def test_order_of_offsets_holds_over_the_wraparound(offset, other, is_after):
    assert is_sequence_after(offset, other) is is_after


def test_distance_undoes_an_addition_over_the_wraparound():
    assert compute_distance(LAST, add_to_sequence(LAST, 1200)) == 1200


def test_offsets_of_one_flow_are_near_each_other_also_over_the_wraparound():
    assert is_same_flow(LAST, 10)
    assert is_same_flow(10, LAST)
    assert not is_same_flow(0, 1 << 30)
