"""StoreWatch keeps the view current through stale reads, compaction, rejections and timeouts."""

import pytest

from chicoryproxy.forwarding.model import NO_REVISION
from chicoryproxy.ids import DomainId
from chicoryproxy.node.storewatch import IDLE_POLL_S, StoreListener, StoreWatch
from chicoryproxy.platform import store as store_module
from chicoryproxy.platform.store import ReadFailure, StoreClient
from tests.node.fakestore import create_config, create_server_entry, run_until

DOMAINS = {DomainId("shah-alam")}
NESTED_TOO_DEEPLY = b'{"Note": ' + b"[" * 4000


class Policy:
    """A policy with a short wait.

    :ivar is_reader: whether the store is read.
    :ivar is_view_urgent: whether a read is urgent.
    :ivar wait_s: maximum wait of a watch, in seconds.
    :ivar proof_interval_s: interval at which watches are checked, in seconds.
    """

    def __init__(self):
        self.is_reader = True
        self.is_view_urgent = False
        self.wait_s = 0.2
        self.proof_interval_s = 0.5

    def is_urgent(self, now):
        """Return whether a read is urgent."""
        return self.is_view_urgent

    def should_read(self, now):
        """Return whether this is a reader."""
        return self.is_reader

    def get_max_wait_s(self, now):
        """Return the wait."""
        return self.wait_s

    def get_proof_interval_s(self):
        """Return the interval."""
        return self.proof_interval_s


class Listener(StoreListener):
    """Records the results of reads."""

    def __init__(self):
        self.changes = {}
        self.failures = []
        self.missed = []
        self.confirmations = 0
        self.synced = NO_REVISION

    def handle_listing(self, listing):
        """Record a listing."""
        self._keep(listing.changes, listing.revision)

    def handle_changes(self, changes, revision):
        """Record changes."""
        self.confirmations += 1
        self._keep(changes, revision)

    def handle_failure(self, failure):
        """Record a failure."""
        self.failures.append(failure)

    def handle_missed_changes(self, changes, newest):
        """Record that changes are missing, and those that came."""
        self.missed.append((self.synced, newest))
        self._keep(changes, self.synced)

    def get_synced_revision(self):
        """Return the highest recorded revision."""
        return self.synced

    def _keep(self, changes, revision):
        for change in changes:
            if change.key not in self.changes or self.changes[change.key] < change.revision:
                self.changes[change.key] = change.revision
        self.synced = max(self.synced, revision)


@pytest.fixture
def listener():
    """A listener without recorded results."""
    return Listener()


@pytest.fixture
def policy():
    """A policy that reads the store."""
    return Policy()


@pytest.fixture
def watch(loop, store, listener, policy):
    """A watch of the fake store that has not been started."""
    client = StoreClient(loop, store.address, DOMAINS)
    return StoreWatch(loop, client, listener, policy)


@pytest.fixture
def following(loop, store, listener, watch):
    """The watch after it has read a store with version 3, which it follows."""
    store.put("op/config", create_config(3))
    watch.start()
    run_until(loop, lambda: listener.confirmations)
    return watch


def test_all_pages_are_read_and_changes_follow(loop, store, listener, watch):
    store.page_size = 3
    for number in range(8):
        store.put(f"servers/i-{number:04x}", create_server_entry())
    watch.start()
    run_until(loop, lambda: len(listener.changes) == 8)
    store.put("op/config", create_config(3))
    run_until(loop, lambda: "routing" in listener.changes)
    assert not listener.failures


def test_the_first_listing_has_all_changes(loop, store, listener, watch):
    store.put("op/config", create_config(3))
    store.stale_revision = store.revision
    store.put("servers/i-1", create_server_entry())
    watch.start()
    run_until(loop, lambda: listener.changes)
    assert set(listener.changes) == {"routing", "upstream/i-1"}
    assert "AllowStale" not in store.calls[0]


def test_a_listing_of_one_page_confirms_the_view(loop, store, listener, watch):
    store.put("op/config", create_config(3))
    watch.start()
    run_until(loop, lambda: len(store.calls) == 2)
    assert listener.confirmations
    assert "WaitMs=200" in store.calls[1]


