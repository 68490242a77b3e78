"""Follows the platform's store, one read at a time."""

from abc import ABC, abstractmethod
from collections.abc import Iterable

from chicoryproxy.eventloop.loop import Loop, Timer
from chicoryproxy.forwarding.model import Change, Revision
from chicoryproxy.forwarding.reading import ReaderPolicy
from chicoryproxy.platform.store import Listing, ReadFailure, StoreClient, WatchResult

RETRY_MIN_S = 0.1
RETRY_MAX_S = 0.8
BATCH_DELAY_S = 0.15
IDLE_POLL_S = 0.1
"""How often an entry that does not read looks whether it should."""


class StoreListener(ABC):
    """Takes what the watch reads."""

    @abstractmethod
    def handle_listing(self, listing: Listing) -> None:
        """Take a whole listing."""

    @abstractmethod
    def handle_changes(self, changes: Iterable[Change], revision: Revision) -> None:
        """Take changes, after which everything up to a revision is known."""

    @abstractmethod
    def handle_failure(self, failure: ReadFailure) -> None:
        """Note that a read failed."""

    @abstractmethod
    def get_synced_revision(self) -> Revision:
        """Return the revision up to which everything is known; zero if nothing is."""


class StoreWatch:
    """Lists the store when nothing is known, then follows its changes while it is wanted.

    :param policy: tells whether this entry reads now, and how long a watch may wait.
    """

    def __init__(
        self, loop: Loop, client: StoreClient, listener: StoreListener, policy: ReaderPolicy
    ) -> None:
        self._loop = loop
        self._client = client
        self._listener = listener
        self._policy = policy
        self._needs_listing = True
        self._needs_confirmation = True
        self._retry_s = RETRY_MIN_S
        self._timer: Timer | None = None

    def start(self) -> None:
        """Begin to read."""
        self._read_next()

    def revalidate(self) -> None:
        """Drop the call that waits, and ask at once whether there is anything newer."""
        self._client.close()
        self._needs_confirmation = True
        self._schedule(0.0)

    def _read_next(self) -> None:
        if self._needs_listing:
            # A stale listing after a lost history would begin before the history again.
            allow_stale = not self._listener.get_synced_revision()
            self._client.list_all(allow_stale, self._handle_listing)
        elif self._needs_confirmation:
            self._client.watch(self._listener.get_synced_revision(), 0.0, self._handle_changes)
        elif self._policy.should_read(self._loop.read_clock()):
            wait_s = self._policy.get_wait_s(self._loop.read_clock())
            self._client.watch(self._listener.get_synced_revision(), wait_s, self._handle_changes)
        else:
            self._schedule(IDLE_POLL_S)

    def _handle_listing(self, result: Listing | ReadFailure) -> None:
        if isinstance(result, ReadFailure):
            self._handle_failure(result)
            return
        self._needs_listing = False
        self._needs_confirmation = True
        self._retry_s = RETRY_MIN_S
        self._listener.handle_listing(result)
        self._read_next()

    def _handle_changes(self, result: WatchResult | ReadFailure) -> None:
        if isinstance(result, ReadFailure):
            self._handle_failure(result)
            return
        self._needs_confirmation = False
        self._retry_s = RETRY_MIN_S
        self._listener.handle_changes(result.changes, result.revision)
        # Changes come in series; a short rest lets one call bring several.
        self._schedule(BATCH_DELAY_S if result.changes else 0.0)

    def _handle_failure(self, failure: ReadFailure) -> None:
        self._listener.handle_failure(failure)
        if failure is ReadFailure.HISTORY_LOST:
            self._needs_listing = True
        self._schedule(self._retry_s)
        self._retry_s = min(RETRY_MAX_S, self._retry_s * 2)

    def _schedule(self, delay_s: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_later(delay_s, self._read_next)
