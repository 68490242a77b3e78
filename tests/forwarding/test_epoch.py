"""Revisions rise across the epochs of the store, and contain both."""

import pytest

from chicoryproxy.forwarding.model import Revision
from chicoryproxy.forwarding.view.epoch import (
    EPOCH_SIZE,
    MAX_EPOCH,
    create_revision,
    get_epoch,
    get_number,
)


def test_a_later_epoch_is_newer_than_each_revision_of_the_former_one():
    assert create_revision(2, 1) > create_revision(1, EPOCH_SIZE - 1)


def test_both_parts_are_restored():
    revision = create_revision(MAX_EPOCH, 1012)
    assert (get_epoch(revision), get_number(revision)) == (MAX_EPOCH, 1012)
    assert revision < 2**63


def test_a_store_without_epochs_has_its_own_revisions():
    assert create_revision(0, 1012) == Revision(1012)


@pytest.mark.parametrize(
    ("epoch", "number"), [(-1, 1), (MAX_EPOCH + 1, 1), (1, EPOCH_SIZE), (1, -1)]
)
def test_parts_out_of_range_are_errors(epoch, number):
    with pytest.raises(ValueError, match="of the store is not between"):
        create_revision(epoch, number)
