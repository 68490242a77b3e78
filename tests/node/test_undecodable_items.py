"""Items of the store that can't be decoded: the others hold, and the entry goes on following."""

import json

import pytest

from chicoryproxy.forwarding.model import RoutingUnreadable, UpstreamUnreadable
from chicoryproxy.node.storewatch import StoreWatch
from chicoryproxy.platform import records
from chicoryproxy.platform.store import StoreClient
from tests.node.fakestore import create_config, create_server_entry, run_until
from tests.node.test_storewatch import DOMAINS, Listener, Policy

ODD_ITEMS = (
    '{"Key": "servers/i-\\ud800", "Revision": 3, "Value": ""}',
    '{"Key": 5, "Revision": 3, "Value": ""}',
    '{"Revision": 3, "Value": ""}',
    '{"Key": "servers/i-3", "Revision": 3, "Value": null}',
    '{"Key": "servers/i-3", "Revision": 3, "Value": {"Service": "desk"}}',
    '{"Key": "servers/i-3", "Revision": 3, "Value": 1e999}',
    '{"Key": "servers/i-3", "Revision": 3, "Value": "\\udfff"}',
    '{"Key": "servers/i-3", "Revision": 3, "Value": "", "Deleted": "no"}',
    '{"Key": "servers/\udcff", "Revision": 3, "Value": ""}',
    "null",
    "[]",
)
ODD_VALUE = b'{"Odd": 1}'


class FactListener(Listener):
    """Records the facts, too."""

    def __init__(self):
        super().__init__()
        self.facts = {}

    def _keep(self, changes, revision):
        super()._keep(changes, revision)
        self.facts |= {change.key: change.fact for change in changes}


@pytest.fixture
def listener():
    """A listener without recorded results."""
    return FactListener()


@pytest.fixture
def watch(loop, store, listener):
    """A watch of the fake store that has not been started."""
    return StoreWatch(loop, StoreClient(loop, store.address, DOMAINS), listener, Policy())


@pytest.fixture
def errors(loop):
    """The unexpected errors that the loop has reported."""
    reported = []
    loop.on_error = reported.append
    return reported


@pytest.fixture
def failing_decoder(monkeypatch):
    """A decoder of values that fails unexpectedly for one of them."""
    decode = records.decode_json

    def fail(data, kind):
        if data == ODD_VALUE:
            raise MemoryError("odd")
        return decode(data, kind)

    monkeypatch.setattr(records, "decode_json", fail)


# CONFIG, LOST: a fault of the decoder that one value brings out, and that ends every read.
def test_an_unexpected_error_of_the_decoder_leaves_one_key_unread(
    loop, store, listener, watch, errors, failing_decoder
):
    store.put("servers/i-1", create_server_entry())
    store.put("servers/i-2", ODD_VALUE)
    watch.start()
    run_until(loop, lambda: listener.confirmations)
    store.put("servers/i-3", ODD_VALUE)
    store.put("op/config", create_config(3))
    run_until(loop, lambda: "routing" in listener.changes)
    unread = [key for key, fact in listener.facts.items() if isinstance(fact, UpstreamUnreadable)]
    assert unread == ["upstream/i-2", "upstream/i-3"]
    assert not listener.failures
    assert errors and all(isinstance(error, MemoryError) for error in errors)


# CONFIG: the same for the configuration, whose current version stays in force.
def test_an_unexpected_error_of_the_decoder_leaves_the_configuration_unread(
    loop, store, listener, watch, errors, failing_decoder
):
    store.put("servers/i-1", create_server_entry())
    store.put("op/config", ODD_VALUE)
    watch.start()
    run_until(loop, lambda: listener.confirmations)
    assert isinstance(listener.facts["routing"], RoutingUnreadable)
    assert "upstream/i-1" in listener.changes


# CONFIG, LOST: an item whose key or form can't be read, and that makes a whole answer unreadable.
@pytest.mark.parametrize("item", ODD_ITEMS)
def test_an_item_that_cannot_be_decoded_holds_up_no_other(loop, store, listener, watch, item):
    store.put("servers/i-1", create_server_entry())
    store.put("op/config", create_config(3))
    store.put("servers/odd", b"")
    loop.on_error = lambda error: None
    store.spell = lambda text: _replace_item(text, item)
    watch.start()
    run_until(loop, lambda: listener.confirmations)
    store.put("servers/i-2", create_server_entry())
    run_until(loop, lambda: "upstream/i-2" in listener.changes)
    assert {"routing", "upstream/i-1"} <= listener.changes.keys()
    assert not listener.failures


def _replace_item(text, item):
    """Encode a response with an item, which may be no UTF-8, in place of the odd one."""
    for part in json.loads(text).get("items", []) + json.loads(text).get("events", []):
        if part["Key"] == "servers/odd":
            text = text.replace(json.dumps(part), item)
    return text.encode("utf-8", "surrogateescape")
