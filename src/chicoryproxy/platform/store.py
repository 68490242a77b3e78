"""Client of the platform's store: listings and watches over one connection.

The store is read-only for this system. Each request has its own timeout, since an open connection
can stop delivering data without an error. It limits the silence before and within an answer, not
the answer as a whole, which may be large: another writer can leave a megabyte in a value.
"""

import base64
from collections.abc import Callable, Collection
from enum import Enum, unique
from typing import Generic, TypeVar

from msgspec import Raw, Struct, field

from chicoryproxy.endpoint import Endpoint
from chicoryproxy.eventloop.http import (
    HttpClient,
    HttpFailure,
    HttpResponse,
    HttpResult,
    HttpTimeout,
    HttpTooLarge,
    TransferLimits,
)
from chicoryproxy.eventloop.loop import Loop
from chicoryproxy.forwarding.model import Change, Revision
from chicoryproxy.forwarding.view.epoch import create_revision, get_epoch, get_number
from chicoryproxy.ids import DomainId
from chicoryproxy.platform.jsonvalue import (
    UnreadableValueError,
    decode_json,
    replace_lone_surrogates,
)
from chicoryproxy.platform.records import EVACUATE_PREFIX, decode_item

LIST_TIMEOUT_S = 2.0
"""Longest silence before and within a page of a listing."""

TRANSFER_TIMEOUT_S = 7.0
"""Time that an answer may take from its first byte to its last. A page with two of the largest
values, in base64, takes 4.5 s on a link of 5 Mbit/s."""

MAX_ANSWER_BYTES = 4 * 1024 * 1024
"""Larger answers are not read. A page of a listing has up to 2.8 MB, with two of the largest
values; the answer to a watch has no limit at the store."""

ALL_KEYS_PREFIX = ""

FEW_KEYS_PREFIX = EVACUATE_PREFIX
"""A range with few keys, for reads of which only the revision of the store matters."""

EPOCH_HEADER = b"store-era"
"""Present in each answer; a store without it has never come back from an older copy."""

NO_BASE64 = "-"
"""Stands for a value that can't be read."""

Body = TypeVar("Body")
Result = TypeVar("Result")


@unique
class ReadFailure(Enum):
    """Why a read failed.

    ``OUTDATED``: the answer is of an older state than an earlier one.
    ``TOO_LARGE``: the answer was larger than ``MAX_ANSWER_BYTES``.
    ``RESTORED``: the store has come back from an older copy since the last read or during this one.
    """

    UNREACHABLE = "unreachable"
    TIMEOUT = "timeout"
    BUSY = "busy"
    UNAVAILABLE = "unavailable"
    HISTORY_LOST = "history_lost"
    TOO_LARGE = "too_large"
    RESTORED = "restored"
    OUTDATED = "outdated"
    UNREADABLE = "unreadable"


class Listing(Struct, frozen=True):
    """All keys of the store.

    :param revision: the lowest revision that a page reported; a watch continues from it.
    :param is_snapshot: all keys are as they were at this revision, because they fit into one page.
    """

    changes: tuple[Change, ...]
    revision: Revision
    is_snapshot: bool = True


class WatchResult(Struct, frozen=True):
    """The changes after a revision.

    :param revision: the revision from which the next watch continues.
    :param is_complete: the store changed at each revision up to this one, and no change is missing.
    """

    changes: tuple[Change, ...]
    revision: Revision
    is_complete: bool


class _Item(Struct):
    key: str = field(name="Key")
    revision: int = field(name="Revision")
    value: str = field(name="Value", default="")
    is_deleted: bool = field(name="Deleted", default=False)


class _Head(Struct):
    """What can be read of an item whose other fields have the wrong type."""

    revision: int = field(name="Revision")
    key: object = field(name="Key", default="")


class _Page(Struct):
    # The revision of the whole store, not that of an item.
    revision: int = field(name="CurrentRev")
    items: tuple[Raw, ...] = ()
    has_more: bool = field(name="HasMore", default=False)


class _Events(Struct):
    revision: int = field(name="CurrentRev")
    events: tuple[Raw, ...] = ()


class _Answer(Struct, Generic[Body], frozen=True):
    """A successful answer.

    :param epoch: epoch of the store that gave it.
    """

    body: Body
    epoch: int


