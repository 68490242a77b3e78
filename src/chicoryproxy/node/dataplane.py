"""Data plane of the entry: connects the forwarding core to its packet socket and probes."""

import socket
from collections.abc import Callable, Iterable
from typing import Any

from chicoryproxy.eventloop.loop import Loop
from chicoryproxy.eventloop.packetsocket import PacketSocket
from chicoryproxy.forwarding.balancing.ramp import RampCause, RampEvent
from chicoryproxy.forwarding.balancing.recovery import begin_ramps
from chicoryproxy.forwarding.forwarder import create_forwarder
from chicoryproxy.forwarding.health.reachability import ProbeResult
from chicoryproxy.forwarding.health.upstreamfailures import BrokenFlow
from chicoryproxy.forwarding.load.admission import PRESSURE_LIMIT
from chicoryproxy.forwarding.model import (
    Drop,
    EntrySettings,
    FlowId,
    Refusal,
    UpstreamPhase,
)
from chicoryproxy.forwarding.packet import CallerPacket
from chicoryproxy.forwarding.trafficobserver import TrafficObserver
from chicoryproxy.forwarding.view.directory import Directory
from chicoryproxy.forwarding.view.directoryevent import DirectoryEvent, DirectoryEventKind
from chicoryproxy.forwarding.view.lifetime import Lifetime
from chicoryproxy.node.entrymetrics import EntryMetrics
from chicoryproxy.node.journal import Journal
from chicoryproxy.node.probe import probe_connection, probe_identity
from chicoryproxy.platform.header import (
    create_reset,
    describe_flow,
    get_caller_host,
    read_packet,
    read_request_id,
    write_mark,
)


