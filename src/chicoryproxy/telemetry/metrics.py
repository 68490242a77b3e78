"""Counters and gauges of a process, sent to statsd once a second.

Nothing is sent on the packet path: components count in plain integers, and ``Metrics.flush`` sends
the changes. ``docs/operations/metrics.md`` describes each metric.
"""

from enum import Enum, unique

import statsd

from chicoryproxy.ids import InstanceId
from chicoryproxy.model import Endpoint

FLUSH_INTERVAL_S = 1.0
MAX_DATAGRAM_BYTES = 1200


@unique
class Metric(Enum):
    """Metric names. Some metrics append a label, such as a reason, after a dot."""

    PACKETS_IN = "entry.packets.in"
    PACKETS_FORWARDED = "entry.packets.forwarded"
    PACKETS_RETURNED = "entry.packets.returned"
    PACKETS_PASSED = "entry.packets.passed"
    PACKETS_DROPPED = "entry.packets.dropped"
    PACKETS_UNSENT = "entry.packets.unsent"
    RESETS_SENT = "entry.resets.sent"
    REFUSALS = "entry.refusals"
    VIEW_NUMBER = "entry.view.number"
    CORE_FAULTS = "core.faults"
    PEER_BYTES_SENT = "peer.bytes.sent"
    PEER_BYTES_RECEIVED = "peer.bytes.received"
    PEER_REFUSED = "peer.refused"
    PEER_UNDECODED = "peer.undecoded"
    PEER_UNSENT = "peer.unsent"
    LINK_CONNECTS = "link.connects"
    VIEW_VERSION = "view.version"
    PLATFORM_READS = "platform.reads"
    PLATFORM_FAILURES = "platform.failures"
    HEALTH_READS = "health.reads"
    HEALTH_FAILURES = "health.failures"
    CHILD_RESTARTS = "supervisor.restarts"
    LOG_LOST = "log.lost"
    LOG_SKIPPED = "log.skipped"


class Metrics:
    """Collects counters and gauges and sends them to statsd.

    :param client: statsd client; ``None`` sends nothing.
    """

    def __init__(self, client: statsd.StatsClient | None) -> None:
        self._client = client
        self._totals: dict[str, int] = {}
        self._sent: dict[str, int] = {}
        self._gauges: dict[str, float] = {}

    def count(self, metric: Metric, amount: int = 1, label: str = "") -> None:
        """Increment a counter."""
        name = _build_name(metric, label)
        self._totals[name] = self._totals.get(name, 0) + amount

    def set_total(self, metric: Metric, total: int, label: str = "") -> None:
        """Set the total of a counter that another component maintains."""
        self._totals[_build_name(metric, label)] = total

    def set_gauge(self, metric: Metric, value: float) -> None:
        """Set a gauge."""
        self._gauges[metric.value] = value

    def get_totals(self) -> dict[str, int]:
        """Return the totals of all counters by name."""
        return dict(self._totals)

    def flush(self) -> None:
        """Send the counters' increments and all gauges in as few datagrams as possible."""
        changes = {
            name: total - self._sent.get(name, 0)
            for name, total in self._totals.items()
            if total != self._sent.get(name, 0)
        }
        self._sent.update(self._totals)
        if self._client is None:
            return
        with self._client.pipeline() as pipeline:
            for name, change in changes.items():
                pipeline.incr(name, change)
            for name, value in self._gauges.items():
                pipeline.gauge(name, value)


def create_metrics(target: Endpoint | None, instance: InstanceId) -> Metrics:
    """Create the metrics of a process.

    :param target: endpoint of the statsd server; ``None`` sends nothing.
    :param instance: prefix of every metric name, with dots replaced by underscores.
    """
    if target is None:
        return Metrics(None)
    client = statsd.StatsClient(
        host=target.host,
        port=target.port,
        prefix="chicory." + instance.replace(".", "_"),
        maxudpsize=MAX_DATAGRAM_BYTES,
        ipv6=":" in target.host,
    )
    client._sock.setblocking(False)
    return Metrics(client)


def _build_name(metric: Metric, label: str) -> str:
    return f"{metric.value}.{label}" if label else metric.value