def test_a_listing_of_several_pages_is_confirmed_by_another_read(loop, store, listener, watch):
    """A change between two pages may be missing."""
    store.page_size = 1
    store.put("op/config", create_config(3))
    store.put("servers/i-1", create_server_entry())
    answers = iter([lambda: store.put("op/config", create_config(4))])
    store.on_reply = lambda: next(answers, lambda: None)()
    watch.start()
    run_until(loop, lambda: listener.confirmations)
    assert listener.changes["routing"] == store.revision


def test_an_entry_that_a_peer_gave_the_view_leaves_listings_to_others(loop, store, listener, watch):
    """When all entries start at once, their listings exceed what the store answers."""
    store.put("op/config", create_config(3))
    store.status = 429
    watch.start()
    run_until(loop, lambda: ReadFailure.BUSY in listener.failures)
    listener.synced = store.revision
    store.status = None
    store.calls.clear()
    store.put("op/config", create_config(4))
    run_until(loop, lambda: listener.synced == store.revision)
    assert "/-/kv-range?Prefix=" not in store.calls


def test_a_listing_after_a_lost_history_is_never_stale(loop, store, listener, watch):
    """After compaction, a watch from a stale listing could start before the history and get 410."""
    store.put("op/config", create_config(3))
    store.stale_revision = store.revision
    watch.start()
    run_until(loop, lambda: listener.confirmations)
    store.is_silent = True
    store.put("servers/i-1", create_server_entry())
    store.drop_history()
    store.is_silent = False
    run_until(loop, lambda: "upstream/i-1" in listener.changes)
    assert ReadFailure.HISTORY_LOST in listener.failures


def test_a_history_that_is_lost_before_the_first_watch_leads_to_a_fresh_listing(
    loop, store, listener, watch
):
    store.put("op/config", create_config(3))
    store.stale_revision = store.revision
    store.put("servers/i-1", create_server_entry())
    store.drop_history()
    watch.start()
    run_until(loop, lambda: listener.confirmations)
    assert "upstream/i-1" in listener.changes


@pytest.mark.parametrize(
    ("status", "failure"), [(503, ReadFailure.UNAVAILABLE), (429, ReadFailure.BUSY)]
)
def test_rejected_calls_are_retried(loop, store, listener, watch, status, failure):
    store.put("op/config", create_config(3))
    store.status = status
    watch.start()
    run_until(loop, lambda: len(listener.failures) >= 2)
    assert set(listener.failures) == {failure}
    store.status = None
    run_until(loop, lambda: listener.confirmations)


def test_a_connection_that_goes_silent_is_replaced(loop, store, listener, watch):
    store.put("op/config", create_config(3))
    watch.start()
    run_until(loop, lambda: listener.confirmations)
    store.is_silent = True
    run_until(loop, lambda: ReadFailure.TIMEOUT in listener.failures)
    store.is_silent = False
    before = listener.confirmations
    run_until(loop, lambda: listener.confirmations > before)


# CONFIG: the reader of a failure domain is lost, and the connection of its successor has gone
# silent while it was idle; the successor waited for an answer for longer than the limit allows.
def test_an_entry_that_becomes_a_reader_does_not_rely_on_an_idle_connection(
    loop, store, listener, watch, policy
):
    store.put("op/config", create_config(3))
    policy.is_reader = False
    watch.start()
    run_until(loop, lambda: listener.confirmations)
    store.silence_connections()
    loop.call_later(2 * IDLE_POLL_S, loop.stop)
    loop.run()
    store.put("op/config", create_config(4))
    policy.is_reader = True
    run_until(loop, lambda: listener.synced == store.revision, deadline_s=0.5)


# CONFIG: after an outage the view is too old already, and a read that hangs was given up only after
# the time for which a watch may wait.
def test_an_urgent_read_that_hangs_is_soon_repeated(loop, store, listener, watch, policy):
    store.put("op/config", create_config(3))
    watch.start()
    run_until(loop, lambda: listener.confirmations)
    policy.wait_s = 3.0
    policy.is_reader = False
    loop.call_later(4 * IDLE_POLL_S, loop.stop)
    loop.run()
    policy.is_reader = policy.is_view_urgent = True
    store.is_silent = True
    loop.call_later(0.3, lambda: setattr(store, "is_silent", False))
    store.put("op/config", create_config(4))
    run_until(loop, lambda: listener.synced == store.revision, deadline_s=1.5)


