"""Chooses the upstream of each packet of a caller.

For an opening, ``placement`` selects an upstream, and its mark is written into the packet. Both
ends echo the mark, so that any entry finds the upstream of every later packet without asking its
peers. An unknown mark does not prove that the upstream has ended: the packet is dropped, and the
caller retransmits it.
"""

from collections import Counter

from msgspec import Struct

from chicoryproxy.forwarding.balancing.coldstart import ColdBudget
from chicoryproxy.forwarding.balancing.pending import PendingResponses
from chicoryproxy.forwarding.balancing.performance import Performance, create_performance
from chicoryproxy.forwarding.balancing.placement import (
    Exclusion,
    Opening,
    OpeningPolicy,
    create_opening_policy,
)
from chicoryproxy.forwarding.balancing.slowstart import SlowStart, create_slow_start
from chicoryproxy.forwarding.flows import Flow, FlowTable
from chicoryproxy.forwarding.health.domainreachability import DomainReachability
from chicoryproxy.forwarding.health.failuredetector import FailureDetector
from chicoryproxy.forwarding.health.isolation import RecentOpenings
from chicoryproxy.forwarding.health.probecontrol import ControlProbeSelector
from chicoryproxy.forwarding.health.reachability import ReachabilityMonitor
from chicoryproxy.forwarding.health.unreachablereports import UnreachableReports
from chicoryproxy.forwarding.health.upstreamfailures import UpstreamFailures
from chicoryproxy.forwarding.load.admission import (
    AdmissionControl,
    AdmissionInputs,
    create_admission_control,
)
from chicoryproxy.forwarding.load.overload import OverloadDetector, create_overload_detector
from chicoryproxy.forwarding.model import Drop, Refusal, Route
from chicoryproxy.forwarding.packet import CallerPacket
from chicoryproxy.forwarding.pause import PauseDetector
from chicoryproxy.forwarding.sequence import (
    add_to_sequence,
    is_same_flow,
    is_sequence_after,
)
from chicoryproxy.forwarding.trafficevidence import TrafficEvidence
from chicoryproxy.forwarding.trafficobserver import TrafficObserver
from chicoryproxy.forwarding.unusedhandshakes import RepeatedOpening, UnusedHandshakes
from chicoryproxy.forwarding.view.directory import Directory
from chicoryproxy.forwarding.view.lifetime import Lifetime
from chicoryproxy.ids import DomainId

FAILURE_RETRANSMISSIONS = 2
"""The first retransmission may cross a late acknowledgement; the second one is a failure."""

FALSE_HEALTH_QUIET_S = 0.3
"""Where health checks may fail falsely, an upstream counts as unreachable only if it has also
answered no caller for this long."""

ANSWER_TIMEOUT_S = 0.1
"""An upstream that got an opening less than this ago may still answer it. Callers send the first
copy after twice this time; copies that arrive sooner waited in the queue of this entry."""

Decision = Lifetime | Refusal | Drop
"""Upstream of a packet, or why the packet is not forwarded."""


class ForwarderParts(Struct, frozen=True):
    """The components of a forwarder.

    :param directory: shared with the component that applies changes of the store.
    """

    directory: Directory
    flows: FlowTable
    failure_detector: FailureDetector
    cold_budget: ColdBudget
    policy: OpeningPolicy
    reachability: ReachabilityMonitor
    domains: DomainReachability
    failures: UpstreamFailures
    overload: OverloadDetector
    slow_start: SlowStart
    performance: Performance
    admission: AdmissionControl
    observer: TrafficObserver


