"""Connections of each upstream, as one entry can tell."""

from msgspec import Struct

from chicoryproxy.ids import UpstreamId
from chicoryproxy.model import Upstream

READING_LIFETIME_S = 10.0


class _Count(Struct):
    """What is known of one upstream.

    :ivar own: connections opened through this entry, less those that it saw end.
    :ivar read: connections by the last load reading; negative if there is none.
    :ivar own_at_reading: value of ``own`` at that time.
    """

    own: int = 0
    read: int = -1
    read_at: float = 0.0
    own_at_reading: int = 0


class ConnectionCounter:
    """Estimates the connections of each upstream and compares them with its capacity.

    The fabric sprays packets evenly, so an entry sees its part of the openings and of the ends.
    The estimate is the last load reading, if there is one of the last ``READING_LIFETIME_S``,
    with this entry's own changes since then multiplied by the number of entries. Without a
    reading it is the whole of the entry's own count, multiplied likewise. A reading that lags
    is made up for by the own changes; one that misleads is in force until the next only.
    """

    def __init__(self) -> None:
        self._counts: dict[UpstreamId, _Count] = {}

    def note_opened(self, upstream: UpstreamId) -> None:
        """Count a connection that was opened through this entry."""
        self._find(upstream).own += 1

    def note_closed(self, upstream: UpstreamId) -> None:
        """Count the end of a connection that this entry saw, of its own or of another's."""
        count = self._find(upstream)
        count.own = max(0, count.own - 1)

    def note_reading(self, upstream: UpstreamId, connections: int, now: float) -> None:
        """Take in a load reading; a negative number of connections is unknown."""
        if connections < 0:
            return
        count = self._find(upstream)
        count.read = connections
        count.read_at = now
        count.own_at_reading = count.own

    def estimate(self, upstream: UpstreamId, entries: int, now: float) -> int:
        """Return the estimated connections of an upstream.

        :param entries: number of live entries that share the packets of its service.
        """
        count = self._counts.get(upstream)
        if count is None:
            return 0
        if count.read < 0 or now - count.read_at > READING_LIFETIME_S:
            return count.own * entries
        return max(0, count.read + (count.own - count.own_at_reading) * entries)

    def has_room(self, upstream: Upstream, entries: int, now: float) -> bool:
        """Return whether an upstream can take one more connection."""
        return self.estimate(upstream.id, entries, now) < upstream.capacity.connections

    def keep(self, upstreams: frozenset[UpstreamId]) -> None:
        """Forget all upstreams but these."""
        for upstream in self._counts.keys() - upstreams:
            del self._counts[upstream]

    def _find(self, upstream: UpstreamId) -> _Count:
        count = self._counts.get(upstream)
        if count is None:
            count = self._counts[upstream] = _Count()
        return count


def create_connection_counter() -> ConnectionCounter:
    """Create a counter that knows of no connection."""
    return ConnectionCounter()
