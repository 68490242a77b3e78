"""Agreement of all peers on the release of contested slots, queried by the slots' home."""

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
from chicoryproxy.routing.requestnumber import next_request_number

ANSWER_TIMEOUT_S = 1.0
MAX_SLOTS_PER_QUERY = 32
RETRY_IDLE_TIMEOUT_FRACTION = 0.1
MIN_RETRY_INTERVAL_S = 1.0


class ReleasableSlot(Struct, frozen=True):
    """A slot that can be released unless a peer has live flows on an older candidate."""

    release: SlotRelease
    idle_timeout_s: float


class ReleaseAgreement:
    """Queries every listed peer about slots and returns those that all peers agree to release.

    Only one query is open at a time. A slot in which a peer still has live flows, or for which a
    listed peer did not answer, is queried again after a fraction of its idle timeout.
    """

    def __init__(self, directory: HomeDirectory) -> None:
        self._directory = directory
        self._query_number = 0
        self._deadline_s = 0.0
        self._pending_peers: set[InstanceId] = set()
        self._queried: dict[SlotName, ReleasableSlot] = {}
        self._vetoed: set[SlotName] = set()
        self._postponed_until_s: dict[SlotName, float] = {}

    @property
    def is_running(self) -> bool:
        """Whether a query is open."""
        return bool(self._queried)

    def start_query(self, ready: Iterable[ReleasableSlot], now: float) -> list[SendToPeer]:
        """Query the peers about slots unless a query is open."""
        if self.is_running:
            return []
        self._select(ready, now)
        if not self._queried:
            return []
        peers = self._directory.listed_peers()
        self._query_number = next_request_number(self._query_number, now)
        self._pending_peers = set(peers)
        self._deadline_s = now + ANSWER_TIMEOUT_S
        query = SlotQuery(self._query_number, tuple(self._queried))
        return [SendToPeer(peer, query, Priority.HANDOVER) for peer in peers]

    def receive_report(self, sender: InstanceId, report: SlotReport) -> None:
        """Process a peer's report; a report for an earlier query is ignored.

        A slot that the report leaves out is not released.
        """
        if report.query != self._query_number:
            return
        self._pending_peers.discard(sender)
        self._vetoed.update(self._queried.keys() - {item.slot for item in report.activities})
        for activity in report.activities:
            ready = self._queried.get(activity.slot)
            if ready is None:
                continue
            if activity.live or activity.version != ready.release.version:
                self._vetoed.add(activity.slot)

    def finish_query(self, now: float) -> Sequence[SlotRelease]:
        """Close the open query if all peers have answered or it has timed out.

        :returns: the releases of the slots that all listed peers agreed on.
        """
        if not self._queried or (self._pending_peers and now < self._deadline_s):
            return ()
        listed = set(self._directory.listed_peers())
        all_answered = not self._pending_peers & listed
        released = []
        for slot, ready in self._queried.items():
            if all_answered and slot not in self._vetoed:
                released.append(ready.release)
                self._postponed_until_s.pop(slot, None)
            else:
                self._postpone(ready, now)
        self._queried.clear()
        self._vetoed.clear()
        return released

    def clear_postponed(self) -> None:
        """Allow all slots to be queried at once, as after a change of homes."""
        self._postponed_until_s.clear()

    def _select(self, ready: Iterable[ReleasableSlot], now: float) -> None:
        for slot in ready:
            name = slot.release.slot
            if self._postponed_until_s.get(name, now) > now:
                continue
            self._queried[name] = slot
            if len(self._queried) >= MAX_SLOTS_PER_QUERY:
                return

    def _postpone(self, ready: ReleasableSlot, now: float) -> None:
        wait_s = max(MIN_RETRY_INTERVAL_S, ready.idle_timeout_s * RETRY_IDLE_TIMEOUT_FRACTION)
        self._postponed_until_s[ready.release.slot] = now + wait_s


def build_release_messages(
    releases: Sequence[SlotRelease], peers: Iterable[InstanceId]
) -> list[SendToPeer]:
    """Build the messages that send releases to peers."""
    if not releases:
        return []
    message = SlotReleases(tuple(releases))
    return [SendToPeer(peer, message, Priority.HANDOVER) for peer in peers]


def create_release_agreement(directory: HomeDirectory) -> ReleaseAgreement:
    """Create the release agreement of one instance."""
    return ReleaseAgreement(directory)
