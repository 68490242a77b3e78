"""Failure domains stay out while a restored store may have lost that they are."""

import pytest

from chicoryproxy.forwarding.model import Revision
from chicoryproxy.forwarding.view.disableddomains import DisabledDomains
from chicoryproxy.ids import DomainId

DOMAIN = DomainId("shah-alam")
GRACE_S = 2.5


@pytest.fixture
def domains():
    """One domain that is out."""
    domains = DisabledDomains(GRACE_S)
    domains.take_out(DOMAIN)
    return domains


def test_a_domain_is_back_at_once_without_a_restore(domains):
    assert domains.bring_back(DOMAIN, Revision(2), 10.0)
    assert DOMAIN not in domains


def test_a_domain_that_a_restored_store_has_lost_stays_out_until_it_is_written_again(domains):
    domains.record_restore(10.0)
    assert not domains.bring_back(DOMAIN, Revision(2), 10.1)
    domains.take_out(DOMAIN)
    assert domains.pop_returned(10.0 + GRACE_S) == {}
    assert DOMAIN in domains


def test_a_domain_that_nobody_takes_out_again_is_back_after_the_grace_time(domains):
    domains.record_restore(10.0)
    domains.bring_back(DOMAIN, Revision(2), 10.1)
    assert domains.pop_returned(9.9 + GRACE_S) == {}
    assert DOMAIN in domains
    assert domains.pop_returned(10.0 + GRACE_S) == {DOMAIN: Revision(2)}
    assert DOMAIN not in domains
