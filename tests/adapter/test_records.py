"""Decoding of the store's values; a malformed value doesn't become an upstream."""

import json

import pytest

from chicoryproxy.forwarding.model import (
    DomainBack,
    DomainOut,
    Revision,
    RouteKey,
    RoutingPublished,
    RoutingUnreadable,
    UpstreamListed,
    UpstreamUnlisted,
    UpstreamUnreadable,
)
from chicoryproxy.ids import DomainId
from chicoryproxy.model import Endpoint
from chicoryproxy.platform.records import MAX_PRIORITY, decode_item
from tests.node.fakestore import create_config, create_server_entry

DOMAINS = {DomainId("shah-alam")}
KEY = "servers/i-7f3a91c2"


def decode(key, value):
    """Decode a value and return the resulting fact.

    :param value: bytes, an object to encode as JSON, or ``None`` for a deleted key.
    """
    data = value if value is None or isinstance(value, bytes) else json.dumps(value).encode()
    change = decode_item(key, data, Revision(3), DOMAINS)
    return change.fact if change else None


def test_a_server_becomes_an_upstream():
    fact = decode(KEY, create_server_entry(ColdRemainingMs=1500))
    assert isinstance(fact, UpstreamListed)
    entry = fact.entry
    assert entry.number == 0x7F3A91C2
    assert entry.address == Endpoint("10.128.0.9", 8080)
    assert entry.cold_remaining_s == 1.5
    assert entry.started_ms == 1_764_800_000_000
    assert not entry.is_draining


def test_a_draining_server_is_marked_as_draining():
    assert decode(KEY, create_server_entry(State="draining")).entry.is_draining


def test_a_deleted_server_is_unlisted():
    assert isinstance(decode(KEY, None), UpstreamUnlisted)


@pytest.mark.parametrize(
    "value",
    [
        b"\xff\x00",
        b"",
        b'{"Note": ' + b"[" * 4000,
        [],
        {},
        create_server_entry(State="sleeping"),
        create_server_entry(zone="nowhere"),
        create_server_entry(Address="host:80"),
        create_server_entry(Address="10.0.0.1"),
        create_server_entry(Address="10.0.0.1:99999"),
        create_server_entry(Concurrency="2"),
        create_server_entry(Concurrency=0),
        create_server_entry(ColdRemainingMs=-1),
        create_server_entry(born="yesterday"),
        create_server_entry(Sequence=None),
    ],
)
def test_a_malformed_entry_is_unreadable(value):
    fact = decode(KEY, value)
    assert isinstance(fact, UpstreamUnreadable)
    assert fact.reason


# FLOW: an entry of another writer without a version, at the address of a living server, counted as
# its successor; the open flows of the server were reset.
@pytest.mark.parametrize("name", sorted(create_server_entry().keys() - {"born"}))
@pytest.mark.parametrize("value", ["absent", None, []])
def test_an_entry_without_one_of_its_fields_is_unreadable(name, value):
    entry = create_server_entry()
    if value == "absent":
        del entry[name]
    else:
        entry[name] = value
    fact = decode(KEY, entry)
    assert isinstance(fact, UpstreamUnreadable)
    assert name in fact.reason


def test_an_id_without_a_number_is_unreadable():
    assert isinstance(decode("servers/zzz", create_server_entry()), UpstreamUnreadable)
    assert isinstance(decode("servers/i-" + "f" * 17, create_server_entry()), UpstreamUnreadable)


def test_a_configuration_becomes_routes():
    fact = decode("op/config", create_config(7, port=8443))
    assert isinstance(fact, RoutingPublished)
    (route,) = fact.routing.routes
    assert route.key == RouteKey(0xC6120001, 8443)
    assert fact.routing.version == 7
    assert fact.routing.idle_timeout_s == 15.0


def test_a_split_becomes_weighted_services():
    config = create_config(7)
    del config["Routes"][0]["Service"]
    config["Routes"][0]["TrafficSplit"] = [
        {"Service": "a", "Weight": 90},
        {"Service": "b", "Weight": 10},
    ]
    (route,) = decode("op/config", config).routing.routes
    assert [(target.service, target.weight) for target in route.targets] == [("a", 90), ("b", 10)]


def test_the_priority_and_latency_target_of_a_route_are_decoded():
    config = create_config(7)
    config["Routes"][0] |= {"Priority": 2, "TargetLatencyMs": 605}
    (route,) = decode("op/config", config).routing.routes
    assert (route.priority, route.latency_target_s) == (2, 0.605)


def test_a_route_without_priority_has_the_highest_and_no_latency_target():
    config = create_config(7)
    del config["Routes"][0]["Priority"]
    (route,) = decode("op/config", config).routing.routes
    assert (route.priority, route.latency_target_s) == (0, 0.0)


@pytest.mark.parametrize("name", ["Priority", "TargetLatencyMs"])
@pytest.mark.parametrize("value", ["2", None, -1, True, []])
def test_a_priority_or_latency_target_of_a_wrong_type_makes_the_version_unreadable(name, value):
    config = create_config(7)
    config["Routes"][0][name] = value
    fact = decode("op/config", config)
    assert isinstance(fact, RoutingUnreadable)
    assert f"$.Routes[0].{name}" in fact.reason


@pytest.mark.parametrize("value", [MAX_PRIORITY + 1, 2**63, 2**64])
def test_a_priority_that_is_out_of_range_makes_the_version_unreadable(value):
    """A store that publishes more than a message between entries can hold."""
    config = create_config(7)
    config["Routes"][0]["Priority"] = value
    fact = decode("op/config", config)
    assert isinstance(fact, RoutingUnreadable)
    assert "$.Routes[0].Priority" in fact.reason


def test_an_invalid_configuration_names_the_value():
    config = create_config(7)
    config["Routes"][0]["Prefix"] = "/door/"
    fact = decode("op/config", config)
    assert isinstance(fact, RoutingUnreadable)
    assert "/door/" in fact.reason


def test_an_evacuation_takes_a_domain_out_and_its_end_brings_it_back():
    assert decode("op/evacuate/shah-alam", {}) == DomainOut(DomainId("shah-alam"))
    assert decode("op/evacuate/shah-alam", None) == DomainBack(DomainId("shah-alam"))


def test_other_keys_are_ignored():
    assert decode("op/other", {}) is None
    assert decode("op/config", None) is None
