"""The entry: its data plane, its view of the platform and its life cycle."""

import gc
import os
import socket
from enum import Enum, unique

from chicoryproxy.eventloop.http import HttpServer, ServerResponse
from chicoryproxy.eventloop.loop import Loop
from chicoryproxy.forwarding.health.isolation import IsolationDetector
from chicoryproxy.forwarding.model import EntrySettings, Mark
from chicoryproxy.forwarding.pause import PauseEvent
from chicoryproxy.forwarding.peers.peermessages import Heartbeat, LoadReport, RampReport
from chicoryproxy.forwarding.view.directoryevent import DirectoryEvent
from chicoryproxy.node.dataplane import DataPlane
from chicoryproxy.node.entrymetrics import EntryMetrics
from chicoryproxy.node.journal import Journal
from chicoryproxy.node.view import TrafficReports, View
from chicoryproxy.platform.readiness import answer_readiness

METRICS_PATH = "/metrics"
TICK_INTERVAL_S = 0.05
STARTING_TICK_INTERVAL_S = 0.005
"""Shorter interval during startup, so that the entry serves as soon as its view is complete."""

MAX_START_HOLD_S = 0.4
"""Longest time that packets are queued until the view is complete.

Callers have retransmitted packets that are older.
"""

LEAVE_DELAY_S = 2.0
"""Time between SIGTERM and the end, in which readiness checks show the routers the change."""


