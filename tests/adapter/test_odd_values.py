"""Values of other writers among those of the servers: what an entry keeps and does of them."""

import json

import pytest

from chicoryproxy.forwarding.model import Revision, UpstreamPhase, UpstreamUnreadable
from chicoryproxy.forwarding.peers.peermessages import ChangesReply, encode_message
from chicoryproxy.forwarding.view.replica import Replica
from chicoryproxy.platform.records import decode_item
from tests.forwarding.harness import OWN_DOMAIN, SERVICE, ForwarderHarness
from tests.node.fakestore import create_server_entry
from tests.node.oddentries import (
    HUGE_NUMBERS,
    KEY_BYTES,
    NUMBER_FIELDS,
    ODD_HOSTS,
    ODD_PORTS,
    list_large_values,
    list_small_values,
    write_field,
)

DOMAINS = (OWN_DOMAIN,)
LONGEST_KEY = "servers/i-" + "f" * (KEY_BYTES - len("servers/i-"))
KEYS = ("servers/i-7f", LONGEST_KEY, "op/config")

CHANGE_BYTES = 1_250
"""500 changes, as many as a page of the store has, pass a link of 5 Mbit/s in the second that a
reply to a peer may take."""

LONGEST_COLD_S = 60.0
"""Beyond ``ColdStartS`` of each site."""


def decode(key, value):
    """Decode a value of the store."""
    return decode_item(key, value, Revision(2), DOMAINS)


# LOST: large values that each entry keeps, and that peers wait for longer than for any reply.
@pytest.mark.parametrize("key", KEYS)
def test_an_odd_value_takes_little_room_in_messages(key):
    for value in [*list_small_values(zone=OWN_DOMAIN), *list_large_values(zone=OWN_DOMAIN)]:
        message = ChangesReply((decode(key, value),), Revision(2), 0.0, None)
        assert len(encode_message(message)) <= CHANGE_BYTES


# LOST: an odd value that is decoded, but fails when it is applied.
def test_an_odd_value_is_applied():
    for value in [*list_small_values(zone=OWN_DOMAIN), *list_large_values(zone=OWN_DOMAIN)]:
        harness = ForwarderHarness()
        harness.publish_upstream("i-7f")
        harness.publish_routing(1)
        change = decode("servers/i-7f", value)
        assert Replica().merge(change)
        harness.directory.apply(change, harness.now)


# LOST: an upstream whose address takes a name lookup or means another host, so that openings to it
# are lost or run elsewhere, and its probes fail without a result.
@pytest.mark.parametrize(
    "address",
    [
        *(f"{host}:8080" for host in ODD_HOSTS if host != "127.0.0.1"),
        *(f"10.128.0.9:{port}" for port in ODD_PORTS),
    ],
)
def test_an_odd_address_names_no_server(address):
    value = write_field("Address", json.dumps(address), zone=OWN_DOMAIN)
    assert isinstance(decode("servers/i-7f", value).fact, UpstreamUnreadable)


# LOST, DRAIN: too large a number under the id of a server, which its own entries can never undo.
@pytest.mark.parametrize("text", HUGE_NUMBERS)
@pytest.mark.parametrize("field", NUMBER_FIELDS)
def test_a_number_that_is_too_large_is_forgotten_with_the_next_registration(field, text):
    harness = ForwarderHarness()
    harness.publish_routing(1)
    own = {"zone": OWN_DOMAIN, "service": SERVICE}
    published = [
        json.dumps(create_server_entry(**own, Sequence=4)).encode(),
        write_field(field, text, **own),
        json.dumps(create_server_entry(**own, Sequence=5)).encode(),
    ]
    for number, value in enumerate(published):
        change = decode_item("servers/i-7f", value, Revision(10 + number), DOMAINS)
        harness.directory.apply(change, harness.now)
    upstream = harness.directory.find_present("i-7f")
    assert upstream.phase is UpstreamPhase.SERVING
    assert (upstream.entry.sequence, upstream.entry.slots) == (5, 2)
    assert not upstream.is_cold(harness.now + LONGEST_COLD_S)