def test_a_view_that_stays_outdated_is_not_read_in_a_tight_loop(
    loop, store, listener, watch, policy
):
    """A peer announces a revision that the store doesn't have."""
    policy.is_view_urgent = True
    store.put("op/config", create_config(3))
    watch.start()
    loop.call_later(1.0, loop.stop)
    loop.run()
    assert listener.confirmations
    assert len(store.calls) <= 3 + 1.0 / policy.wait_s


def test_urgent_reads_succeed_although_the_store_takes_longer_than_they_may(
    loop, store, listener, watch, policy
):
    policy.wait_s = 1.0
    policy.is_view_urgent = True
    store.put("op/config", create_config(3))
    store.delay_s = 1.3
    watch.start()
    run_until(loop, lambda: listener.confirmations)


def test_a_series_of_changes_needs_few_calls(loop, store, listener, watch):
    """During a release, many servers change their records in quick succession."""
    watch.start()
    run_until(loop, lambda: listener.confirmations)
    before = len(store.calls)
    for number in range(60):
        loop.call_later(number * 0.01, lambda n=number: store.put(f"servers/i-{n:x}", {}))
    run_until(loop, lambda: len(listener.changes) == 60)
    assert len(store.calls) - before <= 8


def test_revalidation_queries_the_store_immediately(loop, store, listener, watch):
    store.put("op/config", create_config(3))
    watch.start()
    run_until(loop, lambda: listener.confirmations)
    before = listener.confirmations
    started = loop.read_clock()
    watch.revalidate()
    run_until(loop, lambda: listener.confirmations > before)
    assert loop.read_clock() - started < 0.15


class FailingListener(Listener):
    """Raises an error for the first results of each kind.

    :ivar remaining: number of errors still to raise.
    """

    def __init__(self):
        super().__init__()
        self.remaining = 0
        self.attempts = 0

    def _keep(self, changes, revision):
        self.attempts += 1
        if self.remaining:
            self.remaining -= 1
            raise LookupError("fault")
        super()._keep(changes, revision)


@pytest.mark.parametrize("errors", [1, 3])
def test_the_store_is_read_again_after_an_error_of_the_listener(loop, store, errors):
    """A fault while changes are merged must not end the only reader of a failure domain."""
    reported = []
    loop.on_error = reported.append
    listener = FailingListener()
    watch = StoreWatch(loop, StoreClient(loop, store.address, DOMAINS), listener, Policy())
    listener.remaining = errors
    store.put("servers/i-0001", create_server_entry())
    watch.start()
    run_until(loop, lambda: len(listener.changes) == 1)
    listener.remaining = errors
    store.put("op/config", create_config(3))
    run_until(loop, lambda: "routing" in listener.changes)
    assert len(reported) == 2 * errors


def test_reads_are_repeated_at_growing_intervals_while_the_listener_fails(loop, store):
    loop.on_error = lambda error: None
    listener = FailingListener()
    listener.remaining = 1_000_000
    store.put("servers/i-0001", create_server_entry())
    StoreWatch(loop, StoreClient(loop, store.address, DOMAINS), listener, Policy()).start()
    loop.call_later(1.5, loop.stop)
    loop.run()
    assert 2 <= listener.attempts <= 5


def test_a_read_that_can_not_be_sent_is_sent_later(loop, store, listener, watch, monkeypatch):
    """All descriptors are in use for a moment."""
    reported = []
    loop.on_error = reported.append
    send = watch._client.list_all
    failures = iter([OSError(24, "too many open files")])

    def list_all(*arguments):
        for error in failures:
            raise error
        send(*arguments)

    monkeypatch.setattr(watch._client, "list_all", list_all)
    store.put("servers/i-0001", create_server_entry())
    loop.call_later(0.0, watch.start)
    run_until(loop, lambda: listener.changes)
    assert len(reported) == 1


