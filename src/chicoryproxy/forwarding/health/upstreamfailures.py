"""Decides which flows to reset when an upstream fails, and which upstreams to probe for that."""

from collections.abc import Iterable

from msgspec import Struct

from chicoryproxy.forwarding.flows import FlowTable
from chicoryproxy.forwarding.health.domainreachability import DomainReachability
from chicoryproxy.forwarding.health.probecontrol import ControlProbeSelector
from chicoryproxy.forwarding.health.reachability import ProbeResult, ReachabilityMonitor
from chicoryproxy.forwarding.health.unreachablereports import UnreachableReports
from chicoryproxy.forwarding.model import FlowId, Mark, UpstreamPhase
from chicoryproxy.forwarding.view.directory import Directory
from chicoryproxy.forwarding.view.lifetime import Lifetime
from chicoryproxy.ids import DomainId

_REACHED = (
    ProbeResult.CONNECTED,
    ProbeResult.CONNECTED_SLOWLY,
    ProbeResult.RESET,
    ProbeResult.RESET_SLOWLY,
)
"""Results that show that the failure domain of an upstream can be reached. ``SILENT`` doesn't: only
upstreams that were unreachable give it, and a server that doesn't say its id may be the next owner
of the address, in another failure domain."""


class BrokenFlow(Struct, frozen=True):
    """Flow to reset without waiting for its next packet.

    :param acknowledged: response offset that the caller has acknowledged.
    """

    flow: FlowId
    acknowledged: int


class UpstreamFailures:
    """Follows up probes and changes of upstreams.

    :param domain: failure domain of this entry.
    :param domains: failure domains whose upstreams have become unreachable together.
    :param reports: reports of peers.
    :param control: selects the upstreams whose probes show whether connections work at all.
    """

    def __init__(
        self,
        domain: DomainId,
        directory: Directory,
        flows: FlowTable,
        reachability: ReachabilityMonitor,
        domains: DomainReachability,
        reports: UnreachableReports,
        control: ControlProbeSelector,
    ) -> None:
        self._domain = domain
        self._directory = directory
        self._flows = flows
        self._reachability = reachability
        self._domains = domains
        self._reports = reports
        self._control = control

    def handle_probe_result(
        self, upstream: Lifetime, result: ProbeResult, now: float
    ) -> list[BrokenFlow]:
        """Process the result of a probe.

        :returns: the flows to reset. Idle flows are included, so that their callers learn of the
            failure before they send a request that may not be retried.
        """
        result = self._reachability.interpret(result)
        domain = upstream.entry.domain
        was_unreachable = upstream.is_unreachable
        is_decided = self._reachability.handle_result(upstream, result, now)
        if result in _REACHED:
            self.record_success(domain, now)
        if result is ProbeResult.TIMEOUT:
            self._check_surroundings(upstream, was_unreachable, now)
        if not is_decided or not upstream.is_unreachable:
            return []
        is_new_timeout = result is ProbeResult.TIMEOUT and not was_unreachable
        if is_new_timeout and self._domains.record_timeout(upstream):
            self._suspect_used_upstreams(domain, now)
        return self.break_flows(upstream)

    def handle_phase_change(self, upstream: Lifetime, now: float) -> list[BrokenFlow]:
        """Process a change of an upstream's phase.

        An upstream that is missing or gone may still serve its flows; it is probed.

        :returns: the flows to reset.
        """
        if upstream.is_unreachable:
            if self._reachability.is_confirmed_unreachable(upstream, now):
                return self.break_flows(upstream)
            if upstream.phase is UpstreamPhase.SERVING or self._flows.has_flows(upstream):
                self._reachability.check(upstream, now)
        elif upstream.phase in (UpstreamPhase.MISSING, UpstreamPhase.GONE):
            self.suspect_if_used(upstream, now)
        return []

    def handle_reports(self, marks: Iterable[Mark], now: float) -> bool:
        """Record the upstreams that a peer can't reach; probe those that are new and used here.

        :returns: True if there is a new one, which is to be passed on at once.
        """
        new = [mark for mark in marks if self._reports.record(mark, now)]
        for mark in new:
            upstream = self._directory.find_by_mark(mark)
            if upstream is not None and upstream.phase is not UpstreamPhase.GONE:
                self.suspect_if_used(upstream, now)
        return bool(new)

    def record_success(self, domain: DomainId, now: float) -> None:
        """Record that an upstream of a failure domain answered.

        If the domain was cut off, the others are probably back as well.
        """
        if not self._domains.record_success(domain):
            return
        for upstream in self._directory.iterate_present():
            if upstream.entry.domain == domain:
                self._reachability.recheck(upstream, now)

    def list_reported(self, now: float) -> list[Mark]:
        """Return the upstreams to report to peers: those found here, then those of other peers."""
        own = [upstream.mark for upstream in self._reachability.list_unreachable()]
        return list(dict.fromkeys((*own, *self._reports.list_forwarded(now))))

    def expire(self, now: float) -> None:
        """Forget old reports."""
        self._reports.expire(now)

    def suspect_if_used(self, upstream: Lifetime, now: float) -> None:
        """Request a probe of an upstream if this entry has flows to it.

        In a large fleet most entries have none, and the probes of the others suffice.
        """
        if self._flows.has_flows(upstream):
            self._reachability.suspect(upstream, now)

    def sample_unreachable_domains(self, now: float) -> None:
        """Request probes that show whether unreachable failure domains can be reached again."""
        for domain in self._domains.list_unreachable():
            self._sample_domain(domain, now)

    def sample_other_domains(self, domains: Iterable[DomainId], now: float) -> None:
        """Request probes of a few upstreams of each other failure domain if one is unreachable.

        Callers would otherwise have to find out one domain after the other.

        :param domains: all failure domains.
        """
        if not self._domains.list_unreachable():
            return
        for domain in domains:
            if domain != self._domain:
                self._sample_domain(domain, now)

    def break_flows(self, upstream: Lifetime) -> list[BrokenFlow]:
        """Remove the open flows of an unreachable upstream from the flow table and return them."""
        broken = [
            BrokenFlow(flow_id, flow.acknowledged)
            for flow_id, flow in self._flows.iterate_upstream(upstream)
            if flow.is_open
        ]
        for item in broken:
            self._flows.remove(item.flow)
        return broken

    def _check_surroundings(self, upstream: Lifetime, was_unreachable: bool, now: float) -> None:
        """Request the probes that show whether a timeout concerns more than one upstream."""
        if self._reachability.needs_control(upstream):
            control = self._control.choose(upstream, now)
            if control is not None:
                self._reachability.check(control, now, is_control=True)
        if not was_unreachable:
            self._sample_domain(upstream.entry.domain, now)

    def _sample_domain(self, domain: DomainId, now: float) -> None:
        for upstream in self._domains.draw_sample(domain, now):
            self._reachability.suspect(upstream, now)

    def _suspect_used_upstreams(self, domain: DomainId, now: float) -> None:
        """Request probes of the upstreams of a domain whose flows here may have to be reset."""
        for upstream in self._directory.iterate_present():
            if upstream.entry.domain == domain:
                self.suspect_if_used(upstream, now)
