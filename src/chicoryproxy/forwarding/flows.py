"""Bounded table of the flows that this entry saw recently.

The upstream of an open flow is determined by the mark, not by this table. The table counts flows
and unanswered requests for load balancing, keeps the upstreams tried for an opening, and detects
retransmissions.
"""

import math
from collections import OrderedDict
from collections.abc import Iterator

from msgspec import Struct

from chicoryproxy.forwarding.lifetime import Lifetime
from chicoryproxy.forwarding.model import FlowId, Mark
from chicoryproxy.forwarding.peerloads import PeerLoads
from chicoryproxy.forwarding.peermessages import LoadReport

MAX_FLOWS = 40_000
LOAD_IDLE_S = 5.0
"""A flow without packets for this long is no longer counted as load."""

AVERAGING_S = 1.0
"""Time constant of the average loads that are reported to peers."""

REPORT_SCALE = 10
"""Reported loads are in tenths."""


class Flow:
    """State of one flow as seen by this entry.

    :ivar upstream: where its packets go; ``None`` before the first is assigned.
    :ivar tried: upstreams that got a copy of its opening.
    :ivar tried_s: when the last of these upstreams got its first copy.
    :ivar opened_s: time of its first packet at this entry.
    :ivar seen_s: time of its last packet at this entry.
    :ivar sent: highest offset of the caller's opening or data seen; negative before the first.
    :ivar acknowledged: highest response offset that the caller has acknowledged.
    :ivar waiting_since_s: when the unanswered request was first sent, or ``None``.
    :ivar retransmissions: retransmissions of the unanswered request.
    :ivar is_open: the caller has acknowledged the handshake of ``upstream``.
    :ivar is_proven: this entry forwarded the copy of the opening whose answer was acknowledged.
    :ivar is_counted: the flow is part of the load of ``upstream``.
    :ivar has_ended: the caller has ended it, and awaits no response.
    """

    __slots__ = (
        "upstream",
        "tried",
        "tried_s",
        "opened_s",
        "seen_s",
        "sent",
        "acknowledged",
        "waiting_since_s",
        "retransmissions",
        "is_open",
        "is_proven",
        "is_counted",
        "has_ended",
    )

    def __init__(self, now: float) -> None:
        self.upstream: Lifetime | None = None
        self.tried: list[Lifetime] = []
        self.tried_s = now
        self.opened_s = now
        self.seen_s = now
        self.sent = -1
        self.acknowledged = -1
        self.waiting_since_s: float | None = None
        self.retransmissions = 0
        self.is_open = False
        self.is_proven = False
        self.is_counted = False
        self.has_ended = False


class Load:
    """Load of this entry at one upstream.

    :ivar flows: flows with recent packets.
    :ivar waiting: unanswered requests.
    :ivar unended: flows that have not ended, with or without recent packets.
    """

    __slots__ = (
        "flows",
        "waiting",
        "unended",
        "_average_flows",
        "_average_waiting",
        "_averaged_s",
    )

    def __init__(self, now: float) -> None:
        self.flows = 0
        self.waiting = 0
        self.unended = 0
        self._average_flows = 0.0
        self._average_waiting = 0.0
        self._averaged_s = now

    def average(self, now: float) -> None:
        """Bring the averages up to date; to be called before each change."""
        share = 1.0 - math.exp((self._averaged_s - now) / AVERAGING_S)
        self._average_flows += (self.flows - self._average_flows) * share
        self._average_waiting += (self.waiting - self._average_waiting) * share
        self._averaged_s = now

    def create_report(self, mark: Mark) -> LoadReport:
        """Create the report of the averages."""
        flows = round(self._average_flows * REPORT_SCALE)
        return LoadReport(mark, flows, round(self._average_waiting * REPORT_SCALE))


class UpstreamLoad(Struct, frozen=True):
    """Load of all known entries at one upstream.

    :param flows: flows with recent packets.
    :param waiting: unanswered requests.
    """

    flows: float
    waiting: float


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
        self._now_s = 0.0
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
        self._now_s = now
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
        if upstream not in self._loads:
            self._loads[upstream] = Load(self._now_s)
        load = self._change_load(upstream)
        load.flows += 1
        load.unended += 1

    def release(self, flow: Flow) -> None:
        """Stop counting a flow as load; its upstream stays assigned."""
        if not flow.is_counted or flow.upstream is None:
            return
        self.end_wait(flow)
        flow.is_counted = False
        self._change_load(flow.upstream).flows -= 1

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
        self._change_load(flow.upstream).waiting += 1
        return True

    def end_wait(self, flow: Flow) -> None:
        """Record that the response has begun to arrive."""
        if flow.waiting_since_s is not None and flow.upstream is not None:
            flow.waiting_since_s = None
            flow.retransmissions = 0
            self._change_load(flow.upstream).waiting -= 1

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
        self._now_s = now
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

    def report_loads(self, now: float) -> tuple[LoadReport, ...]:
        """Return the average load of this entry at each upstream."""
        reports: list[LoadReport] = []
        for upstream, load in list(self._loads.items()):
            load.average(now)
            report = load.create_report(upstream.mark)
            if report.flows or report.waiting:
                reports.append(report)
            elif not load.unended:
                del self._loads[upstream]
        return tuple(reports)

    def _change_load(self, upstream: Lifetime) -> Load:
        """Return the load of an upstream, for a change of it now."""
        load = self._loads[upstream]
        load.average(self._now_s)
        return load

    def _leave_upstream(self, flow: Flow) -> None:
        """Mark a flow as ended at its upstream."""
        if flow.upstream is None or flow.has_ended:
            return
        flow.has_ended = True
        self._loads[flow.upstream].unended -= 1

    def _evict_if_full(self) -> None:
        if len(self) >= self._capacity:
            self.remove(next(iter(self._idle or self._flows)))

    def get_load(self, upstream: Lifetime) -> UpstreamLoad:
        """Return the load of an upstream from this entry and, as last reported, from its peers."""
        own = self._loads.get(upstream)
        reported = self.peer_loads.get(upstream.mark)
        flows = (own.flows if own else 0) + (reported.flows / REPORT_SCALE if reported else 0)
        waiting = (own.waiting if own else 0) + (reported.waiting / REPORT_SCALE if reported else 0)
        return UpstreamLoad(flows, waiting)