class DataPlane(TrafficObserver):
    """Receives packets, sends them as the forwarding core decides, and probes upstreams.

    :param seed: seed of the pseudo-random choices.
    :param announce: called when an upstream has become unreachable, to tell the peers.
    :param packets: the socket for callers' packets, if it is already bound.
    """

    def __init__(
        self,
        loop: Loop,
        settings: EntrySettings,
        directory: Directory,
        journal: Journal,
        metrics: EntryMetrics,
        seed: int,
        announce: Callable[[], None],
        packets: socket.socket | None = None,
    ) -> None:
        self._loop = loop
        self._metrics = metrics
        self._announce = announce
        self.forwarder = create_forwarder(
            settings.domain,
            directory,
            loop.read_clock(),
            self,
            settings.has_false_health,
            seed,
        )
        self._caller_port = settings.packets.port
        self._directory = directory
        self._journal = journal
        self._socket = PacketSocket(loop, settings.packets, self._receive, packets)

    def start_reading(self) -> None:
        """Start receiving packets; those that were queued during startup come first."""
        self._socket.start_reading()

    def stop(self) -> None:
        """Stop receiving packets and close the socket."""
        self._socket.close()

    def tick(self, now: float) -> None:
        """Expire outdated state and start the probes that are due."""
        self.forwarder.expire(now)
        for upstream in self.forwarder.reachability.pop_due(now):
            self._start_probe(upstream)
        for event in self.forwarder.slow_start.pop_events():
            self._log_ramp(event)

    def handle_view_change(self, belief: DirectoryEvent) -> None:
        """Follow a change of an upstream or a failure domain."""
        now = self._loop.read_clock()
        begin_ramps(belief, self._directory, self.forwarder.slow_start, now)
        upstream = belief.lifetime
        if belief.kind is not DirectoryEventKind.UPSTREAM_PHASE or upstream is None:
            return
        broken = self.forwarder.failures.handle_phase_change(upstream, now)
        self._reset_flows(broken, upstream)

    def update_metrics(self) -> None:
        """Update the metrics that aren't counted as events occur."""
        self._metrics.unsent = self._socket.unsent
        self._metrics.flows = len(self.forwarder.flows)
        self._metrics.pressure = self.forwarder.admission.get_highest_pressure()
        self._metrics.ramping = self.forwarder.slow_start.count()

    def record_handshake(self, duration_s: float) -> None:
        """Record the duration of a handshake."""
        self._metrics.handshakes.record(duration_s)

    def record_response(self, duration_s: float) -> None:
        """Record the time to the first byte of a response."""
        self._metrics.responses.record(duration_s)

    def record_suspicion(self, upstream: Lifetime, failures: int) -> None:
        """Log that new flows avoid an upstream."""
        self._journal.write("suspect", upstream=upstream.entry.id, failures=failures)

    def record_upstream_change(self, flow: FlowId, former: Lifetime, upstream: Lifetime) -> None:
        """Log that an open flow moved to another upstream."""
        self._metrics.moved_flows += 1
        self._journal.write_rate_limited(
            "flow_moved",
            flow=describe_flow(flow),
            former=former.entry.id,
            upstream=upstream.entry.id,
        )

    def _receive(self, data: bytes) -> None:
        packet = read_packet(data)
        if packet is None:
            self._metrics.drops[Drop.MALFORMED] += 1
            self._journal.write_rate_limited("drop", reason=Drop.MALFORMED.value)
            return
        self._count(packet)
        decision = self.forwarder.handle(packet, self._loop.read_clock())
        if isinstance(decision, Lifetime):
            marked = write_mark(data, decision.mark_bytes)
            self._socket.send(decision.prefix + marked, decision.target)
            self._log_forwarded(packet, data, decision)
            self._repeat_openings(packet.flow)
        elif isinstance(decision, Refusal):
            self._send_reset(packet.flow, packet.acknowledged)
            self._log_refused(packet, decision)
        else:
            self._log_dropped(packet, decision)

    def _repeat_openings(self, flow: FlowId) -> None:
        for opening in self.forwarder.pop_repeated_openings():
            upstream = opening.target
            marked = write_mark(opening.data, opening.mark_bytes)
            self._socket.send(upstream.prefix + marked, upstream.target)
            self._metrics.corrected_handshakes += 1
            self._journal.write_rate_limited(
                "unused_handshake", flow=describe_flow(flow), upstream=upstream.entry.id
            )

    def _count(self, packet: CallerPacket) -> None:
        if not packet.is_opening:
            self._metrics.packets += 1
        elif packet.acknowledged:
            self._metrics.repeated_openings += 1
        else:
            self._metrics.openings += 1

    def _send_reset(self, flow: FlowId, acknowledged: int) -> None:
        target = (get_caller_host(flow), self._caller_port)
        self._socket.send(create_reset(flow, acknowledged), target)

    def _reset_flows(self, broken: Iterable[BrokenFlow], upstream: Lifetime) -> None:
        for item in broken:
            self._metrics.broken_flows += 1
            self._send_reset(item.flow, item.acknowledged)
            self._journal.write(
                "reset",
                reason=Refusal.UPSTREAM_UNREACHABLE.value,
                flow=describe_flow(item.flow),
                **self._describe_evidence(upstream),
            )

    def _describe_evidence(self, upstream: Lifetime) -> dict[str, Any]:
        """Return an upstream, the evidence that made it unreachable, and the age of that."""
        cause = upstream.unreachable_cause
        age_s = self._loop.read_clock() - upstream.unreachable_since_s
        return {
            "upstream": upstream.entry.id,
            "phase": upstream.phase.value,
            "cause": cause.value if cause else None,
            "cause_age_s": round(age_s, 3),
        }

    def _start_probe(self, upstream: Lifetime) -> None:
        """Start a probe; one that can't be started is due again at the next tick."""
        try:
            self._probe(upstream)
        except Exception as error:
            self._handle_probe_result(upstream, ProbeResult.DISCARDED)
            self._loop.report_error(error)

    def _probe(self, upstream: Lifetime) -> None:
        def handle_result(result: ProbeResult) -> None:
            self._handle_probe_result(upstream, result)

        entry = upstream.entry
        limits = self._directory.get_limits(entry.service)
        if upstream.is_unreachable and limits is not None:
            probe_identity(self._loop, entry.address, limits.health_path, entry.id, handle_result)
        else:
            probe_connection(self._loop, entry.address, handle_result)

    def _handle_probe_result(self, upstream: Lifetime, result: ProbeResult) -> None:
        self._metrics.probes[result] += 1
        was_unreachable = upstream.is_unreachable
        broken = self.forwarder.failures.handle_probe_result(
            upstream, result, self._loop.read_clock()
        )
        if upstream.is_unreachable is not was_unreachable:
            self._journal.write(
                "reachability",
                upstream=upstream.entry.id,
                result=result.value,
                unreachable=upstream.is_unreachable,
                broken_flows=len(broken),
            )
            if upstream.is_unreachable:
                self._announce()
            else:
                now = self._loop.read_clock()
                self.forwarder.slow_start.begin(upstream, RampCause.REACHABLE, now)
        elif result not in (ProbeResult.CONNECTED, ProbeResult.CONNECTED_SLOWLY):
            self._journal.write_rate_limited(
                "probe", upstream=upstream.entry.id, result=result.value
            )
        self._reset_flows(broken, upstream)

    def _log_ramp(self, event: RampEvent) -> None:
        self._journal.write(
            "ramp",
            upstream=event.upstream.entry.id,
            cause=event.cause.value,
            state="end" if event.has_ended else "begin",
            on_time=event.on_time,
            late=event.late,
            share=event.share,
            candidates=event.candidates,
            age_s=event.age_s,
        )

    def _log_forwarded(self, packet: CallerPacket, data: bytes, upstream: Lifetime) -> None:
        if packet.is_opening:
            if upstream.phase is not UpstreamPhase.SERVING:
                self._metrics.leaving_openings += 1
            self._journal.write_rate_limited(
                "open",
                flow=describe_flow(packet.flow),
                copy=packet.acknowledged,
                upstream=upstream.entry.id,
                phase=upstream.phase.value,
                mark=f"{upstream.mark:08x}",
                version=self._directory.version,
            )
        elif packet.size:
            request = read_request_id(data)
            if request:
                self._journal.write_rate_limited(
                    "request",
                    request=request,
                    flow=describe_flow(packet.flow),
                    upstream=upstream.entry.id,
                    version=self._directory.version,
                )

    def _log_dropped(self, packet: CallerPacket, drop: Drop) -> None:
        self._metrics.drops[drop] += 1
        self._journal.write_rate_limited(
            "drop",
            reason=drop.value,
            flow=describe_flow(packet.flow),
            mark=f"{packet.mark:08x}",
        )

    def _log_refused(self, packet: CallerPacket, refusal: Refusal) -> None:
        self._metrics.refusals[refusal] += 1
        details: dict[str, Any] = {}
        if refusal is Refusal.NO_UPSTREAM:
            counts = self.forwarder.count_exclusions(packet, self._loop.read_clock())
            details["excluded"] = {reason.value: count for reason, count in counts.items()}
        if refusal is Refusal.OVERLOADED:
            self._log_overload(packet)
            return
        upstream = self._directory.find_by_mark(packet.mark)
        if refusal is Refusal.UPSTREAM_UNREACHABLE and upstream is not None:
            details.update(self._describe_evidence(upstream))
        self._journal.write(
            "refuse",
            reason=refusal.value,
            flow=describe_flow(packet.flow),
            mark=f"{packet.mark:08x}",
            version=self._directory.version,
            **details,
        )

    def _log_overload(self, packet: CallerPacket) -> None:
        """Log a refusal by admission control, of which there are many while a burst lasts."""
        inputs = self.forwarder.find_admission_inputs(packet, self._loop.read_clock())
        if inputs is None:
            return
        self._journal.write_rate_limited(
            "refuse",
            reason=Refusal.OVERLOADED.value,
            flow=describe_flow(packet.flow),
            version=self._directory.version,
            service=inputs.service,
            priority=inputs.priority,
            pressure=round(inputs.pressure, 2),
            limit=PRESSURE_LIMIT,
            late_share=round(inputs.late_share or 0.0, 2),
        )
