"""Running total of the loads that peers report in their heartbeats."""

from chicoryproxy.forwarding.model import Mark
from chicoryproxy.forwarding.peers.peermessages import Heartbeat, LoadReport

LOAD_AGE_S = 2.5
"""A report older than this is discarded."""


class _Report:
    """Last load report of one peer."""

    __slots__ = ("loads", "reported_s")

    def __init__(self, loads: tuple[LoadReport, ...], reported_s: float) -> None:
        self.loads = loads
        self.reported_s = reported_s


class PeerLoads:
    """Total load of all peers at each upstream.

    :ivar live_peers: number of live peers, most of which report to other entries in a large fleet.
    """

    def __init__(self) -> None:
        self.live_peers = 0
        # Ordered by arrival, oldest first.
        self._reports: dict[int, _Report] = {}
        self._totals: dict[Mark, LoadReport] = {}

    def handle_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        """Replace the previous report of the sender."""
        host = heartbeat.sender.host
        self._remove(host)
        self._reports[host] = _Report(heartbeat.loads, now)
        self._add(heartbeat.loads, 1)

    def expire(self, now: float) -> None:
        """Discard the reports of peers without recent heartbeats."""
        for host, report in list(self._reports.items()):
            if now - report.reported_s <= LOAD_AGE_S:
                return
            self._remove(host)

    def get(self, mark: Mark) -> LoadReport | None:
        """Return the total load of all peers at an upstream, ``None`` if there is none."""
        return self._totals.get(mark)

    def compute_fleet_scale(self) -> float:
        """Return the estimated load of the whole fleet, relative to the known load.

        The known load is that of this entry and of the peers with recent reports.
        """
        known = 1 + len(self._reports)
        return max(1.0, (1 + self.live_peers) / known)

    def _remove(self, host: int) -> None:
        report = self._reports.pop(host, None)
        if report is not None:
            self._add(report.loads, -1)

    def _add(self, loads: tuple[LoadReport, ...], sign: int) -> None:
        for load in loads:
            known = self._totals.get(load.mark)
            flows = sign * load.flows + (known.flows if known else 0)
            waiting = sign * load.waiting + (known.waiting if known else 0)
            if flows or waiting:
                self._totals[load.mark] = LoadReport(load.mark, flows, waiting)
            else:
                self._totals.pop(load.mark, None)