# EVAC: one value that was nested too deeply ended the reading of the store at all entries, and an
# entry that started while the value was there never became ready.
@pytest.mark.parametrize("key", ["servers/i-0f0f", "op/config"])
@pytest.mark.parametrize("is_there_at_start", [True, False])
def test_a_value_that_is_nested_too_deeply_does_not_end_the_reading_of_the_store(
    loop, store, listener, watch, key, is_there_at_start
):
    reported = []
    loop.on_error = reported.append
    if is_there_at_start:
        store.put(key, NESTED_TOO_DEEPLY)
    watch.start()
    run_until(loop, lambda: listener.confirmations)
    store.put(key, NESTED_TOO_DEEPLY)
    run_until(loop, lambda: listener.synced == store.revision)
    store.put("op/evacuate/shah-alam", {})
    run_until(loop, lambda: "domain/shah-alam" in listener.changes)
    assert not reported


# EVAC: any unexpected error between an answer of the store and the next read ended the reading.
@pytest.mark.parametrize("errors", [1, 3])
def test_the_store_is_read_again_after_an_error_of_the_decoder(
    loop, store, listener, watch, monkeypatch, errors
):
    reported = []
    loop.on_error = reported.append
    decode = store_module.decode_item
    remaining = iter(range(2 * errors))

    def decode_item(*arguments):
        for _ in remaining:
            raise LookupError("fault")
        return decode(*arguments)

    store.put("servers/i-0001", create_server_entry())
    monkeypatch.setattr(store_module, "decode_item", decode_item)
    watch.start()
    run_until(loop, lambda: len(reported) >= errors)
    store.put("op/config", create_config(3))
    run_until(loop, lambda: "routing" in listener.changes)
    assert listener.failures.count(ReadFailure.UNREADABLE) == 2 * errors


# EVAC: a later page of a listing could not be requested, and the store was never read again.
def test_the_store_is_listed_again_if_a_later_page_can_not_be_requested(
    loop, store, listener, watch, monkeypatch
):
    reported = []
    loop.on_error = reported.append
    store.page_size = 2
    for number in range(5):
        store.put(f"servers/i-{number:04x}", create_server_entry())
    send = watch._client._http.get
    failures = iter([None, OSError(24, "too many open files")])

    def get(*arguments):
        failure = next(failures, None)
        if failure is not None:
            raise failure
        send(*arguments)

    monkeypatch.setattr(watch._client._http, "get", get)
    watch.start()
    run_until(loop, lambda: len(listener.changes) == 5)
    assert len(reported) == 1


def test_a_value_that_is_not_base64_is_reported_as_unreadable(loop, store, listener, watch):
    store.add_raw("servers/i-0001", "\u00e9")
    watch.start()
    run_until(loop, lambda: listener.confirmations)
    assert "upstream/i-0001" in listener.changes


# CONFIG: a store that came back from an older copy gave out the same revisions again; what it
# acknowledged afterwards counted as old and was never applied.
@pytest.mark.parametrize("lost", [12, 1])
@pytest.mark.parametrize("epoch", [None, 1])
def test_a_store_that_comes_back_from_an_older_copy_is_followed(
    loop, store, listener, watch, lost, epoch
):
    store.epoch = epoch
    store.put("op/config", create_config(3))
    copy = store.copy()
    for number in range(lost):
        store.put("op/config", create_config(4 + number))
    watch.start()
    run_until(loop, lambda: listener.confirmations)
    former = listener.synced
    store.restore(copy)
    store.put("op/evacuate/shah-alam", {})
    run_until(loop, lambda: "domain/shah-alam" in listener.changes)
    assert listener.synced > former
    before = listener.confirmations
    store.put("servers/i-0001", create_server_entry())
    run_until(loop, lambda: "upstream/i-0001" in listener.changes)
    assert listener.confirmations > before


# CONFIG: once its revisions had passed the known one, a watch went on from there and skipped what
# had been written in between.
def test_a_restored_store_is_listed_also_if_its_revisions_have_passed_the_known_one(
    loop, store, listener, watch
):
    store.put("op/config", create_config(3))
    copy = store.copy()
    store.put("op/config", create_config(4))
    watch.start()
    run_until(loop, lambda: listener.confirmations)
    store.restore(copy)
    store.put("op/evacuate/shah-alam", {})
    for number in range(9):
        store.put(f"servers/i-{number:04x}", create_server_entry())
    run_until(loop, lambda: "domain/shah-alam" in listener.changes)
    assert ReadFailure.RESTORED in listener.failures


