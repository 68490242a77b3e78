"""Short seeded soaks of versions that the watches and stale listings of the store don't bring.

Each kind of fault has its own case, since each has its own cause.
"""

import pytest

from tests.soak.run import run_soak

SECONDS = 7.0


# CONFIG: openings that only an older version allows were run at all entries, later than the bound.
@pytest.mark.parametrize(
    ("fault", "seed"),
    [
        ("silence_watches", 2),
        ("silence_watches_past_changes", 2),
        ("hang_silent_watches", 1),
        ("list_old_copy", 1),
    ],
)
def test_versions_that_reads_of_the_store_do_not_show_are_in_force_in_time(fault, seed):
    assert run_soak(seed, SECONDS, entries=4, servers=6, callers=12, faults=(fault,)) == []