_FAILURE_BY_STATUS = {
    410: ReadFailure.HISTORY_LOST,
    429: ReadFailure.BUSY,
    503: ReadFailure.UNAVAILABLE,
}


class StoreClient:
    """Reads the store, with at most one request in flight.

    :param domains: the known failure domains.

    :ivar calls: number of requests sent since the start.
    """

    def __init__(self, loop: Loop, store: Endpoint, domains: Collection[DomainId]) -> None:
        self.calls = 0
        self._loop = loop
        self._domains = domains
        self._http = HttpClient(loop, store)

    @property
    def answered_s(self) -> float:
        """When the last answer began to arrive; the store made it before, in seconds."""
        return self._http.answered_s

    def set_store(self, store: Endpoint) -> None:
        """Change the address of the store; a pending request still completes at the old one."""
        self._http.set_server(store)

    def list_all(self, on_result: Callable[[Listing | ReadFailure], None]) -> None:
        """Read all keys, page by page.

        The pages are never stale ones: they need not hold all changes up to the revision that they
        name, so that a watch which continues from there would skip some.
        """
        query = f"/-/kv-range?Prefix={ALL_KEYS_PREFIX}"
        self._list_page(query, "", (), on_result)

    def read_revision(
        self,
        known: Revision,
        timeout_s: float,
        on_result: Callable[[Revision | ReadFailure], None],
    ) -> None:
        """Read the newest revision of the store, which proves what a watch only claims.

        :param known: a revision of the epoch that the store should be in.
        :param timeout_s: longest silence of the store, in seconds.
        """

        def convert(page: _Page, epoch: int) -> Revision | ReadFailure:
            if epoch != get_epoch(known):
                return ReadFailure.RESTORED
            return create_revision(epoch, page.revision)

        query = f"/-/kv-range?Prefix={FEW_KEYS_PREFIX}"
        self._call(query, timeout_s, _Page, convert, on_result)

    def watch(
        self,
        revision: Revision,
        wait_s: float,
        response_timeout_s: float,
        on_result: Callable[[WatchResult | ReadFailure], None],
    ) -> None:
        """Wait for changes after a revision.

        :param wait_s: longest time to wait, in seconds; after it the result has no changes.
        :param response_timeout_s: longest silence of the store beyond the wait, in seconds.
        """
        wait_ms = max(1, round(wait_s * 1000))
        after = get_number(revision)
        query = f"/-/kv-watch?Prefix={ALL_KEYS_PREFIX}&after={after}&WaitMs={wait_ms}"

        def convert(events: _Events, epoch: int) -> WatchResult | ReadFailure:
            if epoch != get_epoch(revision):
                # The same number means another revision; changes before it may be unknown.
                return ReadFailure.RESTORED
            items = self._read_items(events.events)
            changes = tuple(self._decode_items(items, epoch))
            numbers = {item.revision for item in items}
            is_complete = numbers.issuperset(range(after + 1, events.revision + 1))
            return WatchResult(changes, create_revision(epoch, events.revision), is_complete)

        self._call(query, response_timeout_s, _Events, convert, on_result, wait_s)

    def close(self) -> None:
        """Close the connection and cancel the pending request without calling back."""
        self._http.close()

    def _list_page(
        self,
        query: str,
        after: str,
        earlier: tuple[Listing, ...],
        on_result: Callable[[Listing | ReadFailure], None],
    ) -> None:

        def convert(page: _Page, epoch: int) -> Listing | ReadFailure | None:
            items = self._read_items(page.items)
            changes = tuple(self._decode_items(items, epoch))
            pages = (*earlier, Listing(changes, create_revision(epoch, page.revision)))
            if page.has_more:
                keys = [item.key for item in items if item.key]
                if not keys:
                    # Without a key, the next page would be this one again.
                    return ReadFailure.UNREADABLE
                self._list_page(query, keys[-1], pages, on_result)
                return None
            return _join_pages(pages)

        target = f"{query}&after={_percent_encode(after)}" if after else query
        self._call(target, LIST_TIMEOUT_S, _Page, convert, on_result)

    def _read_items(self, items: tuple[Raw, ...]) -> list[_Item]:
        """Read the fields of items; one that can't be read is reported and holds up no other."""
        read = (self._read_item(item) for item in items)
        return [item for item in read if item is not None]

    def _read_item(self, raw: Raw) -> _Item | None:
        try:
            return decode_json(raw, _Item)
        except UnreadableValueError as error:
            self._loop.report_error(error)
        try:
            head = decode_json(raw, _Head)
        except UnreadableValueError:
            return None
        key = head.key if isinstance(head.key, str) else ""
        return _Item(key, head.revision, NO_BASE64)

    def _decode_items(self, items: list[_Item], epoch: int) -> list[Change]:
        changes = (self._decode_item(item, epoch) for item in items)
        return [change for change in changes if change is not None]

    def _decode_item(self, item: _Item, epoch: int) -> Change | None:
        value: bytes | None = None
        if not item.is_deleted:
            try:
                value = base64.b64decode(item.value, validate=True)
            except ValueError:
                # An empty value is not valid JSON and is reported as an unreadable entry.
                value = b""
        revision = create_revision(epoch, item.revision)
        report_error = self._loop.report_error
        return decode_item(item.key, value, revision, self._domains, report_error)

    def _call(
        self,
        target: str,
        timeout_s: float,
        kind: type[Body],
        convert: Callable[[Body, int], Result | ReadFailure | None],
        on_result: Callable[[Result | ReadFailure], None],
        wait_s: float = 0.0,
    ) -> None:
        """Send one request of a read.

        :param timeout_s: longest silence of the store before and within its answer, in seconds.
        :param convert: returns the result of the read, or ``None`` if it goes on with another
            request. Its arguments are the body and the epoch of the answer.
        :param on_result: called with the result. An unexpected error also ends the read and is a
            failure, because the caller starts the next read only after this one.
        :param wait_s: time for which the request lets the store wait, in seconds.
        """

        def finish(response: HttpResult) -> None:
            result: Result | ReadFailure | None = ReadFailure.UNREADABLE
            try:
                answer = _decode_response(response, kind)
                if isinstance(answer, ReadFailure):
                    result = answer
                else:
                    result = convert(answer.body, answer.epoch)
            finally:
                if result is not None:
                    on_result(result)

        self.calls += 1
        limits = TransferLimits(timeout_s, TRANSFER_TIMEOUT_S, MAX_ANSWER_BYTES)
        self._http.get(target, wait_s + timeout_s, finish, limits)