def test_a_listing_during_which_the_store_is_restored_is_repeated(loop, store, listener, watch):
    """The pages before and after it are of two histories, and no revision joins them."""
    store.page_size = 2
    store.put("servers/i-0009", create_server_entry())
    copy = store.copy()
    for number in range(4):
        store.put(f"servers/i-{number:04x}", create_server_entry())
    answers = iter([lambda: store.restore(copy)])
    store.on_reply = lambda: next(answers, lambda: None)()
    watch.start()
    run_until(loop, lambda: listener.confirmations)
    assert ReadFailure.RESTORED in listener.failures
    assert set(listener.changes) == {"upstream/i-0009"}


def test_an_answer_whose_epoch_is_not_a_number_is_unreadable(loop, store, listener, watch):
    store.put("op/config", create_config(3))
    store.epoch = "first"
    watch.start()
    run_until(loop, lambda: ReadFailure.UNREADABLE in listener.failures)
    assert not listener.changes
    store.epoch = 1
    run_until(loop, lambda: listener.confirmations)


# CONFIG: the answer of a watch that had heard nothing named a revision past a new version; the next
# watch went on behind it, and neither this entry nor its peers saw the version.
def test_revisions_that_a_watch_passes_over_without_their_changes_are_listed(
    loop, store, listener, following
):
    store.silence_watches()
    store.names_newest = True
    store.put("op/evacuate/shah-alam", {})
    run_until(loop, lambda: "domain/shah-alam" in listener.changes, deadline_s=1.0)


# CONFIG: of two changes a watch brought the later one only, and the earlier one was never seen.
def test_a_watch_whose_answer_lacks_one_of_several_revisions_is_followed_by_a_listing(
    loop, store, listener, following
):
    store.put("op/evacuate/shah-alam", {})
    store.put("servers/i-0001", create_server_entry())
    store.forget_event("op/evacuate/shah-alam")
    run_until(loop, lambda: "domain/shah-alam" in listener.changes, deadline_s=1.0)


# CONFIG: the watches of all readers heard nothing for longer than the time limit of a version.
@pytest.mark.parametrize("is_hanging", [False, True])
def test_changes_that_a_silent_watch_does_not_bring_are_listed(
    loop, store, listener, following, is_hanging
):
    store.silence_watches()
    store.are_watches_hanging = is_hanging
    store.put("op/evacuate/shah-alam", {})
    run_until(loop, lambda: "domain/shah-alam" in listener.changes, deadline_s=2.0)


def test_a_view_that_is_known_to_lack_a_change_is_not_confirmed_before_the_listing(
    loop, store, listener, following
):
    store.silence_watches()
    store.put("op/evacuate/shah-alam", {})
    run_until(loop, lambda: listener.missed)
    before = listener.confirmations
    run_until(loop, lambda: listener.confirmations > before)
    assert listener.missed == [(1, 2)]
    assert listener.synced == 2


def test_an_outage_that_ends_with_a_change_is_not_reported_as_a_watch_that_misses_changes(
    loop, store, listener, following, policy
):
    policy.proof_interval_s = 2.0
    store.is_silent = True
    run_until(loop, lambda: ReadFailure.TIMEOUT in listener.failures)
    policy.proof_interval_s = 0.5
    store.put("op/config", create_config(4))
    store.is_silent = False
    run_until(loop, lambda: listener.synced == store.revision)
    assert not listener.missed


# CONFIG: a check had shown a change, and the watch after it hung; each retry was a watch again and
# hung as well, so that the change was not read until watches answered.
def test_a_change_that_a_check_has_shown_is_listed_if_the_watch_after_it_hangs(
    loop, store, listener, following, policy
):
    policy.wait_s = 0.1
    store.watch_status = 503
    run_until(loop, lambda: listener.failures)
    store.silence_watches()
    store.are_watches_hanging = True
    store.put("op/evacuate/shah-alam", {})
    store.watch_status = None
    following.revalidate()
    run_until(loop, lambda: "domain/shah-alam" in listener.changes, deadline_s=2.0)