class Forwarder:
    """Packet core of an entry, with flow affinity that needs no state shared between entries.

    :param now: time of the start, in seconds.

    :ivar is_synced: the view of the platform is complete; until then no flow is opened.
    :ivar is_rerouting: openings without an upstream are dropped, because the retransmissions of
        their callers will reach entries that can serve them.
    """

    def __init__(self, parts: ForwarderParts, now: float) -> None:
        self.flows = parts.flows
        self.observer = parts.observer
        self.failure_detector = parts.failure_detector
        self.cold_budget = parts.cold_budget
        self.reachability = parts.reachability
        self.failures = parts.failures
        self.slow_start = parts.slow_start
        self.performance = parts.performance
        self.admission = parts.admission
        self._domains = parts.domains
        self.recent_openings = RecentOpenings()
        self._pending = PendingResponses()
        self.pause = PauseDetector(now)
        self.is_synced = False
        self.is_rerouting = False
        self._directory = parts.directory
        self.policy = parts.policy
        self._unused_handshakes = UnusedHandshakes()
        self._evidence = TrafficEvidence(
            parts.failure_detector,
            parts.reachability,
            parts.failures,
            parts.overload,
            parts.slow_start,
            parts.performance,
            parts.admission,
            parts.observer,
        )

    def handle(self, packet: CallerPacket, now: float) -> Decision:
        """Choose the upstream of one packet, or why it is not forwarded."""
        if packet.is_opening:
            return self._handle_opening(packet, now)
        return self._handle_established(packet, now)

    def pop_repeated_openings(self) -> list[RepeatedOpening]:
        """Return the openings that the last packets make necessary to send once more."""
        return self._unused_handshakes.pop_repeated()

    def count_exclusions(self, packet: CallerPacket, now: float) -> Counter[Exclusion]:
        """Count the upstreams of a packet's route that can't accept an opening, by reason."""
        route = self._directory.find_route(packet.route_key)
        return self.policy.count_exclusions(route, now) if route else Counter()

    def find_admission_inputs(self, packet: CallerPacket, now: float) -> AdmissionInputs | None:
        """Return what decides on the admission of an opening, if anything does."""
        route = self._directory.find_route(packet.route_key)
        return self.admission.find_inputs(route, packet.flow, now) if route else None

    def expire(self, now: float) -> None:
        """Discard expired state, and suspect upstreams with overdue responses."""
        for upstream in self._pending.pop_overdue(now):
            self.reachability.suspect(upstream, now)
        self.failures.sample_unreachable_domains(now)
        self.failures.expire(now)
        self._pending.expire(now)
        self.flows.expire(now, self._directory.idle_timeout_s)
        self.failure_detector.expire(now)
        self.cold_budget.expire(now)
        self.slow_start.expire(now)
        self.performance.expire(now)
        self.admission.expire(now)

    def _handle_opening(self, packet: CallerPacket, now: float) -> Decision:
        if not self._is_view_current(now):
            return Drop.NOT_SYNCED
        route = self._directory.find_route(packet.route_key)
        if route is None:
            return Refusal.NO_ROUTE
        self.recent_openings.record(packet.route_key, now)
        flow = self._touch_opening(packet, now)
        is_new = not (packet.acknowledged or flow.tried or flow.is_open)
        if flow.is_open and flow.upstream is not None:
            if packet.acknowledged:
                return self._handle_late_copy(flow.upstream, route)
            flow = self._replace_flow(packet, now)
        awaited = self._find_awaited(flow, route, now)
        if awaited is not None:
            return awaited
        if is_new and not self.admission.admits(route, packet.flow, now):
            self.flows.remove(packet.flow)
            return Refusal.OVERLOADED
        flow.sent = packet.sequence
        self._record_retransmission(packet, flow, now)
        return self._place_opening(packet, flow, route, now)

    def _is_view_current(self, now: float) -> bool:
        """Return whether the view is complete, and confirmed since the last pause."""
        return self.is_synced and not (self.pause.is_unconfirmed or self.pause.is_late(now))

    def _handle_late_copy(self, upstream: Lifetime, route: Route) -> Decision:
        """Handle a retransmission of an opening that was answered already."""
        return upstream if self.policy.may_open(upstream, route) else Drop.LATE_COPY

    def _place_opening(
        self, packet: CallerPacket, flow: Flow, route: Route, now: float
    ) -> Decision:
        """Choose an upstream for an opening, and record that it gets a copy."""
        avoided = self._pending.list_pending(packet.flow, now)
        upstream = self.policy.choose(Opening(route, packet.flow, flow.tried, avoided), now)
        if upstream is None:
            self.flows.remove(packet.flow)
            return Drop.REROUTING if self.is_rerouting else Refusal.NO_UPSTREAM
        if upstream not in flow.tried:
            flow.tried.append(upstream)
            flow.tried_s = now
        flow.opening = packet.data
        if upstream.is_cold(now):
            self.cold_budget.record_opening(upstream, now)
        self.flows.assign(flow, upstream)
        self._pending.add_opening(packet.flow, flow, upstream, now)
        return upstream

    def _find_awaited(self, flow: Flow, route: Route, now: float) -> Lifetime | None:
        """Return the upstream that has not yet had time to answer an earlier copy, if any.

        If another upstream got this copy, both would answer.
        """
        if not flow.tried or now - flow.tried_s >= ANSWER_TIMEOUT_S:
            return None
        upstream = flow.tried[-1]
        return upstream if self.policy.may_open(upstream, route) else None

    def _touch_opening(self, packet: CallerPacket, now: float) -> Flow:
        flow = self.flows.touch(packet.flow, now)
        if flow.sent >= 0 and not is_same_flow(packet.sequence, flow.sent):
            return self._replace_flow(packet, now)
        return flow

    def _replace_flow(self, packet: CallerPacket, now: float) -> Flow:
        """Replace a flow whose addresses and ports are reused by a new one."""
        self.flows.remove(packet.flow)
        return self.flows.touch(packet.flow, now)

    def _record_retransmission(self, packet: CallerPacket, flow: Flow, now: float) -> None:
        if packet.acknowledged and flow.tried:
            self._evidence.record_failure(flow.tried[-1], now)

    def _handle_established(self, packet: CallerPacket, now: float) -> Decision:
        flow = self._find_flow(packet)
        upstream = self._find_upstream(packet, flow)
        if upstream is None:
            return Drop.UNKNOWN_MARK if packet.mark else Drop.NO_FLOW
        if self._directory.is_route_removed(packet.route_key):
            return self._refuse(packet, Refusal.ROUTE_REMOVED)
        if upstream.is_unreachable:
            if self.reachability.is_confirmed_unreachable(upstream, now):
                return self._refuse(packet, Refusal.UPSTREAM_UNREACHABLE)
            # The upstream may be back, with the flow still open; if not, the caller retransmits.
            self.reachability.check(upstream, now)
        if packet.is_end or packet.is_reset:
            if flow is not None:
                self.flows.end(flow)
            return upstream
        if flow is None:
            flow = self.flows.touch(packet.flow, now)
            flow.is_open = True
            flow.acknowledged = packet.acknowledged
            self.flows.assign(flow, upstream)
        else:
            self._record_progress(packet, flow, upstream, now)
            if flow.opening:
                self._correct_unused_handshakes(packet, flow, now)
        self._record_data(packet, flow, upstream, now)
        return upstream

    def _find_flow(self, packet: CallerPacket) -> Flow | None:
        """Return the record of a packet's flow.

        The record of an older flow with the same addresses and ports is discarded. Its upstream
        numbered its answers from another start.
        """
        flow = self.flows.get(packet.flow)
        if flow is None or not flow.is_open or not packet.mark:
            return flow
        if is_same_flow(packet.acknowledged, flow.acknowledged):
            return flow
        self.flows.remove(packet.flow)
        return None

    def _find_upstream(self, packet: CallerPacket, flow: Flow | None) -> Lifetime | None:
        marked = self._directory.find_by_mark(packet.mark) if packet.mark else None
        if flow is None or flow.upstream is None or not flow.is_open:
            return marked
        if marked is None or flow.is_proven or marked in flow.tried:
            # If several upstreams answered the opening, the caller acknowledges the first answer
            # but echoes the mark that arrived last.
            return flow.upstream
        return marked

    def _refuse(self, packet: CallerPacket, refusal: Refusal) -> Decision:
        self.flows.remove(packet.flow)
        return Drop.NO_FLOW if packet.is_reset else refusal

    def _record_progress(
        self, packet: CallerPacket, flow: Flow, upstream: Lifetime, now: float
    ) -> None:
        flow = self.flows.touch(packet.flow, now)
        if not flow.is_open or flow.upstream is not upstream:
            if flow.is_open and flow.upstream is not None:
                self.observer.record_upstream_change(packet.flow, flow.upstream, upstream)
            flow.is_proven = upstream in flow.tried and flow.is_next(packet.sequence)
            flow.is_open = True
            flow.acknowledged = packet.acknowledged
            self.flows.assign(flow, upstream)
            self.observer.record_handshake(now - flow.opened_s)
            self.recent_openings.record_answer(now)
            self._evidence.record_answer(upstream, now)
        elif is_sequence_after(packet.acknowledged, flow.acknowledged):
            flow.acknowledged = packet.acknowledged
            if flow.waiting_since_s is not None:
                route = self._directory.find_route(packet.route_key)
                duration_s = now - flow.waiting_since_s
                self._evidence.record_response(route, flow, upstream, duration_s, now)
            self.flows.end_wait(flow)
            self._evidence.record_answer(upstream, now)

    def _correct_unused_handshakes(self, packet: CallerPacket, flow: Flow, now: float) -> None:
        route = self._directory.find_route(packet.route_key)
        if route is not None:
            self._unused_handshakes.handle_packet(
                flow, packet.mark, lambda item: self.policy.may_open(item, route), now
            )

    def _record_data(
        self, packet: CallerPacket, flow: Flow, upstream: Lifetime, now: float
    ) -> None:
        if not packet.size:
            return
        end = add_to_sequence(packet.sequence, packet.size)
        if flow.sent < 0 or is_sequence_after(end, flow.sent):
            flow.sent = end
            if self.flows.start_wait(flow, now):
                self._pending.add_request(packet.flow, flow, upstream, now)
            return
        flow.retransmissions += 1
        flow.retransmitted_s = now
        if flow.retransmissions >= FAILURE_RETRANSMISSIONS:
            self._evidence.record_failure(upstream, now)
        else:
            self.reachability.suspect(upstream, now)


