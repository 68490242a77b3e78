"""Bounded table of the flows that this entry saw recently.

The upstream of an open flow is determined by the mark, not by this table. The table counts flows
and unanswered requests for load balancing, keeps the upstreams tried for an opening, and detects
retransmissions.
"""

from collections import OrderedDict
from collections.abc import Iterator

from chicoryproxy.forwarding.balancing.peerloads import PeerLoads
from chicoryproxy.forwarding.model import FlowId
from chicoryproxy.forwarding.peers.peermessages import LoadReport
from chicoryproxy.forwarding.sequence import compute_distance
from chicoryproxy.forwarding.view.lifetime import Lifetime

MAX_FLOWS = 40_000
LOAD_IDLE_S = 5.0
"""A flow without packets for this long is no longer counted as load."""


class Flow:
    """State of one flow as seen by this entry.

    :ivar upstream: where its packets go; ``None`` before the first is assigned.
    :ivar tried: upstreams that got a copy of its opening.
    :ivar tried_s: when the last of these upstreams got its first copy.
    :ivar opening: the last copy of its opening that an upstream got; empty if it isn't needed.
    :ivar corrected_s: when the opening was last sent again to upstreams that the flow doesn't use.
    :ivar corrected_to: whose mark it had then.
    :ivar opened_s: time of its first packet at this entry.
    :ivar seen_s: time of its last packet at this entry.
    :ivar sent: highest offset of the caller's opening or data seen; negative before the first.
    :ivar acknowledged: highest response offset that the caller has acknowledged.
    :ivar waiting_since_s: when the unanswered request was first sent, or ``None``.
    :ivar retransmissions: retransmissions of the unanswered request.
    :ivar retransmitted_s: time of the last of them.
    :ivar is_open: the caller has acknowledged the handshake of ``upstream``.
    :ivar is_proven: this entry forwarded the copy of the opening whose answer was acknowledged.
    :ivar is_counted: the flow is part of the load of ``upstream``.
    :ivar has_ended: the caller has ended it, and awaits no response.
    """

    __slots__ = (
        "upstream",
        "tried",
        "tried_s",
        "opening",
        "corrected_s",
        "corrected_to",
        "opened_s",
        "seen_s",
        "sent",
        "acknowledged",
        "waiting_since_s",
        "retransmissions",
        "retransmitted_s",
        "is_open",
        "is_proven",
        "is_counted",
        "has_ended",
    )

    def __init__(self, now: float) -> None:
        self.upstream: Lifetime | None = None
        self.tried: list[Lifetime] = []
        self.tried_s = now
        self.opening = b""
        self.corrected_s = float("-inf")
        self.corrected_to: Lifetime | None = None
        self.opened_s = now
        self.seen_s = now
        self.sent = -1
        self.acknowledged = -1
        self.waiting_since_s: float | None = None
        self.retransmissions = 0
        self.retransmitted_s = now
        self.is_open = False
        self.is_proven = False
        self.is_counted = False
        self.has_ended = False

    def is_next(self, sequence: int) -> bool:
        """Return whether a packet directly follows the opening.

        The mark in it is that of the answer which the caller acknowledges; later ones may differ.
        """
        return not self.is_open and compute_distance(self.sent, sequence) <= 1


class Load:
    """Load of this entry at one upstream.

    :ivar flows: flows with recent packets.
    :ivar waiting: unanswered requests.
    :ivar unended: flows that have not ended, with or without recent packets.
    """

    __slots__ = ("flows", "waiting", "unended")

    def __init__(self) -> None:
        self.flows = 0
        self.waiting = 0
        self.unended = 0