# CONFIG: a listing of an old copy named the newest revision; what had been acknowledged since the
# copy was never seen by an entry that had just started, nor by those that asked it.
def test_what_an_old_copy_lacks_is_seen_by_an_entry_that_starts(loop, store, listener, watch):
    store.put("op/config", create_config(3))
    store.stale_revision = store.revision
    store.names_newest = True
    store.put("op/evacuate/shah-alam", {})
    watch.start()
    run_until(loop, lambda: "domain/shah-alam" in listener.changes, deadline_s=1.0)


# CONFIG: the store refused the reads of its revision and answered watches; the entry repeated the
# refused read and watched no more, so that it got no change at all.
@pytest.mark.parametrize("status", [429, 503])
def test_an_entry_whose_checks_are_refused_goes_on_watching(
    loop, store, listener, following, status
):
    store.range_status = status
    end = loop.read_clock() + 1.0
    run_until(loop, lambda: loop.read_clock() > end)
    store.put("op/evacuate/shah-alam", {})
    run_until(loop, lambda: "domain/shah-alam" in listener.changes, deadline_s=2.0)


# CONFIG: a listing showed an older state than a read of the revision before it; it counted as a
# proof that the view is current, here and at all peers.
def test_a_listing_of_an_older_state_does_not_confirm_the_view(loop, store, listener, following):
    store.silence_watches()
    store.old_revision = store.revision
    store.put("op/evacuate/shah-alam", {})
    run_until(loop, lambda: listener.missed)
    before = listener.confirmations
    run_until(loop, lambda: len(listener.missed) > 1)
    assert listener.confirmations == before


# CONFIG: while listings showed an older state, all entries that read listed the whole store about
# ten times a second; the calls left no room for other readers.
def test_listings_that_bring_nothing_new_are_repeated_less_and_less_often(
    loop, store, listener, following
):
    store.silence_watches()
    store.old_revision = store.revision
    store.put("op/evacuate/shah-alam", {})
    run_until(loop, lambda: listener.missed)
    end = loop.read_clock() + 3.0
    run_until(loop, lambda: loop.read_clock() > end)
    listings = [call for call in store.calls if call.endswith("Prefix=")]
    # Delays of 0.1, 0.2, 0.4 and 0.8 s, then 0.8 s.
    assert len(listings) <= 8


# CONFIG: an entry found that the store is further, its next read failed, and a peer's heartbeat
# ended its reading; it no longer read what it knew that it lacked.
def test_an_entry_that_knows_that_it_lacks_a_change_goes_on_reading(
    loop, store, listener, following, policy
):
    store.silence_watches()
    store.put("op/evacuate/shah-alam", {})
    checks = len([call for call in store.calls if "evacuate" in call])

    def refuse_watches():
        if len([call for call in store.calls if "evacuate" in call]) > checks:
            store.watch_status = 503

    store.on_reply = refuse_watches
    run_until(loop, lambda: listener.failures)
    policy.is_reader = False
    store.on_reply = lambda: None
    store.watch_status = None
    store.end_silence()
    run_until(loop, lambda: "domain/shah-alam" in listener.changes, deadline_s=2.0)


# LOST: a page said that there are more items and had none; it counted as the end of the listing,
# and all upstreams counted as removed.
def test_a_page_without_items_that_promises_more_is_no_listing(loop, store, listener, watch):
    store.put("op/config", create_config(3))
    store.put("servers/i-1", create_server_entry())
    store.hides_items = True
    watch.start()
    run_until(loop, lambda: listener.failures, deadline_s=1.0)
    assert not listener.confirmations


# CONFIG: after a check had shown that a change is missing, the listing waited for a delay that the
# reads before it, none of which had failed, had doubled twice.
def test_what_a_watch_has_missed_is_listed_without_delay(loop, store, listener, following, policy):
    store.silence_watches()
    store.put("op/evacuate/shah-alam", {})
    run_until(loop, lambda: listener.missed)
    run_until(loop, lambda: "domain/shah-alam" in listener.changes, deadline_s=0.15)