def create_forwarder(
    domain: DomainId,
    directory: Directory,
    now: float,
    observer: TrafficObserver,
    has_false_health: bool = False,
    seed: int = 0,
) -> Forwarder:
    """Create the packet core of an entry.

    :param domain: failure domain of the entry.
    :param now: time of the start, in seconds.
    :param observer: receives measurements and events.
    :param has_false_health: connections may fail although an upstream works; the
        answers to callers then decide whether it is reachable.
    :param seed: seed of the pseudo-random choices.
    """
    flows = FlowTable()
    failure_detector = FailureDetector()
    cold_budget = ColdBudget(directory)
    domains = DomainReachability(directory, seed)
    reports = UnreachableReports()
    slow_start = create_slow_start(domain)
    performance = create_performance()
    policy = create_opening_policy(
        domain,
        directory,
        flows,
        failure_detector,
        cold_budget,
        domains,
        reports,
        slow_start,
        performance,
    )
    overload = create_overload_detector()
    quiet_s = FALSE_HEALTH_QUIET_S if has_false_health else 0.0
    reachability = ReachabilityMonitor(quiet_s, overload, has_false_health)
    control = ControlProbeSelector(directory, domain, reachability.is_failing)
    failures = UpstreamFailures(domain, directory, flows, reachability, domains, reports, control)
    admission = create_admission_control(directory, flows, domains, failure_detector, reports)
    parts = ForwarderParts(
        directory,
        flows,
        failure_detector,
        cold_budget,
        policy,
        reachability,
        domains,
        failures,
        overload,
        slow_start,
        performance,
        admission,
        observer,
    )
    return Forwarder(parts, now)
