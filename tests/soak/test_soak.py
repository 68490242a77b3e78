"""A short seeded soak; a seed that has found a fault is added to the list."""

import pytest

from tests.soak.run import run_soak

SECONDS = 6.0


@pytest.mark.parametrize("seed", [7])
def test_short_soak_has_no_violations(seed):
    assert run_soak(seed, SECONDS, entries=3, servers=6, callers=12) == []