@unique
class EntryPhase(Enum):
    """Life cycle phase of the process."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"


class Entry(TrafficReports):
    """Forwards packets until ``leave`` is called.

    :param seed: seed of the pseudo-random choices.
    :param packets: the socket for callers' packets, if it is already bound.
    """

    def __init__(
        self,
        loop: Loop,
        settings: EntrySettings,
        journal: Journal,
        seed: int,
        packets: socket.socket | None = None,
    ) -> None:
        self._loop = loop
        self._settings = settings
        self._journal = journal
        self._phase = EntryPhase.STARTING
        self._view = View(loop, settings, journal, self._on_view_change, self, seed)
        self._metrics = EntryMetrics()
        self._data_plane = DataPlane(
            loop,
            settings,
            self._view.directory,
            journal,
            self._metrics,
            seed,
            self._view.announce,
            packets,
        )
        self._data_plane.forwarder.flows.peer_loads = self._view.peers.loads
        self._isolation = IsolationDetector(
            settings.domain,
            self._view.directory,
            self._view.peers,
            self._data_plane.forwarder.policy,
            self._data_plane.forwarder.recent_openings,
        )
        self._metrics_server = HttpServer(loop, settings.metrics, self._answer_metrics)
        self._readiness_server = HttpServer(loop, settings.readiness, self._answer_readiness)

    def start(self) -> None:
        """Start the view; packets are received once it is complete or the hold time has passed."""
        self._view.start()
        self._loop.call_later(MAX_START_HOLD_S, self._end_start)
        self._loop.call_repeatedly(self._get_tick_interval, self._tick)

    def handle_error(self, error: Exception) -> None:
        """Log and count an unexpected error of a callback, which ends only that callback."""
        self._metrics.unexpected_errors += 1
        self._journal.write_rate_limited("error", error=repr(error), place=_find_place(error))

    def apply_settings(self, settings: EntrySettings) -> None:
        """Apply the changed settings that don't need a restart."""
        self._settings = settings
        self._view.apply_settings(settings)

    def leave(self) -> None:
        """Report not ready, and stop after the routers have had time to notice."""
        if self._phase is EntryPhase.LEAVING:
            return
        self._phase = EntryPhase.LEAVING
        self._view.is_leaving = True
        self._journal.write("leaving")
        self._loop.call_later(min(LEAVE_DELAY_S, self._settings.bounds.grace_s / 2), self._stop)

    def _stop(self) -> None:
        # First, so that an error while something is closed doesn't keep the process running.
        self._loop.stop()
        self._readiness_server.close()
        self._metrics_server.close()
        self._view.stop()
        self._data_plane.stop()
        self._journal.write("stop")
        self._journal.flush()

    def _end_start(self) -> None:
        """Receive packets from now on; what was loaded so far is never garbage."""
        self._data_plane.start_reading()
        if not gc.isenabled():
            gc.freeze()
            gc.enable()

    def _on_view_change(self, belief: DirectoryEvent) -> None:
        self._data_plane.handle_view_change(belief)

    def list_upstream_loads(self) -> tuple[LoadReport, ...]:
        """Return the load of this entry at each upstream."""
        return self._data_plane.forwarder.flows.report_loads()

    def list_ramps(self) -> tuple[RampReport, ...]:
        """Return what this entry has counted of the upstreams that are ramping up."""
        return self._data_plane.forwarder.slow_start.list_reports()

    def handle_ramps(self, heartbeat: Heartbeat) -> None:
        """Take over what a peer has counted of the upstreams that are ramping up."""
        if not heartbeat.ramps or heartbeat.sender.domain != self._view.peers.own.domain:
            return
        now = self._loop.read_clock()
        peers = self._view.peers.count_own_domain(now)
        self._data_plane.forwarder.slow_start.handle_heartbeat(heartbeat, peers, now)

    def has_isolation_evidence(self) -> bool:
        """Return whether this entry has found that its failure domain is isolated."""
        return self._isolation.has_evidence

    def list_unreachable(self) -> tuple[Mark, ...]:
        """Return the marks of the upstreams that this entry or its peers can't reach."""
        return tuple(self._data_plane.forwarder.failures.list_reported(self._loop.read_clock()))

    def handle_unreachable(self, marks: tuple[Mark, ...]) -> bool:
        """Handle a peer's report on upstreams that it can't reach; return whether it has news."""
        failures = self._data_plane.forwarder.failures
        return failures.handle_reports(marks, self._loop.read_clock())

    def _answer_readiness(self, path: str) -> ServerResponse:
        is_ready = self._phase is EntryPhase.SERVING and not self._isolation.is_isolated
        return answer_readiness(path, is_ready)

    def _answer_metrics(self, path: str) -> ServerResponse:
        if path.partition("?")[0] != METRICS_PATH:
            return ServerResponse(404)
        self._view.update_metrics(self._metrics)
        self._data_plane.update_metrics()
        self._metrics.is_isolated = self._isolation.is_isolated
        self._metrics.log_lost = self._journal.lost
        self._metrics.log_skipped = self._journal.skipped
        return ServerResponse(200, self._metrics.render())

    def _update_phase(self) -> None:
        if self._phase is EntryPhase.STARTING and self._view.is_complete:
            self._phase = EntryPhase.SERVING
            self._data_plane.forwarder.is_synced = True
            self._end_start()
            self._journal.write("ready", revision=self._view.replica.synced)

    def _update_isolation(self, now: float) -> None:
        forwarder = self._data_plane.forwarder
        if self._view.peers.is_partitioned(now):
            forwarder.failures.sample_other_domains(self._settings.domains, now)
        has_changed = self._isolation.tick(now)
        forwarder.is_rerouting = self._isolation.is_rerouting(now)
        if has_changed:
            self._journal.write(
                "isolation",
                isolated=self._isolation.is_isolated,
                own_evidence=self._isolation.has_evidence,
                age_s=round(self._view.peers.get_age(now), 3),
            )

    def _tick(self) -> None:
        now = self._loop.read_clock()
        self._loop.call(lambda: self._handle_pause(now))
        # Before the phase: an entry that starts in an isolated domain must not report ready.
        self._loop.call(lambda: self._update_isolation(now))
        self._loop.call(self._update_phase)
        self._loop.call(lambda: self._update_forwarder(now))
        self._loop.call(lambda: self._view.expire(now))
        self._loop.call(lambda: self._data_plane.tick(now))
        self._journal.flush()

    def _update_forwarder(self, now: float) -> None:
        forwarder = self._data_plane.forwarder
        forwarder.reachability.is_view_behind = self._view.is_behind
        forwarder.cold_budget.share = self._view.peers.compute_share(now)

    def _get_tick_interval(self) -> float:
        is_starting = self._phase is EntryPhase.STARTING
        return STARTING_TICK_INTERVAL_S if is_starting else TICK_INTERVAL_S

    def _handle_pause(self, now: float) -> None:
        event = self._data_plane.forwarder.pause.tick(self._view.is_confirmed, now)
        if event is PauseEvent.PAUSED:
            self._view.revalidate()
        if event is not PauseEvent.NONE:
            age_s = round(self._view.peers.get_age(now), 3)
            self._journal.write("pause", state=event.value, age_s=age_s)


def _find_place(error: Exception) -> str:
    """Return the file, line and function in which an error was raised.

    The ``traceback`` module is not imported, since that would delay the start of the process.
    """
    trace = error.__traceback__
    while trace is not None and trace.tb_next is not None:
        trace = trace.tb_next
    if trace is None:
        return ""
    code = trace.tb_frame.f_code
    return f"{os.path.basename(code.co_filename)}:{trace.tb_lineno} in {code.co_name}"
