"""Large answers of the store hold up no reader, also on the slowest link."""

import pytest

from chicoryproxy.node.storewatch import StoreWatch
from chicoryproxy.platform import store as store_module
from chicoryproxy.platform.store import LIST_TIMEOUT_S, ReadFailure, StoreClient
from tests.node.fakestore import create_config, create_server_entry, run_until
from tests.node.oddentries import VALUE_BYTES
from tests.node.test_storewatch import DOMAINS, Listener, Policy
from tests.node.throttle import SlowLink

SLOWEST_MBPS = 5.0
LARGE = b"[" * VALUE_BYTES

TRANSFER_S = VALUE_BYTES * 4 / 3 * 8 / (SLOWEST_MBPS * 1e6)
"""Time that the largest value takes on the slowest link, in base64."""

SLACK_S = 1.0


@pytest.fixture
def listener():
    """A listener without recorded results."""
    return Listener()


@pytest.fixture
def link(loop, store):
    """The slowest link to the store."""
    return SlowLink(loop, store.address, SLOWEST_MBPS)


@pytest.fixture
def watch(loop, link, listener):
    """A watch of the fake store over the link, which has not been started."""
    return StoreWatch(loop, StoreClient(loop, link.address, DOMAINS), listener, Policy())


# LOST: an entry that never becomes ready, since a page takes longer than a listing may.
def test_a_large_value_is_listed_over_the_slowest_link(loop, store, listener, watch):
    store.put("op/config", create_config(3))
    store.put("servers/x-1", LARGE)
    watch.start()
    run_until(loop, lambda: listener.confirmations, TRANSFER_S + SLACK_S)
    assert set(listener.changes) == {"routing", "upstream/x-1"}
    assert not listener.failures


# CONFIG: a watch that times out again and again with the same large value.
def test_a_large_value_is_watched_over_the_slowest_link(loop, store, listener, watch):
    store.put("servers/i-1", create_server_entry())
    watch.start()
    run_until(loop, lambda: listener.confirmations)
    store.put("servers/x-1", LARGE)
    store.put("op/config", create_config(3))
    run_until(loop, lambda: "routing" in listener.changes, TRANSFER_S + SLACK_S)
    assert not listener.failures


# CONFIG: a link that is cut in the middle of an answer, and a reader that waits on.
def test_an_answer_that_falls_silent_midway_times_out(loop, store, link, listener, watch):
    store.put("servers/x-1", LARGE)
    watch.start()
    run_until(loop, lambda: link.passed_bytes > VALUE_BYTES / 2)
    link.mbps = 0.0
    run_until(loop, lambda: listener.failures, LIST_TIMEOUT_S + SLACK_S)
    assert listener.failures == [ReadFailure.TIMEOUT]


# CONFIG: an answer that trickles for ever, so that no newer one is asked for.
def test_an_answer_that_trickles_times_out(loop, store, link, listener, watch, monkeypatch):
    monkeypatch.setattr(store_module, "TRANSFER_TIMEOUT_S", 1.0)
    store.put("servers/x-1", LARGE)
    link.mbps = 0.1
    watch.start()
    run_until(loop, lambda: listener.failures, LIST_TIMEOUT_S + SLACK_S)
    assert listener.failures == [ReadFailure.TIMEOUT]


# LOST: many large values in one answer, which use up the memory.
def test_many_large_values_are_listed_page_by_page(loop, store, listener):
    watch = StoreWatch(loop, StoreClient(loop, store.address, DOMAINS), listener, Policy())
    store.put("servers/i-1", create_server_entry())
    watch.start()
    run_until(loop, lambda: listener.confirmations)
    for number in range(4):
        store.put(f"servers/x-{number}", LARGE)
    run_until(loop, lambda: len(listener.changes) == 5)
    assert listener.failures == [ReadFailure.TOO_LARGE]
    store.put("op/config", create_config(3))
    run_until(loop, lambda: "routing" in listener.changes)
