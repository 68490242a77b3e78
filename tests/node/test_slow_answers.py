"""The view of an entry whose answers of the store take seconds to arrive."""

from tests.node import test_view
from tests.node.fakestore import create_config, run_until
from tests.node.oddentries import VALUE_BYTES
from tests.node.throttle import SlowLink

SLOWEST_MBPS = 5.0
SLACK_S = 1.0

view = test_view.view


# CONFIG, DRAIN: a view counts as current since the end of an answer that took seconds, although
# the store made it before they began.
def test_an_answer_confirms_the_view_as_of_its_beginning(loop, store, view):
    link = SlowLink(loop, store.address, SLOWEST_MBPS)
    view.client.set_store(link.address)
    store.put("op/config", create_config(3))
    view.start()
    run_until(loop, lambda: view.is_complete)
    known = view.replica.synced
    replies_s = []
    store.on_reply = lambda: replies_s.append(loop.read_clock())
    store.put("servers/x-1", b"[" * VALUE_BYTES)
    run_until(loop, lambda: view.replica.synced > known)
    assert view.peers.confirmed_s < replies_s[-1] + SLACK_S
    assert loop.read_clock() - replies_s[-1] > 2.0
