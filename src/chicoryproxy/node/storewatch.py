"""Follows the changes of the platform's store by listings and watches, and retries failed reads."""

import functools
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable
from typing import TypeVar

from chicoryproxy.eventloop.loop import Loop, Timer
from chicoryproxy.forwarding.model import NO_REVISION, Change, Revision
from chicoryproxy.forwarding.view.readerpolicy import ReaderPolicy
from chicoryproxy.platform.store import Listing, ReadFailure, StoreClient, WatchResult

NEEDS_LISTING = (ReadFailure.HISTORY_LOST, ReadFailure.RESTORED, ReadFailure.TOO_LARGE)
"""After these failures a watch can't continue from the known revision. A listing comes in pages."""

RETRY_MIN_S = 0.1
RETRY_MAX_S = 0.8
RESPONSE_TIMEOUT_S = 1.0
"""Time that a watch may take beyond its wait before it counts as timed out."""

SLOW_RESPONSE_TIMEOUT_S = 2.0
"""The same for the watch after one that timed out, because the store may be slow."""

BATCH_DELAY_S = 0.15
"""Delay after changes, so that the next watch returns several changes at once."""

IDLE_POLL_S = 0.1
"""Interval at which an entry that doesn't read the store checks whether it should."""


Result = TypeVar("Result")


class StoreListener(ABC):
    """Receives the results of reads."""

    @abstractmethod
    def handle_listing(self, listing: Listing) -> None:
        """Handle a complete listing."""

    @abstractmethod
    def handle_changes(self, changes: Iterable[Change], revision: Revision) -> None:
        """Handle changes.

        :param revision: with these changes, all changes up to this revision are known.
        """

    @abstractmethod
    def handle_missed_changes(self, changes: Iterable[Change], newest: Revision) -> None:
        """Handle that watches have not brought all changes; a listing follows.

        :param changes: those that the last watch has brought.
        :param newest: a revision that the store has reached.
        """

    @abstractmethod
    def handle_failure(self, failure: ReadFailure) -> None:
        """Handle a failed read."""

    @abstractmethod
    def get_synced_revision(self) -> Revision:
        """Return the revision up to which all changes are known; zero before the first listing."""


def _read_again_after_error(
    handle: "Callable[[StoreWatch, Result], None]",
) -> "Callable[[StoreWatch, Result], None]":
    """Let the store be read again after an unexpected error in the handler of a result."""

    @functools.wraps(handle)
    def wrapper(watch: "StoreWatch", result: Result) -> None:
        try:
            handle(watch, result)
        except Exception:
            watch.schedule_retry()
            raise

    return wrapper