# CONFIG: a watch brought a version but not the change before it, and the listing that should follow
# was refused; the version was in hand and not in force.
def test_what_an_incomplete_answer_brings_is_in_force_before_the_listing(
    loop, store, listener, following
):
    store.put("servers/i-1", create_server_entry())
    store.put("op/evacuate/shah-alam", {})
    store.forget_event("servers/i-1")
    store.range_status = 429
    run_until(loop, lambda: "domain/shah-alam" in listener.changes, deadline_s=2.0)


# CONFIG: an answer of a watch with as many changes as fit counted as one that misses changes, and
# was thrown away for a listing of all keys.
def test_a_long_answer_that_is_cut_continues_with_the_next_watch(
    loop, store, listener, following, policy
):
    store.watch_size = 4
    policy.is_reader = False
    end = loop.read_clock() + 1.0
    run_until(loop, lambda: loop.read_clock() > end)
    for number in range(10):
        store.put(f"servers/i-{number:04x}", create_server_entry())
    policy.is_reader = True
    run_until(loop, lambda: listener.synced == store.revision)
    assert not listener.missed


# CONFIG: a read of the revision was answered by an older state than this entry had reached; it
# counted as a proof that nothing is missing.
def test_a_check_that_names_an_older_revision_than_is_known_proves_nothing(
    loop, store, listener, watch
):
    store.put("op/config", create_config(3))
    store.put("op/config", create_config(4))
    watch.start()
    run_until(loop, lambda: listener.confirmations)
    store.silence_watches()
    store.old_check = 1
    store.put("op/evacuate/shah-alam", {})
    run_until(loop, lambda: ReadFailure.OUTDATED in listener.failures)
    before = listener.confirmations
    run_until(loop, lambda: listener.failures.count(ReadFailure.OUTDATED) > 2)
    assert listener.confirmations == before


# CONFIG: a check that may be stale would prove nothing, and all other tests would pass with it.
def test_no_check_is_stale(loop, store, listener, watch):
    watch.start()
    run_until(loop, lambda: sum("evacuate" in call for call in store.calls) > 1)
    assert not any("AllowStale" in call for call in store.calls)


# CONFIG: a watch that hears nothing confirmed the view, also when the last proof was too old.
def test_a_watch_without_changes_does_not_confirm_the_view_after_an_old_proof(
    loop, store, listener, following
):
    store.range_status = 503
    run_until(loop, lambda: listener.failures)
    before = listener.confirmations
    watches = sum("kv-watch" in call for call in store.calls)
    run_until(loop, lambda: sum("kv-watch" in call for call in store.calls) > watches + 1)
    assert listener.confirmations == before


# CONFIG: an entry that woke up took a watch that heard nothing for the confirmation of its view.
def test_a_proof_from_before_a_pause_does_not_confirm_the_view(loop, store, listener, following):
    store.silence_watches()
    store.put("op/evacuate/shah-alam", {})
    before = listener.confirmations
    following.revalidate()
    run_until(loop, lambda: listener.confirmations > before)
    assert listener.synced == store.revision


# RECOVER: of a fleet that started at once, each entry began its listing anew when the busy store
# refused a page; hardly any got all pages, and the readers' calls were refused as well.
def test_a_listing_goes_on_at_the_page_that_was_refused(loop, store, listener, watch):
    store.page_size = 1
    for number in range(3):
        store.put(f"servers/i-{number:04x}", create_server_entry())

    def refuse_second_page():
        store.status = 429 if len(store.calls) == 1 else None

    store.on_reply = refuse_second_page
    watch.start()
    run_until(loop, lambda: listener.changes)
    assert store.calls.count("/-/kv-range?Prefix=") == 1


# READY: a store whose revisions rise by more than one for a change made each answer of a watch
# count as incomplete; while changes came in, a view of several pages was never confirmed.
def test_an_entry_starts_at_a_store_whose_revisions_have_gaps(loop, store, listener, watch):
    store.revision_step = 2
    store.page_size = 3
    store.delay_s = 0.01
    for number in range(12):
        store.put(f"servers/i-{number:04x}", create_server_entry())
    loop.call_repeatedly(lambda: 0.03, lambda: store.put("op/config", create_config(4)))
    watch.start()
    run_until(loop, lambda: listener.confirmations)
