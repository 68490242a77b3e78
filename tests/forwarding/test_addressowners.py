"""Lifetimes by address."""

from chicoryproxy.forwarding.view.addressowners import AddressOwners
from chicoryproxy.model import Endpoint

ADDRESS = Endpoint("10.1.0.9", 8000)


def test_lifetimes_with_one_address_are_listed_for_each_other(harness):
    owners = AddressOwners()
    first = harness.publish_upstream("i-1", address=ADDRESS, started_ms=1)
    second = harness.publish_upstream("i-2", address=ADDRESS, started_ms=2)
    elsewhere = harness.publish_upstream("i-3")
    for lifetime in (first, second, elsewhere):
        owners.add(lifetime)
    assert owners.list_others(second) == (first,)
    assert owners.list_others(elsewhere) == ()
    owners.discard(first)
    assert owners.list_others(second) == ()
    owners.discard(second)
    assert owners.list_others(first) == ()