class StoreWatch:
    """Lists the store, then watches its changes while the policy selects this entry as a reader.

    The store is listed at the start, unless a peer has given the view before the store answers. It
    is listed again when it no longer has the history that a watch needs, or has come back from an
    older copy. A watch that brings nothing proves nothing: the revision of the store is read from
    time to time, and what a watch has missed is listed.

    :param policy: decides whether this entry reads now, and how long a watch may wait.
    """

    def __init__(
        self, loop: Loop, client: StoreClient, listener: StoreListener, policy: ReaderPolicy
    ) -> None:
        self._loop = loop
        self._client = client
        self._listener = listener
        self._policy = policy
        self._has_listed = False
        self._needs_listing = False
        self._needs_confirmation = True
        self._has_timed_out = False
        self._is_following = False
        self._has_watch_hung = False
        self._has_check_failed = False
        self._newest = NO_REVISION
        self._proven_s = float("-inf")
        self._retry_s = RETRY_MIN_S
        self._timer: Timer | None = None

    def start(self) -> None:
        """Start reading."""
        self._read_next()

    def revalidate(self) -> None:
        """Cancel the pending request and read immediately whether there are newer changes."""
        self._client.close()
        self._needs_confirmation = True
        self._proven_s = float("-inf")
        self._schedule(0.0)

    def _read_next(self) -> None:
        try:
            self._read()
        except Exception:
            self.schedule_retry()
            raise

    def _read(self) -> None:
        now = self._loop.read_clock()
        has_view = self._has_listed or self._listener.get_synced_revision()
        if self._needs_listing or not has_view:
            self._client.list_all(self._handle_listing)
        elif (
            self._needs_confirmation or self._lacks_known_change() or self._policy.should_read(now)
        ):
            # A store may refuse checks and answer watches: after a failed check a watch is next.
            is_watch_next = self._lacks_known_change() or self._has_check_failed
            if is_watch_next or not self._is_proof_due(now):
                self._watch(now)
            else:
                self._check()
        else:
            # An idle connection may stop working unnoticed; a later read opens a new one.
            self._client.close()
            self._is_following = False
            self._schedule(IDLE_POLL_S)

    def _lacks_known_change(self) -> bool:
        """Return whether the store has shown a revision that is not reached yet."""
        return self._newest > self._listener.get_synced_revision()

    def _is_proof_due(self, now: float) -> bool:
        """Return whether the last proof that no change is missing is too old."""
        return now - self._proven_s >= self._policy.get_proof_interval_s()

    def _get_timeout_s(self) -> float:
        return SLOW_RESPONSE_TIMEOUT_S if self._has_timed_out else RESPONSE_TIMEOUT_S

    def _watch(self, now: float) -> None:
        # The first watch of an outdated view does not wait, so that it times out soon if it hangs.
        is_urgent = (
            self._needs_confirmation
            or self._lacks_known_change()
            or self._has_check_failed
            or (self._policy.is_urgent(now) and not self._is_following)
        )
        self._has_check_failed = False
        wait_s = 0.0 if is_urgent else self._policy.get_max_wait_s(now)
        revision = self._listener.get_synced_revision()
        self._client.watch(revision, wait_s, self._get_timeout_s(), self._handle_changes)

    @_read_again_after_error
    def _handle_listing(self, result: Listing | ReadFailure) -> None:
        if isinstance(result, ReadFailure):
            self._handle_failure(result)
            return
        self._listener.handle_listing(result)
        self._has_listed = True
        self._needs_listing = False
        self._needs_confirmation = True
        self._has_watch_hung = False
        if self._lacks_known_change():
            self.schedule_retry()
            return
        self._retry_s = RETRY_MIN_S
        if result.is_snapshot:
            self._prove(result.revision)
        self._schedule(0.0)

    def _check(self) -> None:
        """Read the revision of the store, which proves that no change is missing, or shows it."""
        known = self._listener.get_synced_revision()

        def handle(result: Revision | ReadFailure) -> None:
            is_older = not isinstance(result, ReadFailure) and result < known
            self._handle_revision(ReadFailure.OUTDATED if is_older else result)

        self._client.read_revision(known, self._get_timeout_s(), handle)

    @_read_again_after_error
    def _handle_revision(self, result: Revision | ReadFailure) -> None:
        if isinstance(result, ReadFailure):
            self._has_check_failed = True
            self._handle_failure(result)
            return
        self._has_timed_out = False
        self._newest = max(self._newest, result)
        if not self._lacks_known_change():
            self._prove(result)
        elif self._has_watch_hung:
            # The next watch could hang as well.
            self._needs_listing = True
        self._schedule(0.0)

    @_read_again_after_error
    def _handle_changes(self, result: WatchResult | ReadFailure) -> None:
        if isinstance(result, ReadFailure):
            self._has_watch_hung = result is ReadFailure.TIMEOUT
            self._needs_listing |= self._has_watch_hung and self._lacks_known_change()
            self._handle_failure(result)
            return
        self._has_timed_out = self._has_watch_hung = False
        has_progress = result.is_complete and (result.changes or result.revision >= self._newest)
        if not has_progress:
            self._needs_listing = True
            newest = max(result.revision, self._newest)
            self._listener.handle_missed_changes(result.changes, newest)
        elif result.changes or not self._is_proof_due(self._loop.read_clock()):
            self._confirm(result.changes, result.revision)
        # Changes often come in quick succession; a short delay lets one request return several.
        is_quiet = not result.changes or self._lacks_known_change()
        self._schedule(0.0 if is_quiet else BATCH_DELAY_S)

    def _prove(self, revision: Revision) -> None:
        """Confirm the view by a read that is no watch, and that has shown no later revision."""
        self._confirm((), revision)
        self._proven_s = self._loop.read_clock()

    def _confirm(self, changes: Iterable[Change], revision: Revision) -> None:
        """Pass on all changes up to a revision that are not known yet."""
        self._listener.handle_changes(changes, revision)
        self._needs_confirmation = False
        self._is_following = True
        self._retry_s = RETRY_MIN_S

    def _handle_failure(self, failure: ReadFailure) -> None:
        if failure in NEEDS_LISTING:
            self._needs_listing = True
        self._is_following = False
        self._has_timed_out = failure is ReadFailure.TIMEOUT and not self._has_timed_out
        self.schedule_retry()
        self._listener.handle_failure(failure)

    def schedule_retry(self) -> None:
        """Schedule the next read after a delay that doubles until a read succeeds."""
        self._schedule(self._retry_s)
        self._retry_s = min(RETRY_MAX_S, self._retry_s * 2)

    def _schedule(self, delay_s: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_later(delay_s, self._read_next)
