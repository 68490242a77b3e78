"""Of two lifetimes with one mark all entries choose the same owner."""

import pytest

from chicoryproxy.forwarding.model import Mark, UpstreamPhase
from chicoryproxy.forwarding.view import lifetime as lifetime_module
from chicoryproxy.forwarding.view.markowners import MarkOwners
from tests.forwarding.harness import ForwarderHarness

MARK = Mark(5)


@pytest.fixture
def lifetimes(monkeypatch):
    """Two lifetimes with the same mark, the one with the lesser identity first."""
    monkeypatch.setattr(lifetime_module, "compute_mark", lambda identity: MARK)
    return [ForwarderHarness().publish_upstream(name) for name in ("i-1", "i-2")]


@pytest.mark.parametrize("is_reversed", [False, True])
def test_the_lesser_identity_owns_the_mark_in_any_order(lifetimes, is_reversed):
    owners = MarkOwners()
    first, second = reversed(lifetimes) if is_reversed else lifetimes
    assert owners.claim(first) is None
    assert owners.claim(second) == tuple(lifetimes)
    assert owners.find(MARK) is lifetimes[0]
    assert [lifetime.is_mark_taken for lifetime in lifetimes] == [False, True]


def test_the_other_lifetime_gets_the_mark_of_an_ended_one(lifetimes):
    owners = MarkOwners()
    for lifetime in lifetimes:
        owners.claim(lifetime)
    lifetimes[0].phase = UpstreamPhase.GONE
    owners.pass_on(lifetimes[0], lifetimes)
    assert owners.find(MARK) is lifetimes[1]
    owners.discard(lifetimes[0])
    assert owners.find(MARK) is lifetimes[1]
    owners.discard(lifetimes[1])
    assert owners.find(MARK) is None
