"""Malformed input from callers, peers, the store, upstreams and the settings file.

Nothing that arrives from outside may raise an error other than the documented ones.
"""

import json
import socket

import msgspec
import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from chicoryproxy.errors import SettingsError
from chicoryproxy.forwarding.model import (
    Change,
    Revision,
    RoutingUnreadable,
    UpstreamListed,
    UpstreamUnreadable,
)
from chicoryproxy.forwarding.packet import CallerPacket
from chicoryproxy.forwarding.peers.peermessages import (
    ChangesReply,
    Heartbeat,
    PeerAddress,
    decode_message,
    encode_message,
)
from chicoryproxy.forwarding.view.replica import Replica
from chicoryproxy.platform.header import HEADER_BYTES, read_packet, read_request_id
from chicoryproxy.platform.health import IDENTITY_HEADER, read_identity
from chicoryproxy.platform.records import CONFIG_KEY, EVACUATE_PREFIX, SERVERS_PREFIX, decode_item
from chicoryproxy.platform.settings import read_settings
from tests.forwarding.harness import OWN_DOMAIN, ForwarderHarness

DOMAINS = (OWN_DOMAIN,)
EXAMPLES = 300
NESTED_TOO_DEEPLY = b'{"Note": ' + b"[" * 10_000
KEYS = st.sampled_from(
    [SERVERS_PREFIX, SERVERS_PREFIX + "s-1f", CONFIG_KEY, EVACUATE_PREFIX, "other", ""]
) | st.builds(str.__add__, st.sampled_from([SERVERS_PREFIX, EVACUATE_PREFIX]), st.text(max_size=60))
SERVER = {
    "Service": "qa-desk",
    "Address": "10.1.0.9:8000",
    "Zone": OWN_DOMAIN,
    "Version": "v1",
    "Concurrency": 2,
    "State": "ready",
    "ColdRemainingMs": 0,
    "Sequence": 1,
}
CONFIG = {
    "Version": 3,
    "Routes": [
        {
            "Name": "r",
            "Hostname": "198.18.0.1",
            "Prefix": "/443/",
            "Service": "qa-desk",
            "Priority": 1,
            "TargetLatencyMs": 605,
        }
    ],
    "Services": [{"Name": "qa-desk", "ColdStartS": 2.0, "ColdPerS": 4.0}],
    "Limits": {"IdleTimeoutMs": 15000},
}
NUMBER_TEXTS = st.sampled_from(["9" * 400, "9" * 5_000, "1e999", "1e300", "-1e300", "1e-400"])
DIGITS = st.text(st.characters(categories=["Nd"]), max_size=6)
HOSTS = st.lists(DIGITS, min_size=4, max_size=4).map(".".join) | st.ip_addresses(v=4).map(str)
ADDRESSES = st.builds("{}:{}".format, HOSTS, DIGITS | st.integers(-1, 70_000))
JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.integers(2**63, 2**65)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=8),
    lambda items: st.lists(items, max_size=3) | st.dictionaries(st.text(max_size=8), items),
    max_leaves=6,
)


@pytest.fixture(scope="module")
def harness():
    """A forwarder with one upstream."""
    created = ForwarderHarness()
    created.publish_routing(1)
    created.publish_upstream("s-1f")
    return created


@given(data=st.binary(max_size=HEADER_BYTES + 40))
@settings(max_examples=EXAMPLES, deadline=None, derandomize=True)
def test_any_datagram_is_decoded_or_dropped(data, harness):
    packet = read_packet(data)
    assert packet is None or isinstance(packet, CallerPacket)
    if packet is not None:
        harness.forwarder.handle(packet, harness.now)
        read_request_id(data)


@given(data=st.binary(max_size=200))
@settings(max_examples=EXAMPLES, deadline=None, derandomize=True)
def test_any_message_of_a_peer_is_decoded_or_ignored(data):
    decode_message(data)
    decode_message(b"\x78" + data)


@pytest.mark.parametrize("prefix", [b"", b"\x9f\xa9heartbeat", b"\x95\xa7changes"])
def test_a_message_that_is_nested_too_deeply_is_ignored(prefix):
    assert decode_message(prefix + b"\x91" * 10_000) is None


@pytest.mark.parametrize("key", [SERVERS_PREFIX + "s-1f", CONFIG_KEY])
def test_a_value_that_is_nested_too_deeply_is_unreadable(key):
    change = decode_item(key, NESTED_TOO_DEEPLY, Revision(1), DOMAINS)
    assert isinstance(change.fact, UpstreamUnreadable | RoutingUnreadable)
    assert change.fact.reason == "nested too deeply"


@given(position=st.integers(0, 400), byte=st.integers(0, 255))
@settings(max_examples=EXAMPLES, deadline=None, derandomize=True)
def test_a_damaged_heartbeat_is_decoded_or_ignored(position, byte, harness):
    heartbeat = Heartbeat(PeerAddress(7, 0), Revision(3), 0.1, False, (), (), ())
    data = bytearray(encode_message(heartbeat))
    data[position % len(data)] = byte
    message = decode_message(bytes(data))
    if isinstance(message, Heartbeat):
        harness.forwarder.flows.peer_loads.handle_heartbeat(message, harness.now)


