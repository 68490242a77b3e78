"""Unanswered openings and requests, by age and by caller.

If the process of an upstream has ended, its host may reset flows directly, which this entry does
not see: the caller retries at once, and an upstream that fails fast looks idle. Requests of a
caller that are still unanswered when it opens another flow distinguish such an upstream from an
idle one.
"""

from collections import deque

from msgspec import Struct

from chicoryproxy.forwarding.flows import Flow
from chicoryproxy.forwarding.model import FlowId
from chicoryproxy.forwarding.view.lifetime import Lifetime

OPENING_OVERDUE_S = 0.03
"""A handshake normally takes a few milliseconds."""

REQUEST_OVERDUE_S = 0.15
RECENT_S = 0.25
"""Older unanswered items are not related to a caller's new flow."""

ITEMS_PER_CALLER = 8
HOST_BYTES = 4


class _PendingItem(Struct):
    """One opening or request.

    :ivar since_s: time when it was sent.
    """

    flow: Flow
    upstream: Lifetime
    since_s: float
    is_opening: bool

    def is_pending(self) -> bool:
        """Return whether it is still unanswered."""
        if self.flow.upstream is not self.upstream:
            return False
        if self.is_opening:
            return not self.flow.is_open
        return self.flow.waiting_since_s == self.since_s


class PendingResponses:
    """Tracks unanswered openings and requests."""

    def __init__(self) -> None:
        self._openings: deque[_PendingItem] = deque()
        self._requests: deque[_PendingItem] = deque()
        self._callers: dict[bytes, deque[_PendingItem]] = {}

    def add_opening(self, flow_id: FlowId, flow: Flow, upstream: Lifetime, now: float) -> None:
        """Record an opening sent to an upstream."""
        self._add(flow_id, _PendingItem(flow, upstream, now, True), self._openings)

    def add_request(self, flow_id: FlowId, flow: Flow, upstream: Lifetime, now: float) -> None:
        """Record a request sent to an upstream."""
        self._add(flow_id, _PendingItem(flow, upstream, now, False), self._requests)

    def list_pending(self, flow_id: FlowId, now: float) -> list[Lifetime]:
        """Return the upstreams with recent unanswered items of the caller of a flow."""
        items = self._callers.get(flow_id[:HOST_BYTES], ())
        return [
            item.upstream for item in items if now - item.since_s < RECENT_S and item.is_pending()
        ]

    def pop_overdue(self, now: float) -> list[Lifetime]:
        """Remove overdue items and return the upstreams that have not answered them."""
        overdue = _pop_older(self._openings, now - OPENING_OVERDUE_S)
        overdue.extend(_pop_older(self._requests, now - REQUEST_OVERDUE_S))
        return overdue

    def expire(self, now: float) -> None:
        """Discard callers without recent items."""
        for host, items in list(self._callers.items()):
            if now - items[-1].since_s > RECENT_S:
                del self._callers[host]

    def _add(self, flow_id: FlowId, item: _PendingItem, queue: deque[_PendingItem]) -> None:
        queue.append(item)
        host = flow_id[:HOST_BYTES]
        items = self._callers.get(host)
        if items is None:
            items = self._callers[host] = deque(maxlen=ITEMS_PER_CALLER)
        items.append(item)


def _pop_older(queue: deque[_PendingItem], limit_s: float) -> list[Lifetime]:
    popped: list[Lifetime] = []
    while queue and queue[0].since_s <= limit_s:
        item = queue.popleft()
        if item.is_pending():
            popped.append(item.upstream)
    return popped
