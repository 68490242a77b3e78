"""The home's way to release contested slots."""

from collections.abc import Iterable, Sequence

from msgspec import Struct

from chicoryproxy.ids import InstanceId
from chicoryproxy.protocol.actions import SendToPeer
from chicoryproxy.protocol.messages import (
    Priority,
    SlotName,
    SlotQuery,
    SlotRelease,
    SlotReleases,
    SlotReport,
)
from chicoryproxy.routing.homes import HomeDirectory

ANSWER_TIMEOUT_S = 1.0
MAX_SLOTS_PER_QUERY = 32
IDLE_SHARE_BETWEEN_QUERIES = 0.1
MIN_BETWEEN_QUERIES_S = 1.0


class ReadySlot(Struct, frozen=True):
    """A slot that could be released now if no peer has live flows on an older candidate."""

    release: SlotRelease
    idle_timeout_s: float


class Settlement:
    """Asks every listed peer about slots and releases those that all peers agree on.

    One question is open at a time. A slot that a peer still has live flows in, or that a listed
    peer did not answer for, is asked about again after a part of its idle timeout.
    """

    def __init__(self, directory: HomeDirectory) -> None:
        self._directory = directory
        self._query = 0
        self._deadline_s = 0.0
        self._missing: set[InstanceId] = set()
        self._asked: dict[SlotName, ReadySlot] = {}
        self._refused: set[SlotName] = set()
        self._not_before: dict[SlotName, float] = {}

    @property
    def is_running(self) -> bool:
        """Whether a question is open."""
        return bool(self._asked)

    def start(self, ready: Iterable[ReadySlot], now: float) -> list[SendToPeer]:
        """Ask the peers about slots, unless a question is open."""
        if self.is_running:
            return []
        self._choose(ready, now)
        if not self._asked:
            return []
        peers = self._directory.listed_peers()
        self._query += 1
        self._missing = set(peers)
        self._deadline_s = now + ANSWER_TIMEOUT_S
        query = SlotQuery(self._query, tuple(self._asked))
        return [SendToPeer(peer, query, Priority.HANDOVER) for peer in peers]

    def receive(self, sender: InstanceId, report: SlotReport) -> None:
        """Take a peer's report."""
        if report.query != self._query:
            return
        self._missing.discard(sender)
        for activity in report.activities:
            ready = self._asked.get(activity.slot)
            if ready is None:
                continue
            if activity.live or activity.version != ready.release.version:
                self._refused.add(activity.slot)

    def finish(self, now: float) -> Sequence[SlotRelease]:
        """End the open question if all peers answered or the time is up.

        :returns: the slots that may be released.
        """
        if not self._asked or (self._missing and now < self._deadline_s):
            return ()
        listed = set(self._directory.listed_peers())
        all_answered = not self._missing & listed
        released = []
        for slot, ready in self._asked.items():
            if all_answered and slot not in self._refused:
                released.append(ready.release)
                self._not_before.pop(slot, None)
            else:
                self._postpone(ready, now)
        self._asked.clear()
        self._refused.clear()
        return released

    def forget(self) -> None:
        """Drop what is known of slots after homes moved."""
        self._not_before.clear()

    def _choose(self, ready: Iterable[ReadySlot], now: float) -> None:
        for slot in ready:
            name = slot.release.slot
            if self._not_before.get(name, now) > now:
                continue
            self._asked[name] = slot
            if len(self._asked) >= MAX_SLOTS_PER_QUERY:
                return

    def _postpone(self, ready: ReadySlot, now: float) -> None:
        wait_s = max(MIN_BETWEEN_QUERIES_S, ready.idle_timeout_s * IDLE_SHARE_BETWEEN_QUERIES)
        self._not_before[ready.release.slot] = now + wait_s


def announce(releases: Sequence[SlotRelease], peers: Iterable[InstanceId]) -> list[SendToPeer]:
    """Build the messages that tell peers of releases."""
    if not releases:
        return []
    message = SlotReleases(tuple(releases))
    return [SendToPeer(peer, message, Priority.HANDOVER) for peer in peers]


def create_settlement(directory: HomeDirectory) -> Settlement:
    """Create the settlement of one instance."""
    return Settlement(directory)