class FlowTable:
    """Flows in the order of their last packet, and the resulting load of each upstream.

    :param capacity: maximum number of flows; the least recently used one is evicted.

    :ivar peer_loads: load of other entries, as last reported.
    """

    def __init__(self, capacity: int = MAX_FLOWS) -> None:
        self._capacity = capacity
        self._flows: OrderedDict[FlowId, Flow] = OrderedDict()
        self._idle: OrderedDict[FlowId, Flow] = OrderedDict()
        self._loads: dict[Lifetime, Load] = {}
        self.peer_loads = PeerLoads()

    def __len__(self) -> int:
        return len(self._flows) + len(self._idle)

    def get(self, flow_id: FlowId) -> Flow | None:
        """Return a flow, ``None`` if it is unknown."""
        return self._flows.get(flow_id) or self._idle.get(flow_id)

    def has_flows(self, upstream: Lifetime) -> bool:
        """Return whether an upstream has flows that have not ended."""
        load = self._loads.get(upstream)
        return load is not None and load.unended > 0

    def iterate_upstream(self, upstream: Lifetime) -> Iterator[tuple[FlowId, Flow]]:
        """Iterate over the flows of an upstream that have not ended."""
        for flows in (self._flows, self._idle):
            for flow_id, flow in flows.items():
                if flow.upstream is upstream and not flow.has_ended:
                    yield flow_id, flow

    def touch(self, flow_id: FlowId, now: float) -> Flow:
        """Return a flow, creating it if needed, and update the time of its last packet."""
        flow = self._flows.get(flow_id)
        if flow is not None:
            flow.seen_s = now
            self._flows.move_to_end(flow_id)
            return flow
        flow = self._idle.pop(flow_id, None)
        if flow is None:
            self._evict_if_full()
            flow = Flow(now)
        flow.seen_s = now
        self._flows[flow_id] = flow
        if flow.upstream is not None and not flow.has_ended:
            self.assign(flow, flow.upstream)
        return flow

    def assign(self, flow: Flow, upstream: Lifetime) -> None:
        """Assign a flow to an upstream, and move its load there."""
        if flow.upstream is upstream and flow.is_counted:
            return
        self.release(flow)
        self._leave_upstream(flow)
        flow.upstream = upstream
        flow.is_counted = True
        flow.has_ended = False
        load = self._loads.get(upstream)
        if load is None:
            load = self._loads[upstream] = Load()
        load.flows += 1
        load.unended += 1

    def release(self, flow: Flow) -> None:
        """Stop counting a flow as load; its upstream stays assigned."""
        if not flow.is_counted or flow.upstream is None:
            return
        self.end_wait(flow)
        flow.is_counted = False
        self._loads[flow.upstream].flows -= 1

    def end(self, flow: Flow) -> None:
        """Record that the caller has ended a flow.

        A flow whose request is still unanswered stays open, since its caller may await the
        response.
        """
        is_answered = flow.waiting_since_s is None
        self.release(flow)
        if is_answered:
            self._leave_upstream(flow)

    def start_wait(self, flow: Flow, now: float) -> bool:
        """Record that a request was sent.

        :returns: False if an earlier one is still unanswered, or the flow has ended.
        """
        if flow.waiting_since_s is not None or not flow.is_counted or flow.upstream is None:
            return False
        flow.waiting_since_s = now
        flow.retransmissions = 0
        self._loads[flow.upstream].waiting += 1
        return True

    def end_wait(self, flow: Flow) -> None:
        """Record that the response has begun to arrive."""
        if flow.waiting_since_s is not None and flow.upstream is not None:
            flow.waiting_since_s = None
            flow.retransmissions = 0
            self._loads[flow.upstream].waiting -= 1

    def remove(self, flow_id: FlowId) -> None:
        """Remove a flow."""
        flow = self._flows.pop(flow_id, None) or self._idle.pop(flow_id, None)
        if flow is not None:
            self.release(flow)
            self._leave_upstream(flow)

    def expire(self, now: float, idle_timeout_s: float) -> None:
        """Stop counting idle flows as load, and remove them after the idle timeout.

        :param idle_timeout_s: seconds without a packet after which a flow is removed.
        """
        while self._flows:
            flow_id, flow = next(iter(self._flows.items()))
            if now - flow.seen_s < LOAD_IDLE_S:
                break
            self.release(flow)
            self._idle[flow_id] = self._flows.pop(flow_id)
        while self._idle:
            flow_id, flow = next(iter(self._idle.items()))
            if now - flow.seen_s < idle_timeout_s:
                break
            self.remove(flow_id)

    def report_loads(self) -> tuple[LoadReport, ...]:
        """Return the load of this entry at each upstream."""
        return tuple(
            LoadReport(upstream.mark, load.flows, load.waiting)
            for upstream, load in self._loads.items()
            if load.flows
        )

    def _leave_upstream(self, flow: Flow) -> None:
        """Mark a flow as ended at its upstream."""
        if flow.upstream is None or flow.has_ended:
            return
        flow.has_ended = True
        load = self._loads[flow.upstream]
        load.unended -= 1
        if not load.unended:
            del self._loads[flow.upstream]

    def _evict_if_full(self) -> None:
        if len(self) >= self._capacity:
            self.remove(next(iter(self._idle or self._flows)))

    def get_load(self, upstream: Lifetime) -> LoadReport:
        """Return the load of an upstream from this entry and, as last reported, from its peers."""
        own = self._loads.get(upstream)
        reported = self.peer_loads.get(upstream.mark)
        if own is None:
            return reported or LoadReport(upstream.mark, 0, 0)
        if reported is None:
            return LoadReport(upstream.mark, own.flows, own.waiting)
        flows = own.flows + reported.flows
        return LoadReport(upstream.mark, flows, own.waiting + reported.waiting)

    def get_own_load(self, upstream: Lifetime) -> Load | None:
        """Return the load of this entry at an upstream, ``None`` if there is none."""
        return self._loads.get(upstream)
