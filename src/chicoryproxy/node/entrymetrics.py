"""The metrics that an entry exposes; ``docs/operations/entry-metrics.md`` explains each."""

from collections import Counter

from chicoryproxy.forwarding.health.reachability import ProbeResult
from chicoryproxy.forwarding.model import Drop, Refusal
from chicoryproxy.node.exposition import (
    Histogram,
    join_lines,
    render_counter,
    render_gauge,
)

PREFIX = "chicory_entry_"


class EntryMetrics:
    """Counters since the start, current values, and latencies derived from callers' packets.

    :ivar repeated_openings: retransmitted first packets of flows.
    :ivar leaving_openings: first packets of flows sent to upstreams that aren't serving.
    :ivar corrected_handshakes: openings sent again to upstreams that their flows don't use.
    :ivar handshakes: time from the first packet of a flow to the caller's acknowledgement.
    :ivar responses: time from a request to the first acknowledged byte of its response.
    """

    def __init__(self) -> None:
        self.openings = 0
        self.repeated_openings = 0
        self.leaving_openings = 0
        self.packets = 0
        self.refusals: Counter[Refusal] = Counter()
        self.drops: Counter[Drop] = Counter()
        self.broken_flows = 0
        self.unexpected_errors = 0
        self.moved_flows = 0
        self.corrected_handshakes = 0
        self.probes: Counter[ProbeResult] = Counter()
        self.store_calls = 0
        self.store_failures = 0
        self.missed_changes = 0
        self.heartbeat_bytes = 0
        self.unsent = 0
        self.log_lost = 0
        self.log_skipped = 0
        self.flows = 0
        self.pressure = 0.0
        self.version = 0
        self.revision = 0
        self.view_age_s = 0.0
        self.upstreams = 0
        self.unreachable = 0
        self.ramping = 0
        self.peers = 0
        self.is_isolated = False
        self.handshakes = Histogram()
        self.responses = Histogram()

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return join_lines(
            (*self._render_counters(), *self._render_gauges(), *self._render_histograms())
        )

    def _render_counters(self) -> list[list[str]]:
        totals = {
            "openings_total": ("first packets of flows", self.openings),
            "opening_copies_total": ("openings that callers repeated", self.repeated_openings),
            "leaving_openings_total": (
                "openings sent to upstreams that leave or are missing",
                self.leaving_openings,
            ),
            "packets_total": ("packets of open flows", self.packets),
            "broken_flows_total": ("flows reset without a packet", self.broken_flows),
            "moved_flows_total": ("open flows that changed their upstream", self.moved_flows),
            "corrected_handshakes_total": (
                "openings sent again to upstreams that their flows don't use",
                self.corrected_handshakes,
            ),
            "store_calls_total": ("calls to the platform's store", self.store_calls),
            "store_failures_total": ("failed calls to the store", self.store_failures),
            "missed_changes_total": (
                "times at which watches of the store had missed a change",
                self.missed_changes,
            ),
            "heartbeat_bytes_total": ("bytes of heartbeats sent", self.heartbeat_bytes),
            "unsent_packets_total": ("packets that the socket refused", self.unsent),
            "unexpected_errors_total": (
                "callbacks that an unexpected error ended",
                self.unexpected_errors,
            ),
            "log_lost_total": ("log lines that found the output full", self.log_lost),
            "log_skipped_total": ("log lines over the budget", self.log_skipped),
        }
        lines = [
            render_counter(PREFIX + name, text, {"": value})
            for name, (text, value) in totals.items()
        ]
        refusals = {reason.value: self.refusals[reason] for reason in Refusal}
        drops = {reason.value: self.drops[reason] for reason in Drop}
        probes = {result.value: self.probes[result] for result in ProbeResult}
        lines.append(
            render_counter(PREFIX + "resets_total", "resets sent to callers", refusals, "reason")
        )
        lines.append(render_counter(PREFIX + "drops_total", "packets dropped", drops, "reason"))
        lines.append(
            render_counter(PREFIX + "probes_total", "probes of upstreams", probes, "result")
        )
        return lines

    def _render_gauges(self) -> list[list[str]]:
        gauges = {
            "flows": ("flows in the table", self.flows),
            "pressure": (
                "outstanding requests per slot, all priorities, of the busiest service",
                self.pressure,
            ),
            "config_version": ("version of the configuration in force", self.version),
            "view_revision": ("revision of the store that is known", self.revision),
            "view_age_seconds": ("age of the last confirmation of the view", self.view_age_s),
            "upstreams": ("upstreams that have not ended", self.upstreams),
            "unreachable_upstreams": ("upstreams out of reach", self.unreachable),
            "ramping_upstreams": (
                "upstreams that get a limited share of openings",
                self.ramping,
            ),
            "peers": ("living entries, this one included", self.peers),
            "isolated": (
                "1 while callers are sent to other failure domains",
                int(self.is_isolated),
            ),
        }
        return [render_gauge(PREFIX + name, text, value) for name, (text, value) in gauges.items()]

    def _render_histograms(self) -> list[list[str]]:
        return [
            self.handshakes.render(
                PREFIX + "handshake_seconds", "opening to the caller's acknowledgement"
            ),
            self.responses.render(
                PREFIX + "response_seconds", "request to the first acknowledged answer"
            ),
        ]
