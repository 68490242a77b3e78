"""Registrations wait until a version names their service."""

import pytest

from chicoryproxy.forwarding.model import Revision
from chicoryproxy.forwarding.view.unnamedservices import UnnamedServices
from tests.forwarding.harness import ARCHIVE, SERVICE, ForwarderHarness


@pytest.fixture
def entry():
    """The registration of an upstream."""
    return ForwarderHarness().publish_upstream("i-1").entry


def test_a_registration_is_returned_once_when_its_service_is_named(entry):
    services = UnnamedServices()
    services.hold(entry, Revision(3))
    assert services.pop_named([ARCHIVE]) == []
    assert services.pop_named([SERVICE]) == [(entry, Revision(3))]
    assert services.pop_named([SERVICE]) == []


def test_a_service_stays_named_when_a_later_version_leaves_it_out():
    services = UnnamedServices()
    services.pop_named([SERVICE])
    services.pop_named([ARCHIVE])
    assert services.is_named(SERVICE)


def test_a_discarded_registration_is_not_returned(entry):
    services = UnnamedServices()
    services.hold(entry, Revision(3))
    services.discard(entry.id)
    assert services.pop_named([SERVICE]) == []