@given(key=KEYS, value=st.binary(max_size=60) | JSON.map(lambda item: json.dumps(item).encode()))
@settings(max_examples=EXAMPLES, deadline=None, derandomize=True)
def test_any_value_of_the_store_is_decoded_or_reported_as_unreadable(key, value):
    change = decode_item(key, value, Revision(1), DOMAINS)
    assert change is None or isinstance(change, Change)


@given(field=st.sampled_from(sorted(SERVER)), value=JSON)
@settings(max_examples=EXAMPLES, deadline=None, derandomize=True)
def test_a_registration_with_one_wrong_field_is_applied_or_reported(field, value):
    data = json.dumps({**SERVER, field: value}).encode()
    apply(decode_item(SERVERS_PREFIX + "s-1f", data, Revision(2), DOMAINS))


@given(field=st.sampled_from(sorted({**SERVER, "born": 0})), text=NUMBER_TEXTS)
@settings(max_examples=EXAMPLES, deadline=None, derandomize=True)
def test_a_registration_with_an_extreme_number_is_applied_or_reported(field, text):
    others = {name: value for name, value in SERVER.items() if name != field}
    data = json.dumps(others)[:-1] + f', "{field}": {text}}}'
    apply(decode_item(SERVERS_PREFIX + "s-1f", data.encode(), Revision(2), DOMAINS))


@given(address=ADDRESSES)
@settings(max_examples=EXAMPLES, deadline=None, derandomize=True)
def test_an_address_is_read_as_a_socket_reads_it_or_not_at_all(address):
    data = json.dumps({**SERVER, "Address": address}).encode()
    fact = decode_item(SERVERS_PREFIX + "s-1f", data, Revision(2), DOMAINS).fact
    if isinstance(fact, UpstreamListed):
        host = fact.entry.address.host
        assert socket.inet_ntoa(socket.inet_aton(host)) == host
        assert f"{host}:{fact.entry.address.port}" in (address, _strip_zeros(address))


@given(field=st.sampled_from(["Service", "State", "Address", "Zone"]), text=st.text(), key=KEYS)
@settings(max_examples=EXAMPLES, deadline=None, derandomize=True)
def test_a_value_is_logged_and_passed_on_whatever_its_text_and_key(field, text, key):
    data = json.dumps({**SERVER, field: text}).encode()
    change = decode_item(key, data, Revision(2), DOMAINS)
    apply(change)
    if change is not None:
        msgspec.json.encode(msgspec.to_builtins(change))


@given(field=st.sampled_from(sorted(CONFIG)), value=JSON)
@settings(max_examples=EXAMPLES, deadline=None, derandomize=True)
def test_a_configuration_with_one_wrong_field_is_applied_or_reported(field, value):
    data = json.dumps({**CONFIG, field: value}).encode()
    apply(decode_item(CONFIG_KEY, data, Revision(2), DOMAINS))


@given(field=st.sampled_from(sorted(CONFIG["Routes"][0])), value=JSON)
@settings(max_examples=EXAMPLES, deadline=None, derandomize=True)
def test_a_route_with_one_wrong_field_is_applied_or_reported(field, value):
    route = {**CONFIG["Routes"][0], field: value}
    data = json.dumps({**CONFIG, "Routes": [route]}).encode()
    apply(decode_item(CONFIG_KEY, data, Revision(2), DOMAINS))


@given(value=st.binary(max_size=60))
@settings(max_examples=EXAMPLES, deadline=None, derandomize=True)
def test_any_answer_to_a_health_check_is_read(value):
    read_identity({IDENTITY_HEADER: value})


@given(data=st.binary(max_size=60) | JSON.map(lambda item: json.dumps(item).encode()))
@example(data=NESTED_TOO_DEEPLY)
@settings(max_examples=EXAMPLES, deadline=None, derandomize=True)
def test_an_invalid_settings_file_is_a_settings_error(data, tmp_path_factory):
    path = tmp_path_factory.getbasetemp() / "node.json"
    path.write_bytes(data)
    with pytest.raises(SettingsError):
        read_settings(str(path))


def _strip_zeros(address):
    """Remove the leading zeros of the port, which change nothing."""
    host, _, port = address.rpartition(":")
    return f"{host}:{port.lstrip('0')}"


def apply(change):
    """Merge, apply and pass on a change, as an entry does with what the store answers."""
    harness = ForwarderHarness()
    harness.publish_upstream("s-1f")
    harness.publish_routing(1)
    if change is not None and Replica().merge(change, False):
        harness.directory.apply(change, harness.now)
        reply = ChangesReply((change,), change.revision, 0.0, None)
        assert decode_message(encode_message(reply)) == reply
