"""Counters and gauges of a process, sent to statsd once a second.

Nothing is sent on the packet path: parts count in plain integers, and ``Metrics.flush`` sends
what has changed. ``docs/operations/metrics.md`` says what each metric means.
"""

from enum import Enum, unique

import statsd

from chicoryproxy.ids import InstanceId
from chicoryproxy.model import Endpoint

FLUSH_INTERVAL_S = 1.0
MAX_DATAGRAM_BYTES = 1200


@unique
class Metric(Enum):
    """Names of the metrics; a label such as a reason follows some of them after a dot."""

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
    """Collects totals and gauges and sends the changes.

    :param client: statsd client; ``None`` when no target is set, and nothing is sent then.
    """

    def __init__(self, client: statsd.StatsClient | None) -> None:
        self._client = client
        self._totals: dict[str, int] = {}
        self._sent: dict[str, int] = {}
        self._gauges: dict[str, float] = {}

    def count(self, metric: Metric, amount: int = 1, label: str = "") -> None:
        """Add to a counter."""
        name = _build_name(metric, label)
        self._totals[name] = self._totals.get(name, 0) + amount

    def set_total(self, metric: Metric, total: int, label: str = "") -> None:
        """Take the total of a counter that another part keeps."""
        self._totals[_build_name(metric, label)] = total

    def set_gauge(self, metric: Metric, value: float) -> None:
        """Take the present value of a gauge."""
        self._gauges[metric.value] = value

    def get_totals(self) -> dict[str, int]:
        """Return all counters by name."""
        return dict(self._totals)

    def flush(self) -> None:
        """Send the changes of the counters, and the gauges, in as few datagrams as fit."""
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

    :param target: where statsd listens; ``None`` sends nothing.
    :param instance: used as prefix of every name, with dots replaced.
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