def _decode_response(result: HttpResult, kind: type[Body]) -> _Answer[Body] | ReadFailure:
    if isinstance(result, HttpTimeout):
        return ReadFailure.TIMEOUT
    if isinstance(result, HttpTooLarge):
        return ReadFailure.TOO_LARGE
    if isinstance(result, HttpFailure):
        return ReadFailure.UNREACHABLE
    if result.status != 200:
        return _FAILURE_BY_STATUS.get(result.status, ReadFailure.UNREADABLE)
    try:
        return _Answer(_decode_body(result.body, kind), _read_epoch(result))
    except UnreadableValueError:
        return ReadFailure.UNREADABLE


def _decode_body(body: bytes, kind: type[Body]) -> Body:
    try:
        return decode_json(body, kind)
    except UnreadableValueError:
        return decode_json(replace_lone_surrogates(body), kind)


def _read_epoch(response: HttpResponse) -> int:
    """Return the epoch of the store that gave an answer, zero if it names none.

    :raises UnreadableValueError: if it is not a number.
    """
    text = response.headers.get(EPOCH_HEADER, b"0")
    if not text.isdigit():
        raise UnreadableValueError(f"header {EPOCH_HEADER!r} is {text!r}, not a number")
    return int(text)


def _join_pages(pages: tuple[Listing, ...]) -> Listing | ReadFailure:
    """Join the pages of a listing, which can differ in age.

    A watch from the lowest revision misses no change and only repeats some that newer pages already
    contained.

    :returns: a failure if the store has come back from an older copy between two pages.
    """
    if len({get_epoch(page.revision) for page in pages}) > 1:
        return ReadFailure.RESTORED
    changes = tuple(change for page in pages for change in page.changes)
    return Listing(changes, min(page.revision for page in pages), len(pages) == 1)


def _percent_encode(key: str) -> str:
    """Percent-encode a key for use in a query."""
    return "".join(
        char if char.isascii() and (char.isalnum() or char in "-_./") else _escape(char)
        for char in key
    )


def _escape(char: str) -> str:
    return "".join(f"%{byte:02X}" for byte in char.encode())
